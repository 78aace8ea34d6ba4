// Package attempt is the filter that sends work to one upstream. A streamed
// attempt is a task that owns the connection to the upstream and sends the
// events over a buffered channel.
package attempt

import (
	"context"
	"errors"

	"github.com/peridotreel/peridotreel/internal/core"
)

// ErrKeepRunning is the cancellation cause of a stream whose answer is resumed
// on another connection, so the engine must keep running the request. Any other
// cause cancels the request at the engine.
var ErrKeepRunning = errors.New("the answer is resumed on another connection")

// ErrAnsweredOnNewConnection is the cancellation cause of a call to a plain service that was
// sent again on a new connection and answered there first.
var ErrAnsweredOnNewConnection = errors.New("the call was answered on a new connection")

// Request describes one attempt.
type Request struct {
	Work    *core.Work
	Target  core.Target
	Attempt int
	// After is the position of the last delivered token. The upstream resumes
	// the answer after it.
	After int64
	// Partial is the text delivered so far, from which an upstream without
	// the answer's state continues.
	Partial string
	// NewConnection requires a new connection, as pooled ones may be silent.
	NewConnection bool
}

// Result is one event of a streamed attempt, or the error that ended it.
type Result = core.StreamResult

// Upstreams sends requests to upstreams. Its errors are of type *fault.Error,
// whose run state tells whether the request may have run.
type Upstreams interface {
	// Stream starts a streamed completion. The channel is closed after a
	// finish event or an error. Cancelling ctx ends the attempt and cancels
	// the request at the engine, unless the cause is ErrKeepRunning.
	Stream(ctx context.Context, request Request) <-chan Result
	// Call performs a call to a plain service.
	Call(ctx context.Context, request Request) (*core.ServiceAnswer, error)
	// Probe checks on a new connection whether an upstream responds.
	Probe(ctx context.Context, target core.Target) error
	// LinksLost reports whether this host, and not the upstream, is why a connection to it
	// broke: it reaches none of the upstreams that serve the same work. It connects to find
	// out, so that ctx must be bounded.
	LinksLost(ctx context.Context, target core.Target) bool
}

// Filter makes attempts.
type Filter struct {
	upstreams Upstreams
}

// New returns the filter.
func New(upstreams Upstreams) *Filter {
	return &Filter{upstreams: upstreams}
}

// Stream starts a streamed attempt.
func (f *Filter) Stream(ctx context.Context, request Request) <-chan Result {
	return f.upstreams.Stream(ctx, request)
}

// Call performs a call to a plain service. A non-idempotent call always uses a
// new connection: a pooled one may have gone silent, and the HTTP client may
// repeat a request when a pooled connection fails.
func (f *Filter) Call(ctx context.Context, request Request) (*core.ServiceAnswer, error) {
	request.NewConnection = request.NewConnection || !request.Work.Idempotent
	return f.upstreams.Call(ctx, request)
}

// Probe checks on a new connection whether an upstream responds.
func (f *Filter) Probe(ctx context.Context, target core.Target) error {
	return f.upstreams.Probe(ctx, target)
}

// LinksLost reports whether this host has lost its links to the target and all others that
// serve the same work.
func (f *Filter) LinksLost(ctx context.Context, target core.Target) bool {
	return f.upstreams.LinksLost(ctx, target)
}
