package pipeline

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
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
	// maxAttempts limits the attempts of one request.
	maxAttempts = 4
	// probeTimeout limits the probe of an upstream on a new connection. The
	// latency between zones is a few milliseconds.
	probeTimeout = 500 * time.Millisecond
	// backlogRetry is the Retry-After delay of a request that is refused
	// because too many bills are waiting to be stored.
	backlogRetry = 5 * time.Second
	// upstreamRetry is the Retry-After delay of a request whose upstream
	// stopped sending.
	upstreamRetry = time.Second
)

// result is the outcome of running the work.
type result struct {
	answer *core.Answer
	usage  core.Usage
	// delivered is true if at least part of the answer was sent to the caller.
	delivered bool
}

// billable reports whether the request is billed. If the caller disconnects, a
// keyed request is billed by its retry, so that it is billed once and in full;
// a request without a key can't be resumed and is billed for the part delivered.
func (r *result) billable(work *core.Work, err error) bool {
	if err == nil {
		return true
	}
	return r.delivered && !work.Keyed && fault.From(err).Code == fault.CallerGone
}

// run sends the work to upstreams until one answers or no attempt is left.
func (e *exchange) run(ctx context.Context) (result, error) {
	if e.work.Call.Kind == core.KindService {
		return e.callService(ctx)
	}
	return e.streamCompletion(ctx)
}

// attemptPlan holds the parameters of the next attempt and the error of the
// last one.
type attemptPlan struct {
	query         route.Query
	newConnection bool
	lastErr       error
	// silent is the upstream that runs the request but was silent; "" if there is none.
	silent core.UpstreamID
	// next is the target of the next attempt if it was chosen while the one before was in
	// flight.
	next *core.Target
}

func (e *exchange) newPlan(ctx context.Context) *attemptPlan {
	plan := &attemptPlan{query: route.Query{Work: e.work}}
	if e.work.Keyed && e.work.Idempotent {
		if earlier, found := e.pipeline.Registry.Find(ctx, e.work.ID); found {
			plan.query.Resume = earlier.Upstream
		}
		e.pipeline.Registry.Begin(e.work.ID)
	}
	return plan
}

// nextTarget waits for the backoff delay and chooses the upstream of the next
// attempt. If there is none, it returns the error of the last attempt, unless an upstream
// that was silent may go on.
func (e *exchange) nextTarget(ctx context.Context, plan *attemptPlan) (core.Target, error) {
	if plan.next != nil {
		target := *plan.next
		plan.next = nil
		return target, nil
	}
	target, err := e.pickTarget(ctx, plan)
	if err != nil && plan.silent != "" {
		return e.returnToSilent(ctx, plan)
	}
	return target, err
}

// returnToSilent chooses the upstream that was silent once more. It holds the answer, so
// that this doesn't run the request again.
func (e *exchange) returnToSilent(ctx context.Context, plan *attemptPlan) (core.Target, error) {
	plan.newConnection = true
	plan.query.Resume = plan.silent
	target, err := e.pipeline.Route.Apply(ctx, plan.query)
	if err != nil {
		return core.Target{}, plan.lastErr
	}
	return target, nil
}

// brokeWithLinks reports whether an answer broke off because this host lost its links to
// all upstreams of the work. The upstream still holds the answer, and is reached through
// another host.
func (e *exchange) brokeWithLinks(ctx context.Context, target core.Target, err error) bool {
	if fault.From(err).Run == fault.NotRun || !mayRepeat(e.work, err) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return e.pipeline.Attempt.LinksLost(ctx, target)
}

// mayAskAgain reports whether an upstream that holds the answer may be asked for it once
// more after it failed with err: it keeps the answer if it only refused the connection.
func (e *exchange) mayAskAgain(err error) bool {
	return fault.From(err).Run == fault.NotRun && e.attempts < maxAttempts
}

// pickTarget chooses the upstream of the next attempt without regard to one that was
// silent.
func (e *exchange) pickTarget(ctx context.Context, plan *attemptPlan) (core.Target, error) {
	e.attempts++
	plan.query.Attempt = e.attempts
	if e.attempts > maxAttempts {
		return core.Target{}, plan.lastErr
	}
	if e.attempts > 1 {
		if err := task.Sleep(ctx, retry.Backoff(e.attempts, rand.Float64())); err != nil {
			return core.Target{}, plan.lastErr
		}
	}
	target, err := e.pipeline.Route.Apply(ctx, plan.query)
	if err != nil && plan.lastErr != nil {
		return core.Target{}, plan.lastErr
	}
	return target, err
}

func (e *exchange) streamCompletion(ctx context.Context) (result, error) {
	answer := &relay.AnswerState{Cursor: stream.NewCursor(e.work.ID), Patient: !e.work.Idempotent}
	plan := e.newPlan(ctx)
	for {
		target, err := e.nextTarget(ctx, plan)
		if err != nil {
			return result{delivered: answer.Cursor.Delivered() > 0}, err
		}
		outcome := e.attemptStream(ctx, plan, target, answer)
		switch outcome.Ending {
		case relay.Finished:
			return e.completedResult(answer, outcome), nil
		case relay.CallerGone:
			return e.partialResult(answer), e.interruptionError(ctx, outcome.Err)
		case relay.Silent:
		default:
			if target.Upstream == plan.silent && !e.mayAskAgain(outcome.Err) {
				plan.silent = ""
			}
			plan.lastErr = outcome.Err
			plan.newConnection = false
			plan.query.Resume = ""
			if e.brokeWithLinks(ctx, target, outcome.Err) {
				plan.query.Resume = target.Upstream
			} else {
				plan.query.Excluded = append(plan.query.Excluded, target.Upstream)
			}
		}
		if !mayRepeat(e.work, plan.lastErr) {
			return result{delivered: answer.Cursor.Delivered() > 0}, plan.lastErr
		}
	}
}

// attemptStream makes one streamed attempt and reports its outcome to the
// balancer.
func (e *exchange) attemptStream(ctx context.Context, plan *attemptPlan, target core.Target, answer *relay.AnswerState) relay.Outcome {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if e.work.Keyed && e.work.Idempotent {
		e.pipeline.Registry.Located(e.work.ID, target)
	}
	started := e.pipeline.Now()
	results := e.pipeline.Attempt.Stream(attemptCtx, attempt.Request{
		Work: e.work, Target: target, Attempt: answer.Cursor.StartAttempt(),
		After: answer.Cursor.Delivered(), Partial: answer.Cursor.Text(), NewConnection: plan.newConnection,
	})
	answer.OnFirstToken = func(elapsed time.Duration) { e.observeFirstToken(target, started, elapsed) }
	relayed := e.pipeline.Relay.Begin(answer, results, e.sink)
	outcome := relayed.Run(attemptCtx)
	for outcome.Ending == relay.Silent && !e.planAfterSilence(ctx, plan, target) {
		outcome = relayed.Run(attemptCtx)
	}
	if outcome.Ending == relay.Silent {
		cancel(attempt.ErrKeepRunning)
	}
	e.observeEnd(target, outcome, e.pipeline.Now().Sub(started))
	return outcome
}

// observeFirstToken reports the first token as soon as it arrives. The rest of
// the answer may take long, and a slow upstream must be detected early.
func (e *exchange) observeFirstToken(target core.Target, started time.Time, elapsed time.Duration) {
	if e.firstToken == 0 {
		e.firstToken = started.Add(elapsed).Sub(e.started)
	}
	e.pipeline.Route.Observe(route.Observation{
		Kind: route.FirstToken, Target: target, Model: e.work.Model(), Elapsed: elapsed, Estimate: e.work.Estimate,
	})
}

func (e *exchange) observeEnd(target core.Target, outcome relay.Outcome, elapsed time.Duration) {
	e.pipeline.Route.Observe(route.Observation{
		Kind: observationKind(outcome), Target: target, Model: e.work.Model(),
		Elapsed: elapsed, Tokens: outcome.Tokens, Estimate: e.work.Estimate, Bytes: e.work.Call.Bytes(),
	})
}

func observationKind(outcome relay.Outcome) route.ObservationKind {
	switch outcome.Ending {
	case relay.Finished:
		return route.Finished
	case relay.Silent:
		return route.Silent
	case relay.CallerGone:
		return route.Cancelled
	default:
		return failureKind(outcome.Err)
	}
}

// failureKind distinguishes an upstream that refused the work from one that
// failed while running it.
func failureKind(err error) route.ObservationKind {
	if fault.From(err).Run == fault.NotRun {
		return route.Refused
	}
	return route.Failed
}

// planAfterSilence probes a silent upstream on a new connection. If the
// upstream answers, only the old connection failed, and the stream resumes on
// the same upstream; otherwise the upstream is excluded, and if no other is left, the
// stream resumes at one that was silent before. It reports false if no attempt can
// follow: the upstream may be sound and go on.
func (e *exchange) planAfterSilence(ctx context.Context, plan *attemptPlan, target core.Target) bool {
	plan.lastErr = fault.New(fault.UpstreamFailed, fault.Unknown,
		"the upstream stopped sending; retry with the same Idempotency-Key").WithRetryAfter(upstreamRetry)
	following := *plan
	following.query.Excluded = slices.Clone(plan.query.Excluded)
	answers := e.probe(ctx, target) == nil
	if answers {
		following.newConnection = true
		following.query.Resume = target.Upstream
	} else {
		following.newConnection = false
		following.query.Resume = ""
		following.query.Excluded = append(following.query.Excluded, target.Upstream)
	}
	attempts := e.attempts
	next, err := e.pickTarget(ctx, &following)
	if err != nil && !answers && plan.silent != "" && plan.silent != target.Upstream {
		next, err = e.returnToSilent(ctx, &following)
	}
	if err != nil {
		e.attempts = attempts
		return false
	}
	if !answers || following.silent == "" {
		following.silent = target.Upstream
	}
	*plan = following
	plan.next = &next
	return true
}

func (e *exchange) probe(ctx context.Context, target core.Target) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return e.pipeline.Attempt.Probe(ctx, target)
}

func (e *exchange) completedResult(answer *relay.AnswerState, outcome relay.Outcome) result {
	if e.work.Keyed && e.work.Idempotent {
		e.pipeline.Registry.Finished(e.work.ID)
	}
	usage := outcome.Finish.Usage
	return result{delivered: true, usage: usage, answer: &core.Answer{Completion: &core.CompletionAnswer{
		Text: answer.Cursor.Text(), FinishReason: outcome.Finish.FinishReason, Usage: usage,
	}}}
}

// partialResult returns the usage of an answer that was interrupted by its
// caller or its deadline: the tokens delivered and the estimated prompt tokens.
func (e *exchange) partialResult(answer *relay.AnswerState) result {
	delivered := core.Tokens(answer.Cursor.Delivered())
	prompt := e.work.Estimate - e.work.MaxGenerated
	return result{delivered: delivered > 0, usage: core.Usage{Prompt: prompt, Generated: delivered}}
}

// interruptionError returns the error of a request that ended at its deadline
// or because the caller disconnected.
func (e *exchange) interruptionError(ctx context.Context, cause error) error {
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

// mayRepeat reports whether the work may be sent again after an attempt that
// failed with err.
func mayRepeat(work *core.Work, err error) bool {
	return work.Idempotent || fault.From(err).Run == fault.NotRun
}
