package admission

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/fault"
)

const (
	// shortQueuePart is the part of its deadline that short work may spend
	// in the queue. A longer queue serves no more, it only makes all late.
	shortQueuePart = 0.10
	// longQueuePart is the same for long work, which may be slow.
	longQueuePart = 0.50
	// minRetryAfter and maxRetryAfter bound what callers are told.
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
)

// Refusal says why a request was not let in.
type Refusal struct {
	Code fault.Code
	// Wait is the estimated time in the queue.
	Wait       time.Duration
	RetryAfter time.Duration
}

// Fault returns the error that callers get.
func (r *Refusal) Fault() *fault.Error {
	var err *fault.Error
	switch r.Code {
	case fault.NoUpstream:
		err = fault.Refuse(r.Code, "no upstream serves this work at the moment; retry later")
	case fault.DeadlineTooShort:
		err = fault.Refuse(r.Code, "the work would wait about %s, too long for its deadline; retry later or set a longer deadline",
			r.Wait.Round(time.Millisecond))
	default:
		err = fault.Refuse(r.Code, "the team's queue or the host's is full; retry later or raise the team's queue_length")
	}
	return err.After(r.RetryAfter)
}

func refuse(code fault.Code, wait, excess time.Duration) *Refusal {
	// Whole seconds, as the Retry-After header has no fractions.
	after := (excess + time.Second - 1).Truncate(time.Second)
	return &Refusal{Code: code, Wait: wait, RetryAfter: max(minRetryAfter, min(maxRetryAfter, after))}
}

// judge returns why a request must be refused now, or nil.
func (m *Machine) judge(now time.Time, f *flow, request *Request) *Refusal {
	wait := m.estimateWait(now, f, request)
	p := f.pool
	switch {
	case p.known && p.capacity == 0:
		return refuse(fault.NoUpstream, wait, minRetryAfter)
	case m.waiting >= maxWaiting || len(m.entries)-len(m.unused) >= maxRunning:
		return refuse(fault.Overloaded, wait, wait)
	case wait == 0:
		return nil
	case f.team.waiting >= f.team.queueLength:
		return refuse(fault.Overloaded, wait, wait)
	}
	if allowed := p.allowedWait(now, request); wait > allowed {
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

// estimateWait estimates the time in the queue from what waits before the
// request and the measured service rate; 0 means that it runs at once.
func (m *Machine) estimateWait(now time.Time, f *flow, request *Request) time.Duration {
	p, t := f.pool, f.team
	t.fill(now)
	limited := time.Duration(0)
	if t.bucket <= 0 && t.rate > 0 {
		ahead := float64(f.queues[short].tokens + f.queues[long].tokens)
		limited = seconds((ahead - t.bucket) / t.rate)
	}
	kind := kindOf(request.Long)
	slots := p.capacity
	if kind == long {
		slots = p.longSlots()
	} else {
		slots -= min(p.running[long], p.longSlots())
	}
	slotsFree := p.inUse() < p.capacity && (kind == short || p.running[long] < slots)
	if slotsFree && t.inFlight < t.maxInFlight && f.queues[kind].count == 0 {
		return limited
	}
	if t.inFlight >= t.maxInFlight {
		limited = max(limited, p.teamWait(f))
	}
	return max(limited, p.queueWait(f, kind, max(1, slots)))
}

// teamWait estimates the wait for one of the team's own places in flight.
func (p *pool) teamWait(f *flow) time.Duration {
	rate := p.slotRate() * float64(f.team.maxInFlight)
	if rate == 0 {
		return 1
	}
	ahead := float64(f.queues[short].tokens + f.queues[long].tokens)
	next := max(p.hold[short], p.hold[long]) / float64(f.team.maxInFlight)
	return max(1, seconds(ahead/rate+next))
}

// queueWait estimates the wait for one of so many slots.
func (p *pool) queueWait(f *flow, kind, slots int) time.Duration {
	rate := p.slotRate() * float64(slots)
	if rate == 0 {
		// Nothing was measured yet; only the queue's length can refuse.
		return 1
	}
	weight, active := f.team.row.Weight, p.activeWeight
	if f.waiting() == 0 {
		active += weight
	}
	fair := float64(f.queues[kind].tokens) * float64(active) / float64(weight)
	ahead := min(fair, float64(p.waitingTokens[kind]))
	// A slot gets free after the mean hold divided by the slots in turn.
	next := p.hold[kind] / float64(slots)
	return max(1, seconds(ahead/rate+next))
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, 1e9) * float64(time.Second))
}
