package admission

import (
	"math"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// burstSeconds is the size of a team's token bucket, in seconds at its rate.
	burstSeconds = 1.0
	// wakeMargin is added to the time of a wake, so that a rounded refill time
	// does not wake the team just before its bucket is positive.
	wakeMargin = time.Millisecond
)

// team is the state of one team on this host.
type team struct {
	row           *core.TeamRow
	allotment     float64
	allottedUntil time.Time
	flows         []*flow

	maxInFlight int
	queueLength int
	rate        float64
	inFlight    int
	waiting     int
	// bucket is the level of the token bucket, in tokens. A request is charged
	// when it is granted and may take the bucket below zero; otherwise a request
	// larger than the bucket would never run.
	bucket     float64
	refilledAt time.Time
	throttled  bool
	// requestedTokens is the exponentially decaying sum of the tokens that the
	// team asked for.
	requestedTokens float64
	requestedAt     time.Time

	wakeAt    time.Time
	wakeIndex int
}

func newTeam(now time.Time, row *core.TeamRow, hosts int) *team {
	t := &team{row: row, refilledAt: now, requestedAt: now, wakeIndex: -1}
	t.applyLimits(now, hosts)
	t.bucket = t.rate * burstSeconds
	return t
}

// applyLimits computes this host's fraction of the team's limits. Counts are
// rounded up, so that every host can serve a small team.
func (t *team) applyLimits(now time.Time, hosts int) {
	t.refill(now)
	fraction := 1 / float64(hosts)
	if now.Before(t.allottedUntil) {
		fraction = t.allotment
	}
	t.maxInFlight = max(1, int(math.Ceil(fraction*float64(t.row.MaxInFlight))))
	t.queueLength = int(math.Ceil(fraction * float64(t.row.QueueLength)))
	t.rate = fraction * float64(t.row.TokensPerSecond)
}

func (t *team) expireAllotment(now time.Time, hosts int) {
	if !t.allottedUntil.IsZero() && !now.Before(t.allottedUntil) {
		t.allottedUntil = time.Time{}
		t.applyLimits(now, hosts)
	}
}

func (t *team) refill(now time.Time) {
	if elapsed := now.Sub(t.refilledAt); elapsed > 0 {
		t.bucket = min(t.rate*burstSeconds, t.bucket+t.rate*elapsed.Seconds())
		t.refilledAt = now
	}
}

func (t *team) flow(p *pool) *flow {
	for _, f := range t.flows {
		if f.pool == p {
			return f
		}
	}
	f := &flow{team: t, pool: p}
	for kind := range f.queues {
		f.queues[kind] = queue{head: noEntry, tail: noEntry, heapIndex: -1}
	}
	t.flows = append(t.flows, f)
	return f
}

// refresh puts a team's flows into the ready heaps, or takes them out, as its
// limits permit, and schedules the team's next wake.
func (c *Controller) refresh(now time.Time, t *team) {
	t.expireAllotment(now, c.hosts)
	t.refill(now)
	overRate, wasThrottled := t.bucket <= 0, t.throttled
	t.throttled = overRate || t.inFlight >= t.maxInFlight
	for _, f := range t.flows {
		if wasThrottled && !t.throttled {
			// A team can't catch up on slots that its own limits denied it.
			f.advanceToVirtualTime()
		}
		for kind := range f.queues {
			if t.throttled {
				f.pool.removeReady(f, kind)
			} else {
				f.pool.addReady(f, kind)
			}
		}
	}
	switch {
	case !overRate || t.waiting == 0:
		c.cancelWake(t)
	case t.rate > 0:
		c.scheduleWake(t, now.Add(seconds(-t.bucket/t.rate)+wakeMargin))
	case now.Before(t.allottedUntil):
		// The allotment is 0; an even fraction applies when its lease expires.
		c.scheduleWake(t, t.allottedUntil)
	default:
		c.cancelWake(t)
	}
}

// resume dispatches a team's waiting requests in all pools after its limits
// changed.
func (c *Controller) resume(now time.Time, t *team) {
	c.refresh(now, t)
	if t.throttled {
		return
	}
	for _, f := range t.flows {
		c.dispatch(now, f.pool)
	}
}
