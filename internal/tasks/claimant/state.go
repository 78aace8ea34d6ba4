package claimant

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/claims"
)

// idleInterval is how often the task looks at work that is not urgent.
const idleInterval = 250 * time.Millisecond

// state is what the task's goroutine owns.
type state struct {
	*Task
	register *claims.Register
	waiting  map[claims.WaiterID]waiting
	// won holds the waiters that run a call, by the call given to Claim.
	won      map[*core.Call]claims.WaiterID
	draining []chan<- struct{}
	// storing counts the answers on their way to the object store.
	storing int
	sweep   sweepState
}

// waiting is who waits for a reply; call is nil if it is not for a claim.
type waiting struct {
	replies chan<- claims.Reply
	call    *core.Call
}

func newState(t *Task) *state {
	return &state{
		Task: t, register: claims.NewRegister(t.config.Self),
		waiting: make(map[claims.WaiterID]waiting), won: make(map[*core.Call]claims.WaiterID),
		sweep: sweepState{due: t.config.Now().Add(sweepInterval)},
	}
}

// pause returns how long the task may wait for a message.
func (s *state) pause() time.Duration {
	if due, waiting := s.register.Due(); waiting {
		return max(due.Sub(s.config.Now()), 0)
	}
	return idleInterval
}

// advance starts the work that is due and gives out replies.
func (s *state) advance(ctx context.Context) {
	now := s.config.Now()
	if batch := s.register.NextBatch(now); batch != nil {
		s.commit(ctx, batch)
	}
	if keys := s.register.NextPoll(now); keys != nil {
		s.poll(ctx, keys)
	}
	s.sweepIfDue(ctx, now)
	s.deliver(ctx)
	if s.register.Idle() && s.storing == 0 {
		for _, done := range s.draining {
			done <- struct{}{}
		}
		s.draining = nil
	}
}

// deliver gives out replies. A channel has room for Won and the last reply.
func (s *state) deliver(ctx context.Context) {
	for _, reply := range s.register.TakeReplies() {
		if reply.Kind == claims.OutcomeUnknown {
			s.counters.unknown.Add(ctx, 1)
		}
		waiter, found := s.waiting[reply.Waiter]
		if !found {
			continue
		}
		waiter.replies <- reply
		if reply.Kind == claims.Acquired {
			s.won[waiter.call] = reply.Waiter
			continue
		}
		delete(s.waiting, reply.Waiter)
		if s.won[waiter.call] == reply.Waiter {
			delete(s.won, waiter.call)
		}
	}
}

// gone reports whether a host process has ended as far as this host knows. A
// host that is not in the view may be new, so it counts as running.
func (s *state) gone(ref core.HostRef) bool {
	if ref.Host == s.config.Self.Host {
		return ref.Incarnation != s.config.Self.Incarnation
	}
	if s.config.Peers == nil {
		return false
	}
	for _, peer := range s.config.Peers.Peers().Peers {
		if peer.Ref.Host != ref.Host {
			continue
		}
		if peer.Ref.Incarnation > ref.Incarnation || peer.Ref.Incarnation == ref.Incarnation && peer.State == core.PeerDead {
			return true
		}
	}
	return false
}

// silent reports whether a host process may be gone. It decides what a caller
// is told whose deadline has come, not whether the wait ends early.
func (s *state) silent(ref core.HostRef) bool {
	if s.config.Peers == nil || s.gone(ref) {
		return s.gone(ref)
	}
	for _, peer := range s.config.Peers.Peers().Peers {
		if peer.Ref == ref && (peer.State == core.PeerAlive || peer.State == core.PeerLeaving) {
			return false
		}
	}
	return true
}

type claimMessage struct {
	waiter  claims.WaiterID
	key     claims.Key
	call    *core.Call
	replies chan<- claims.Reply
}

func (m claimMessage) handle(_ context.Context, owned *state) {
	owned.waiting[m.waiter] = waiting{m.replies, m.call}
	owned.register.Claim(m.waiter, m.key, m.call.Fingerprint, owned.config.Now())
}

type withdrawMessage struct {
	waiter claims.WaiterID
	done   chan<- struct{}
}

func (m withdrawMessage) handle(ctx context.Context, owned *state) {
	owned.register.Withdraw(m.waiter, owned.silent, owned.config.Now())
	owned.deliver(ctx)
	m.done <- struct{}{}
}

type drainMessage struct{ done chan<- struct{} }

func (m drainMessage) handle(_ context.Context, owned *state) {
	owned.draining = append(owned.draining, m.done)
}

type countMessage struct{ reply chan<- int }

func (m countMessage) handle(_ context.Context, owned *state) {
	m.reply <- owned.register.Calls()
}
