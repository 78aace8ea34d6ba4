// Package shares is the task that owns this host's part of the prepaid
// budgets. It reserves and settles the cost of requests, draws tokens through
// the zone's owner of a budget, serves such draws for the budgets this host
// owns in its zone, and hands everything back at a graceful stop.
//
// The table records what each host process holds in a share row of its own;
// a lot that a host draws from the zone's owner is written to the drawing
// host's row before the draw is answered. An operator's release of one host
// therefore never frees tokens that another host may still spend.
//
// This task alone reports what its process spent: the `billed` field of a
// share row is the cumulative sum of settled costs, written with the next
// commit on that row and at least every 5 s while it changes. The bills task
// writes no share rows.
package shares

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// inboxCapacity is about a second of messages at three times the planned
	// 142 requests/s of a host, with two messages per request.
	inboxCapacity = 1024
	// tickEvery is how often the task looks for totals to write.
	tickEvery = time.Second
)

// Config is what the task needs.
type Config struct {
	Table platform.Table
	// Peers and Caller may be nil for a host that works alone.
	Peers  core.PeerSource
	Caller peerrpc.Caller
	Self   core.HostRef
	Zone   core.ZoneName
	// Now defaults to time.Now.
	Now func() time.Time
	// Ticks, if set, replaces the ticker, for measurements on a fake clock.
	Ticks <-chan time.Time
	// Log defaults to no log.
	Log *zap.Logger
	// Meter defaults to one that records nothing.
	Meter metric.Meter
}

// Task owns this host's shares. Its exported methods may be called from any
// goroutine.
type Task struct {
	config  Config
	ledger  Ledger
	inbox   *task.Inbox[message]
	serials atomic.Uint64
	metrics metrics

	// The fields below belong to the goroutine of Run.
	ctx      context.Context
	workers  sync.WaitGroup
	accounts map[core.BudgetID]*account
	// queue holds requests of this zone for the next batch.
	queue    []serve
	serving  bool
	flushing bool
	drain    *drain
}

// message is handled by the goroutine of Run.
type message interface {
	apply(t *Task)
}

// New returns a task that answers once its Run method runs.
func New(config Config) *Task {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	if config.Meter == nil {
		config.Meter = noop.Meter{}
	}
	return &Task{
		config: config, ledger: NewLedger(config.Table, config.Now),
		inbox: task.NewInbox[message](inboxCapacity), metrics: newMetrics(config.Meter),
		accounts: make(map[core.BudgetID]*account),
	}
}

// Receiver returns the net/rpc receiver, to be registered as ReceiverName.
func (t *Task) Receiver() *Receiver {
	return &Receiver{t.inbox}
}

// Run handles messages until ctx ends.
func (t *Task) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	t.ctx = ctx
	defer t.workers.Wait()
	defer t.inbox.Close()
	defer cancel()
	ticks := t.config.Ticks
	if ticks == nil {
		ticker := time.NewTicker(tickEvery)
		defer ticker.Stop()
		ticks = ticker.C
	}
	for {
		select {
		case received := <-t.inbox.Messages():
			received.apply(t)
		case <-ticks:
			t.flush()
		case <-ctx.Done():
			return
		}
	}
}

// start runs a blocking call in a worker goroutine. The worker does not
// touch the task's state; it posts its result, if any, to the inbox.
func (t *Task) start(timeout time.Duration, call func(ctx context.Context) message) {
	parent := t.ctx
	t.workers.Go(func() {
		ctx, cancel := context.WithTimeout(parent, timeout)
		defer cancel()
		if result := call(ctx); result != nil {
			// The send fails only if the task has ended.
			_ = t.inbox.Send(parent, result)
		}
	})
}

// after posts a message when the delay has passed.
func (t *Task) after(delay time.Duration, later message) {
	parent := t.ctx
	time.AfterFunc(delay, func() { _ = t.inbox.Send(parent, later) })
}

// Reserve sets amount aside, drawing more from the budget if needed. It
// returns a *fault.Error whose run state is not_run on refusal.
func (t *Task) Reserve(ctx context.Context, id core.BudgetID, amount core.Tokens) (core.Hold, error) {
	if amount < 0 {
		return core.Hold{}, fault.Refuse(fault.InvalidRequest, "the cost of a request is %d tokens; it must not be negative", amount)
	}
	serial := t.serials.Add(1)
	result, err := task.Ask(ctx, t.inbox, func(replies chan<- reserved) message {
		return &reserve{budget: id, amount: amount, serial: serial, reply: replies}
	})
	switch {
	case err == nil:
		return result.hold, result.err
	case errors.Is(err, task.ErrOverloaded):
		return core.Hold{}, fault.Refuse(fault.Overloaded, "the host is busy; retry after the delay").WithRetryAfter(time.Second).WithCause(err)
	case errors.Is(err, task.ErrStopped):
		return core.Hold{}, drainingFault().WithCause(err)
	}
	// The hold may have been granted after the caller left.
	t.Settle(core.Hold{Share: t.share(id), Amount: amount, Serial: serial}, 0)
	if errors.Is(err, context.Canceled) {
		return core.Hold{}, fault.Refuse(fault.CallerGone, "the caller left before the request was sent").WithCause(err)
	}
	return core.Hold{}, fault.Refuse(fault.DeadlineExceeded,
		"the deadline passed before the budget answered; retry with a later deadline").WithCause(err)
}

// Settle ends a hold: cost is spent, the rest may be reserved again. It
// blocks while the task's inbox is full, as a lost settlement would withhold
// tokens from the team.
func (t *Task) Settle(hold core.Hold, cost core.Tokens) {
	err := t.inbox.Send(context.Background(), &settle{hold: hold, cost: cost})
	if err != nil {
		t.config.Log.Warn("a reservation was settled after the shares task ended; its cost stays deducted",
			zap.String("budget", string(hold.Share.Budget)), zap.Int64("tokens", int64(cost)))
	}
}

// Credit takes back a cost that was settled, for the bills task when it drops
// the bill of a keyed request that had been billed before. The caller credits
// each request once.
func (t *Task) Credit(id core.ShareID, amount core.Tokens) {
	if err := t.inbox.Send(context.Background(), &credit{id, amount}); err != nil {
		t.config.Log.Warn("a credit came after the shares task ended; the cost stays deducted",
			zap.String("budget", string(id.Budget)), zap.Int64("tokens", int64(amount)))
	}
}

// Adopt raises the billed total of another process's share, for a peer that
// applies the bills of a host that is gone. Total is the sum of all bills kept for
// that share, so a repeated call adds nothing.
func (t *Task) Adopt(ctx context.Context, id core.ShareID, total core.Tokens) error {
	writtenOff, err := t.ledger.Settle(ctx, id, total)
	if writtenOff > 0 {
		t.logWrittenOff(id, writtenOff)
	}
	return err
}

func (t *Task) logWrittenOff(id core.ShareID, amount core.Tokens) {
	t.metrics.lost.Add(context.Background(), int64(amount))
	t.config.Log.Warn("bills on a released share were written off, as the budget is spent",
		zap.String("budget", string(id.Budget)), zap.Stringer("holder", id.Holder), zap.Int64("tokens", int64(amount)))
}

// share returns the identity of this process's share of a budget.
func (t *Task) share(id core.BudgetID) core.ShareID {
	return core.ShareID{Budget: id, Holder: t.config.Self}
}
