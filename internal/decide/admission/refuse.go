package admission

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/fault"
)

const (
	// shortQueuePart is the part of its deadline that short work may spend
	// in the queue. A longer queue serves no more, it only makes all late.
	shortQueuePart = 0.05
	// longQueuePart is the same for long work, which may be slow.
	longQueuePart = 0.50
	// minRetryAfter and maxRetryAfter bound what callers are told.
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
)

// Refusal says why a request was not let in.
type Refusal struct {
	Code fault.Code
	// TeamLimit is true if the team's own limits are the reason.
	TeamLimit bool
	// Wait is the estimated time in the queue.
	Wait       time.Duration
	RetryAfter time.Duration
}

// Fault returns the error that callers get.
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

func refuse(code fault.Code, wait, excess time.Duration) *Refusal {
	// Whole seconds, as the Retry-After header has no fractions.
	after := (excess + time.Second - 1).Truncate(time.Second)
	return &Refusal{Code: code, Wait: wait, RetryAfter: max(minRetryAfter, min(maxRetryAfter, after))}
}

// judge returns why a request must be refused now, or nil.
func (m *Machine) judge(now time.Time, f *flow, request *Request) *Refusal {
	p := f.pool
	own, all := m.teamWait(now, f), p.queueWait(f, kindOf(request.Long))
	wait := max(own, all)
	switch {
	case p.known && p.capacity == 0:
		return refuse(fault.NoUpstream, wait, minRetryAfter)
	case m.waiting >= maxWaiting || len(m.entries)-len(m.unused) >= maxEntries:
		return refuse(fault.Overloaded, wait, wait)
	case wait == 0:
		return nil
	}
	allowed := p.allowedWait(now, request)
	switch {
	case f.team.waiting >= f.team.queueLength, own > allowed:
		refusal := refuse(fault.Overloaded, wait, wait-min(wait, allowed))
		refusal.TeamLimit = true
		return refusal
	case all > allowed:
		return refuse(fault.DeadlineTooShort, wait, wait-allowed)
	}
	return nil
}

// allowedWait returns how long a request may wait: a part of its deadline, and
// no longer than leaves time to serve it.
func (p *pool) allowedWait(now time.Time, request *Request) time.Duration {
	left := request.Deadline.Sub(now)
	part := shortQueuePart
	if request.Long {
		part = longQueuePart
	}
	service := time.Duration(0)
	if rate := p.slotRate(); rate > 0 {
		service = seconds(float64(request.Estimate) / rate)
	}
	return min(time.Duration(part*float64(left)), left-service)
}

// teamWait estimates how long the team's own limits make a request wait: its
// rate, and its requests in flight. 0 means that they permit it at once.
func (m *Machine) teamWait(now time.Time, f *flow) time.Duration {
	t, p := f.team, f.pool
	t.fill(now)
	ahead := float64(f.queues[short].tokens + f.queues[long].tokens)
	wait := time.Duration(0)
	if t.bucket <= 0 && t.rate > 0 {
		wait = seconds((ahead - t.bucket) / t.rate)
	}
	if t.inFlight < t.maxInFlight {
		return wait
	}
	next := max(p.hold[short], p.hold[long]) / float64(t.maxInFlight)
	if rate := p.slotRate() * float64(t.maxInFlight); rate > 0 {
		next += ahead / rate
	}
	return max(wait, unmeasured, seconds(next))
}

// unmeasured stands for a wait of unknown length: one is certain, but only
// the queue's length may refuse it.
const unmeasured = time.Duration(1)

// queueWait estimates the wait for a slot beside the other teams from what
// waits before the request and the measured service rate. 0 means that a slot
// is free.
func (p *pool) queueWait(f *flow, kind int) time.Duration {
	slots := p.longSlots()
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
		return unmeasured
	}
	weight, active := f.team.row.Weight, p.activeWeight
	if f.waiting() == 0 {
		active += weight
	}
	fair := float64(f.queues[kind].tokens) * float64(active) / float64(weight)
	ahead := min(fair, float64(p.waitingTokens[kind]))
	// With all slots busy, the next gets free after the mean hold divided by
	// the slots.
	next := p.hold[kind] / float64(slots)
	return max(unmeasured, seconds(ahead/rate+next))
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, 1e9) * float64(time.Second))
}
