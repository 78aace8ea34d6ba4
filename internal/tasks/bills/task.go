// Package bills is the task that holds this host's bills until they are in the
// platform's table, copies them to a peer, and holds copies for peers.
package bills

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// inboxCapacity is enough for about one second of bills at three times the
	// planned peak of 142 requests per second and host.
	inboxCapacity = 512
	// tickInterval limits how late a segment is sealed.
	tickInterval = 100 * time.Millisecond
)

// Refunder returns the cost of bills that are dropped because their request is
// already billed. The bills task calls it, so to avoid a deadlock it must not
// wait for anything that waits for that task.
type Refunder interface {
	Refund(share core.ShareID, cost core.Tokens)
}

// Config holds the task's settings and dependencies.
type Config struct {
	Self    core.HostRef
	Zone    core.ZoneName
	Table   platform.Table
	Objects platform.Objects
	// Peers is the view of the fleet; nil if the host runs alone.
	Peers core.PeerSource
	// Caller calls peers; nil if the host runs alone.
	Caller peerrpc.Caller
	// SettleShares is called by a worker after this host has written bills of
	// another host, and is repeated until it returns no error. It may be nil.
	SettleShares func(ctx context.Context, owner core.HostRef) error
	// Refunds returns the cost of bills that are dropped. It may be nil.
	Refunds Refunder
	Now     func() time.Time
	// Log and Meter may be nil.
	Log   *zap.Logger
	Meter metric.Meter
}

// Task owns the bills of this host and the copies held for peers.
type Task struct {
	config     Config
	inbox      *task.Inbox[message]
	counters   counters
	backlogged atomic.Bool
}

// message is a message of the task's inbox. handle runs in the task's goroutine.
type message interface {
	handle(ctx context.Context, owned *state)
}

// New returns the task. It handles messages once Run is called.
func New(config Config) *Task {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	return &Task{config: config, inbox: task.NewInbox[message](inboxCapacity), counters: newCounters(config.Meter)}
}

// Run handles messages until ctx ends. Of the bills that are still pending then,
// only the copies at peers are left, so call Drain first.
func (t *Task) Run(ctx context.Context) {
	defer t.inbox.Close()
	owned := newState(t)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	owned.tick(ctx)
	for {
		select {
		case received := <-t.inbox.Messages():
			received.handle(ctx, owned)
		case <-ticker.C:
			owned.tick(ctx)
		case <-ctx.Done():
			return
		}
		owned.startDueWork(ctx)
		t.backlogged.Store(owned.pending.Backlogged())
	}
}

// Record implements settle.Bills. It returns once a peer holds a copy of the
// bill, the bill is in the table, no peer can take a copy, the bill has waited for
// billing.MaxCopyWait, or the task has stopped. The end of ctx does not end it, as the
// copy protects the bill of a caller that has left as well.
func (t *Task) Record(ctx context.Context, bill core.Bill) {
	ctx = context.WithoutCancel(ctx)
	_, err := task.Ask(ctx, t.inbox, func(done chan<- struct{}) message { return recordMessage{bill, done} })
	if err == nil {
		return
	}
	t.counters.lost.Add(ctx, 1)
	t.config.Log.Error("lost a bill because the bills task has stopped; unless a peer holds a copy, its cost remains deducted from the share",
		zap.Stringer("request", bill.Request), zap.Int64("tokens", int64(bill.Cost)))
}

// Backlogged reports whether this host has so many pending bills that it must
// refuse new work.
func (t *Task) Backlogged() bool {
	return t.backlogged.Load()
}

// Drain writes all pending bills, and the bills of which this host holds copies
// unless their owners write them first. It returns once they are in the table.
// If ctx ends before, it returns an error that says what is left. Peers that
// still hold copies find the bills in the table once this host is gone.
func (t *Task) Drain(ctx context.Context) error {
	done := make(chan struct{}, 1)
	if err := t.inbox.Send(ctx, drainMessage{done}); err != nil {
		return fmt.Errorf("drain bills: %w", err)
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	left, err := task.Ask(context.WithoutCancel(ctx), t.inbox, func(reply chan<- unwrittenBills) message { return unwrittenMessage{reply} })
	if err != nil {
		return fmt.Errorf("drain bills: %w", err)
	}
	return fmt.Errorf("drain bills: %d bills of %d tokens are not in the table, %d of them have a copy at a peer; %d copies for peers are lost: %w",
		left.bills, left.tokens, left.copied, left.heldCopies, ctx.Err())
}

// unwrittenBills describes what a drain has not written.
type unwrittenBills struct {
	bills, copied int
	tokens        core.Tokens
	// heldCopies is the number of copies held for peers.
	heldCopies int
}
