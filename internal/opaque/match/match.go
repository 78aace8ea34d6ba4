// Package match is the filter that finds the route, the service and the team
// of a request.
package match

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/decide/matching"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/tasks/director"
)

const (
	// notReadyRetry is given by a host that knows no configuration yet.
	notReadyRetry = 500 * time.Millisecond
	// behindAge is the age from which a host does not say that a route or a key
	// does not exist, as it may have missed the version that added it. The
	// followed table is confirmed at least once a second while it can be read.
	behindAge = 2500 * time.Millisecond
	// streamTime is the time that most streams need; a host that ends sooner
	// takes no new ones.
	streamTime = 4 * time.Second
	// wholeObjectives is the multiple of the objective within which other
	// answers are whole.
	wholeObjectives = 4
	// drainRetry is given by a host that ends too soon for a request.
	drainRetry = 50 * time.Millisecond
)

// Beliefs returns the configuration in force.
type Beliefs interface {
	Current(ctx context.Context) (director.Belief, error)
}

// Matched is a request with what the configuration says about it.
type Matched struct {
	Request *gateway.Request
	Belief  director.Belief
	Route   *gateway.Route
	Service gateway.Service
	// Team is nil on public routes.
	Team *gateway.Team
	// Urgency is from 0, the most urgent, to 9.
	Urgency int
	// Deadline is the end of the caller's patience or of the route's timeout.
	Deadline time.Time
}

// Filter matches requests.
type Filter struct {
	Beliefs Beliefs
}

// Apply returns the matched request or a *gateway.Refusal.
func (f *Filter) Apply(ctx context.Context, request *gateway.Request) (*Matched, error) {
	belief, err := f.Beliefs.Current(ctx)
	if err != nil || belief.Config == nil {
		return nil, gateway.Refuse(gateway.NotReady, notReadyRetry, "this host knows no configuration yet; retry later")
	}
	config := belief.Config
	route, found := matching.Route(config, request.Host, request.Target)
	if !found {
		return nil, unknown(belief, gateway.NoRoute, "no route for this host and path; check the address")
	}
	matched := &Matched{Request: request, Belief: belief, Route: route, Deadline: request.Arrived.Add(route.Timeout)}
	if endsTooSoon(belief, route, request.Arrived) {
		return nil, gateway.Refuse(gateway.Draining, drainRetry, "this host ends in %s; retry on another", belief.Leaves.Sub(request.Arrived).Round(time.Millisecond))
	}
	if config.NeedsKeys && !route.Public {
		team, known := config.Keys[request.Key]
		if !known || request.Key == "" {
			return nil, unknown(belief, gateway.BadKey, "the key is not known; use a key of the team's row")
		}
		matched.Team = team
	}
	name, found := matching.Service(route, request.ID)
	if !found {
		return nil, gateway.Refuse(gateway.NoUpstream, notReadyRetry, "route %s leads to no service; the operator must name one", route.Name)
	}
	service, found := config.Services[name]
	if !found {
		service = gateway.Service{Name: name}
	}
	matched.Service = service
	matched.Urgency = matching.Urgency(matched.Team, route)
	if !request.Deadline.IsZero() && request.Deadline.Before(matched.Deadline) {
		matched.Deadline = request.Deadline
	}
	return matched, nil
}

// endsTooSoon reports whether the host ends before a request's answer would.
func endsTooSoon(belief director.Belief, route *gateway.Route, now time.Time) bool {
	if belief.Leaves.IsZero() {
		return false
	}
	needed := route.Objective * wholeObjectives
	if route.Retry.Stream() {
		needed = streamTime
	}
	needed = min(needed, route.Timeout)
	return belief.Leaves.Sub(now) < needed
}

// unknown refuses for good, or for now if the configuration may be old.
func unknown(belief director.Belief, kind gateway.RefusalKind, message string) error {
	if belief.Age > behindAge {
		return gateway.Refuse(gateway.NotReady, notReadyRetry,
			"%s; this host has not confirmed its configuration for %s, retry later", message, belief.Age.Round(time.Millisecond))
	}
	return gateway.Refuse(kind, 0, "%s", message)
}
