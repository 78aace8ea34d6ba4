// Package attempt is the filter that places one attempt at an upstream and
// sends it on a connection.
package attempt

import (
	"context"
	"errors"
	"time"

	"github.com/peridotreel/peridotreel/internal/connpool"
	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/opaque/match"
	"github.com/peridotreel/peridotreel/internal/tasks/director"
)

// eventBuffer holds parts of an answer while the caller's socket is busy.
const eventBuffer = 16

// Director places attempts and learns from them.
type Director interface {
	Place(ctx context.Context, query director.Placement) (director.Placed, error)
	Observe(upstream core.UpstreamID, attempt uint64, signal placement.Signal, load *gateway.Load)
}

// Connections hands out connections.
type Connections interface {
	Acquire(ctx context.Context, target connpool.Target) (*connpool.Connection, bool, error)
}

// Encode renders a request for an upstream.
type Encode func(request *gateway.Request, dispatch gateway.Dispatch) []byte

// Filter sends attempts.
type Filter struct {
	Director    Director
	Connections Connections
	Encode      Encode
	Now         func() time.Time
}

// Plan is what the next attempt starts from.
type Plan struct {
	Excluded []core.UpstreamID
	// First is true until a placement was asked for, Repeat is true once the
	// request has arrived at an upstream.
	First  bool
	Repeat bool
	// ResumeAfter is the id of the last event delivered.
	ResumeAfter string
}

// Sent is an attempt under way.
type Sent struct {
	Placed director.Placed
	Events <-chan connpool.Event
	// Fresh is true if the connection was set up for the attempt.
	Fresh  bool
	end    context.CancelFunc
	filter *Filter
}

// Errors of attempts that were not sent.
var (
	// ErrNoUpstream means that no upstream is left to try.
	ErrNoUpstream = errors.New("no upstream is left to try")
	// ErrOverBudget means that the retry budget allows no repeat.
	ErrOverBudget = errors.New("the retry budget of the service is used up")
)

// Unreached is the error of an attempt whose upstream could not be reached;
// nothing was sent.
type Unreached struct {
	Upstream core.UpstreamID
	Cause    error
}

// Error names the upstream.
func (u *Unreached) Error() string {
	return "upstream " + string(u.Upstream) + " could not be reached, nothing was sent: " + u.Cause.Error()
}

// Unwrap returns the cause.
func (u *Unreached) Unwrap() error { return u.Cause }

// Apply places and sends an attempt.
func (f *Filter) Apply(ctx context.Context, matched *match.Matched, plan Plan) (*Sent, error) {
	placed, err := f.Director.Place(ctx, director.Placement{
		Query: placement.Query{
			Service: matched.Service.Name, Engine: matched.Service.Engine,
			Prompt: matched.Request.Prompt, Objective: matched.Route.Objective, Excluded: plan.Excluded,
		},
		First: plan.First, Repeat: plan.Repeat,
	})
	switch {
	case err != nil:
		return nil, err
	case placed.OverBudget:
		return nil, ErrOverBudget
	case !placed.Found:
		return nil, ErrNoUpstream
	}
	upstream := placed.Upstream
	connection, fresh, err := f.Connections.Acquire(ctx, connpool.Target{
		Upstream: upstream.ID, Address: upstream.Address, MaxConnections: placed.MaxConnections,
	})
	if err != nil {
		signal := placement.Unreachable
		if errors.Is(err, connpool.ErrConnectionLimit) {
			signal = placement.Full
		} else if ctx.Err() != nil {
			signal = placement.Abandoned
		}
		f.Director.Observe(upstream.ID, placed.Attempt, signal, nil)
		return nil, &Unreached{Upstream: upstream.ID, Cause: err}
	}
	dispatch := gateway.Dispatch{
		Instance: upstream.ID, TimeLeft: matched.Deadline.Sub(f.Now()), Urgency: matched.Urgency, ResumeAfter: plan.ResumeAfter,
	}
	if matched.Team != nil {
		dispatch.Team = matched.Team.Name
	}
	attemptCtx, end := context.WithCancel(ctx)
	events := make(chan connpool.Event, eventBuffer)
	connection.Send(&connpool.Exchange{
		ID: matched.Request.ID, Method: matched.Request.Method, Payload: f.Encode(matched.Request, dispatch),
		Events: events, Context: attemptCtx,
	})
	return &Sent{Placed: placed, Events: events, Fresh: fresh, end: end, filter: f}, nil
}

// Observe passes on a signal of the attempt.
func (s *Sent) Observe(signal placement.Signal, load *gateway.Load) {
	s.filter.Director.Observe(s.Placed.Upstream.ID, s.Placed.Attempt, signal, load)
}

// End ends the attempt; if its answer is not whole, the upstream sees its
// connection close.
func (s *Sent) End() { s.end() }
