package pipeline

import (
	"context"
	"errors"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/filter/attempt"
	"github.com/peridotreel/peridotreel/internal/filter/route"
)

// serviceSilenceLimit is how long an idempotent call waits for an answer before
// it is sent again on a new connection, as its pooled connection may have gone
// silent. The first call continues, as the service may only be slow.
const serviceSilenceLimit = time.Second

// serviceResult is the outcome of one call to a plain service.
type serviceResult struct {
	target        core.Target
	newConnection bool
	answer        *core.ServiceAnswer
	err           error
}

func (e *exchange) callService(ctx context.Context) (result, error) {
	if !e.work.Idempotent {
		// The call continues if the caller disconnects; otherwise its outcome
		// would be unknown.
		var cancel context.CancelFunc
		ctx, cancel = untilHostStops(ctx, e.work.Deadline)
		defer cancel()
	}
	plan := e.newPlan(ctx)
	for {
		outcome, err := e.attemptCall(ctx, plan)
		if err != nil {
			return result{}, err
		}
		if outcome.err == nil {
			e.firstToken = e.pipeline.Now().Sub(e.started)
			return result{answer: &core.Answer{Service: outcome.answer}}, nil
		}
		plan.lastErr = outcome.err
		plan.query.Excluded = append(plan.query.Excluded, outcome.target.Upstream)
		if ctx.Err() != nil || !mayRepeat(e.work, outcome.err) {
			return result{}, outcome.err
		}
	}
}

// untilHostStops returns a context that ends at the deadline, or with ctx if the host
// stops, but not with ctx if the caller disconnects.
func untilHostStops(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	detached, cancelDeadline := context.WithDeadline(detached, deadline)
	stop := context.AfterFunc(ctx, func() {
		if cause := context.Cause(ctx); errors.Is(cause, fault.ErrHostStopping) {
			cancel(cause)
		}
	})
	return detached, func() {
		stop()
		cancelDeadline()
		cancel(nil)
	}
}

// attemptCall calls the service. An idempotent call that is not answered within
// serviceSilenceLimit is sent once more on a new connection, and the first
// answer is used.
func (e *exchange) attemptCall(ctx context.Context, plan *attemptPlan) (serviceResult, error) {
	target, err := e.nextTarget(ctx, plan)
	if err != nil {
		return serviceResult{}, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	results := make(chan serviceResult, 2)
	go e.callOnce(ctx, target, e.attempts, false, results)
	if !e.work.Idempotent {
		return <-results, nil
	}
	silenceTimer := time.NewTimer(serviceSilenceLimit)
	defer silenceTimer.Stop()
	select {
	case outcome := <-results:
		return outcome, nil
	case <-silenceTimer.C:
	}
	secondTarget, err := e.nextTarget(ctx, plan)
	if err != nil {
		return <-results, nil
	}
	go e.callOnce(ctx, secondTarget, e.attempts, true, results)
	outcome := <-results
	if outcome.err != nil {
		outcome = <-results
	}
	if outcome.err == nil && outcome.newConnection {
		cancel(attempt.ErrAnsweredOnNewConnection)
	}
	return outcome, nil
}

// callOnce sends one call and reports its outcome to the balancer.
func (e *exchange) callOnce(ctx context.Context, target core.Target, attemptNumber int, newConnection bool, results chan<- serviceResult) {
	started := e.pipeline.Now()
	answer, err := e.pipeline.Attempt.Call(ctx, attempt.Request{Work: e.work, Target: target, Attempt: attemptNumber, NewConnection: newConnection})
	observation := route.Observation{Kind: route.Finished, Target: target, Elapsed: e.pipeline.Now().Sub(started), Estimate: e.work.Estimate, Bytes: e.work.Call.Bytes()}
	switch {
	case err != nil && ctx.Err() != nil:
		observation.Kind = route.Cancelled
	case err != nil:
		observation.Kind = failureKind(err)
	}
	e.pipeline.Route.Observe(observation)
	results <- serviceResult{target, newConnection, answer, err}
}
