// Package pipeline composes the filters through which each request passes.
//
//	decode → authenticate → classify → claim → admit → reserve
//	       → route → attempt → relay → settle
//
// A request is handled in one goroutine, the task that owns the caller's
// connection; filters reach the host's tasks by messages.
package pipeline

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/filter/admit"
	"github.com/peridotreel/peridotreel/internal/filter/attempt"
	"github.com/peridotreel/peridotreel/internal/filter/authenticate"
	"github.com/peridotreel/peridotreel/internal/filter/claim"
	"github.com/peridotreel/peridotreel/internal/filter/classify"
	"github.com/peridotreel/peridotreel/internal/filter/relay"
	"github.com/peridotreel/peridotreel/internal/filter/reserve"
	"github.com/peridotreel/peridotreel/internal/filter/route"
	"github.com/peridotreel/peridotreel/internal/filter/settle"
)

// Sink is the caller's side of an answer.
type Sink interface {
	relay.Sink
	// Begin tells the identity of the request before anything is sent.
	Begin(work *core.Work)
	// Finish ends the answer. The sink has received the text of a streamed
	// answer before, unless the answer was recorded by an earlier run.
	Finish(answer *core.Answer) error
}

// Registry remembers where keyed requests run, so that a retry through
// another host resumes its answer instead of running it again.
type Registry interface {
	// Find returns the upstream on which an earlier attempt ran. It waits a
	// bounded time for the peers that know.
	Find(ctx context.Context, id core.RequestID) (core.Target, bool)
	// Begin records that this host starts the request; Located and Finished
	// of a request that was not begun are ignored.
	Begin(id core.RequestID)
	// Located records where the request runs.
	Located(id core.RequestID, target core.Target)
	// Finished records that the answer was delivered.
	Finished(id core.RequestID)
}

// Backlog tells whether bills pile up beyond what this host may keep.
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

// Filters are the stages of the line in their order.
type Filters struct {
	Authenticate *authenticate.Filter
	Classify     *classify.Filter
	Claim        *claim.Filter
	Admit        *admit.Filter
	Reserve      *reserve.Filter
	Route        *route.Filter
	Attempt      *attempt.Filter
	Relay        *relay.Filter
	Settle       *settle.Filter
}

// Line is the composed sequence of filters.
type Line struct {
	Filters
	Registry Registry
	Backlog  Backlog
	Recorder Recorder
	Now      func() time.Time
}

// Serve takes a decoded call through the line and gives its answer to the
// sink. A returned error says whether the request ran.
func (l *Line) Serve(ctx context.Context, call *core.Call, sink Sink) error {
	caller, err := l.Authenticate.Apply(call)
	if err != nil {
		return err
	}
	work, err := l.Classify.Apply(call, caller, l.Now())
	if err != nil {
		return err
	}
	sink.Begin(work)
	ctx, cancel := context.WithDeadline(ctx, work.Deadline)
	defer cancel()

	exchange := &exchange{line: l, work: work, sink: sink, started: l.Now()}
	err = exchange.serve(ctx)
	l.Recorder.Done(exchange.summarize(err))
	return err
}

// exchange is one request on its way through the line. It belongs to the
// goroutine of the request.
type exchange struct {
	line       *Line
	work       *core.Work
	sink       Sink
	started    time.Time
	firstToken time.Duration
	attempts   int
	billed     core.Tokens
}

func (e *exchange) serve(ctx context.Context) error {
	recorded, err := e.line.Claim.Apply(ctx, e.work, e.line.Now())
	if err != nil {
		return err
	}
	if recorded != nil {
		return e.finish(recorded)
	}
	answer, err := e.admitted(ctx)
	e.line.Claim.Finish(ctx, e.work, answer, err)
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

// admitted runs the work in a slot and returns the slot.
func (e *exchange) admitted(ctx context.Context) (*core.Answer, error) {
	if e.line.Backlog.Backlogged() {
		return nil, fault.Refuse(fault.BillingBacklog,
			"this host can't store more bills while the platform is down; retry later").WithRetryAfter(backlogRetry)
	}
	slot, err := e.line.Admit.Apply(ctx, e.work)
	if err != nil {
		return nil, err
	}
	defer func() { e.line.Admit.Leave(slot, e.billed) }()
	return e.reserved(ctx)
}

// reserved runs the work under a hold on its maximum cost and settles it.
func (e *exchange) reserved(ctx context.Context) (*core.Answer, error) {
	hold, err := e.line.Reserve.Apply(ctx, e.work)
	if err != nil {
		return nil, err
	}
	result, err := e.run(ctx)
	if !result.billable(e.work, err) {
		e.line.Settle.Refund(hold)
		return nil, err
	}
	e.billed = e.line.Settle.Charge(ctx, e.work, hold, result.usage, e.line.Now())
	return result.answer, err
}

func (e *exchange) summarize(err error) Summary {
	summary := Summary{
		Team: e.work.Caller.Team.Team, Class: e.work.Class.Name, Run: fault.Ran,
		FirstToken: e.firstToken, Total: e.line.Now().Sub(e.started),
		Billed: e.billed, Attempts: e.attempts,
	}
	if err != nil {
		typed := fault.From(err)
		summary.Code, summary.Run = typed.Code, typed.Run
	}
	return summary
}
