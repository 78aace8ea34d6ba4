// Package attempt is the filter that chooses an upstream for one attempt and
// sends the request to it.
package attempt

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/peridotreel/peridotreel/internal/connpool"
	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
	"github.com/peridotreel/peridotreel/internal/decide/quarantine"
	"github.com/peridotreel/peridotreel/internal/decide/room"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/opaque/match"
	"github.com/peridotreel/peridotreel/internal/opaque/screen"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/director"
	"github.com/peridotreel/peridotreel/internal/tasks/tunnels"
)

// eventBuffer is the number of parts of an answer that are read ahead. They are not
// counted as held memory, of which the front end has the parts that wait for a caller.
const eventBuffer = 4

// Director chooses upstreams for attempts and records what attempts observe.
type Director interface {
	Place(ctx context.Context, query director.PlacementRequest) (director.Placed, error)
	Observe(observation director.Observation)
	CheckStart(ctx context.Context, upstream core.UpstreamID, startMillis int64) (bool, error)
	LaterStartLeaves(upstream core.UpstreamID, startMillis int64)
	Evacuated(zone core.ZoneName) bool
}

// Connections provides connections to upstreams.
type Connections interface {
	Acquire(ctx context.Context, target connpool.Target) (*connpool.Connection, bool, error)
}

// Encode encodes a request for an upstream. It returns the start of the encoded request
// and what follows, which is not a copy of the request's body.
type Encode func(request *gateway.Request, dispatch gateway.Dispatch) (start, rest []byte)

// ErrOtherStart means that another process than the listed one has an upstream's address.
var ErrOtherStart = errors.New("the upstream was started again since its entry was written; wait for its new entry")

// errEvacuated means that an upstream's zone was evacuated before it was asked.
var errEvacuated = errors.New("the zone of the upstream is evacuated; choose another zone")

// VerifyStart asks an upstream over a new connection when it was started, and returns an
// error unless that is the given time, in Unix milliseconds: ErrOtherStart if it is another.
type VerifyStart func(ctx context.Context, socket net.Conn, startMillis int64) error

// Tunnels sets up connections to upstreams through other hosts.
type Tunnels interface {
	Dial(ctx context.Context, target tunnels.Target) (net.Conn, error)
}

// Filter sends attempts.
type Filter struct {
	Director    Director
	Connections Connections
	Encode      Encode
	// VerifyStart checks over a new connection when the upstream was started.
	VerifyStart VerifyStart
	// Tunnels sets up connections while this host does not reach a service itself. nil
	// leaves the host without any then.
	Tunnels Tunnels
	Now     func() time.Time
}

// Plan holds what earlier attempts of the request determine for the next one.
type Plan struct {
	Excluded []core.UpstreamID
	// First is true for the first placement of the request; Retry is true once
	// an attempt may have reached an upstream.
	First bool
	Retry bool
	// ClosedEarly is true if the connection of the latest attempt ended before the
	// upstream answered.
	ClosedEarly bool
	// ResumeAfter is the id of the last event delivered to the caller.
	ResumeAfter string
	// Software is the software that began the stream, nil before its first event.
	Software *string
}

// Sent is an attempt in flight.
type Sent struct {
	Placed director.Placed
	Events <-chan connpool.Event
	// Fresh is true if the connection was established for this attempt.
	Fresh  bool
	traits []quarantine.Trait
	end    context.CancelFunc
	filter *Filter
}

// NotSentError is the error of an attempt for which no upstream was chosen.
type NotSentError struct {
	// Kind is the refusal of a request that has not run.
	Kind gateway.RefusalKind
	// RetryAfter is when a request may be sent at the earliest, 0 if that is not
	// known.
	RetryAfter time.Duration
	// NoReturn is true if the caller would not be served if it returned.
	NoReturn bool
	// Booked is true if RetryAfter differs by caller, and an earlier retry is refused.
	Booked bool
	Reason string
}

// Error implements error.
func (e *NotSentError) Error() string { return e.Reason }

// notSent returns the error for a placement that found no upstream.
func notSent(placed director.Placed, fingerprint string) *NotSentError {
	err := &NotSentError{Kind: gateway.NoUpstream, RetryAfter: placed.RetryAfter, NoReturn: placed.NoReturn, Reason: "no upstream is left to try"}
	switch placed.Outcome {
	case director.Held:
		err.Kind, err.Reason = gateway.Quarantined, screen.Reason(placed.Hold, fingerprint)
	case director.Suspected:
		err.Kind, err.Reason = gateway.UpstreamBroke, "the request, or a part of its prompt, was in flight at several crashes of upstreams"
	case director.Limited:
		err.Booked = placed.RetryAfter > 0
		err.Kind, err.Reason = gateway.Limited, "the upstreams take no further request for now"
	case director.Evacuated:
		err.Kind, err.Reason = gateway.Evacuated, "all its upstreams are in zones that an operator has evacuated"
	case director.Saturated:
		err.Booked = placed.Cause != room.None
		err.Kind, err.Reason = gateway.Overloaded, saturatedReasons[placed.Cause]
	case director.RetryBudgetExhausted:
		err.Reason = "the retry budget of the service is used up"
	case director.Found, director.NoUpstream:
	}
	return err
}

// saturatedReasons tell why a request is refused while upstreams are saturated.
var saturatedReasons = map[room.Cause]string{
	room.None:       "the upstreams are saturated: the caller would leave before one starts on the request",
	room.TooLong:    "the upstreams are saturated: the caller would leave before one starts on the request",
	room.LessUrgent: "the upstreams are saturated: what becomes free goes to more urgent requests",
	room.OverShare:  "the upstreams are saturated: the team has had more of them lately than other teams",
}

// callerOf describes the caller of a request.
func callerOf(matched *match.Matched, now time.Time) director.Caller {
	caller := director.Caller{
		Route: matched.Route.Name, Rank: matched.Urgency, Left: matched.Deadline.Sub(now), Arrived: matched.Deadline.Sub(matched.Request.Arrived),
	}
	if matched.Team != nil {
		caller.Team = matched.Team.Name
	}
	return caller
}

// maxWait returns the longest wait for an upstream with which a request is sent,
// 0 for any.
func maxWait(route *gateway.Route, left time.Duration) time.Duration {
	if !route.Retry.Stream() {
		return 0
	}
	return placement.MaxWait(route.Objective, route.MaxPause, left)
}

// connectionWaitFraction is the fraction of a route's objective for which a request waits
// for a connection to one upstream. With the attempts at other upstreams that may follow,
// at most 0.6 of the objective is spent so.
const connectionWaitFraction = 0.1

// connectionWait returns how long a request waits for a connection that is released.
// Requests to engines are placed elsewhere at once.
func connectionWait(matched *match.Matched) time.Duration {
	if matched.Service.Engine != nil {
		return 0
	}
	return time.Duration(float64(matched.Route.Objective) * connectionWaitFraction)
}

// UnreachableError is the error of an attempt for which no connection could be
// acquired; nothing was sent.
type UnreachableError struct {
	Upstream core.UpstreamID
	Cause    error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return "upstream " + string(e.Upstream) + " could not be reached, nothing was sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Prepared is an attempt that has an upstream and a connection, and of which nothing was
// sent. Either Send or Cancel must be called.
type Prepared struct {
	Placed     director.Placed
	connection *connpool.Connection
	fresh      bool
	matched    *match.Matched
	plan       Plan
	filter     *Filter
}

// Apply chooses an upstream and sends an attempt to it.
func (f *Filter) Apply(ctx context.Context, matched *match.Matched, plan Plan) (*Sent, error) {
	prepared, err := f.Prepare(ctx, matched, plan)
	if err != nil {
		return nil, err
	}
	return prepared.Send(ctx), nil
}

// Prepare chooses an upstream for an attempt and acquires a connection to it. It chooses
// another if the upstream's zone is evacuated meanwhile.
func (f *Filter) Prepare(ctx context.Context, matched *match.Matched, plan Plan) (*Prepared, error) {
	for {
		prepared, err := f.prepare(ctx, matched, plan)
		switch {
		case errors.Is(err, errEvacuated):
		case err != nil || !prepared.Evacuated():
			return prepared, err
		default:
			prepared.Cancel()
		}
		plan.First = false
	}
}

func (f *Filter) prepare(ctx context.Context, matched *match.Matched, plan Plan) (*Prepared, error) {
	now := f.Now()
	placed, err := f.Director.Place(ctx, director.PlacementRequest{
		Query: placement.Query{
			Service: matched.Service.Name, Engine: matched.Service.Engine,
			Prompt: matched.Request.Prompt, Objective: matched.Route.Objective, Excluded: plan.Excluded, Software: plan.Software,
		},
		Bytes:  int64(len(matched.Request.Body)),
		Traits: matched.Traits, First: plan.First, Retry: plan.Retry, ClosedEarly: plan.ClosedEarly,
		BeginsResumable: matched.Route.Retry == gateway.StreamResumable && plan.Software == nil,
		MaxWait:         maxWait(matched.Route, matched.Deadline.Sub(now)),
		Caller:          callerOf(matched, now),
	})
	if err != nil {
		return nil, err
	}
	if placed.Outcome != director.Found {
		return nil, notSent(placed, matched.Fingerprint)
	}
	upstream := placed.Upstream
	connection, fresh, err := f.Connections.Acquire(ctx, f.target(placed, matched))
	if err != nil {
		f.observeUnsent(ctx, placed, err)
		if errors.Is(err, errEvacuated) {
			return nil, err
		}
		if errors.Is(err, tunnels.ErrNoHelper) {
			return nil, &NotSentError{Kind: gateway.CutOff, RetryAfter: gateway.DrainRetryAfter, Reason: err.Error()}
		}
		return nil, &UnreachableError{Upstream: upstream.ID, Cause: err}
	}
	if fresh {
		f.Director.Observe(director.Observation{Upstream: upstream.ID, Attempt: placed.Attempt, Signal: placement.Connected, Tunnelled: placed.Tunnel})
	}
	return &Prepared{Placed: placed, connection: connection, fresh: fresh, matched: matched, plan: plan, filter: f}, nil
}

// observeUnsent records that no connection was acquired for an attempt.
func (f *Filter) observeUnsent(ctx context.Context, placed director.Placed, err error) {
	signal := placement.Unreachable
	switch {
	case errors.Is(err, connpool.ErrConnectionLimit):
		signal = placement.Full
	case ctx.Err() != nil, errors.Is(err, tunnels.ErrNoHelper), errors.Is(err, errEvacuated):
		signal = placement.Abandoned
	}
	f.Director.Observe(director.Observation{
		Upstream: placed.Upstream.ID, Attempt: placed.Attempt, Signal: signal, Tunnelled: placed.Tunnel,
		Helpless:    errors.Is(err, tunnels.ErrNoHelper),
		Unconnected: signal == placement.Abandoned, Unverified: errors.Is(err, connpool.ErrUnverified),
	})
}

// target returns the upstream process to connect to. While the list is not confirmed, an
// upstream may have been started again with other software; a stream that may be resumed
// must not be taken for one of the software that the list names.
func (f *Filter) target(placed director.Placed, matched *match.Matched) connpool.Target {
	upstream := placed.Upstream
	target := connpool.Target{Upstream: upstream.ID, Address: upstream.Address, MaxConnections: placed.MaxConnections, MaxWait: connectionWait(matched)}
	if placed.Tunnel && f.Tunnels != nil {
		target.Tunnel = func(ctx context.Context) (net.Conn, error) {
			return f.Tunnels.Dial(ctx, tunnels.TargetOf(upstream))
		}
	}
	if placed.ListOutdated && matched.Route.Retry == gateway.StreamResumable && upstream.StartMillis != 0 {
		f.verify(&target, placed)
	}
	return target
}

// verify lets a connection be used only if it leads to the listed process.
func (f *Filter) verify(target *connpool.Target, placed director.Placed) {
	target.ListedAt = placed.ListedAt
	target.Verify = func(ctx context.Context, socket net.Conn) error {
		if f.Director.Evacuated(placed.Upstream.Zone) {
			return errEvacuated
		}
		return f.VerifyStart(ctx, socket, placed.Upstream.StartMillis)
	}
}

const (
	// startCheckTimeout bounds the check of an upstream's start. The upstream is to get
	// nothing new from 2 s after it said so.
	startCheckTimeout = 1500 * time.Millisecond
	// startCheckInterval is the pause after a failed check.
	startCheckInterval = 100 * time.Millisecond
)

// checkStart finds out whether an upstream that says that it leaves is a later start than
// the one that is listed: what it says then holds for that start, once it is listed.
func (f *Filter) checkStart(placed director.Placed) {
	ctx, cancel := context.WithTimeout(context.Background(), startCheckTimeout)
	defer cancel()
	upstream := placed.Upstream
	if due, err := f.Director.CheckStart(ctx, upstream.ID, upstream.StartMillis); err != nil || !due {
		return
	}
	target := connpool.Target{Upstream: upstream.ID, Address: upstream.Address, MaxConnections: placed.MaxConnections}
	f.verify(&target, placed)
	for !f.Director.Evacuated(upstream.Zone) {
		connection, _, err := f.Connections.Acquire(ctx, target)
		switch {
		case err == nil:
			connection.Release()
			return
		case errors.Is(err, ErrOtherStart):
			f.Director.LaterStartLeaves(upstream.ID, upstream.StartMillis)
			return
		}
		if task.Sleep(ctx, startCheckInterval) != nil {
			return
		}
	}
}

// Evacuated reports whether the upstream's zone is evacuated, so that the attempt must not
// be sent any more.
func (p *Prepared) Evacuated() bool { return p.filter.Director.Evacuated(p.Placed.Upstream.Zone) }

// Send sends the attempt. ctx ends it.
func (p *Prepared) Send(ctx context.Context) *Sent {
	matched := p.matched
	dispatch := gateway.Dispatch{
		Instance: p.Placed.Upstream.ID, TimeLeft: matched.Deadline.Sub(p.filter.Now()), Urgency: matched.Urgency, ResumeAfter: p.plan.ResumeAfter,
	}
	if matched.Team != nil {
		dispatch.Team = matched.Team.Name
	}
	attemptCtx, end := context.WithCancel(ctx)
	events := make(chan connpool.Event, eventBuffer)
	start, rest := p.filter.Encode(matched.Request, dispatch)
	p.connection.Send(&connpool.Exchange{
		ID: matched.Request.ID, Method: matched.Request.Method, Payload: start, Body: rest,
		Events: events, Context: attemptCtx,
	})
	return &Sent{Placed: p.Placed, Events: events, Fresh: p.fresh, traits: matched.Traits, end: end, filter: p.filter}
}

// Cancel gives the connection back.
func (p *Prepared) Cancel() {
	p.connection.Release()
	p.filter.Director.Observe(director.Observation{Upstream: p.Placed.Upstream.ID, Attempt: p.Placed.Attempt, Signal: placement.Abandoned})
}

// Observe records a signal of the attempt. head is the head of the answer if it
// tells the director something, nil otherwise.
func (s *Sent) Observe(signal placement.Signal, head *gateway.AnswerHead) {
	s.filter.Director.Observe(director.Observation{
		Upstream: s.Placed.Upstream.ID, StartMillis: s.Placed.Upstream.StartMillis, Attempt: s.Placed.Attempt, Signal: signal, Head: head,
		Traits: s.traits, Repeat: s.Placed.Repeat, Tunnelled: s.Placed.Tunnel && s.Fresh,
	})
	if head != nil && head.Leaving && !head.WrongInstance && s.Placed.ListOutdated && s.Placed.Upstream.StartMillis != 0 {
		go s.filter.checkStart(s.Placed)
	}
}

// End ends the attempt. If the answer is not complete, the connection to the
// upstream is closed.
func (s *Sent) End() { s.end() }
