// Package shares is the task that owns this host's shares of the prepaid
// budgets. It reserves and settles the cost of requests, draws tokens through
// the zone's owner of a budget, serves such draws for the budgets that this host
// owns in its zone, and releases all shares at a graceful stop.
//
// The table has a share row for each host process and budget. Tokens that a
// host draws through the zone's owner are committed to the drawing host's row
// before the draw is answered. An operator's release of one host therefore never
// frees tokens that another host may still spend.
//
// Only this task reports what its process spent: the `billed` field of a share
// row is the cumulative sum of settled costs. It is written with the next commit
// of that row, and at least every 5 s while it changes. The bills task writes no
// share rows.
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
	// inboxCapacity holds about one second of messages at three times the
	// planned 142 requests/s of a host, with two messages per request.
	inboxCapacity = 1024
	// tickInterval is how often the task checks for totals to write.
	tickInterval = time.Second
)

// Config configures a Task.
type Config struct {
	Table platform.Table
	// Peers and Caller may be nil for a host without peers.
	Peers  core.PeerSource
	Caller peerrpc.Caller
	Self   core.HostRef
	Zone   core.ZoneName
	// Now defaults to time.Now.
	Now func() time.Time
	// Ticks, if set, replaces the ticker, for measurements with a fake clock.
	Ticks <-chan time.Time
	// Log defaults to a logger that discards everything.
	Log *zap.Logger
	// Meter defaults to one that records nothing.
	Meter metric.Meter
}

// Task owns the shares of this host. Its exported methods may be called from
// any goroutine.
type Task struct {
	config  Config
	ledger  TableLedger
	inbox   *task.Inbox[message]
	serials atomic.Uint64
	metrics metrics

	// The fields below belong to the goroutine of Run.
	ctx      context.Context
	workers  sync.WaitGroup
	accounts map[core.BudgetID]*budgetAccount
	// queue holds draws and returns that this host will serve from the table in
	// the next batch: those sent to it as the zone's owner, and its own draws if
	// it is the owner or no owner answered.
	queue         []serveRequest
	batchInFlight bool
	flushInFlight bool
	drain         *drainRequest
}

// message is handled by the goroutine of Run.
type message interface {
	apply(t *Task)
}

// New returns a task that handles calls while its Run method runs.
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
		config: config, ledger: NewTableLedger(config.Table, config.Now),
		inbox: task.NewInbox[message](inboxCapacity), metrics: newMetrics(config.Meter),
		accounts: make(map[core.BudgetID]*budgetAccount),
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
		ticker := time.NewTicker(tickInterval)
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

// startWorker runs a blocking call in a worker goroutine. The worker does not
// access the task's state; it sends its result, if any, to the inbox.
func (t *Task) startWorker(timeout time.Duration, call func(ctx context.Context) message) {
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

// sendAfter sends a message to the inbox after a delay.
func (t *Task) sendAfter(delay time.Duration, delayed message) {
	parent := t.ctx
	time.AfterFunc(delay, func() { _ = t.inbox.Send(parent, delayed) })
}

// Reserve reserves amount, drawing from the budget if the share has too little.
// A refusal is a *fault.Error whose run state is not_run.
func (t *Task) Reserve(ctx context.Context, id core.BudgetID, amount core.Tokens) (core.Reservation, error) {
	if amount < 0 {
		return core.Reservation{}, fault.Refuse(fault.InvalidRequest, "the cost of a request is %d tokens; it must not be negative", amount)
	}
	serial := t.serials.Add(1)
	result, err := task.Ask(ctx, t.inbox, func(replies chan<- reserveResult) message {
		return &reserveRequest{budget: id, amount: amount, serial: serial, reply: replies}
	})
	switch {
	case err == nil:
		return result.reservation, result.err
	case errors.Is(err, task.ErrOverloaded):
		return core.Reservation{}, fault.Refuse(fault.Overloaded, "the host is busy; retry after the delay").WithRetryAfter(time.Second).WithCause(err)
	case errors.Is(err, task.ErrStopped):
		return core.Reservation{}, drainingFault().WithCause(err)
	}
	// The reservation may have been granted after the caller left.
	t.Settle(core.Reservation{Share: t.shareID(id), Amount: amount, Serial: serial}, 0)
	if errors.Is(err, context.Canceled) {
		return core.Reservation{}, fault.Refuse(fault.CallerGone, "the caller left before the request was sent").WithCause(err)
	}
	return core.Reservation{}, fault.Refuse(fault.DeadlineExceeded,
		"the deadline passed before the budget answered; retry with a later deadline").WithCause(err)
}

// Settle ends a reservation: cost is billed, the rest becomes available again.
// It blocks while the inbox is full, because a lost settlement would keep the
// tokens from the team.
func (t *Task) Settle(reservation core.Reservation, cost core.Tokens) {
	err := t.inbox.Send(context.Background(), &settleRequest{reservation: reservation, cost: cost})
	if err != nil {
		t.config.Log.Warn("a reservation was settled after the shares task ended; its cost stays deducted",
			zap.String("budget", string(reservation.Share.Budget)), zap.Int64("tokens", int64(cost)))
	}
}

// Credit refunds a settled cost. The bills task calls it when it drops the bill
// of a keyed request that had already been billed. It is not idempotent: the
// caller credits each request once.
func (t *Task) Credit(id core.ShareID, amount core.Tokens) {
	if err := t.inbox.Send(context.Background(), &creditRequest{id, amount}); err != nil {
		t.config.Log.Warn("a credit came after the shares task ended; the cost stays deducted",
			zap.String("budget", string(id.Budget)), zap.Int64("tokens", int64(amount)))
	}
}

// SettleShare raises the billed total of another process's share, for a peer
// that applies the bills of a terminated host. Total is the sum of all bills
// kept for that share, so a repeated call adds nothing.
func (t *Task) SettleShare(ctx context.Context, id core.ShareID, total core.Tokens) error {
	writtenOff, err := t.ledger.SettleShare(ctx, id, total)
	if writtenOff > 0 {
		t.logWrittenOff(id, writtenOff)
	}
	return err
}

func (t *Task) logWrittenOff(id core.ShareID, amount core.Tokens) {
	t.metrics.writtenOff.Add(context.Background(), int64(amount))
	t.config.Log.Warn("bills on a released share were written off because the budget is spent",
		zap.String("budget", string(id.Budget)), zap.Stringer("holder", id.Holder), zap.Int64("tokens", int64(amount)))
}

// shareID returns the identity of this process's share of a budget.
func (t *Task) shareID(id core.BudgetID) core.ShareID {
	return core.ShareID{Budget: id, Holder: t.config.Self}
}
