// Package matching finds the route of a request and the team of its key.
package matching

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

// Route returns the route of a host with the longest prefix that begins the
// path. The path is compared as received, without decoding or cleaning.
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

// Service returns the service for a request on a route with weighted services.
// The choice depends on the request's id alone, so that a repeat agrees.
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

// leastUrgency is the largest value of the urgency that upstreams know.
const leastUrgency = 9

// ranksPerTeam is the number of ranks that routes have; a team's rank goes
// before its routes' ranks.
const ranksPerTeam = 3

// Urgency combines the ranks of team and route, the team's first.
func Urgency(team *gateway.Team, route *gateway.Route) int {
	urgency := min(max(route.Rank, 0), ranksPerTeam-1)
	if team != nil {
		urgency += ranksPerTeam * max(team.Rank, 0)
	}
	return min(urgency, leastUrgency)
}
