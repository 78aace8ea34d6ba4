// Package load runs the decisions on admission and routing against loads that
// are hard to serve, beside two simple baselines. It is a trial of the
// decisions only: events are simulated on a clock of its own, without sockets,
// and a run depends on its seed alone.
package load

import (
	"container/heap"
	"time"
)

// event is something that happens at a moment of simulated time.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
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

// clock is simulated time with its coming events.
type clock struct {
	now    time.Duration
	events eventHeap
	order  int
}

// epoch is the wall-clock time of the simulation's start.
var epoch = time.Unix(1_700_000_000, 0)

func (c *clock) time() time.Time {
	return epoch.Add(c.now)
}

func (c *clock) after(delay time.Duration, run func()) {
	c.order++
	heap.Push(&c.events, event{at: c.now + max(0, delay), order: c.order, run: run})
}

func (c *clock) every(interval time.Duration, run func()) {
	c.after(interval, func() {
		run()
		c.every(interval, run)
	})
}

// runUntil handles events up to the given time.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
