package balancer

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/retry"
	"github.com/peridotreel/peridotreel/internal/decide/routing"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/filter/route"
	"github.com/peridotreel/peridotreel/internal/task"
)

// retryAfter is the delay after which callers are told to retry: one interval
// between reads of the list.
const retryAfter = time.Second

// modelBudgets are the budgets of one model. Plain services share those of the
// model "".
type modelBudgets struct {
	retry retry.Budget
	hedge retry.Budget
}

type attemptKind uint8

const (
	firstAttempt attemptKind = iota + 1
	retryAttempt
	hedgeAttempt
)

type pickMessage struct {
	request routing.Request
	kind    attemptKind
	reply   chan<- pickResult
}

type pickResult struct {
	target core.Target
	err    *fault.Error
}

// Pick chooses an upstream and counts the attempt as in flight there. Attempts
// after the first take from the model's retry budget, unless they resume on the
// upstream that holds the answer, which doesn't run the work again.
func (t *Task) Pick(ctx context.Context, query route.Query) (core.Target, error) {
	kind := firstAttempt
	if query.Attempt > 1 {
		kind = retryAttempt
	}
	return t.pick(ctx, query, kind)
}

// Hedge chooses an upstream for an attempt beside the first one, if the model's
// hedge budget permits. The query must exclude the upstream of the first
// attempt.
func (t *Task) Hedge(ctx context.Context, query route.Query) (core.Target, error) {
	if !query.Work.Idempotent {
		return core.Target{}, fault.New(fault.UpstreamFailed, fault.Unknown, "work that must not run twice is not hedged; wait for the first attempt")
	}
	return t.pick(ctx, query, hedgeAttempt)
}

func (t *Task) pick(ctx context.Context, query route.Query, kind attemptKind) (core.Target, error) {
	reply := make(chan pickResult, 1)
	message := pickMessage{kind: kind, reply: reply, request: routing.Request{
		Pool: upstreams.PoolOf(query.Work), Estimate: query.Work.Estimate, PrefixHash: query.Work.PrefixHash,
		Excluded: query.Excluded, Resume: query.Resume, Bytes: query.Work.Call.Bytes(),
	}}
	if err := t.inbox.Send(ctx, message); err != nil {
		return core.Target{}, pickError(kind, fault.Overloaded, "this host can't choose an upstream in time; retry later").WithCause(err)
	}
	// The task replies to each pick at once. Waiting for the reply even if ctx
	// has ended ensures that the caller knows of an attempt that was counted.
	answer, err := t.await(reply)
	if err != nil {
		return core.Target{}, pickError(kind, fault.HostDraining, "this host is stopping; retry at another host").WithCause(err)
	}
	if answer.err != nil {
		return core.Target{}, answer.err
	}
	return answer.target, nil
}

func (t *Task) await(reply <-chan pickResult) (pickResult, error) {
	select {
	case answer := <-reply:
		return answer, nil
	case <-t.done:
		return pickResult{}, task.ErrStopped
	}
}

// pickError returns the error of a failed pick. Only a failed pick of the first
// attempt proves that the request did not run.
func pickError(kind attemptKind, code fault.Code, message string) *fault.Error {
	run := fault.NotRun
	if kind != firstAttempt {
		run = fault.Unknown
	}
	return fault.New(code, run, "%s", message).WithRetryAfter(retryAfter)
}

func (m pickMessage) handle(t *Task, now time.Time) {
	m.request.Random = t.random.Uint64()
	member := routing.Pick(t.view, now, &m.request)
	if member == nil {
		m.reply <- pickResult{err: pickError(m.kind, fault.NoUpstream, "no upstream serves this work at the moment; retry later")}
		return
	}
	if !t.takeFromBudget(now, &m, member.Target().Upstream) {
		t.metrics.countRefusedRetry()
		m.reply <- pickResult{err: pickError(m.kind, fault.UpstreamFailed,
			"the attempt failed and the retry budget of its model is used up; retry later")}
		return
	}
	t.polls.poolUsedAt[m.request.Pool] = now
	member.Hold(m.request.Bytes)
	t.view.StartAttempt(now, member, m.request.Estimate)
	m.reply <- pickResult{target: member.Target()}
}

// takeFromBudget takes the attempt from its budget and reports whether that had
// a token. An attempt that resumes on the upstream that holds the answer takes
// none.
func (t *Task) takeFromBudget(now time.Time, m *pickMessage, chosen core.UpstreamID) bool {
	budgets := t.budgetsOf(now, m.request.Pool.Model)
	switch {
	case m.kind == firstAttempt:
		budgets.retry.RecordRequest()
		budgets.hedge.RecordRequest()
		return true
	case m.kind == hedgeAttempt:
		return budgets.hedge.Take(now)
	case chosen == m.request.Resume:
		return true
	}
	return budgets.retry.Take(now)
}

func (t *Task) budgetsOf(now time.Time, model core.ModelName) *modelBudgets {
	found, ok := t.budgets[model]
	if !ok {
		found = &modelBudgets{retry: retry.NewRetryBudget(now), hedge: retry.NewHedgeBudget(now)}
		t.budgets[model] = found
	}
	return found
}

type observeMessage struct {
	observation route.Observation
}

// Observe updates the view of an upstream. It blocks while the inbox is full:
// if the end of an attempt were lost, the attempt would count as in flight
// forever.
func (t *Task) Observe(observation route.Observation) {
	_ = t.inbox.Send(context.Background(), observeMessage{observation: observation})
}

func (m observeMessage) handle(t *Task, now time.Time) {
	o := &m.observation
	pool := t.view.PoolOn(o.Target, o.Model)
	if o.Kind == route.FirstToken {
		t.view.RecordFirstToken(now, pool, o.Target, o.Elapsed, o.Estimate)
		return
	}
	if member := t.view.Find(pool, o.Target.Upstream); member != nil {
		member.Release(o.Bytes)
	}
	if o.Kind == route.Silent {
		// After one that broke, the next connection shows more than a probe would.
		t.suspect(o.Target, now)
	}
	outcome := upstreams.Cancelled
	switch o.Kind {
	case route.Finished:
		outcome = upstreams.Completed
	case route.Failed, route.Silent:
		outcome = upstreams.Failed
	case route.Refused:
		outcome = upstreams.Refused
	case route.FirstToken, route.Cancelled:
	}
	t.view.EndAttempt(now, pool, o.Target, outcome, o.Elapsed, o.Tokens, o.Estimate)
}

// HedgeAfter returns how long to wait for the first token of idempotent work
// before hedging; 0, which means not to hedge, if that is not known.
func (t *Task) HedgeAfter(work *core.Work) time.Duration {
	stats := (*t.models.Load())[work.Model()]
	return retry.HedgeDelay(stats.MedianFirstToken, float64(work.Estimate)/max(1, float64(stats.MeanEstimate)))
}
