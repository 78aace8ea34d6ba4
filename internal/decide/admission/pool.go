package admission

import (
	"container/heap"
	"math"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// serviceSmoothing averages the service rate over about 50 requests.
const serviceSmoothing = 0.02

// pool is the state of the slots of one pool of upstreams.
type pool struct {
	capacity int
	known    bool
	running  [kinds]int
	reserve  reserve
	ready    [kinds]flowHeap
	// virtual is the counter of the flow that was granted last.
	virtual float64
	// waitingTokens and activeWeight describe the queues, for estimates.
	waitingTokens [kinds]core.Tokens
	activeWeight  int
	// tokens and seconds are decaying means over finished work; their ratio is
	// the service rate of one slot. Tokens are estimated ones, as those of
	// waiting work are, so that a constant error of the estimates cancels.
	tokens, seconds float64
	// hold is the mean time in seconds that work of a kind keeps its slot.
	hold [kinds]float64
}

func newPool() *pool {
	return &pool{
		capacity: defaultSlots,
		ready:    [kinds]flowHeap{{kind: short}, {kind: long}},
	}
}

func (p *pool) inUse() int {
	return p.running[short] + p.running[long]
}

// longSlots returns how many slots long work may take: what short work leaves,
// up to longPart. The rest of longPart is always open to long work, so that
// lasting short work does not starve it; a pool of one slot must serve it too.
func (p *pool) longSlots() int {
	if p.capacity == 1 {
		return 1
	}
	most := int(longPart * float64(p.capacity))
	if !p.reserve.known {
		return most
	}
	least := max(1, int((1-longPart)*float64(p.capacity)))
	return min(most, max(least, int(math.Ceil(p.reserve.limit()))))
}

// left frees the slot of an entry and learns the service rate from it.
func (p *pool) left(e *entry, now time.Time, used core.Tokens) {
	kind := kindOf(e.long)
	p.running[kind]--
	seconds := now.Sub(e.granted).Seconds()
	if used <= 0 || seconds <= 0 {
		return
	}
	p.tokens += (float64(e.estimate) - p.tokens) * serviceSmoothing
	p.seconds += (seconds - p.seconds) * serviceSmoothing
	if p.hold[kind] == 0 {
		p.hold[kind] = seconds
	}
	p.hold[kind] += (seconds - p.hold[kind]) * serviceSmoothing
}

// slotRate returns the estimated tokens per second that one slot serves; 0 if unknown.
func (p *pool) slotRate() float64 {
	if p.seconds == 0 {
		return 0
	}
	return p.tokens / p.seconds
}

func (p *pool) makeReady(f *flow, kind int) {
	if f.queues[kind].place < 0 && f.queues[kind].count > 0 {
		heap.Push(&p.ready[kind], f)
	}
}

func (p *pool) unready(f *flow, kind int) {
	if f.queues[kind].place >= 0 {
		heap.Remove(&p.ready[kind], f.queues[kind].place)
	}
}

// reorder restores the order of the heaps after a flow changed.
func (p *pool) reorder(f *flow) {
	for kind := range p.ready {
		if place := f.queues[kind].place; place >= 0 {
			heap.Fix(&p.ready[kind], place)
		}
	}
}

// choose returns the flow and kind that get the next slot.
func (p *pool) choose() (*flow, int, bool) {
	if p.inUse() >= p.capacity {
		return nil, 0, false
	}
	shorts, longs := p.ready[short].flows, p.ready[long].flows
	mayLong := len(longs) > 0 && p.running[long] < p.longSlots()
	switch {
	case len(shorts) == 0 && !mayLong:
		return nil, 0, false
	case len(shorts) == 0:
		return longs[0], long, true
	case !mayLong || before(shorts[0], short, longs[0], long):
		return shorts[0], short, true
	}
	return longs[0], long, true
}

// pump grants free slots of a pool.
func (m *Machine) pump(now time.Time, p *pool) {
	for {
		f, kind, ok := p.choose()
		if !ok {
			return
		}
		index := f.queues[kind].head
		e := &m.entries[index]
		m.dequeue(index)
		if !e.deadline.IsZero() && !now.Before(e.deadline) {
			m.expired = append(m.expired, m.ticket(index))
			m.release(index)
			continue
		}
		m.grant(now, index)
	}
}

func (m *Machine) grant(now time.Time, index int32) {
	e := &m.entries[index]
	f := e.flow
	e.state, e.granted = running, now
	f.pool.running[kindOf(e.long)]++
	f.pool.virtual = max(f.pool.virtual, f.counter)
	f.charge(e.estimate)
	f.team.inFlight++
	f.team.bucket -= float64(e.estimate)
	m.granted = append(m.granted, m.ticket(index))
	m.refresh(now, f.team)
}
