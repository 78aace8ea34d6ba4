// Package bills is the task that keeps this host's bills until they are in
// the platform's table, has them copied to a peer, and keeps copies for peers.
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
	// inboxCapacity holds about a second of bills at three times the planned
	// peak of 142 requests a second and host.
	inboxCapacity = 512
	// tickInterval bounds how late a segment is sealed.
	tickInterval = 100 * time.Millisecond
)

// Refunder takes back the cost of bills that are not charged, because their
// request was billed before. The bills task calls it, so it must not wait for
// anything that waits for that task.
type Refunder interface {
	Refund(share core.ShareID, cost core.Tokens)
}

// Config holds what the task works with.
type Config struct {
	Self    core.HostRef
	Zone    core.ZoneName
	Table   platform.Table
	Objects platform.Objects
	// Peers is the view of the fleet; nil if the host works alone.
	Peers core.PeerSource
	// Caller reaches peers; nil if the host works alone.
	Caller peerrpc.Caller
	// Adopt is called by a worker after bills of a host that is gone were
	// written in its place, until it returns no error; nil is not called.
	Adopt func(ctx context.Context, owner core.HostRef) error
	// Refunds is told about bills that are dropped; nil ignores them.
	Refunds Refunder
	Now     func() time.Time
	// Log and Meter may be nil.
	Log   *zap.Logger
	Meter metric.Meter
}

// Task owns the bills of this host and the copies kept for peers.
type Task struct {
	config     Config
	inbox      *task.Inbox[message]
	counters   counters
	backlogged atomic.Bool
}

// message is what the task's inbox carries. handle runs in the task.
type message interface {
	handle(ctx context.Context, owned *state)
}

// New returns the task; it works once Run does.
func New(config Config) *Task {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	return &Task{config: config, inbox: task.NewInbox[message](inboxCapacity), counters: newCounters(config.Meter)}
}

// Run handles messages until ctx ends. Bills that are pending then are known
// to the peer that holds their copies only; Drain comes first.
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
		owned.advance(ctx)
		t.backlogged.Store(owned.book.Backlogged())
	}
}

// Record implements settle.Bills. It returns once a peer holds a copy of the
// bill, no peer is reachable, or ctx ends.
func (t *Task) Record(ctx context.Context, bill core.Bill) {
	held := make(chan struct{}, 1)
	// The bill must be kept even if ctx has ended, so the inbox is waited for.
	if err := t.inbox.Send(context.WithoutCancel(ctx), recordMessage{bill, held}); err != nil {
		t.counters.lost.Add(context.WithoutCancel(ctx), 1)
		t.config.Log.Error("a bill is lost because the bills task has stopped; its cost stays deducted from the share",
			zap.Stringer("request", bill.Request), zap.Int64("tokens", int64(bill.Cost)))
		return
	}
	select {
	case <-held:
	case <-ctx.Done():
	}
}

// Backlogged reports whether so many bills are pending that new work must be
// refused.
func (t *Task) Backlogged() bool {
	return t.backlogged.Load()
}

// Drain writes all pending bills, and those of which this host keeps copies
// unless their owners do. It returns once they are in the table, or an error
// that says what is left when ctx ends. Peers that still hold copies then find
// the bills in the table once this host is gone.
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
	left, err := task.Ask(context.WithoutCancel(ctx), t.inbox, func(reply chan<- leftovers) message { return leftMessage{reply} })
	if err != nil {
		return fmt.Errorf("drain bills: %w", err)
	}
	return fmt.Errorf("drain bills: %d bills of %d tokens are not in the table, %d of them have a copy at a peer; %d copies for peers are lost: %w",
		left.bills, left.tokens, left.copied, left.kept, ctx.Err())
}

// leftovers says what a drain has not written.
type leftovers struct {
	bills, copied int
	tokens        core.Tokens
	// kept counts the copies held for peers.
	kept int
}
