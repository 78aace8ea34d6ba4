// Package load simulates the admission and routing decisions and two simple
// baselines under overload, mixed job lengths and stragglers. It runs the
// decisions only, as a discrete-event simulation without sockets. The seed
// determines a run.
package load

import (
	"container/heap"
	"time"
)

// event is a callback due at a simulated time. sequence keeps events due at
// the same time in the order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}

// clock is the simulated time with the queue of pending events.
type clock struct {
	now          time.Duration
	events       eventHeap
	lastSequence int
}

// epoch is the wall-clock time of the simulation's start.
var epoch = time.Unix(1_700_000_000, 0)

func (c *clock) time() time.Time {
	return epoch.Add(c.now)
}

func (c *clock) after(delay time.Duration, run func()) {
	c.lastSequence++
	heap.Push(&c.events, event{at: c.now + max(0, delay), sequence: c.lastSequence, run: run})
}

func (c *clock) every(interval time.Duration, run func()) {
	c.after(interval, func() {
		run()
		c.every(interval, run)
	})
}

// runUntil runs the events due up to the given time.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
