package claims

import (
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Register holds the non-idempotent calls that this host runs or waits for. It
// is not safe for concurrent use; a task owns it.
type Register struct {
	self        core.HostRef
	calls       map[Key]*call
	waiters     map[WaiterID]*call
	lastAttempt uint64
	lastSerial  uint64
	// queue holds the calls with a write to commit, oldest first.
	queue []*call
	// queuedSince is when the oldest write was queued. After a conflict it is
	// set back, so that the queue is due at once.
	queuedSince  time.Time
	inFlight     *Batch
	replies      []Reply
	remoteCalls  []*call
	lastPoll     time.Time
	pollInFlight bool
}

// NewRegister returns an empty register.
func NewRegister(self core.HostRef) *Register {
	return &Register{self: self, calls: make(map[Key]*call), waiters: make(map[WaiterID]*call)}
}

// TakeReplies returns the replies added since the last TakeReplies.
func (r *Register) TakeReplies() []Reply {
	replies := r.replies
	r.replies = nil
	return replies
}

func (r *Register) reply(reply Reply) {
	r.replies = append(r.replies, reply)
	delete(r.waiters, reply.Waiter)
}

// Claim requests to run a call. Exactly one reply follows, at the latest on
// Withdraw. After Acquired the waiter must end the call with Finish or with
// Withdraw, which sends a second reply.
func (r *Register) Claim(waiter WaiterID, key Key, fingerprint [32]byte, now time.Time) {
	current, found := r.calls[key]
	switch {
	case !found && len(r.calls) >= maxCalls:
		r.reply(Reply{Waiter: waiter, Kind: Overloaded})
	case !found:
		created := &call{key: key, fingerprint: fingerprint, runner: waiter}
		r.calls[key] = created
		r.waiters[waiter] = created
		r.enqueueClaim(created, now)
	case current.fingerprint != fingerprint && (current.phase == queued || current.phase == committing):
		// The row is not known yet, so the key may belong to either call.
		r.reply(Reply{Waiter: waiter, Kind: InProgress})
	case current.fingerprint != fingerprint:
		r.reply(Reply{Waiter: waiter, Kind: KeyReused})
	default:
		r.waiters[waiter] = current
		if current.runner == 0 && current.phase != recording && current.phase != remote {
			current.runner = waiter
			return
		}
		current.waiting = append(current.waiting, waiter)
	}
}

func (r *Register) enqueueClaim(current *call, now time.Time) {
	r.lastAttempt++
	current.attempt, current.phase = r.lastAttempt, queued
	r.enqueue(current, now)
}

func (r *Register) enqueue(current *call, now time.Time) {
	if len(r.queue) == 0 {
		r.queuedSince = now
	}
	r.queue = append(r.queue, current)
}

// Withdraw ends the wait of a waiter whose deadline has passed. It has no effect
// if the waiter already has a reply other than Acquired.
func (r *Register) Withdraw(waiter WaiterID, possiblyDead HostPredicate, now time.Time) {
	current, found := r.waiters[waiter]
	if !found {
		return
	}
	if current.runner == waiter && current.phase == running {
		r.releaseClaim(current, now)
		r.reply(Reply{Waiter: waiter, Kind: Withdrawn})
		return
	}
	current.waiting = slices.DeleteFunc(current.waiting, func(other WaiterID) bool { return other == waiter })
	if current.runner == waiter {
		current.runner = current.takeWaiting()
	}
	r.reply(Reply{Waiter: waiter, Kind: current.timeoutReply(possiblyDead)})
	r.removeIfIdle(current)
}

// timeoutReply returns the reply to a waiter whose deadline passes before the
// outcome is known.
func (c *call) timeoutReply(possiblyDead HostPredicate) ReplyKind {
	switch {
	case c.phase == queued || c.phase == committing:
		return PlatformUnreachable
	case c.phase == recording && c.outcome.Abandoned, c.phase == remote && possiblyDead(c.holder):
		return OutcomeUnknown
	default:
		return InProgress
	}
}

func (c *call) takeWaiting() WaiterID {
	if len(c.waiting) == 0 {
		return 0
	}
	next := c.waiting[0]
	c.waiting = c.waiting[1:]
	return next
}

// removeIfIdle removes a call that has no waiters and is in no commit.
func (r *Register) removeIfIdle(current *call) {
	if current.runner != 0 || len(current.waiting) > 0 {
		return
	}
	switch current.phase {
	case queued:
		r.queue = slices.DeleteFunc(r.queue, func(pending *call) bool { return pending == current })
	case remote:
		r.remoteCalls = slices.DeleteFunc(r.remoteCalls, func(pending *call) bool { return pending == current })
	default:
		return
	}
	delete(r.calls, current.key)
}

// releaseClaim passes an acquired claim to the next waiter, which runs the same
// call, or records that the call did not run.
func (r *Register) releaseClaim(current *call, now time.Time) {
	current.runner = current.takeWaiting()
	if current.runner != 0 {
		r.startRun(current)
		return
	}
	r.enqueueOutcome(current, Record{State: NotRun}, now)
}

// startRun tells the runner to run the call. It stays a waiter until Finish.
func (r *Register) startRun(current *call) {
	current.phase = running
	r.replies = append(r.replies, Reply{Waiter: current.runner, Kind: Acquired})
}

// Finish records the outcome of a call: Done with an answer, NotRun, or Claimed
// with Abandoned. The waiter, if not 0, gets OutcomeStored once the outcome is
// in the table. Only the runner can end the call: from any other waiter, Finish
// records nothing and replies at once.
func (r *Register) Finish(runner WaiterID, key Key, outcome Record, waiter WaiterID, now time.Time) {
	current, found := r.calls[key]
	if !found || current.phase != running || current.runner != runner {
		if waiter != 0 {
			r.reply(Reply{Waiter: waiter, Kind: OutcomeStored})
		}
		return
	}
	delete(r.waiters, current.runner)
	current.runner, current.outcomeWaiter = 0, waiter
	if outcome.State == NotRun {
		r.releaseClaim(current, now)
		r.replyOutcomeStored(current)
		return
	}
	r.enqueueOutcome(current, outcome, now)
}

func (r *Register) replyOutcomeStored(current *call) {
	if current.outcomeWaiter != 0 {
		r.reply(Reply{Waiter: current.outcomeWaiter, Kind: OutcomeStored})
		current.outcomeWaiter = 0
	}
}

func (r *Register) enqueueOutcome(current *call, outcome Record, now time.Time) {
	outcome.Holder, outcome.Attempt, outcome.Fingerprint = r.self, current.attempt, current.fingerprint
	current.outcome, current.phase = outcome, recording
	r.enqueue(current, now)
}

// Calls returns the number of calls in the register.
func (r *Register) Calls() int {
	return len(r.calls)
}

// Idle reports whether no write is queued or in flight.
func (r *Register) Idle() bool {
	return len(r.queue) == 0 && r.inFlight == nil
}
