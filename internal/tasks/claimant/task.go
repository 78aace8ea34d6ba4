// Package claimant is the task that makes each non-idempotent call run at most
// once in the fleet. It implements claim.Claims.
package claimant

import (
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/claims"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/task"
)

// inboxCapacity holds about one second of calls at three times the planned peak
// load of 142 requests per second and host.
const inboxCapacity = 512

// Config configures the task.
type Config struct {
	Self    core.HostRef
	Table   platform.Table
	Objects platform.Objects
	// Peers is the view of the fleet; nil if this is the only host.
	Peers core.PeerSource
	Now   func() time.Time
	// Log and Meter may be nil.
	Log   *zap.Logger
	Meter metric.Meter
}

// Task owns the claims of this host.
type Task struct {
	config       Config
	inbox        *task.Inbox[message]
	counters     counters
	lastWaiterID atomic.Uint64
}

// message is a message in the task's inbox. handle runs in the task's goroutine.
type message interface {
	handle(ctx context.Context, owned *state)
}

// New returns a task, which handles messages while Run runs.
func New(config Config) *Task {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	return &Task{config: config, inbox: task.NewInbox[message](inboxCapacity), counters: newCounters(config.Meter)}
}

// Run handles messages until ctx ends. Calls that still run then stay claimed,
// and retries of them get outcome_unknown.
func (t *Task) Run(ctx context.Context) {
	defer t.inbox.Close()
	owned := newState(t)
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case received := <-t.inbox.Messages():
			received.handle(ctx, owned)
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		owned.advance(ctx)
		timer.Reset(owned.waitTime())
	}
}

func claimKey(work *core.Work) claims.Key {
	return claims.Key{Team: work.Caller.Team.Team, Key: claims.CanonicalKey(work.Call.IdempotencyKey)}
}

func (t *Task) newWaiterID() claims.WaiterID {
	return claims.WaiterID(t.lastWaiterID.Add(1))
}

// Claim implements claim.Claims. It waits until the deadline of the work at
// most. The work given to Complete, Release or Abandon must have the same Call
// pointer.
func (t *Task) Claim(ctx context.Context, work *core.Work) (*core.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, work.Deadline.Sub(t.config.Now()))
	defer cancel()
	waiter, replies := t.newWaiterID(), make(chan claims.Reply, 2)
	asked := claimMessage{waiter: waiter, key: claimKey(work), call: work.Call, replies: replies}
	if err := t.inbox.Send(ctx, asked); err != nil {
		return nil, unreachableError().WithCause(err)
	}
	select {
	case reply := <-replies:
		return t.resolveReply(ctx, reply)
	case <-ctx.Done():
	}
	// Only the task knows whether the claim has been acquired meanwhile. It
	// handles the withdrawal without remote requests, so this wait is short.
	_, err := task.Ask(context.WithoutCancel(ctx), t.inbox, func(done chan<- struct{}) message {
		return withdrawMessage{waiter, done}
	})
	if err != nil {
		return nil, unreachableError().WithCause(err)
	}
	reply := <-replies
	if reply.Kind == claims.Acquired {
		reply = <-replies
	}
	return t.resolveReply(ctx, reply)
}

// Complete implements claim.Claims.
func (t *Task) Complete(ctx context.Context, work *core.Work, answer *core.Answer) {
	waiter, replies := t.newWaiterID(), make(chan claims.Reply, 1)
	t.finish(finishMessage{call: work.Call, waiter: waiter, key: claimKey(work), outcome: claims.Record{State: claims.Done, Answer: answer}, replies: replies})
	select {
	case <-replies:
	case <-ctx.Done():
		t.counters.unrecordedAnswers.Add(context.WithoutCancel(ctx), 1)
	}
}

// Release implements claim.Claims.
func (t *Task) Release(work *core.Work) {
	t.finish(finishMessage{call: work.Call, key: claimKey(work), outcome: claims.Record{State: claims.NotRun}})
}

// Abandon implements claim.Claims.
func (t *Task) Abandon(work *core.Work) {
	t.finish(finishMessage{call: work.Call, key: claimKey(work), outcome: claims.Record{State: claims.Claimed, Abandoned: true}})
}

// finish sends an outcome to the task. It must arrive even if the request's
// context has ended, so finish blocks while the inbox is full.
func (t *Task) finish(finished finishMessage) {
	if err := t.inbox.Send(context.Background(), finished); err != nil {
		t.config.Log.Warn("received the outcome of a call after the claims task stopped; retries get outcome_unknown",
			zap.String("team", string(finished.key.Team)), zap.Error(err))
	}
}

// Drain waits until all outcomes sent to the task so far are in the table. The
// caller must have stopped sending new calls. If ctx ends first, the error tells
// how many calls have no outcome in the table.
func (t *Task) Drain(ctx context.Context) error {
	done := make(chan struct{}, 1)
	if err := t.inbox.Send(ctx, drainMessage{done}); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	left, err := task.Ask(context.WithoutCancel(ctx), t.inbox, func(reply chan<- int) message { return countMessage{reply} })
	if err != nil {
		return err
	}
	return fault.New(fault.PlatformUnreachable, fault.Unknown,
		"%d calls have no outcome in the table; retries of them get outcome_unknown", left).WithCause(ctx.Err())
}
