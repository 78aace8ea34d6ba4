package claims

import (
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Register holds the calls of this host that must not be repeated. It is not
// safe for concurrent use; a task owns it.
type Register struct {
	self     core.HostRef
	calls    map[Key]*call
	waiters  map[WaiterID]*call
	attempts uint64
	serial   uint64
	// queue holds the calls with a write to commit, in order.
	queue []*call
	// since is when the oldest write was queued.
	since    time.Time
	inFlight *Batch
	replies  []Reply
	watched  []*call
	polled   time.Time
	polling  bool
}

// NewRegister returns an empty register.
func NewRegister(self core.HostRef) *Register {
	return &Register{self: self, calls: make(map[Key]*call), waiters: make(map[WaiterID]*call)}
}

// TakeReplies returns the replies since the last call.
func (r *Register) TakeReplies() []Reply {
	replies := r.replies
	r.replies = nil
	return replies
}

func (r *Register) reply(reply Reply) {
	r.replies = append(r.replies, reply)
	delete(r.waiters, reply.Waiter)
}

// Claim asks to run a call. Exactly one reply follows, at the latest on
// Withdraw. After Won the waiter must end the call with Finish or Withdraw.
func (r *Register) Claim(waiter WaiterID, key Key, fingerprint [32]byte, now time.Time) {
	current, found := r.calls[key]
	switch {
	case !found && len(r.calls) >= maxCalls:
		r.reply(Reply{Waiter: waiter, Kind: Overloaded})
	case !found:
		created := &call{key: key, fingerprint: fingerprint, claimant: waiter}
		r.calls[key] = created
		r.waiters[waiter] = created
		r.enqueueClaim(created, now)
	case current.fingerprint != fingerprint && (current.phase == queued || current.phase == writing):
		// The call at hand may be the one that has used the key: the row of
		// the call in the register is not known.
		r.reply(Reply{Waiter: waiter, Kind: InProgress})
	case current.fingerprint != fingerprint:
		r.reply(Reply{Waiter: waiter, Kind: Reused})
	default:
		r.waiters[waiter] = current
		if current.claimant == 0 && current.phase != ending && current.phase != watching {
			current.claimant = waiter
			return
		}
		current.others = append(current.others, waiter)
	}
}

func (r *Register) enqueueClaim(claimed *call, now time.Time) {
	r.attempts++
	claimed.attempt, claimed.phase = r.attempts, queued
	r.enqueue(claimed, now)
}

func (r *Register) enqueue(pending *call, now time.Time) {
	if len(r.queue) == 0 {
		r.since = now
	}
	r.queue = append(r.queue, pending)
}

// Withdraw ends the wait of a waiter whose deadline has come; it has no
// effect if the waiter has a reply other than Won.
func (r *Register) Withdraw(waiter WaiterID, silent Gone, now time.Time) {
	current, found := r.waiters[waiter]
	if !found {
		return
	}
	if current.claimant == waiter && current.phase == running {
		r.release(current, now)
		r.reply(Reply{Waiter: waiter, Kind: Withdrawn})
		return
	}
	current.others = slices.DeleteFunc(current.others, func(other WaiterID) bool { return other == waiter })
	if current.claimant == waiter {
		current.claimant = current.takeOther()
	}
	r.reply(Reply{Waiter: waiter, Kind: current.lateReply(silent)})
	r.drop(current)
}

// lateReply is what a waiter is told whose deadline comes first.
func (c *call) lateReply(silent Gone) ReplyKind {
	switch {
	case c.phase == queued || c.phase == writing:
		return Unreachable
	case c.phase == ending && c.outcome.Abandoned, c.phase == watching && silent(c.holder):
		return Unknown
	default:
		return InProgress
	}
}

func (c *call) takeOther() WaiterID {
	if len(c.others) == 0 {
		return 0
	}
	next := c.others[0]
	c.others = c.others[1:]
	return next
}

// drop forgets a call that nobody waits for and that is in no commit.
func (r *Register) drop(idle *call) {
	if idle.claimant != 0 || len(idle.others) > 0 {
		return
	}
	switch idle.phase {
	case queued:
		r.queue = slices.DeleteFunc(r.queue, func(pending *call) bool { return pending == idle })
	case watching:
		r.watched = slices.DeleteFunc(r.watched, func(pending *call) bool { return pending == idle })
	default:
		return
	}
	delete(r.calls, idle.key)
}

// release gives a won claim to the next waiter, who runs the same call, or
// records that the call did not run.
func (r *Register) release(won *call, now time.Time) {
	won.claimant = won.takeOther()
	if won.claimant != 0 {
		r.win(won)
		return
	}
	r.end(won, Record{State: NotRun}, now)
}

// win tells the claimant to run the call. It stays a waiter until Finish.
func (r *Register) win(won *call) {
	won.phase = running
	r.replies = append(r.replies, Reply{Waiter: won.claimant, Kind: Won})
}

// Finish records the outcome of a call that the claimant runs: Done with an
// answer, NotRun, or Claimed with Abandoned. The waiter, if not 0, gets Ended
// once the outcome is in the table. It has no effect for anyone but the
// claimant, whose claim another request must not end.
func (r *Register) Finish(claimant WaiterID, key Key, outcome Record, waiter WaiterID, now time.Time) {
	current, found := r.calls[key]
	if !found || current.phase != running || current.claimant != claimant {
		if waiter != 0 {
			r.reply(Reply{Waiter: waiter, Kind: Ended})
		}
		return
	}
	delete(r.waiters, current.claimant)
	current.claimant, current.ended = 0, waiter
	if outcome.State == NotRun {
		r.release(current, now)
		r.endWaiter(current)
		return
	}
	r.end(current, outcome, now)
}

func (r *Register) endWaiter(ended *call) {
	if ended.ended != 0 {
		r.reply(Reply{Waiter: ended.ended, Kind: Ended})
		ended.ended = 0
	}
}

// end queues the write of an outcome.
func (r *Register) end(ended *call, outcome Record, now time.Time) {
	outcome.Holder, outcome.Attempt, outcome.Fingerprint = r.self, ended.attempt, ended.fingerprint
	ended.outcome, ended.phase = outcome, ending
	r.enqueue(ended, now)
}

// Calls returns how many calls are in the register.
func (r *Register) Calls() int {
	return len(r.calls)
}

// Idle reports whether no outcome waits to be written.
func (r *Register) Idle() bool {
	return len(r.queue) == 0 && r.inFlight == nil
}
