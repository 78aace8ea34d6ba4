package members

import (
	"context"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/membership"
)

// send is a worker that owns the call of one action and posts the outcome.
func (t *Task) send(ctx context.Context, action membership.Action) {
	if action.Kind == membership.SendSync {
		t.sync(ctx, action)
		return
	}
	result := outcome{action: action}
	limited, cancel := context.WithTimeout(ctx, action.Timeout)
	defer cancel()
	if action.Kind == membership.SendPing {
		var answer WireMessage
		result.err = t.config.Caller.Call(limited, action.Target, pingMethod, toWire(action.Message), &answer)
		result.answer = fromWire(answer)
	} else {
		args := PingRequestArgs{Message: toWire(action.Message), Host: action.Target.Ref.Host,
			Inc: action.Target.Ref.Incarnation, Address: action.Target.Address, WaitMillis: action.Timeout.Milliseconds()}
		var reply PingRequestReply
		result.err = t.config.Caller.Call(limited, action.Via, pingRequestMethod, args, &reply)
		result.answer, result.reached = fromWire(reply.Message), reply.Reached
	}
	// The task's end makes the outcome useless.
	_ = t.control.Send(ctx, result)
}

// sync fetches all that a host knows, a page at a time.
func (t *Task) sync(ctx context.Context, action membership.Action) {
	args := PageArgs{Message: toWire(action.Message)}
	for {
		limited, cancel := context.WithTimeout(ctx, action.Timeout)
		var reply PageReply
		err := t.config.Caller.Call(limited, action.Target, pageMethod, args, &reply)
		cancel()
		if err != nil {
			return
		}
		result := outcome{action: action, answer: fromWire(reply.Message)}
		if t.control.Send(ctx, result) != nil || !reply.More || len(reply.Message.U) == 0 {
			return
		}
		// The first page has taken the updates; later ones need only the sender.
		args.Message.U = nil
		args.After = reply.Message.U[len(reply.Message.U)-1].H
	}
}

// readList is a worker that owns one read of the platform's list.
func (t *Task) readList(ctx context.Context) {
	if t.config.Directory == nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var result listed
	result.members, result.err = t.config.Directory.Members(limited)
	_ = t.control.Send(ctx, result)
}

// logChanges logs changes of state. Both views are ordered by host.
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
		t.config.Log.Info("the state of a host changed", zap.String("host", peer.Ref.String()),
			zap.String("zone", string(peer.Zone)), zap.String("state", peer.State.String()))
	}
	if after.Self.State == core.PeerDead && before.Self.State != core.PeerDead {
		t.config.Log.Error("a later process of this host is in the fleet; stop this one",
			zap.String("host", after.Self.Ref.String()))
	}
}
