package pipeline

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/filter/attempt"
	"github.com/peridotreel/peridotreel/internal/filter/route"
)

// serviceSilence is how long a call that may be repeated stays unanswered
// before a second one is sent on a new connection. A pooled connection may
// have fallen silent for good; the first call goes on, as it may only be slow.
const serviceSilence = time.Second

// serviceResult is the outcome of one call to a plain service.
type serviceResult struct {
	target core.Target
	fresh  bool
	answer *core.ServiceAnswer
	err    error
}

func (e *exchange) callService(ctx context.Context) (result, error) {
	if !e.work.Idempotent {
		// The caller's departure must not leave the outcome of the call unknown.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), e.work.Deadline)
		defer cancel()
	}
	plan := e.newPlan(ctx)
	for {
		outcome, err := e.attemptCall(ctx, plan)
		if err != nil {
			return result{}, err
		}
		if outcome.err == nil {
			e.firstToken = e.line.Now().Sub(e.started)
			return result{answer: &core.Answer{Service: outcome.answer}}, nil
		}
		plan.last = outcome.err
		plan.query.Excluded = append(plan.query.Excluded, outcome.target.Upstream)
		if ctx.Err() != nil || !mayRepeat(e.work, outcome.err) {
			return result{}, outcome.err
		}
	}
}

// attemptCall calls the service and, if the call may be repeated and stays
// unanswered, calls it once more on a new connection. The first answer wins.
func (e *exchange) attemptCall(ctx context.Context, plan *attemptPlan) (serviceResult, error) {
	target, err := e.nextTarget(ctx, plan)
	if err != nil {
		return serviceResult{}, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	results := make(chan serviceResult, 2)
	go e.call(ctx, target, e.attempts, false, results)
	if !e.work.Idempotent {
		return <-results, nil
	}
	silence := time.NewTimer(serviceSilence)
	defer silence.Stop()
	select {
	case outcome := <-results:
		return outcome, nil
	case <-silence.C:
	}
	second, err := e.nextTarget(ctx, plan)
	if err != nil {
		return <-results, nil
	}
	go e.call(ctx, second, e.attempts, true, results)
	outcome := <-results
	if outcome.err != nil {
		outcome = <-results
	}
	if outcome.err == nil && outcome.fresh {
		cancel(attempt.ErrReplaced)
	}
	return outcome, nil
}

// call performs one call and reports what it showed about the upstream.
func (e *exchange) call(ctx context.Context, target core.Target, number int, fresh bool, results chan<- serviceResult) {
	started := e.line.Now()
	answer, err := e.line.Attempt.Call(ctx, attempt.Request{Work: e.work, Target: target, Attempt: number, Fresh: fresh})
	observation := route.Observation{Kind: route.Finished, Target: target, Elapsed: e.line.Now().Sub(started), Estimate: e.work.Estimate}
	switch {
	case err != nil && ctx.Err() != nil:
		observation.Kind = route.Abandoned
	case err != nil:
		observation.Kind = failureOf(err)
	}
	e.line.Route.Observe(observation)
	results <- serviceResult{target, fresh, answer, err}
}
