// Package pipeline composes the filters through which each request passes.
//
//	decode → authenticate → classify → claim → lifetime → admit → reserve
//	       → route → attempt → relay → settle
//
// Each request is handled by the goroutine that owns the caller's connection.
// The filters exchange messages with the host's tasks.
package pipeline

import (
	"context"
	"errors"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/filter/admit"
	"github.com/peridotreel/peridotreel/internal/filter/attempt"
	"github.com/peridotreel/peridotreel/internal/filter/authenticate"
	"github.com/peridotreel/peridotreel/internal/filter/claim"
	"github.com/peridotreel/peridotreel/internal/filter/classify"
	"github.com/peridotreel/peridotreel/internal/filter/lifetime"
	"github.com/peridotreel/peridotreel/internal/filter/relay"
	"github.com/peridotreel/peridotreel/internal/filter/reserve"
	"github.com/peridotreel/peridotreel/internal/filter/route"
	"github.com/peridotreel/peridotreel/internal/filter/settle"
)

// Sink sends an answer to the caller.
type Sink interface {
	relay.Sink
	// Begin gives the sink the request's ID before anything is sent.
	Begin(work *core.Work)
	// Finish completes the answer. The text of a streamed answer has already
	// been passed to Token, unless the answer was recorded by an earlier run.
	Finish(answer *core.Answer) error
}

// Registry records on which upstream each keyed request runs, so that a retry
// through another host resumes the answer instead of running the request again.
type Registry interface {
	// Find returns the upstream on which an earlier attempt ran. It waits for
	// the peers that hold the record, for a limited time.
	Find(ctx context.Context, id core.RequestID) (core.Target, bool)
	// Begin records that this host starts the request. Located and Finished
	// have no effect for a request without Begin.
	Begin(id core.RequestID)
	// Located records the upstream on which the request runs.
	Located(id core.RequestID, target core.Target)
	// Finished records that the answer is complete.
	Finished(id core.RequestID)
}

// Backlog reports whether this host holds too many bills that are not stored
// yet.
type Backlog interface {
	Backlogged() bool
}

// Summary describes a finished request for metrics.
type Summary struct {
	Team       core.TeamName
	Class      core.ClassName
	Code       fault.Code // "" for success
	Run        fault.RunState
	FirstToken time.Duration
	Total      time.Duration
	Billed     core.Tokens
	Attempts   int
}

// Recorder receives a summary of each request.
type Recorder interface {
	Done(summary Summary)
}

// Filters are the stages of the pipeline in order.
type Filters struct {
	Authenticate *authenticate.Filter
	Classify     *classify.Filter
	Claim        *claim.Filter
	Lifetime     *lifetime.Filter
	Admit        *admit.Filter
	Reserve      *reserve.Filter
	Route        *route.Filter
	Attempt      *attempt.Filter
	Relay        *relay.Filter
	Settle       *settle.Filter
}

// Pipeline passes each request through the filters in order.
type Pipeline struct {
	Filters
	Registry Registry
	Backlog  Backlog
	Recorder Recorder
	Now      func() time.Time
}

// Serve passes a decoded call through the filters and sends its answer to the
// sink. The run state of a returned error tells whether the request ran.
func (p *Pipeline) Serve(ctx context.Context, call *core.Call, sink Sink) error {
	caller, err := p.Authenticate.Apply(call)
	if err != nil {
		return err
	}
	work, err := p.Classify.Apply(call, caller, p.Now())
	if err != nil {
		return err
	}
	sink.Begin(work)
	ctx, cancel := context.WithDeadline(ctx, work.Deadline)
	defer cancel()

	exchange := &exchange{pipeline: p, work: work, sink: sink, started: p.Now()}
	err = reportStop(ctx, exchange.serve(ctx))
	p.Recorder.Done(exchange.summarize(err))
	return err
}

// reportStop returns the error of a request that ended because the host stops, which
// would otherwise look as if its caller had left. Other errors are returned unchanged.
func reportStop(ctx context.Context, err error) error {
	if err == nil || !errors.Is(context.Cause(ctx), fault.ErrHostStopping) {
		return err
	}
	typed := fault.From(err)
	if typed.Code != fault.CallerGone {
		return err
	}
	if typed.Run == fault.NotRun {
		return fault.Refuse(fault.HostDraining, "this host stops; retry, which reaches another host").WithRetryAfter(upstreamRetry).WithCause(err)
	}
	return fault.New(fault.UpstreamFailed, typed.Run,
		"this host stopped before the answer was complete; retry with the same Idempotency-Key").WithRetryAfter(upstreamRetry).WithCause(err)
}

// exchange is the state of one request in the pipeline. Only the goroutine of
// the request accesses it.
type exchange struct {
	pipeline   *Pipeline
	work       *core.Work
	sink       Sink
	started    time.Time
	firstToken time.Duration
	attempts   int
	billed     core.Tokens
}

func (e *exchange) serve(ctx context.Context) error {
	recorded, err := e.pipeline.Claim.Apply(ctx, e.work, e.pipeline.Now())
	if err != nil {
		return err
	}
	if recorded != nil {
		return e.finish(recorded)
	}
	answer, err := e.runAdmitted(ctx)
	e.pipeline.Claim.Finish(ctx, e.work, answer, err)
	if err != nil {
		return err
	}
	return e.finish(answer)
}

func (e *exchange) finish(answer *core.Answer) error {
	if err := e.sink.Finish(answer); err != nil {
		return callerGone(err)
	}
	return nil
}

// runAdmitted waits for a slot, runs the work in it and releases the slot.
func (e *exchange) runAdmitted(ctx context.Context) (*core.Answer, error) {
	if err := e.pipeline.Lifetime.Apply(e.work); err != nil {
		return nil, err
	}
	if e.pipeline.Backlog.Backlogged() {
		return nil, fault.Refuse(fault.BillingBacklog,
			"this host can't store more bills while the platform is down; retry later").WithRetryAfter(backlogRetry)
	}
	slot, err := e.pipeline.Admit.Apply(ctx, e.work)
	if err != nil {
		return nil, err
	}
	defer func() { e.pipeline.Admit.Leave(slot, e.billed) }()
	return e.runReserved(ctx)
}

// runReserved reserves the maximum cost of the work, runs the work and settles
// the reservation.
func (e *exchange) runReserved(ctx context.Context) (*core.Answer, error) {
	reservation, err := e.pipeline.Reserve.Apply(ctx, e.work)
	if err != nil {
		return nil, err
	}
	result, err := e.run(ctx)
	if !result.billable(e.work, err) {
		e.pipeline.Settle.Refund(reservation)
		return nil, err
	}
	e.billed = e.pipeline.Settle.Charge(ctx, e.work, reservation, result.usage, e.pipeline.Now())
	return result.answer, err
}

func (e *exchange) summarize(err error) Summary {
	summary := Summary{
		Team: e.work.Caller.Team.Team, Class: e.work.Class.Name, Run: fault.Ran,
		FirstToken: e.firstToken, Total: e.pipeline.Now().Sub(e.started),
		Billed: e.billed, Attempts: e.attempts,
	}
	if err != nil {
		typed := fault.From(err)
		summary.Code, summary.Run = typed.Code, typed.Run
	}
	return summary
}
