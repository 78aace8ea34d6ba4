package admission

import (
	"math"
	"time"

	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
)

const (
	// reserveDeviations is how many standard deviations of the short work in
	// flight are kept free beyond its mean. Three cover 99.9% if all places
	// were one batch; the fourth covers that each upstream has a batch of its
	// own and that its load is known only as of the last answer.
	reserveDeviations = 4
	// reserveTime is the time constant of the averages. It is well beyond the
	// time that short work keeps its place and below that of long work.
	reserveTime = 2 * time.Second
)

// reserve tells how many places long work leaves to short work. It follows
// the square-root rule of staffing (Halfin and Whitt, "Heavy-Traffic Limits
// for Queues with Many Exponential Servers", Operations Research 1981).
type reserve struct {
	known   bool
	at      time.Time
	sharers float64
	// notShort is the averaged part of the places of this host that short work
	// leaves; shortMean is the averaged short work in flight.
	notShort  float64
	shortMean float64
}

func (r *reserve) note(now time.Time, free float64, sharers int, running [kinds]int) {
	part := 1.0
	if r.known {
		part = 1 - math.Exp(-float64(max(0, now.Sub(r.at)))/float64(reserveTime))
	}
	r.known, r.at, r.sharers = true, now, float64(max(1, sharers))
	r.notShort += (float64(running[long]) + free - r.notShort) * part
	r.shortMean += (float64(running[short]) - r.shortMean) * part
}

// limit returns how many places long work may take. The short work of all
// sharers varies less, in relation, than that of one host.
func (r *reserve) limit() float64 {
	return r.notShort - reserveDeviations*math.Sqrt(r.shortMean/r.sharers)
}

// SetFree tells this host's even part of the free places at the upstreams of a
// pool and how many hosts share them. A pool without this keeps a fixed part
// of its slots from long work.
func (m *Machine) SetFree(now time.Time, name upstreams.Pool, free float64, sharers int) {
	pool := m.pool(name)
	pool.reserve.note(now, free, sharers, pool.running)
}
