// Package match is the filter that finds the route, the service and the team
// of a request.
package match

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/matching"
	"github.com/peridotreel/peridotreel/internal/decide/quarantine"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/tasks/director"
)

const (
	// notReadyRetryAfter is the retry delay given to callers while the
	// configuration is missing, outdated or lacks a service for the route.
	notReadyRetryAfter = 500 * time.Millisecond
	// staleConfigAge is the age of the configuration above which a host does not
	// tell callers that a route or a key does not exist, as it may have missed
	// the version that added it. While the store is reachable, the configuration
	// is confirmed at least once a second.
	staleConfigAge = 2500 * time.Millisecond
)

const (
	// typicalStreamTime is how long most streams take.
	typicalStreamTime = 4 * time.Second
	// completionObjectives is the multiple of the objective within which most answers
	// that are not streamed are complete.
	completionObjectives = 4
)

// ConfigSource returns the active configuration.
type ConfigSource interface {
	Current(ctx context.Context) (director.ConfigState, error)
}

// Matched is a request with its route, service and team.
type Matched struct {
	Request     *gateway.Request
	ConfigState director.ConfigState
	Route       *gateway.Route
	Service     gateway.Service
	// Team is nil on public routes.
	Team *gateway.Team
	// Fingerprint identifies equal requests of the team, or of all callers on public
	// routes.
	Fingerprint string
	// Traits are what the request has in common with others that may crash upstreams.
	Traits []quarantine.Trait
	// Urgency ranges from 0, the most urgent, to 9.
	Urgency int
	// Deadline is the caller's deadline or the end of the route's timeout,
	// whichever is earlier.
	Deadline time.Time
}

// Filter matches requests.
type Filter struct {
	ConfigSource ConfigSource
}

// Apply returns the matched request or a *gateway.Refusal.
func (f *Filter) Apply(ctx context.Context, request *gateway.Request) (*Matched, error) {
	state, err := f.ConfigSource.Current(ctx)
	if err != nil || state.Config == nil {
		return nil, gateway.Refuse(gateway.NotReady, notReadyRetryAfter, "this host knows no configuration yet; retry later")
	}
	config := state.Config
	route, found := matching.Route(config, request.Host, request.Target)
	if !found {
		return nil, refuseUnknown(state, gateway.NoRoute, "no route for this host and path; check the address")
	}
	matched := &Matched{Request: request, ConfigState: state, Route: route, Deadline: request.Arrived.Add(route.Timeout)}
	if config.NeedsKeys && !route.Public {
		team, known := config.Keys[request.Key]
		if !known || request.Key == "" {
			return nil, refuseUnknown(state, gateway.BadKey, "the key is not known; use a key of the team's row")
		}
		matched.Team = team
	}
	name, found := matching.Service(route, request.ID)
	if !found {
		return nil, gateway.Refuse(gateway.NoUpstream, notReadyRetryAfter, "route %s leads to no service; the operator must name one", route.Name)
	}
	service, found := config.Services[name]
	if !found {
		service = gateway.Service{Name: name}
	}
	matched.Service = service
	matched.Fingerprint = request.Fingerprint(teamName(matched.Team))
	matched.Traits = quarantine.TraitsOf(request.Prompt, matched.Fingerprint, matched.Team == nil)
	matched.Urgency = matching.Urgency(matched.Team, route)
	if !request.Deadline.IsZero() && request.Deadline.Before(matched.Deadline) {
		matched.Deadline = request.Deadline
	}
	if stopsTooSoon(state, matched) {
		return nil, gateway.Refuse(gateway.Draining, gateway.DrainRetryAfter, "this host stops in %s, before the request's time is up; send it again, which reaches another host",
			state.ShutdownAt.Sub(request.Arrived).Round(time.Millisecond))
	}
	return matched, nil
}

func teamName(team *gateway.Team) core.TeamName {
	if team == nil {
		return ""
	}
	return team.Name
}

// stopsTooSoon reports whether the host stops before a request may be finished. While
// the balancer still sends callers here, a stream, or a request that may be repeated, is
// taken if most are finished in time: many callers return only once, and would be refused
// for the sake of the few that last longer.
func stopsTooSoon(state director.ConfigState, matched *Matched) bool {
	if state.ShutdownAt.IsZero() {
		return false
	}
	longest := matched.Deadline.Sub(matched.Request.Arrived)
	if matched.Request.Arrived.Before(state.ShutdownNoticed) {
		switch matched.Route.Retry {
		case gateway.StreamOnce, gateway.StreamResumable:
			longest = min(longest, typicalStreamTime)
		case gateway.Idempotent:
			longest = min(longest, matched.Route.Objective*completionObjectives)
		case gateway.RunOnce:
		}
	}
	return state.ShutdownAt.Sub(matched.Request.Arrived) < longest
}

// refuseUnknown returns a permanent refusal, or a temporary one if the
// configuration may be outdated.
func refuseUnknown(state director.ConfigState, kind gateway.RefusalKind, message string) error {
	if state.Age > staleConfigAge {
		return gateway.Refuse(gateway.NotReady, notReadyRetryAfter,
			"%s; this host has not confirmed its configuration for %s, retry later", message, state.Age.Round(time.Millisecond))
	}
	return gateway.Refuse(kind, 0, "%s", message)
}
