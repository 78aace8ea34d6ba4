package admission

import (
	"container/heap"
	"math"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// serviceSmoothing is the weight of one request in the moving averages of the
// service rate, which thus cover about 50 requests.
const serviceSmoothing = 0.02

// pool holds the slots of one pool of upstreams and the queues for them.
type pool struct {
	capacity      int
	capacityKnown bool
	running       [kindCount]int
	headroom      headroom
	ready         [kindCount]flowHeap
	// virtualTime is the counter of the flow that got the latest slot.
	virtualTime float64
	// waitingTokens is the estimated size of the queues, and activeWeight the
	// sum of the weights of the flows that wait. Estimates of the wait use both.
	waitingTokens [kindCount]core.Tokens
	activeWeight  int
	// meanTokens and meanSeconds are moving averages over finished requests;
	// their ratio is the service rate of one slot. The tokens are estimates, like
	// those of waiting requests, so that a constant error of estimation cancels.
	meanTokens, meanSeconds float64
	// holdingTime is the mean time in seconds for which a request of each kind
	// holds its slot.
	holdingTime [kindCount]float64
}

func newPool() *pool {
	return &pool{
		capacity: defaultSlots,
		ready:    [kindCount]flowHeap{{kind: short}, {kind: long}},
	}
}

func (p *pool) inUse() int {
	return p.running[short] + p.running[long]
}

// maxLongSlots returns how many slots long work may take: those that short work
// leaves free, between 1-maxLongFraction and maxLongFraction of the capacity. The
// lower bound keeps long work from starving under sustained short work, and long
// work may take the only slot of a pool of one.
func (p *pool) maxLongSlots() int {
	if p.capacity == 1 {
		return 1
	}
	most := int(maxLongFraction * float64(p.capacity))
	if !p.headroom.known {
		return most
	}
	least := max(1, int((1-maxLongFraction)*float64(p.capacity)))
	return min(most, max(least, int(math.Ceil(p.headroom.maxLong()))))
}

// releaseSlot frees the slot of an entry and updates the measured service rate.
func (p *pool) releaseSlot(e *entry, now time.Time, used core.Tokens) {
	kind := kindOf(e.long)
	p.running[kind]--
	seconds := now.Sub(e.granted).Seconds()
	if used <= 0 || seconds <= 0 {
		return
	}
	p.meanTokens += (float64(e.estimate) - p.meanTokens) * serviceSmoothing
	p.meanSeconds += (seconds - p.meanSeconds) * serviceSmoothing
	if p.holdingTime[kind] == 0 {
		p.holdingTime[kind] = seconds
	}
	p.holdingTime[kind] += (seconds - p.holdingTime[kind]) * serviceSmoothing
}

// slotRate returns the estimated tokens per second that one slot serves, or 0 if
// it is not known yet.
func (p *pool) slotRate() float64 {
	if p.meanSeconds == 0 {
		return 0
	}
	return p.meanTokens / p.meanSeconds
}

func (p *pool) addReady(f *flow, kind int) {
	if f.queues[kind].heapIndex < 0 && f.queues[kind].count > 0 {
		heap.Push(&p.ready[kind], f)
	}
}

func (p *pool) removeReady(f *flow, kind int) {
	if f.queues[kind].heapIndex >= 0 {
		heap.Remove(&p.ready[kind], f.queues[kind].heapIndex)
	}
}

// reorder restores the heap order after the priority of a flow changed.
func (p *pool) reorder(f *flow) {
	for kind := range p.ready {
		if index := f.queues[kind].heapIndex; index >= 0 {
			heap.Fix(&p.ready[kind], index)
		}
	}
}

// choose returns the flow and the kind of its queue that get the next slot, and
// false if there is no free slot or no eligible request.
func (p *pool) choose() (*flow, int, bool) {
	if p.inUse() >= p.capacity {
		return nil, 0, false
	}
	shorts, longs := p.ready[short].flows, p.ready[long].flows
	longAllowed := len(longs) > 0 && p.running[long] < p.maxLongSlots()
	switch {
	case len(shorts) == 0 && !longAllowed:
		return nil, 0, false
	case len(shorts) == 0:
		return longs[0], long, true
	case !longAllowed || before(shorts[0], short, longs[0], long):
		return shorts[0], short, true
	}
	return longs[0], long, true
}

// dispatch grants the free slots of a pool and drops expired requests on the way.
func (c *Controller) dispatch(now time.Time, p *pool) {
	for {
		f, kind, ok := p.choose()
		if !ok {
			return
		}
		index := f.queues[kind].head
		e := &c.entries[index]
		c.dequeue(index)
		if !e.deadline.IsZero() && !now.Before(e.deadline) {
			c.expired = append(c.expired, c.ticket(index))
			c.release(index)
			continue
		}
		c.grant(now, index)
	}
}

func (c *Controller) grant(now time.Time, index int32) {
	e := &c.entries[index]
	f := e.flow
	e.state, e.granted = running, now
	f.pool.running[kindOf(e.long)]++
	f.pool.virtualTime = max(f.pool.virtualTime, f.counter)
	f.charge(e.estimate)
	f.team.inFlight++
	f.team.bucket -= float64(e.estimate)
	c.granted = append(c.granted, c.ticket(index))
	c.refresh(now, f.team)
}
