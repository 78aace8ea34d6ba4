// Package claimant is the task that makes sure that calls which must not be
// repeated run at most once in the fleet. It implements claim.Claims.
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

// inboxCapacity holds about a second of calls at three times the planned peak
// of 142 requests a second and host.
const inboxCapacity = 512

// Config holds what the task works with.
type Config struct {
	Self    core.HostRef
	Table   platform.Table
	Objects platform.Objects
	// Peers is the view of the fleet; nil if the host works alone.
	Peers core.PeerSource
	Now   func() time.Time
	// Log and Meter may be nil.
	Log   *zap.Logger
	Meter metric.Meter
}

// Task owns the claims of this host.
type Task struct {
	config   Config
	inbox    *task.Inbox[message]
	counters counters
	waiters  atomic.Uint64
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

// Run handles messages until ctx ends. Claims that are running then stay
// claimed, and their outcome is unknown to a repeat.
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
		timer.Reset(owned.pause())
	}
}

func keyOf(work *core.Work) claims.Key {
	return claims.Key{Team: work.Caller.Team.Team, Key: claims.CanonicalKey(work.Call.IdempotencyKey)}
}

func (t *Task) newWaiter() claims.WaiterID {
	return claims.WaiterID(t.waiters.Add(1))
}

// Claim implements claim.Claims. It waits until the work's deadline at most. The
// work given to Complete, Release or Abandon must have the same Call.
func (t *Task) Claim(ctx context.Context, work *core.Work) (*core.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, work.Deadline.Sub(t.config.Now()))
	defer cancel()
	waiter, replies := t.newWaiter(), make(chan claims.Reply, 2)
	asked := claimMessage{waiter: waiter, key: keyOf(work), call: work.Call, replies: replies}
	if err := t.inbox.Send(ctx, asked); err != nil {
		return nil, unreachable().WithCause(err)
	}
	select {
	case reply := <-replies:
		return t.resolve(ctx, reply)
	case <-ctx.Done():
	}
	// Only the task knows whether the claim is won by now, and its answer to
	// the withdrawal is local and quick.
	_, err := task.Ask(context.WithoutCancel(ctx), t.inbox, func(done chan<- struct{}) message {
		return withdrawMessage{waiter, done}
	})
	if err != nil {
		return nil, unreachable().WithCause(err)
	}
	reply := <-replies
	if reply.Kind == claims.Won {
		reply = <-replies
	}
	return t.resolve(ctx, reply)
}

// Complete implements claim.Claims.
func (t *Task) Complete(ctx context.Context, work *core.Work, answer *core.Answer) {
	waiter, replies := t.newWaiter(), make(chan claims.Reply, 1)
	t.finish(finishMessage{call: work.Call, waiter: waiter, key: keyOf(work), outcome: claims.Record{State: claims.Done, Answer: answer}, replies: replies})
	select {
	case <-replies:
	case <-ctx.Done():
		t.counters.unrecorded.Add(context.WithoutCancel(ctx), 1)
	}
}

// Release implements claim.Claims.
func (t *Task) Release(work *core.Work) {
	t.finish(finishMessage{call: work.Call, key: keyOf(work), outcome: claims.Record{State: claims.NotRun}})
}

// Abandon implements claim.Claims.
func (t *Task) Abandon(work *core.Work) {
	t.finish(finishMessage{call: work.Call, key: keyOf(work), outcome: claims.Record{State: claims.Claimed, Abandoned: true}})
}

// finish hands over an outcome. It must arrive even if the request's context
// has ended, so a full inbox is waited for.
func (t *Task) finish(finished finishMessage) {
	if err := t.inbox.Send(context.Background(), finished); err != nil {
		t.config.Log.Warn("the outcome of a call came after the claimant had stopped; a repeat is told that it is unknown",
			zap.String("team", string(finished.key.Team)), zap.Error(err))
	}
}

// Drain waits until all outcomes handed over so far are in the table. The
// caller has stopped to send new calls. When ctx ends first, it returns how
// many calls have no outcome in the table.
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
		"%d calls have no outcome in the table; repeats of them are told that it is unknown", left).WithCause(ctx.Err())
}
