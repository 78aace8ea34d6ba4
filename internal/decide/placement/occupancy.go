package placement

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Occupancy is what a host knows of the requests at an upstream.
type Occupancy struct {
	// Own is the number of this host's attempts in flight, Unanswered that of those
	// whose answers have not started.
	Own        int
	Unanswered int
	// Total estimates the attempts of all hosts. It is at least what the upstream
	// itself reported.
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
	return occupancy, true
}
