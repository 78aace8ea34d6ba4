package claimant

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/claims"
)

// idleInterval is how long the task waits for a message while no batch is due.
// Polls, sweeps and drains are checked at least that often.
const idleInterval = 250 * time.Millisecond

// state is owned by the task's goroutine.
type state struct {
	*Task
	register *claims.Register
	waiters  map[claims.WaiterID]waiter
	// runners maps each call that runs, as given to Claim, to its runner.
	runners      map[*core.Call]claims.WaiterID
	drainWaiters []chan<- struct{}
	// storesInFlight is the number of answers being written to the object store.
	storesInFlight int
	sweep          sweepState
}

// waiter waits for a reply. call is nil if it waits for OutcomeStored.
type waiter struct {
	replies chan<- claims.Reply
	call    *core.Call
}

func newState(t *Task) *state {
	return &state{
		Task: t, register: claims.NewRegister(t.config.Self),
		waiters: make(map[claims.WaiterID]waiter), runners: make(map[*core.Call]claims.WaiterID),
		sweep: sweepState{due: t.config.Now().Add(sweepInterval)},
	}
}

// waitTime returns the maximum time to wait for a message.
func (s *state) waitTime() time.Duration {
	if due, waiting := s.register.Due(); waiting {
		return max(due.Sub(s.config.Now()), 0)
	}
	return idleInterval
}

// advance starts the work that is due, sends replies, and ends drains.
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
	if s.register.Idle() && s.storesInFlight == 0 {
		for _, done := range s.drainWaiters {
			done <- struct{}{}
		}
		s.drainWaiters = nil
	}
}

// deliver sends replies. A waiter's channel has room for Acquired and the last
// reply, so the task doesn't block.
func (s *state) deliver(ctx context.Context) {
	for _, reply := range s.register.TakeReplies() {
		if reply.Kind == claims.OutcomeUnknown {
			s.counters.outcomeUnknown.Add(ctx, 1)
		}
		waiter, found := s.waiters[reply.Waiter]
		if !found {
			continue
		}
		waiter.replies <- reply
		if reply.Kind == claims.Acquired {
			s.runners[waiter.call] = reply.Waiter
			continue
		}
		delete(s.waiters, reply.Waiter)
		if s.runners[waiter.call] == reply.Waiter {
			delete(s.runners, waiter.call)
		}
	}
}

// knownDead reports whether this host knows that a host process has ended. A
// host that is missing in the view of the fleet may be new, so it counts as
// running.
func (s *state) knownDead(ref core.HostRef) bool {
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

// possiblyDead reports whether a host process may have ended. It only decides
// the reply to a caller whose deadline has passed; it doesn't end a wait early.
func (s *state) possiblyDead(ref core.HostRef) bool {
	if s.config.Peers == nil || s.knownDead(ref) {
		return s.knownDead(ref)
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
	owned.waiters[m.waiter] = waiter{m.replies, m.call}
	owned.register.Claim(m.waiter, m.key, m.call.Fingerprint, owned.config.Now())
}

type withdrawMessage struct {
	waiter claims.WaiterID
	done   chan<- struct{}
}

func (m withdrawMessage) handle(ctx context.Context, owned *state) {
	owned.register.Withdraw(m.waiter, owned.possiblyDead, owned.config.Now())
	owned.deliver(ctx)
	m.done <- struct{}{}
}

type drainMessage struct{ done chan<- struct{} }

func (m drainMessage) handle(_ context.Context, owned *state) {
	owned.drainWaiters = append(owned.drainWaiters, m.done)
}

type countMessage struct{ reply chan<- int }

func (m countMessage) handle(_ context.Context, owned *state) {
	m.reply <- owned.register.Calls()
}
