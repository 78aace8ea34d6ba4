package admission

import (
	"math"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// bucketSeconds of a team's rate may be used at once.
	bucketSeconds = 1.0
	// wakeSlack delays a wake a little, so that rounding of the refill time
	// does not wake the team just before its bucket is positive.
	wakeSlack = time.Millisecond
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
	// bucket is in tokens. Work is charged when granted and may take the
	// bucket below zero, so that one large request is not stuck forever.
	bucket   float64
	filledAt time.Time
	parked   bool
	// asked is the decaying sum of tokens that the team asked for.
	asked   float64
	askedAt time.Time

	wakeAt    time.Time
	wakePlace int
}

func newTeam(now time.Time, row *core.TeamRow, hosts int) *team {
	t := &team{row: row, filledAt: now, askedAt: now, wakePlace: -1}
	t.applyLimits(now, hosts)
	t.bucket = t.rate * bucketSeconds
	return t
}

// applyLimits computes this host's part of the team's limits. Counts are
// rounded up, so that each host may serve a small team at all.
func (t *team) applyLimits(now time.Time, hosts int) {
	t.fill(now)
	part := 1 / float64(hosts)
	if now.Before(t.allottedUntil) {
		part = t.allotment
	}
	t.maxInFlight = max(1, int(math.Ceil(part*float64(t.row.MaxInFlight))))
	t.queueLength = int(math.Ceil(part * float64(t.row.QueueLength)))
	t.rate = part * float64(t.row.TokensPerSecond)
}

func (t *team) expireAllotment(now time.Time, hosts int) {
	if !t.allottedUntil.IsZero() && !now.Before(t.allottedUntil) {
		t.allottedUntil = time.Time{}
		t.applyLimits(now, hosts)
	}
}

func (t *team) fill(now time.Time) {
	if elapsed := now.Sub(t.filledAt); elapsed > 0 {
		t.bucket = min(t.rate*bucketSeconds, t.bucket+t.rate*elapsed.Seconds())
		t.filledAt = now
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
		f.queues[kind] = queue{head: none, tail: none, place: -1}
	}
	t.flows = append(t.flows, f)
	return f
}

// refresh makes a team's flows eligible, or not, as its limits permit.
func (m *Machine) refresh(now time.Time, t *team) {
	t.expireAllotment(now, m.hosts)
	t.fill(now)
	overRate, wasParked := t.bucket <= 0, t.parked
	t.parked = overRate || t.inFlight >= t.maxInFlight
	for _, f := range t.flows {
		if wasParked && !t.parked {
			// Slots that the team's own limits kept from it are not owed.
			f.lift()
		}
		for kind := range f.queues {
			if t.parked {
				f.pool.unready(f, kind)
			} else {
				f.pool.makeReady(f, kind)
			}
		}
	}
	switch {
	case !overRate || t.waiting == 0:
		m.unwake(t)
	case t.rate > 0:
		m.wake(t, now.Add(seconds(-t.bucket/t.rate)+wakeSlack))
	case now.Before(t.allottedUntil):
		// Nothing is allotted; an even part applies after the lease.
		m.wake(t, t.allottedUntil)
	default:
		m.unwake(t)
	}
}

// resume lets a team's work go on in all pools after its limits changed.
func (m *Machine) resume(now time.Time, t *team) {
	m.refresh(now, t)
	if t.parked {
		return
	}
	for _, f := range t.flows {
		m.pump(now, f.pool)
	}
}
