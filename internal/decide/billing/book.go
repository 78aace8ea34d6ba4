package billing

import (
	"cmp"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// StepKind tells the steps apart.
type StepKind uint8

// The kinds of step.
const (
	// StepRead reads the head of a journal and the segments after a number.
	StepRead StepKind = iota + 1
	// StepWrite stores a segment and then commits it as the new head.
	StepWrite
)

// Step is a piece of work on the platform that a book asks for. It stays the
// same when it is repeated after a lost reply.
type Step struct {
	Kind  StepKind
	Owner core.HostRef
	// After is the number after which a StepRead reads all segments.
	After uint64
	// Segment and Head are what a StepWrite writes, on condition that the
	// head in the table has the number before.
	Segment Segment
	Head    Head
}

// Conflict says why a StepWrite took no effect.
type Conflict struct {
	// Head is the head in the table if it is not the expected one.
	Head *Head
	// Billed lists requests that have a bill in the table already.
	Billed []core.RequestID
}

// Book holds the bills of this host process and the copies kept for peers.
// It is not safe for concurrent use; a task owns it.
type Book struct {
	self     core.HostRef
	own      *journal
	kept     map[core.HostRef]*keptJournal
	keptSize int
	sequence uint64
	attempts uint64
	outbox   outbox
}

// keptJournal holds the copies of a peer's bills.
type keptJournal struct {
	*journal
	// settled is the sequence number below which the owner needs no copies.
	settled uint64
}

// NewBook returns an empty book of a host process that has written no bills.
func NewBook(self core.HostRef) *Book {
	return &Book{
		self: self, own: newJournal(self, true), kept: make(map[core.HostRef]*keptJournal),
		outbox: newOutbox(),
	}
}

// Record adds a bill of this host. It reports false if a bill of the same
// request is pending, in which case the cost must be returned to its share.
func (b *Book) Record(bill core.Bill, now time.Time) (sequence uint64, added bool) {
	recorded := &entry{Copy: Copy{Sequence: b.sequence + 1, Base: b.own.head.Number, Bill: bill}, added: now}
	if !b.own.add(recorded) {
		return 0, false
	}
	b.sequence++
	b.outbox.queue = append(b.outbox.queue, recorded)
	return b.sequence, true
}

// Pending returns how many bills of this host are not known to be in the
// table.
func (b *Book) Pending() int {
	return len(b.own.entries)
}

// Kept returns how many copies the book holds for peers.
func (b *Book) Kept() int {
	return b.keptSize
}

// Backlogged reports whether new work must be refused.
func (b *Book) Backlogged() bool {
	return len(b.own.entries) >= MaxPending
}

// NextOwn returns the next step for this host's bills, or nil if nothing is
// due or a step is in flight. flush seals the open segment at once.
func (b *Book) NextOwn(now time.Time, flush bool) *Step {
	if b.own.running != nil || len(b.own.entries) == 0 || !flush && b.own.known && !b.own.due(now, b.outbox.uncopied(b.own)) {
		return nil
	}
	return b.own.next(b.mark())
}

// NextTakeover returns the next step for the bills of a host process that is
// gone, or nil. One such step is in flight at a time.
func (b *Book) NextTakeover(gone func(core.HostRef) bool) *Step {
	var candidate *keptJournal
	for owner, journal := range b.kept {
		if journal.running != nil {
			return nil
		}
		if len(journal.entries) > 0 && (candidate == nil || compare(owner, candidate.owner) < 0) && gone(owner) {
			candidate = journal
		}
	}
	if candidate == nil {
		return nil
	}
	return candidate.next(b.mark())
}

func compare(a, b core.HostRef) int {
	return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
}

func (b *Book) mark() Mark {
	b.attempts++
	return Mark{By: b.self, Attempt: b.attempts}
}

// journalOf returns the journal that a step in flight belongs to.
func (b *Book) journalOf(step *Step) *journal {
	if step.Owner == b.self {
		return b.own
	}
	return b.kept[step.Owner].journal
}

// Written ends a StepWrite that took effect.
func (b *Book) Written(step *Step) {
	b.change(step, func(journal *journal) { journal.written(step) })
}

// Read ends a StepRead with the head and the requests billed in the segments
// after step.After.
func (b *Book) Read(step *Step, head Head, contained []core.RequestID) {
	b.change(step, func(journal *journal) { journal.read(step, head, contained) })
}

// Conflicted ends a StepWrite that took no effect. It returns the bills of
// this host that are dropped because their request has been billed; their
// cost must be returned to their shares. Dropped copies are not returned: the
// share's holder returns the cost if it is still there.
func (b *Book) Conflicted(step *Step, conflict Conflict) []core.Bill {
	if conflict.Head != nil && conflict.Head.Number == step.Head.Number && conflict.Head.Mark == step.Head.Mark {
		b.Written(step)
		return nil
	}
	var dropped []*entry
	b.change(step, func(journal *journal) {
		// With another head in the table the bill rows may stem from another
		// writer of this journal, so the segments are read first.
		if conflict.Head != nil {
			journal.known = false
			return
		}
		dropped = journal.removeRequests(conflict.Billed)
	})
	if step.Owner != b.self {
		return nil
	}
	bills := make([]core.Bill, len(dropped))
	for i, entry := range dropped {
		bills[i] = entry.Bill
	}
	return bills
}

// change ends a step and keeps the count of copies.
func (b *Book) change(step *Step, apply func(*journal)) {
	journal := b.journalOf(step)
	before := len(journal.entries)
	journal.running = nil
	apply(journal)
	if step.Owner != b.self {
		b.keptSize -= before - len(journal.entries)
	}
}

// Keep takes over copies of a peer's bills. Bills below settled are in the
// table, so their copies are dropped, also those of a message that arrives
// late. It reports false if there is no room, or if the owner is this host.
func (b *Book) Keep(owner core.HostRef, settled uint64, copies []Copy, now time.Time) bool {
	if owner == b.self || b.keptSize+len(copies) > MaxPending {
		return false
	}
	journal, found := b.kept[owner]
	if !found {
		journal = &keptJournal{journal: newJournal(owner, false)}
		b.kept[owner] = journal
	}
	for _, copied := range copies {
		if copied.Sequence >= max(settled, journal.settled) && journal.add(&entry{Copy: copied, added: now}) {
			b.keptSize++
		}
	}
	b.Settle(owner, settled)
	return true
}

// Settle drops the copies of a peer's bills below a sequence number.
func (b *Book) Settle(owner core.HostRef, settled uint64) {
	journal, found := b.kept[owner]
	if !found {
		return
	}
	journal.settled = max(journal.settled, settled)
	b.keptSize -= len(journal.remove(func(candidate *entry) bool { return candidate.Sequence < journal.settled }))
}

// Forget drops the empty journals of host processes that are gone. Those of
// others stay, because their watermark refuses copies that arrive late, which
// the owner would never settle again.
func (b *Book) Forget(gone func(core.HostRef) bool) {
	for owner, journal := range b.kept {
		if len(journal.entries) == 0 && journal.running == nil && gone(owner) {
			delete(b.kept, owner)
		}
	}
}

// Leftovers returns how many bills of this host are pending, how many of them
// have a copy at a peer, and their cost.
func (b *Book) Leftovers() (bills, copied int, cost core.Tokens) {
	for _, pending := range b.own.entries {
		if pending.keeper != (core.HostRef{}) {
			copied++
		}
		cost += pending.Bill.Cost
	}
	return len(b.own.entries), copied, cost
}
