package billing

import (
	"cmp"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// StepKind is the kind of a step.
type StepKind uint8

// The kinds of step.
const (
	// StepRead reads the head of a journal and the segments after a given
	// number.
	StepRead StepKind = iota + 1
	// StepWrite stores a segment's object and then commits the segment as the
	// new head.
	StepWrite
)

// Step is an operation on the platform that PendingBills requests. It is
// idempotent: after a lost reply it is repeated unchanged.
type Step struct {
	Kind  StepKind
	Owner core.HostRef
	// After is the number of the segment after which a StepRead starts.
	After uint64
	// Segment and Head are written by a StepWrite, on condition that the head
	// in the table has the preceding number.
	Segment Segment
	Head    Head
}

// Conflict is the reason why a StepWrite had no effect.
type Conflict struct {
	// Head is the head in the table if it differs from the expected one, else
	// nil.
	Head *Head
	// Billed lists the requests that already have a bill in the table.
	Billed []core.RequestID
}

// PendingBills holds the bills of this host process that are not known to be in
// the table, and the copies held for peers. It is not safe for concurrent use.
type PendingBills struct {
	self         core.HostRef
	own          *journal
	peerJournals map[core.HostRef]*peerJournal
	heldCopies   int
	lastSequence uint64
	lastAttempt  uint64
	replicator   replicator
}

// peerJournal is the journal of a peer. It contains the copies held for it.
type peerJournal struct {
	*journal
	// settled is the sequence number below which all bills of the owner are in
	// the table and need no copies.
	settled uint64
}

// NewPendingBills returns the state of a host process that has recorded no
// bills yet.
func NewPendingBills(self core.HostRef) *PendingBills {
	return &PendingBills{
		self: self, own: newJournal(self, true), peerJournals: make(map[core.HostRef]*peerJournal),
		replicator: newReplicator(),
	}
}

// Record adds a bill of this host. It returns false if a bill of the same
// request is pending; the caller must then return the cost to its share.
func (b *PendingBills) Record(bill core.Bill, now time.Time) (sequence uint64, added bool) {
	recorded := &pendingBill{Copy: Copy{Sequence: b.lastSequence + 1, Base: b.own.head.Number, Bill: bill}, addedAt: now}
	if !b.own.add(recorded) {
		return 0, false
	}
	b.lastSequence++
	b.replicator.queue = append(b.replicator.queue, recorded)
	return b.lastSequence, true
}

// OwnCount returns the number of pending bills of this host.
func (b *PendingBills) OwnCount() int {
	return len(b.own.pending)
}

// HeldCopies returns the number of copies held for peers.
func (b *PendingBills) HeldCopies() int {
	return b.heldCopies
}

// Backlogged reports whether this host has so many pending bills that it must
// refuse new work.
func (b *PendingBills) Backlogged() bool {
	return len(b.own.pending) >= MaxPendingBills
}

// NextOwnStep returns the next step for this host's bills, or nil if nothing is
// due or a step is in flight. With flush, the pending bills are due at once.
func (b *PendingBills) NextOwnStep(now time.Time, flush bool) *Step {
	if b.own.inFlight != nil || len(b.own.pending) == 0 || !flush && b.own.headKnown && !b.own.sealDue(now, b.replicator.oldestUncopied(b.own)) {
		return nil
	}
	return b.own.nextStep(b.newWriteID())
}

// NextTakeoverStep returns the next step for the bills of a peer process that
// is gone, or nil. Only one such step is in flight at a time.
func (b *PendingBills) NextTakeoverStep(gone func(core.HostRef) bool) *Step {
	var candidate *peerJournal
	for owner, journal := range b.peerJournals {
		if journal.inFlight != nil {
			return nil
		}
		if len(journal.pending) > 0 && (candidate == nil || compareHostRefs(owner, candidate.owner) < 0) && gone(owner) {
			candidate = journal
		}
	}
	if candidate == nil {
		return nil
	}
	return candidate.nextStep(b.newWriteID())
}

func compareHostRefs(a, b core.HostRef) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
}

func (b *PendingBills) newWriteID() WriteID {
	b.lastAttempt++
	return WriteID{Writer: b.self, Attempt: b.lastAttempt}
}

// journalOf returns the journal that a step in flight belongs to.
func (b *PendingBills) journalOf(step *Step) *journal {
	if step.Owner == b.self {
		return b.own
	}
	return b.peerJournals[step.Owner].journal
}

// FinishWrite ends a StepWrite that was committed.
func (b *PendingBills) FinishWrite(step *Step) {
	b.finishStep(step, func(journal *journal) { journal.applyWrite(step) })
}

// FinishRead ends a StepRead. head is the journal's head, billed the requests
// billed in the segments after step.After.
func (b *PendingBills) FinishRead(step *Step, head Head, billed []core.RequestID) {
	b.finishStep(step, func(journal *journal) { journal.applyRead(step, head, billed) })
}

// FinishConflict ends a StepWrite that had no effect. It returns the bills of
// this host that it removed because their request is already billed; the
// caller must return their cost to their shares. Removed copies are not
// returned: the holder of the share, if it is still running, returns the cost
// itself.
func (b *PendingBills) FinishConflict(step *Step, conflict Conflict) []core.Bill {
	if conflict.Head != nil && conflict.Head.Number == step.Head.Number && conflict.Head.WriteID == step.Head.WriteID {
		b.FinishWrite(step)
		return nil
	}
	var dropped []*pendingBill
	b.finishStep(step, func(journal *journal) {
		// If the head differs, the bill rows may come from another writer of
		// this journal, so the segments are read first.
		if conflict.Head != nil {
			journal.headKnown = false
			return
		}
		dropped = journal.removeRequests(conflict.Billed)
	})
	if step.Owner != b.self {
		return nil
	}
	bills := make([]core.Bill, len(dropped))
	for i, bill := range dropped {
		bills[i] = bill.Bill
	}
	return bills
}

// finishStep ends a step, applies its outcome and updates the number of copies.
func (b *PendingBills) finishStep(step *Step, apply func(*journal)) {
	journal := b.journalOf(step)
	before := len(journal.pending)
	journal.inFlight = nil
	apply(journal)
	if step.Owner != b.self {
		b.heldCopies -= before - len(journal.pending)
	}
}

// HoldCopies stores copies of a peer's bills. Bills with a sequence number below
// settled are in the table, so their copies are dropped, including those of a
// message that arrives late. It returns false if there is no room, or if the
// owner is this process.
func (b *PendingBills) HoldCopies(owner core.HostRef, settled uint64, copies []Copy, now time.Time) bool {
	if owner == b.self || b.heldCopies+len(copies) > MaxPendingBills {
		return false
	}
	journal, found := b.peerJournals[owner]
	if !found {
		journal = &peerJournal{journal: newJournal(owner, false)}
		b.peerJournals[owner] = journal
	}
	for _, copied := range copies {
		if copied.Sequence >= max(settled, journal.settled) && journal.add(&pendingBill{Copy: copied, addedAt: now}) {
			b.heldCopies++
		}
	}
	b.DropSettled(owner, settled)
	return true
}

// DropSettled drops the copies of a peer's bills with sequence numbers below
// settled, and makes HoldCopies reject such copies that arrive later. It does
// nothing if this host has no journal of the owner.
func (b *PendingBills) DropSettled(owner core.HostRef, settled uint64) {
	journal, found := b.peerJournals[owner]
	if !found {
		return
	}
	journal.settled = max(journal.settled, settled)
	b.heldCopies -= len(journal.remove(func(candidate *pendingBill) bool { return candidate.Sequence < journal.settled }))
}

// RemoveEmptyJournals removes the empty journals of peer processes that are
// gone. Those of others stay, because their settled number rejects copies that
// arrive late and that the owner would never acknowledge again.
func (b *PendingBills) RemoveEmptyJournals(gone func(core.HostRef) bool) {
	for owner, journal := range b.peerJournals {
		if len(journal.pending) == 0 && journal.inFlight == nil && gone(owner) {
			delete(b.peerJournals, owner)
		}
	}
}

// Unwritten returns the number of pending bills of this host, how many of them
// have a copy at a peer, and their total cost.
func (b *PendingBills) Unwritten() (bills, copied int, cost core.Tokens) {
	for _, pending := range b.own.pending {
		if pending.copyHolder != (core.HostRef{}) {
			copied++
		}
		cost += pending.Bill.Cost
	}
	return len(b.own.pending), copied, cost
}
