package admission

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/fault"
)

const (
	// maxShortQueueFraction is the fraction of the time to its deadline that short
	// work may spend in the queue. A longer queue would raise latency and not
	// throughput.
	maxShortQueueFraction = 0.05
	// maxLongQueueFraction is the same for long work, which tolerates more delay.
	maxLongQueueFraction = 0.50
	// minRetryAfter and maxRetryAfter bound the Retry-After sent to callers.
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
)

// Refusal says why a request was refused and when to retry it.
type Refusal struct {
	Code fault.Code
	// TeamLimit is true if the team's own limits caused the refusal.
	TeamLimit bool
	// Wait is the estimated time in the queue.
	Wait       time.Duration
	RetryAfter time.Duration
}

// Fault returns the error that is sent to the caller.
func (r *Refusal) Fault() *fault.Error {
	var err *fault.Error
	switch {
	case r.Code == fault.NoUpstream:
		err = fault.Refuse(r.Code, "no upstream serves this work at the moment; retry later")
	case r.TeamLimit:
		err = fault.Refuse(r.Code, "the team's limits are used up; retry later or raise its max_in_flight, tokens_per_second or queue_length")
	case r.Code == fault.DeadlineTooShort:
		err = fault.Refuse(r.Code, "the work would wait about %s, too long for its deadline; retry later or set a longer deadline",
			r.Wait.Round(time.Millisecond))
	default:
		err = fault.Refuse(r.Code, "this host has more requests than it can queue; retry later")
	}
	return err.WithRetryAfter(r.RetryAfter)
}

func newRefusal(code fault.Code, wait, excess time.Duration) *Refusal {
	// Round up to whole seconds: the Retry-After header has no fractions.
	after := (excess + time.Second - 1).Truncate(time.Second)
	return &Refusal{Code: code, Wait: wait, RetryAfter: max(minRetryAfter, min(maxRetryAfter, after))}
}

// checkAdmission returns the refusal of a request that must not be queued, or
// nil.
func (c *Controller) checkAdmission(now time.Time, f *flow, request *Request) *Refusal {
	p := f.pool
	limitWait, poolWait := c.teamWait(now, f), p.queueWait(f, kindOf(request.Long))
	wait := max(limitWait, poolWait)
	switch {
	case p.capacityKnown && p.capacity == 0:
		return newRefusal(fault.NoUpstream, wait, minRetryAfter)
	case c.waiting >= maxWaiting || len(c.entries)-len(c.freeList) >= maxEntries:
		return newRefusal(fault.Overloaded, wait, wait)
	case wait == 0:
		return nil
	}
	allowed := p.allowedWait(now, request)
	switch {
	case f.team.waiting >= f.team.queueLength, limitWait > allowed:
		refusal := newRefusal(fault.Overloaded, wait, wait-min(wait, allowed))
		refusal.TeamLimit = true
		return refusal
	case poolWait > allowed:
		return newRefusal(fault.DeadlineTooShort, wait, wait-allowed)
	}
	return nil
}

// allowedWait returns how long a request may wait in the queue: a fraction of the
// time to its deadline, and short enough to leave time to serve it.
func (p *pool) allowedWait(now time.Time, request *Request) time.Duration {
	left := request.Deadline.Sub(now)
	fraction := maxShortQueueFraction
	if request.Long {
		fraction = maxLongQueueFraction
	}
	service := time.Duration(0)
	if rate := p.slotRate(); rate > 0 {
		service = seconds(float64(request.Estimate) / rate)
	}
	return min(time.Duration(fraction*float64(left)), left-service)
}

// teamWait estimates how long the team's own limits, on its rate and its requests
// in flight, delay a request. 0 means that they permit it at once.
func (c *Controller) teamWait(now time.Time, f *flow) time.Duration {
	t, p := f.team, f.pool
	t.refill(now)
	ahead := float64(f.queues[short].tokens + f.queues[long].tokens)
	wait := time.Duration(0)
	if t.bucket <= 0 && t.rate > 0 {
		wait = seconds((ahead - t.bucket) / t.rate)
	}
	if t.inFlight < t.maxInFlight {
		return wait
	}
	next := max(p.holdingTime[short], p.holdingTime[long]) / float64(t.maxInFlight)
	if rate := p.slotRate() * float64(t.maxInFlight); rate > 0 {
		next += ahead / rate
	}
	return max(wait, unknownWait, seconds(next))
}

// unknownWait stands for a wait of unknown length. It is nonzero, since the
// request must wait, and so short that only the limit on the queue's length can
// refuse the request.
const unknownWait = time.Duration(1)

// queueWait estimates how long a request waits for a slot in competition with
// the other teams, from the tokens queued ahead of it and the measured service
// rate. 0 means that a slot is free.
func (p *pool) queueWait(f *flow, kind int) time.Duration {
	slots := p.maxLongSlots()
	if kind == short {
		slots = p.capacity - min(p.running[long], slots)
	}
	free := p.inUse() < p.capacity && (kind == short || p.running[long] < slots)
	if free && p.ready[kind].Len() == 0 {
		return 0
	}
	slots = max(1, slots)
	rate := p.slotRate() * float64(slots)
	if rate == 0 {
		return unknownWait
	}
	weight, active := f.team.row.Weight, p.activeWeight
	if f.waiting() == 0 {
		active += weight
	}
	fairShareTokens := float64(f.queues[kind].tokens) * float64(active) / float64(weight)
	ahead := min(fairShareTokens, float64(p.waitingTokens[kind]))
	// With all slots busy, the next one becomes free after the mean holding time
	// divided by the number of slots.
	next := p.holdingTime[kind] / float64(slots)
	return max(unknownWait, seconds(ahead/rate+next))
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, 1e9) * float64(time.Second))
}
