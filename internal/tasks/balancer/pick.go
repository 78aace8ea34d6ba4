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

// noUpstreamRetry is the delay told to callers: one reading of the list.
const noUpstreamRetry = time.Second

// budgets are those of one model; plain services share the model "".
type budgets struct {
	retry retry.Budget
	hedge retry.Budget
}

type purpose uint8

const (
	first purpose = iota + 1
	repeat
	hedge
)

type pickMessage struct {
	request routing.Request
	purpose purpose
	reply   chan<- picked
}

type picked struct {
	target core.Target
	err    *fault.Error
}

// Pick chooses an upstream and counts the attempt as in flight there. Attempts
// after the first draw on the model's retry budget, unless they resume on the
// upstream that holds the answer, which doesn't run it again.
func (t *Task) Pick(ctx context.Context, query route.Query) (core.Target, error) {
	kind := first
	if query.Attempt > 1 {
		kind = repeat
	}
	return t.pick(ctx, query, kind)
}

// Hedge chooses an upstream for an attempt beside the first one, as the
// model's hedge budget permits. The upstream of the first attempt must be
// among the excluded ones.
func (t *Task) Hedge(ctx context.Context, query route.Query) (core.Target, error) {
	if !query.Work.Idempotent {
		return core.Target{}, fault.New(fault.UpstreamFailed, fault.Unknown, "work that must not run twice is not hedged; wait for the first attempt")
	}
	return t.pick(ctx, query, hedge)
}

func (t *Task) pick(ctx context.Context, query route.Query, kind purpose) (core.Target, error) {
	reply := make(chan picked, 1)
	message := pickMessage{purpose: kind, reply: reply, request: routing.Request{
		Pool: upstreams.PoolOf(query.Work), Estimate: query.Work.Estimate, PrefixHash: query.Work.PrefixHash,
		Excluded: query.Excluded, Resume: query.Resume,
	}}
	if err := t.inbox.Send(ctx, message); err != nil {
		return core.Target{}, refusal(kind, fault.Overloaded, "this host can't choose an upstream in time; retry later").Because(err)
	}
	// The task answers each pick at once. Waiting for it even if ctx has
	// ended makes sure that a counted attempt is known to its caller.
	answer, err := t.await(reply)
	if err != nil {
		return core.Target{}, refusal(kind, fault.HostDraining, "this host is stopping; retry at another host").Because(err)
	}
	if answer.err != nil {
		return core.Target{}, answer.err
	}
	return answer.target, nil
}

func (t *Task) await(reply <-chan picked) (picked, error) {
	select {
	case answer := <-reply:
		return answer, nil
	case <-t.done:
		return picked{}, task.ErrStopped
	}
}

// refusal returns an error for a pick. Only a refused first attempt proves
// that the request did not run.
func refusal(kind purpose, code fault.Code, message string) *fault.Error {
	run := fault.NotRun
	if kind != first {
		run = fault.Unknown
	}
	return fault.New(code, run, "%s", message).After(noUpstreamRetry)
}

func (m pickMessage) handle(t *Task, now time.Time) {
	m.request.Random = t.random.Uint64()
	member := routing.Pick(t.view, now, &m.request)
	if member == nil {
		m.reply <- picked{err: refusal(m.purpose, fault.NoUpstream, "no upstream serves this work at the moment; retry later")}
		return
	}
	if !t.draw(now, &m, member.Target().Upstream) {
		t.metrics.refuseRepeat()
		m.reply <- picked{err: refusal(m.purpose, fault.UpstreamFailed,
			"the attempt failed and the retry budget of its model is used up; retry later")}
		return
	}
	t.polls.used[m.request.Pool] = now
	t.view.Start(now, member, m.request.Estimate)
	m.reply <- picked{target: member.Target()}
}

// draw takes the attempt from the budget it belongs to. An attempt that
// resumes where the answer is held takes nothing.
func (t *Task) draw(now time.Time, m *pickMessage, chosen core.UpstreamID) bool {
	budget := t.budget(now, m.request.Pool.Model)
	switch {
	case m.purpose == first:
		budget.retry.Request()
		budget.hedge.Request()
		return true
	case m.purpose == hedge:
		return budget.hedge.Take(now)
	case chosen == m.request.Resume:
		return true
	}
	return budget.retry.Take(now)
}

func (t *Task) budget(now time.Time, model core.ModelName) *budgets {
	found, ok := t.budgets[model]
	if !ok {
		found = &budgets{retry: retry.NewRetryBudget(now), hedge: retry.NewHedgeBudget(now)}
		t.budgets[model] = found
	}
	return found
}

type observeMessage struct {
	observation route.Observation
}

// Observe updates the view of an upstream. It blocks while the inbox is full:
// a lost end of an attempt would count as in flight forever.
func (t *Task) Observe(observation route.Observation) {
	_ = t.inbox.Send(context.Background(), observeMessage{observation: observation})
}

func (m observeMessage) handle(t *Task, now time.Time) {
	o := &m.observation
	pool := t.view.PoolOn(o.Target, o.Model)
	if o.Kind == route.FirstToken {
		t.view.FirstToken(now, pool, o.Target, o.Elapsed, o.Estimate)
		return
	}
	ending := upstreams.Cancelled
	switch o.Kind {
	case route.Finished:
		ending = upstreams.Done
	case route.Failed, route.Silent:
		ending = upstreams.Broken
	case route.Refused:
		ending = upstreams.Refused
	case route.FirstToken, route.Cancelled:
	}
	t.view.End(now, pool, o.Target, ending, o.Elapsed, o.Tokens, o.Estimate)
}

// HedgeAfter returns how long the first token of idempotent work may take
// before a second attempt is worth asking for; 0 if that is unknown.
func (t *Task) HedgeAfter(work *core.Work) time.Duration {
	usual := (*t.models.Load())[work.Model()]
	return retry.HedgeDelay(usual.FirstToken, float64(work.Estimate)/max(1, float64(usual.Estimate)))
}
