package members

import (
	"context"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/membership"
)

// runAction is a worker: it makes the call of one action and sends the outcome
// to the task.
func (t *Task) runAction(ctx context.Context, action membership.Action) {
	if action.Kind == membership.SendSync {
		t.fetchPages(ctx, action)
		return
	}
	result := outcome{action: action}
	callCtx, cancel := context.WithTimeout(ctx, action.Timeout)
	defer cancel()
	if action.Kind == membership.SendPing {
		var answer WireMessage
		result.err = t.config.Caller.Call(callCtx, action.Target, pingMethod, toWire(action.Message), &answer)
		result.answer = fromWire(answer)
	} else {
		args := PingRequestArgs{Message: toWire(action.Message), Host: action.Target.Ref.Host,
			Inc: action.Target.Ref.Incarnation, Address: action.Target.Address, WaitMillis: action.Timeout.Milliseconds()}
		var reply PingRequestReply
		result.err = t.config.Caller.Call(callCtx, action.Relay, pingRequestMethod, args, &reply)
		result.answer, result.reached = fromWire(reply.Message), reply.Reached
	}
	// Once the task has ended, the outcome is not needed.
	_ = t.control.Send(ctx, result)
}

// fetchPages fetches all facts of a host, page by page, and sends each page to
// the task.
func (t *Task) fetchPages(ctx context.Context, action membership.Action) {
	args := PageArgs{Message: toWire(action.Message)}
	for {
		callCtx, cancel := context.WithTimeout(ctx, action.Timeout)
		var reply PageReply
		err := t.config.Caller.Call(callCtx, action.Target, pageMethod, args, &reply)
		cancel()
		if err != nil {
			return
		}
		result := outcome{action: action, answer: fromWire(reply.Message)}
		if t.control.Send(ctx, result) != nil || !reply.More || len(reply.Message.U) == 0 {
			return
		}
		// The first call delivered the updates; later calls need only the sender.
		args.Message.U = nil
		args.After = reply.Message.U[len(reply.Message.U)-1].H
	}
}

// readDirectory is a worker: it reads the platform's directory once and sends
// the result to the task.
func (t *Task) readDirectory(ctx context.Context) {
	if t.config.Directory == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	var result directoryRead
	result.members, result.err = t.config.Directory.Members(callCtx)
	_ = t.control.Send(ctx, result)
}

// logChanges logs and counts changes of state. Both views are ordered by host.
func (t *Task) logChanges(before, after *core.PeerView) {
	known := 0
	for i := range after.Peers {
		peer := &after.Peers[i]
		for known < len(before.Peers) && before.Peers[known].Ref.Host < peer.Ref.Host {
			known++
		}
		if known < len(before.Peers) && before.Peers[known].Ref == peer.Ref && before.Peers[known].State == peer.State {
			continue
		}
		t.metrics.changed(peer.State)
		t.config.Log.Info("host state changed", zap.String("host", peer.Ref.String()),
			zap.String("zone", string(peer.Zone)), zap.String("state", peer.State.String()))
	}
	if after.Self.State == core.PeerDead && before.Self.State != core.PeerDead {
		t.config.Log.Error("a later process of this host has joined the fleet; stop this process",
			zap.String("host", after.Self.Ref.String()))
	}
}
