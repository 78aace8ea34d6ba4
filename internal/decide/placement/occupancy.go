package placement

import (
	"math"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// reportFadesIn is the time in which the requests of others in an upstream's own report
// are assumed to end, one after the other. A long queue takes seconds to be worked off, and
// a host that sends nothing because of a report gets no newer one.
const reportFadesIn = 10 * time.Second

// Occupancy is what a host knows of the requests at an upstream.
type Occupancy struct {
	// Own is the number of this host's attempts in flight, Unanswered that of those
	// whose answers have not started.
	Own        int
	Unanswered int
	// Total estimates the attempts of all hosts. It is at least what is left of the
	// requests that the upstream itself reported.
	Total int
	// Slots is the number of requests that the upstream runs at once.
	Slots int
}

// Occupancy returns the occupancy of an upstream, and false if it is not listed.
func (b *LoadBalancer) Occupancy(id core.UpstreamID, now time.Time) (Occupancy, bool) {
	u := b.upstreams[id]
	if u == nil {
		return Occupancy{}, false
	}
	occupancy := Occupancy{Own: len(u.attempts), Slots: u.upstream.Slots}
	if now.Sub(u.loadAt) < maxLoadAge && u.load.Slots > 0 {
		occupancy.Slots = min(occupancy.Slots, u.load.Slots)
	}
	for _, sent := range u.attempts {
		if !sent.started {
			occupancy.Unanswered++
		}
	}
	occupancy.Total, _ = b.estimateLoad(u, now)
	if age := now.Sub(u.loadAt); age < reportFadesIn {
		others := float64(u.load.Running+u.load.Waiting-u.ownAtLoad) * (1 - float64(age)/float64(reportFadesIn))
		occupancy.Total = max(occupancy.Total, occupancy.Own+int(math.Ceil(others)))
	}
	return occupancy, true
}
