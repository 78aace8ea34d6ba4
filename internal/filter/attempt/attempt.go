// Package attempt is the filter that sends work to one upstream. A streamed
// attempt is a task that owns the upstream's connection and hands its events
// over a bounded channel.
package attempt

import (
	"context"
	"errors"

	"github.com/peridotreel/peridotreel/internal/core"
)

// ErrKeepRunning is the cause with which the context of a stream is cancelled
// when the engine shall go on, because the answer is resumed on another
// connection. Any other cause cancels the request at the engine.
var ErrKeepRunning = errors.New("the answer is resumed on another connection")

// ErrReplaced is the cause with which the context of a call to a plain service
// is cancelled when a new connection answered and the call's own did not.
var ErrReplaced = errors.New("the call was answered on a new connection")

// Request describes one attempt.
type Request struct {
	Work    *core.Work
	Target  core.Target
	Attempt int
	// After is the position of the last delivered token; the upstream
	// continues after it.
	After int64
	// Partial is the text delivered so far, for an upstream that does not
	// hold the answer's state.
	Partial string
	// Fresh demands a new connection, as pooled ones may be silent.
	Fresh bool
}

// Result is one event of a streamed attempt, or the error that ended it.
type Result = core.StreamResult

// Upstreams sends requests to upstreams. Errors are *fault.Error and say
// whether the request may have run.
type Upstreams interface {
	// Stream starts a streamed completion. The channel is closed after a
	// finish event or an error; cancelling ctx ends the attempt and cancels
	// it at the engine.
	Stream(ctx context.Context, request Request) <-chan Result
	// Call performs a call to a plain service.
	Call(ctx context.Context, request Request) (*core.ServiceAnswer, error)
	// Probe checks on a new connection whether an upstream answers.
	Probe(ctx context.Context, target core.Target) error
}

// Filter performs attempts.
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

// Call performs a call to a plain service. A call that must not run twice
// always gets a new connection: a pooled one may have fallen silent, and the
// HTTP client may repeat a request on a pooled connection.
func (f *Filter) Call(ctx context.Context, request Request) (*core.ServiceAnswer, error) {
	request.Fresh = request.Fresh || !request.Work.Idempotent
	return f.upstreams.Call(ctx, request)
}

// Probe checks on a new connection whether an upstream answers.
func (f *Filter) Probe(ctx context.Context, target core.Target) error {
	return f.upstreams.Probe(ctx, target)
}
