package director

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
	"github.com/peridotreel/peridotreel/internal/decide/quarantine"
	"github.com/peridotreel/peridotreel/internal/decide/room"
	"github.com/peridotreel/peridotreel/internal/task"
)

// PlacementRequest is a request for the upstream of an attempt.
type PlacementRequest struct {
	placement.Query
	// Bytes is the length of the request's body.
	Bytes int64
	// Traits are what the request has in common with others that may crash upstreams.
	Traits []quarantine.Trait
	// Retry is true if an earlier attempt of the request may have reached an
	// upstream.
	Retry bool
	// First is true for the first placement of a request.
	First bool
	// BeginsResumable is true for an attempt that begins a stream which the caller may
	// resume.
	BeginsResumable bool
	// ClosedEarly is true if the connection of the latest attempt ended before the
	// upstream answered.
	ClosedEarly bool
	// MaxWait is the longest expected wait with which a request is sent for the
	// first time, 0 for any. A stream that has begun is resumed in any case.
	MaxWait time.Duration
	// Caller decides, with MaxWait, whether the request is sent while engines are short.
	Caller Caller
}

// PlacementOutcome tells whether an attempt may be sent, and why not.
type PlacementOutcome uint8

// The outcomes.
const (
	// Found means that the attempt may be sent to the chosen upstream.
	Found PlacementOutcome = iota + 1
	// NoUpstream means that no upstream is left.
	NoUpstream
	// RetryBudgetExhausted means that the service's retry budget allows no further
	// retry.
	RetryBudgetExhausted
	// Held means that a trait of the request is quarantined, as described by
	// Placed.Hold.
	Held
	// Suspected means that the request is not repeated, because it may have crashed
	// its upstream: one of its traits was in flight at another crash.
	Suspected
	// Limited means that upstreams are left, but the request limits that they name
	// allow this host no request now, they want none for a time, they are brittle and
	// have no room, they are cold, or they hold as many bytes of this host's requests as they
	// may.
	Limited
	// Saturated means that engines have no room for the request, for the reason that
	// Placed.Cause tells.
	Saturated
	// Evacuated means that all upstreams of the service are in evacuated zones.
	Evacuated
)

// Placed is the answer to a PlacementRequest.
type Placed struct {
	Outcome PlacementOutcome
	// Choice is set if Outcome is Found.
	placement.Choice
	// Attempt is the number of the attempt, to be passed to Observe.
	Attempt uint64
	// MaxConnections limits this host's connections to the upstream.
	MaxConnections int
	// Repeat is true if an equal request was in flight at a crash before.
	Repeat bool
	// ListedAt is when the store last confirmed the list of upstreams, and ListOutdated
	// true if it has not for longer than it holds a call without changes.
	ListedAt     time.Time
	ListOutdated bool
	// Tunnel is true if this host does not reach the service itself, so that a new
	// connection must be set up through another host.
	Tunnel bool
	// Hold is set if Outcome is Held.
	Hold quarantine.Hold
	// RetryAfter is when a request may be sent at the earliest if Outcome is Held,
	// Limited, Saturated or Evacuated, 0 if that is not known.
	RetryAfter time.Duration
	// NoReturn is true if the caller would not be served if it returned.
	NoReturn bool
	Cause    room.Cause
}

// Place chooses the upstream for an attempt and adds the attempt to its load.
func (d *Director) Place(ctx context.Context, request PlacementRequest) (Placed, error) {
	return task.Ask(ctx, d.inbox, func(reply chan<- Placed) any { return placeAttempt{request, reply} })
}

// saturatedDelay is the delay sent while the upstreams are saturated, as a multiple
// of the expected wait: requests that return as soon as the present queue is done
// meet those that arrived meanwhile, and are refused again.
const saturatedDelay = 2

// place chooses the upstream for an attempt, or tells why it is not sent.
func (d *Director) place(ctx context.Context, request PlacementRequest, now time.Time) Placed {
	if request.First {
		d.retriesOf(request.Service).budget.RecordRequest(d.config.RetryBound, now)
	}
	if hold, retryAfter, held := d.held(request.Traits, now); held {
		return Placed{Outcome: Held, Hold: hold, RetryAfter: retryAfter}
	}
	if request.ClosedEarly && d.quarantine.Suspects(request.Traits, request.Excluded) {
		return Placed{Outcome: Suspected}
	}
	if d.evacuations.AllEvacuated(request.Service) {
		return d.refuseEvacuated()
	}
	request.Usable = func(id core.UpstreamID) bool {
		wait, usable := d.wait(id, now)
		return usable && wait == 0 && d.unanswered.MaySend(id, request.Bytes) && (!request.BeginsResumable || d.mayBegin(id, now)) && d.hasRoom(id, request.Retry, now)
	}
	choice, found := d.chooseWarmFirst(request, now)
	if !found {
		if wait, limited := d.limitedFor(request.Query, now); limited {
			d.refused++
			return Placed{Outcome: Limited, RetryAfter: d.returnDelay(request.Service, wait, now)}
		}
		return Placed{Outcome: NoUpstream}
	}
	if refused, saturated := d.saturated(request, choice, now); saturated {
		return refused
	}
	if request.Retry && !d.allowRetry(request.Service, now) {
		return Placed{Outcome: RetryBudgetExhausted}
	}
	tunnel := d.reach.CutOff(request.Service, now)
	if tunnel {
		d.probe(ctx, request.Service, "", now)
	}
	d.lastAttempt++
	d.balancer.Begin(choice.Upstream.ID, d.lastAttempt, request.Prompt, now)
	d.beginRoom(request, now)
	connections := d.beginConnection(choice.Upstream.ID, request.Service, now)
	d.unanswered.Sent(choice.Upstream.ID, d.lastAttempt, request.Bytes)
	d.limits.Sent(choice.Upstream.ID, now)
	d.cold.Sent(choice.Upstream.ID, now)
	d.notices.Sent(choice.Upstream.ID, now)
	return Placed{
		Outcome: Found, Choice: choice, Attempt: d.lastAttempt, MaxConnections: connections, Repeat: d.quarantine.Repeats(request.Traits),
		ListedAt: d.listConfirmed, ListOutdated: d.lacksUpstreams(now), Tunnel: tunnel,
	}
}

// mayBegin reports whether a stream that callers may resume may begin at an upstream.
func (d *Director) mayBegin(id core.UpstreamID, now time.Time) bool {
	upstream, listed := d.roster.Upstream(id)
	return listed && d.confirmed.MayBegin(upstream.Service, upstream.Software, now)
}

// connectionReserveFraction is the fraction of an upstream's connections that
// the hosts leave unused, for probes and for hosts that are not counted yet.
const connectionReserveFraction = 0.15

// minConnections is what each host may use regardless of the number of hosts.
const minConnections = 2

func (d *Director) maxConnections(name core.ServiceName) int {
	limit := 0
	if d.activeConfig != nil {
		limit = d.activeConfig.Services[name].MaxConnections
	}
	return max(int(float64(limit)*(1-connectionReserveFraction))/d.hosts, minConnections)
}
