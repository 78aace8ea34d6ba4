package pipeline

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/retry"
	"github.com/peridotreel/peridotreel/internal/decide/stream"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/filter/attempt"
	"github.com/peridotreel/peridotreel/internal/filter/relay"
	"github.com/peridotreel/peridotreel/internal/filter/route"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// maxAttempts bounds the upstreams tried for one request.
	maxAttempts = 4
	// probeTimeout bounds the check whether an upstream answers on a new
	// connection. Zones are a few milliseconds apart.
	probeTimeout = 500 * time.Millisecond
	// backlogRetry is the delay after which bills may have been stored.
	backlogRetry = 5 * time.Second
	// upstreamRetry is the delay given with a failed upstream.
	upstreamRetry = time.Second
)

// result is what running the work came to.
type result struct {
	answer *core.Answer
	usage  core.Usage
	// delivered is true when part of an answer reached the caller.
	delivered bool
}

// billable reports whether the request is billed. A keyed request whose
// caller went away is billed by the retry, so that it is billed once and in
// full; one without a key has no retry and pays for what it got.
func (r *result) billable(work *core.Work, err error) bool {
	if err == nil {
		return true
	}
	return r.delivered && !work.Keyed && fault.From(err).Code == fault.CallerGone
}

// run sends the work to upstreams until one has answered it.
func (e *exchange) run(ctx context.Context) (result, error) {
	if e.work.Call.Kind == core.KindService {
		return e.callService(ctx)
	}
	return e.streamCompletion(ctx)
}

// attemptPlan is what the next attempt starts from.
type attemptPlan struct {
	query route.Query
	fresh bool
	last  error
}

func (e *exchange) newPlan(ctx context.Context) *attemptPlan {
	plan := &attemptPlan{query: route.Query{Work: e.work}}
	if e.work.Keyed && e.work.Idempotent {
		if earlier, found := e.line.Registry.Find(ctx, e.work.ID); found {
			plan.query.Resume = earlier.Upstream
		}
		e.line.Registry.Begin(e.work.ID)
	}
	return plan
}

// nextTarget chooses the upstream of the next attempt after a delay.
func (e *exchange) nextTarget(ctx context.Context, plan *attemptPlan) (core.Target, error) {
	e.attempts++
	plan.query.Attempt = e.attempts
	if e.attempts > maxAttempts {
		return core.Target{}, plan.last
	}
	if e.attempts > 1 {
		if err := task.Sleep(ctx, retry.Backoff(e.attempts, rand.Float64())); err != nil {
			return core.Target{}, plan.last
		}
	}
	target, err := e.line.Route.Apply(ctx, plan.query)
	if err != nil && plan.last != nil {
		return core.Target{}, plan.last
	}
	return target, err
}

func (e *exchange) streamCompletion(ctx context.Context) (result, error) {
	answer := &relay.Answer{Cursor: stream.NewCursor(e.work.ID)}
	plan := e.newPlan(ctx)
	for {
		target, err := e.nextTarget(ctx, plan)
		if err != nil {
			return result{delivered: answer.Cursor.Delivered() > 0}, err
		}
		outcome := e.attemptStream(ctx, plan, target, answer)
		switch outcome.Ending {
		case relay.Finished:
			return e.completed(answer, outcome), nil
		case relay.CallerGone:
			return e.partial(answer), e.endedByCaller(ctx, outcome.Err)
		case relay.Silent:
			e.planAfterSilence(ctx, plan, target)
		default:
			plan.last = outcome.Err
			plan.fresh = false
			plan.query.Resume = ""
			plan.query.Excluded = append(plan.query.Excluded, target.Upstream)
		}
		if !mayRepeat(e.work, plan.last) {
			return result{delivered: answer.Cursor.Delivered() > 0}, plan.last
		}
	}
}

// attemptStream performs one streamed attempt and reports what it showed.
func (e *exchange) attemptStream(ctx context.Context, plan *attemptPlan, target core.Target, answer *relay.Answer) relay.Outcome {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if e.work.Keyed && e.work.Idempotent {
		e.line.Registry.Located(e.work.ID, target)
	}
	started := e.line.Now()
	results := e.line.Attempt.Stream(attemptCtx, attempt.Request{
		Work: e.work, Target: target, Attempt: answer.Cursor.StartAttempt(),
		After: answer.Cursor.Delivered(), Partial: answer.Cursor.Text(), Fresh: plan.fresh,
	})
	answer.OnFirstToken = func(elapsed time.Duration) { e.observeFirstToken(target, started, elapsed) }
	outcome := e.line.Relay.Apply(attemptCtx, answer, results, e.sink)
	if outcome.Ending == relay.Silent {
		cancel(attempt.ErrKeepRunning)
	}
	e.observe(target, outcome, e.line.Now().Sub(started))
	return outcome
}

// observeFirstToken reports a first token as it comes, since an answer may take
// long after it and a slow upstream must show early.
func (e *exchange) observeFirstToken(target core.Target, started time.Time, elapsed time.Duration) {
	if e.firstToken == 0 {
		e.firstToken = started.Add(elapsed).Sub(e.started)
	}
	e.line.Route.Observe(route.Observation{
		Kind: route.FirstToken, Target: target, Model: e.work.Model(), Elapsed: elapsed, Estimate: e.work.Estimate,
	})
}

func (e *exchange) observe(target core.Target, outcome relay.Outcome, elapsed time.Duration) {
	e.line.Route.Observe(route.Observation{
		Kind: observationOf(outcome), Target: target, Model: e.work.Model(),
		Elapsed: elapsed, Tokens: outcome.Tokens, Estimate: e.work.Estimate,
	})
}

func observationOf(outcome relay.Outcome) route.ObservationKind {
	switch outcome.Ending {
	case relay.Finished:
		return route.Finished
	case relay.Silent:
		return route.Silent
	case relay.CallerGone:
		return route.Abandoned
	default:
		return failureOf(outcome.Err)
	}
}

// failureOf tells an upstream that refused work from one that failed at it.
func failureOf(err error) route.ObservationKind {
	if fault.From(err).Run == fault.NotRun {
		return route.Refused
	}
	return route.Failed
}

// planAfterSilence probes a silent upstream on a new connection. If it
// answers, only the connection was at fault and the stream resumes there.
func (e *exchange) planAfterSilence(ctx context.Context, plan *attemptPlan, target core.Target) {
	plan.last = fault.New(fault.UpstreamFailed, fault.Unknown,
		"the upstream stopped sending; retry with the same Idempotency-Key").WithRetryAfter(upstreamRetry)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := e.line.Attempt.Probe(ctx, target); err == nil {
		plan.fresh = true
		plan.query.Resume = target.Upstream
		return
	}
	plan.fresh = false
	plan.query.Resume = ""
	plan.query.Excluded = append(plan.query.Excluded, target.Upstream)
}

func (e *exchange) completed(answer *relay.Answer, outcome relay.Outcome) result {
	if e.work.Keyed && e.work.Idempotent {
		e.line.Registry.Finished(e.work.ID)
	}
	usage := outcome.Finish.Usage
	return result{delivered: true, usage: usage, answer: &core.Answer{Completion: &core.CompletionAnswer{
		Text: answer.Cursor.Text(), FinishReason: outcome.Finish.FinishReason, Usage: usage,
	}}}
}

// partial returns the usage of an answer that its caller abandoned: the
// tokens delivered and the estimate of the prompt.
func (e *exchange) partial(answer *relay.Answer) result {
	delivered := core.Tokens(answer.Cursor.Delivered())
	prompt := e.work.Estimate - e.work.MaxGenerated
	return result{delivered: delivered > 0, usage: core.Usage{Prompt: prompt, Generated: delivered}}
}

func (e *exchange) endedByCaller(ctx context.Context, cause error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.DeadlineExceeded, fault.Unknown,
			"the answer was not complete at the deadline of class %s; ask the operator for a longer deadline or request fewer tokens",
			e.work.Class.Name).WithCause(cause)
	}
	return callerGone(cause)
}

func callerGone(cause error) error {
	return fault.New(fault.CallerGone, fault.Unknown,
		"the caller took no more of the answer; retry with the same Idempotency-Key").WithCause(cause)
}

// mayRepeat reports whether work may be sent again after an attempt that
// ended with err.
func mayRepeat(work *core.Work, err error) bool {
	return work.Idempotent || fault.From(err).Run == fault.NotRun
}
