package admission

import (
	"container/heap"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// The kinds of queues that each flow has.
const (
	short = iota
	long
	kindCount
)

func kindOf(isLong bool) int {
	if isLong {
		return long
	}
	return short
}

// queue is the linked list of waiting entries of one kind in order of arrival.
type queue struct {
	head, tail int32
	count      int
	tokens     core.Tokens
	// heapIndex is the flow's index in the pool's ready heap for this kind, or -1.
	heapIndex int
	// priorityTime is the arrival time of the head, plus longPriorityDelay for
	// long work. It breaks ties between equal counters.
	priorityTime time.Time
}

// flow is the traffic of one team in one pool.
type flow struct {
	team    *team
	pool    *pool
	counter float64
	// weight is the team's weight as counted in the pool's activeWeight.
	weight int
	queues [kindCount]queue
}

func (f *flow) waiting() int {
	return f.queues[short].count + f.queues[long].count
}

// advanceToVirtualTime raises the counter to the pool's virtual time when the
// flow starts to compete for slots, so that it can't claim the service that it
// did not use while idle.
func (f *flow) advanceToVirtualTime() {
	f.counter = max(f.counter, f.pool.virtualTime)
	f.pool.reorder(f)
}

// charge advances the counter by tokens; a negative number refunds an estimate
// that was too high.
func (f *flow) charge(tokens core.Tokens) {
	f.counter += float64(tokens) / float64(f.team.row.Weight)
	f.pool.reorder(f)
}

// flowHeap is a priority queue of the flows that have eligible requests of one
// kind.
type flowHeap struct {
	flows []*flow
	kind  int
}

func (h *flowHeap) Len() int           { return len(h.flows) }
func (h *flowHeap) Less(i, j int) bool { return before(h.flows[i], h.kind, h.flows[j], h.kind) }

func (h *flowHeap) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].queues[h.kind].heapIndex = i
	h.flows[j].queues[h.kind].heapIndex = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.queues[h.kind].heapIndex = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	f.queues[h.kind].heapIndex = -1
	return f
}

// before reports whether the head of one queue is served before that of another.
func before(a *flow, aKind int, b *flow, bKind int) bool {
	if a.counter != b.counter {
		return a.counter < b.counter
	}
	return a.queues[aKind].priorityTime.Before(b.queues[bKind].priorityTime)
}

// enqueue appends a waiting entry to its queue.
func (c *Controller) enqueue(index int32) {
	e := &c.entries[index]
	f := e.flow
	if f.waiting() == 0 {
		f.advanceToVirtualTime()
		f.weight = f.team.row.Weight
		f.pool.activeWeight += f.weight
	}
	q := &f.queues[kindOf(e.long)]
	e.prev = q.tail
	if q.tail != noEntry {
		c.entries[q.tail].next = index
	} else {
		q.head = index
		c.updatePriorityTime(f, kindOf(e.long))
	}
	q.tail = index
	q.count++
	q.tokens += e.estimate
	f.pool.waitingTokens[kindOf(e.long)] += e.estimate
	f.team.waiting++
	c.waiting++
}

// dequeue removes a waiting entry from any position in its queue.
func (c *Controller) dequeue(index int32) {
	e := &c.entries[index]
	f, kind := e.flow, kindOf(e.long)
	q := &f.queues[kind]
	if e.prev != noEntry {
		c.entries[e.prev].next = e.next
	} else {
		q.head = e.next
	}
	if e.next != noEntry {
		c.entries[e.next].prev = e.prev
	} else {
		q.tail = e.prev
	}
	q.count--
	q.tokens -= e.estimate
	f.pool.waitingTokens[kind] -= e.estimate
	f.team.waiting--
	c.waiting--
	if q.count == 0 {
		f.pool.removeReady(f, kind)
	} else if e.prev == noEntry {
		c.updatePriorityTime(f, kind)
		f.pool.reorder(f)
	}
	if f.waiting() == 0 {
		f.pool.activeWeight -= f.weight
	}
}

func (c *Controller) updatePriorityTime(f *flow, kind int) {
	since := c.entries[f.queues[kind].head].arrived
	if kind == long {
		since = since.Add(longPriorityDelay)
	}
	f.queues[kind].priorityTime = since
}

// wakeHeap is a priority queue of teams by the time at which their limits may
// permit more work.
type wakeHeap []*team

// Len implements heap.Interface.
func (h wakeHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h wakeHeap) Less(i, j int) bool { return h[i].wakeAt.Before(h[j].wakeAt) }

// Swap implements heap.Interface.
func (h wakeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].wakeIndex, h[j].wakeIndex = i, j
}

// Push implements heap.Interface.
func (h *wakeHeap) Push(x any) {
	t := x.(*team)
	t.wakeIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *wakeHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.wakeIndex = -1
	return t
}

func (c *Controller) scheduleWake(t *team, at time.Time) {
	t.wakeAt = at
	if t.wakeIndex < 0 {
		heap.Push(&c.wakeQueue, t)
	} else {
		heap.Fix(&c.wakeQueue, t.wakeIndex)
	}
}

func (c *Controller) cancelWake(t *team) {
	if t.wakeIndex >= 0 {
		heap.Remove(&c.wakeQueue, t.wakeIndex)
	}
}
