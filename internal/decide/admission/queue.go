package admission

import (
	"container/heap"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// The kinds of queue of a flow.
const (
	short = iota
	long
	kinds
)

func kindOf(isLong bool) int {
	if isLong {
		return long
	}
	return short
}

// queue is the list of waiting entries of one kind in order of arrival.
type queue struct {
	head, tail int32
	count      int
	tokens     core.Tokens
	// place is the index in the pool's heap, or -1.
	place int
	// since is the arrival of the head, later by longAging for long work.
	since time.Time
}

// flow is the work of one team in one pool.
type flow struct {
	team    *team
	pool    *pool
	counter float64
	// weight is the one counted in the pool's activeWeight.
	weight int
	queues [kinds]queue
}

func (f *flow) waiting() int {
	return f.queues[short].count + f.queues[long].count
}

// lift brings the counter up to the pool's virtual time when a flow begins to
// compete: it may not claim what it left unused before.
func (f *flow) lift() {
	f.counter = max(f.counter, f.pool.virtual)
	f.pool.reorder(f)
}

// charge moves the counter by tokens of work, which may be negative when work
// took less than estimated.
func (f *flow) charge(tokens core.Tokens) {
	f.counter += float64(tokens) / float64(f.team.row.Weight)
	f.pool.reorder(f)
}

// flowHeap orders the flows that have eligible work of one kind.
type flowHeap struct {
	flows []*flow
	kind  int
}

func (h *flowHeap) Len() int           { return len(h.flows) }
func (h *flowHeap) Less(i, j int) bool { return before(h.flows[i], h.kind, h.flows[j], h.kind) }

func (h *flowHeap) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].queues[h.kind].place = i
	h.flows[j].queues[h.kind].place = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.queues[h.kind].place = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	f.queues[h.kind].place = -1
	return f
}

// before reports whether the head of one queue goes before that of another.
func before(a *flow, aKind int, b *flow, bKind int) bool {
	if a.counter != b.counter {
		return a.counter < b.counter
	}
	return a.queues[aKind].since.Before(b.queues[bKind].since)
}

// enqueue appends a waiting entry to its flow.
func (m *Machine) enqueue(index int32) {
	e := &m.entries[index]
	f := e.flow
	if f.waiting() == 0 {
		f.lift()
		f.weight = f.team.row.Weight
		f.pool.activeWeight += f.weight
	}
	q := &f.queues[kindOf(e.long)]
	e.prev = q.tail
	if q.tail != none {
		m.entries[q.tail].next = index
	} else {
		q.head = index
		m.setSince(f, kindOf(e.long))
	}
	q.tail = index
	q.count++
	q.tokens += e.estimate
	f.pool.waitingTokens[kindOf(e.long)] += e.estimate
	f.team.waiting++
	m.waiting++
}

// dequeue removes a waiting entry from anywhere in its flow.
func (m *Machine) dequeue(index int32) {
	e := &m.entries[index]
	f, kind := e.flow, kindOf(e.long)
	q := &f.queues[kind]
	if e.prev != none {
		m.entries[e.prev].next = e.next
	} else {
		q.head = e.next
	}
	if e.next != none {
		m.entries[e.next].prev = e.prev
	} else {
		q.tail = e.prev
	}
	q.count--
	q.tokens -= e.estimate
	f.pool.waitingTokens[kind] -= e.estimate
	f.team.waiting--
	m.waiting--
	if q.count == 0 {
		f.pool.unready(f, kind)
	} else if e.prev == none {
		m.setSince(f, kind)
		f.pool.reorder(f)
	}
	if f.waiting() == 0 {
		f.pool.activeWeight -= f.weight
	}
}

func (m *Machine) setSince(f *flow, kind int) {
	since := m.entries[f.queues[kind].head].arrived
	if kind == long {
		since = since.Add(longAging)
	}
	f.queues[kind].since = since
}

// wakeHeap orders teams by the time at which their rate limit permits work.
type wakeHeap []*team

// Len implements heap.Interface.
func (h wakeHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h wakeHeap) Less(i, j int) bool { return h[i].wakeAt.Before(h[j].wakeAt) }

// Swap implements heap.Interface.
func (h wakeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].wakePlace, h[j].wakePlace = i, j
}

// Push implements heap.Interface.
func (h *wakeHeap) Push(x any) {
	t := x.(*team)
	t.wakePlace = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *wakeHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.wakePlace = -1
	return t
}

func (m *Machine) wake(t *team, at time.Time) {
	t.wakeAt = at
	if t.wakePlace < 0 {
		heap.Push(&m.wakes, t)
	} else {
		heap.Fix(&m.wakes, t.wakePlace)
	}
}

func (m *Machine) unwake(t *team) {
	if t.wakePlace >= 0 {
		heap.Remove(&m.wakes, t.wakePlace)
	}
}
