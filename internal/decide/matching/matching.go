// Package matching finds the route of a request and the team of its key.
package matching

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

// Route returns the route for a host with the longest prefix that matches the
// path. The path is compared as received, without decoding or normalization.
func Route(config *gateway.Config, host, target string) (*gateway.Route, bool) {
	path, _, _ := strings.Cut(target, "?")
	name, _, _ := strings.Cut(host, ":")
	var best *gateway.Route
	for i := range config.Routes {
		route := &config.Routes[i]
		if !strings.EqualFold(route.Host, name) && !strings.EqualFold(route.Host, host) {
			continue
		}
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best, best != nil
}

// Service picks one of a route's weighted services. The choice depends only on
// the route and the request id, so that a repeat goes to the same service.
func Service(route *gateway.Route, requestID string) (core.ServiceName, bool) {
	total := 0
	for _, service := range route.Services {
		total += max(service.Weight, 0)
	}
	if total == 0 {
		return "", false
	}
	point := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, service := range route.Services {
		if point -= max(service.Weight, 0); point < 0 {
			return service.Service, true
		}
	}
	return "", false
}

// leastUrgency is the least urgent value that upstreams accept; 0 is the most
// urgent.
const leastUrgency = 9

// routeRanks is the number of distinct route ranks.
const routeRanks = 3

// Urgency combines the ranks of a team and a route; the team's rank takes
// precedence.
func Urgency(team *gateway.Team, route *gateway.Route) int {
	urgency := min(max(route.Rank, 0), routeRanks-1)
	if team != nil {
		urgency += routeRanks * max(team.Rank, 0)
	}
	return min(urgency, leastUrgency)
}
