package placement

import "github.com/peridotreel/peridotreel/internal/core"

// InFlight returns the number of this host's attempts at an upstream, those that wait for
// a connection included.
func (b *LoadBalancer) InFlight(id core.UpstreamID) int {
	if u := b.upstreams[id]; u != nil {
		return len(u.attempts)
	}
	return 0
}
