package allowance

import (
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// settlementTime is how long after a ledger was reopened nothing is granted, so that
// the operator's writes of before the return are there again: a part of a prepaid total
// that is only known then may have been granted before.
const settlementTime = 3 * time.Second

// reopen returns the ledger of an era that is about to replace what the store came
// back with. The latest ledger that is known counts, and all its holdings are
// unconfirmed: their processes may have been granted more, or have returned some. All
// but what the ledger withholds may have been granted meanwhile, to processes that
// nobody knows of.
func (h *Holder) reopen() Ledger {
	base := h.ledger
	if h.latest != nil && !base.Mark.newer(h.latest.Mark) {
		base = *h.latest
	}
	ledger := base.clone()
	ledger.Mark.Era = h.era
	returns := h.era - max(base.Mark.Era, firstEra)
	ledger.Base = Base{
		Mark: base.Mark, Settled: base.Settled, Unsure: base.Unsure,
		Allocated: base.mostAllocatedAtReturn(h.prepaid), Complete: returns == 1,
	}
	ledger.Base.Mark.Sequence = max(ledger.Base.Mark.Sequence, 1)
	ledger.Closed, ledger.Room = nil, nil
	for process, holding := range ledger.Holdings {
		holding.Unconfirmed = true
		ledger.Holdings[process] = holding
	}
	ledger.Lost = h.lostIn(ledger, base)
	// A further return to the copy counts on half of what the copy guarantees, even if
	// the base guarantees less.
	guaranteed, _ := h.guaranteedIn(base)
	_, inCopy := h.guaranteedIn(h.ledger)
	ledger.Withheld = &Withheld{Amount: max(guaranteed, inCopy) / 2}
	ledger.ReopenedAt, ledger.Unsettled = h.clock.Milliseconds(), h.prepaid
	if h.nothingGrantedSince(base) {
		ledger.Lost, ledger.Unsettled = base.Lost, base.Unsettled
		ledger.Withheld.Amount = max(ledger.Withheld.Amount, h.withheldIn(base).Amount)
	}
	return ledger
}

// clockSlack exceeds what a host's clock may gain on the store's within settlementTime.
const clockSlack = 100 * time.Millisecond

// nothingGrantedSince reports whether no process can have been granted tokens since a
// ledger of an era after the first was reopened or begun: its settlementTime has not passed
// yet, and that of each ledger of a later era ends later. Nothing more is lost then with the
// returns since. A commit that only reopens a ledger may have been sent late, while the era
// had another ledger whose time ended earlier, so that a commit after it is needed.
func (h *Holder) nothingGrantedSince(base Ledger) bool {
	followed := base.Replaced == nil || base.Replaced.Era == base.Mark.Era
	return followed && base.Mark.Era > firstEra && base.ReopenedAt > 0 && base.Unsettled > 0 &&
		h.clock < time.Duration(base.ReopenedAt)*time.Millisecond+settlementTime-clockSlack
}

// lostIn returns what counts as lost in a ledger that was reopened from a base: all that
// the base does not guarantee, as processes that nobody knows of may have it.
func (h *Holder) lostIn(ledger, base Ledger) core.Tokens {
	guaranteed, _ := h.guaranteedIn(base)
	return max(h.prepaid-guaranteed-ledger.recorded(), 0)
}

// begin makes a ledger the first one of an era after the first, without a base. The copy
// may be from before a ledger that only other processes know, or that nobody knows any
// more, so that all but what a first ledger withholds counts as lost unless the team is
// known to be new. Nothing is granted for settlementTime, in which other processes may
// correct it. It guarantees no more than a ledger that they reopen.
func (h *Holder) begin(ledger *Ledger) {
	_, inCopy := h.guaranteedIn(h.ledger)
	ledger.Withheld = &Withheld{Amount: inCopy / 2}
	ledger.ReopenedAt, ledger.Unsettled = h.clock.Milliseconds(), h.prepaid
	if !h.teamIsNew() {
		ledger.Lost = h.lostIn(*ledger, h.ledger)
	}
}

// maxAnswerAge exceeds the time-out of the reads by which a host follows the
// configuration: an answer tells what the store had at most so long before it arrived.
const maxAnswerAge = 2500 * time.Millisecond

// LackedAfterReturn reports whether a configuration that lacked a team shows that the
// team is new in an era: it was the latest at a time at which the operator's writes of
// before the return were there again. eraKnownAt is when this process first knew the era,
// and lackedAt when it last learned that the configuration was the latest.
func LackedAfterReturn(eraKnownAt, lackedAt time.Time) bool {
	return !eraKnownAt.IsZero() && lackedAt.Sub(eraKnownAt) >= settlementTime+maxAnswerAge
}

// SetNew records that the team is new in an era: nothing was granted before the return
// that began it.
func (h *Holder) SetNew(era int64) { h.newIn = era }

// teamIsNew reports whether no ledger of an earlier era can be missing.
func (h *Holder) teamIsNew() bool { return h.newIn > 0 && h.newIn == h.era }

// lostForNothing reports whether the stored ledger was begun by a process that did not
// know that the team is new.
func (h *Holder) lostForNothing() bool {
	return h.teamIsNew() && h.ledger.Mark.Era == h.era && h.ledger.ReopenedAt > 0 && h.ledger.Base.Mark.Sequence == 0 && h.ledger.Lost > 0
}

// correct returns the stored ledger corrected by the latest one of an earlier era. If it
// was begun without a base, as much is lost as if it had been reopened from that one.
func (h *Holder) correct() Ledger {
	ledger := rebase(h.ledger, *h.latest, h.prepaid)
	if h.ledger.Base.Mark.Sequence == 0 {
		guaranteed, _ := h.guaranteedIn(*h.latest)
		ledger.Lost = max(h.prepaid-guaranteed+h.grantedSinceBegun()-ledger.recorded(), 0)
		// It contains what the prepaid total has risen by since the ledger was begun.
		ledger.Unsettled = max(ledger.Unsettled, h.prepaid)
	}
	return ledger
}

// grantedSinceBegun returns what the stored ledger, which was begun without a base, has
// granted of what it guaranteed then.
func (h *Holder) grantedSinceBegun() core.Tokens {
	guaranteed, _ := h.guaranteedIn(Ledger{})
	return max(guaranteed-h.Unallocated(), 0)
}

// guaranteedIn returns the least and the most that a ledger of an earlier era, or the one
// that it replaced, guarantees after the returns since then. A reopened ledger may withhold
// more than it has unallocated, which it does not guarantee.
func (h *Holder) guaranteedIn(ledger Ledger) (least, most core.Tokens) {
	returns := h.era - max(ledger.Mark.Era, firstEra)
	own := h.withheldIn(ledger).guaranteed(h.clock, returns)
	unallocated := Withheld{Amount: max(h.prepaid-ledger.Allocated(), 0)}.guaranteed(h.clock, returns)
	if ledger.Replaced == nil {
		return min(own, unallocated), own
	}
	replaced := ledger.Replaced.schedule().guaranteed(h.clock, returns)
	return min(own, replaced, unallocated), max(own, replaced)
}

// replaced describes the known ledger, which a commit is about to replace.
func (h *Holder) replaced() *Replaced {
	withheld := h.withheldIn(h.ledger).since(h.clock)
	replaced := &Replaced{Allocated: h.ledger.mostAllocated(maxTokens), Withheld: min(withheld.Amount, withheld.last()), Era: h.ledger.Mark.Era}
	if withheld.Lowering {
		replaced.Schedule = &withheld
	}
	return replaced
}

// schedule returns what the replaced ledger withheld.
func (r Replaced) schedule() Withheld {
	if r.Schedule != nil {
		return *r.Schedule
	}
	return Withheld{Amount: r.Withheld}
}

// rebase corrects a reopened ledger by one of an earlier era that is later than its
// base. What was confirmed or closed since stays.
func rebase(ledger Ledger, latest Ledger, prepaid core.Tokens) Ledger {
	ledger = ledger.clone()
	recorded := ledger.recorded()
	for process, holding := range ledger.Holdings {
		if _, found := latest.Holdings[process]; holding.Unconfirmed && !found {
			delete(ledger.Holdings, process)
		}
	}
	for process, holding := range latest.Holdings {
		current, found := ledger.Holdings[process]
		if (found && !current.Unconfirmed) || slices.Contains(ledger.Closed, process) {
			continue
		}
		holding.Unconfirmed = true
		ledger.Holdings[process] = holding
	}
	ledger.Settled += latest.Settled - ledger.Base.Settled
	ledger.Unsure += latest.Unsure - ledger.Base.Unsure
	base := ledger.Base
	ledger.Base = Base{
		Mark: latest.Mark, Settled: latest.Settled, Unsure: latest.Unsure,
		Allocated: max(base.Allocated, latest.mostAllocatedAtReturn(prepaid)), Complete: base.Complete,
	}
	ledger.Lost -= ledger.recorded() - recorded
	return ledger
}

// BeginEra records that the store has come back from an older copy, in a new era.
// What the holder was granted stays its own, as all that was granted in the earlier
// era was within the balance. A return whose outcome is not known counts as
// applied. The ledger must be read again before anything is granted.
func (h *Holder) BeginEra(era int64) {
	if era <= h.era {
		return
	}
	h.era = era
	if !h.known {
		return
	}
	h.returnSeen = true
	h.unknownCommits, h.uncertain = append(h.unknownCommits, h.uncertain...), nil
	carried := h.granted() - h.returning
	h.finishReturn()
	h.carried = &carried
	if h.latest == nil || h.ledger.Mark.newer(h.latest.Mark) {
		latest := h.ledger.clone()
		if latest.Mark.Era == h.revision.Era {
			// It was read in the era in which it was written, so that it is not from a
			// commit that was applied to a copy.
			latest.Replaced = nil
		}
		h.latest = &latest
	}
	h.current = false
}

// LedgerOutdated reports whether the known ledger was read before the store came back
// from a copy.
func (h *Holder) LedgerOutdated() bool { return h.known && !h.current }

// outdated reports whether a ledger was written before the latest return of the
// store.
func (h *Holder) outdated(ledger Ledger) bool {
	if ledger.Mark.Sequence == 0 {
		// The copy has no ledger, or one of a build that does not know eras.
		return h.returnSeen && (len(ledger.Holdings) > 0 || h.latest != nil)
	}
	return ledger.Mark.Era < h.era
}

// reconciled returns the stored ledger as it should be: reopened in this era, based
// on the latest ledger of the era before, with this process's holding. It reports
// false if that is what the store has.
func (h *Holder) reconciled() (Ledger, bool) {
	ledger, changed := h.ledger, false
	switch {
	case h.outdated(ledger):
		ledger, changed = h.reopen(), true
	case h.rebaseDue():
		ledger, changed = h.correct(), true
	case h.lostForNothing():
		ledger, changed = ledger.clone(), true
		ledger.Lost = 0
	}
	if h.carried == nil {
		return ledger, changed
	}
	if !changed {
		ledger = ledger.clone()
	}
	key := h.process.String()
	own := ledger.Holdings[key]
	ledger.Lost -= *h.carried - own.Granted
	if *h.carried > 0 {
		ledger.Holdings[key] = Holding{Host: h.process.Host, Granted: *h.carried, Spent: h.spent, Demand: h.demandRate(), EnteredAt: own.EnteredAt}
	} else {
		delete(ledger.Holdings, key)
	}
	for _, commit := range h.unknownCommits {
		ledger.Base.Allocated = max(ledger.Base.Allocated, commit.Ledger.mostAllocatedAtReturn(h.prepaid))
	}
	if h.latest != nil && !ledger.Base.Mark.newer(h.latest.Mark) {
		// A commit that was applied to the copy may have given the base the same mark.
		ledger.Base.Allocated = max(ledger.Base.Allocated, h.latest.mostAllocatedAtReturn(h.prepaid))
	}
	ledger.endRecovery()
	return ledger, true
}

// endRecovery reduces what is lost once all processes that had holdings in the base
// have confirmed them. No later commit of theirs is missing then, so that others were
// granted no more than the room that they had.
func (l *Ledger) endRecovery() {
	if !l.Base.Complete {
		return
	}
	for _, holding := range l.Holdings {
		if holding.Unconfirmed {
			return
		}
	}
	l.Base.Complete = false
	l.Lost = min(l.Lost, l.Base.Allocated-l.recorded())
}

// rebaseDue reports whether the stored ledger is based on an earlier ledger than the
// latest that this process knows, or on none.
func (h *Holder) rebaseDue() bool { return h.latest != nil && h.latest.Mark.newer(h.ledger.Base.Mark) }

// confirm ends the carried grant once the stored ledger has it. A ledger that is still
// to be rebased does not: latest may have a holding of this process that was never its
// grant, from a write that was applied to the copy after the return. While the grant is
// carried, what that holding takes off Lost is added again.
func (h *Holder) confirm() {
	if h.carried == nil || h.outdated(h.ledger) || h.rebaseDue() {
		return
	}
	holding, found := h.ledger.Holdings[h.process.String()]
	if (found && !holding.Unconfirmed && holding.Granted == *h.carried) || (!found && *h.carried == 0) {
		h.carried, h.latest, h.unknownCommits = nil, nil, nil
	}
}

// lostHoldings returns the earlier processes of this host whose holdings were lost
// with a return of the store, but not their pledges.
func (h *Holder) lostHoldings(ledger Ledger) []string {
	var lost []string
	if ledger.ReopenedAt == 0 {
		return nil
	}
	for process, bound := range h.earlierBounds {
		if _, found := ledger.Holdings[process]; !found && bound > 0 && !slices.Contains(ledger.Closed, process) {
			lost = append(lost, process)
		}
	}
	return lost
}

// hasLostHoldings reports whether lostHoldings are to be settled.
func (h *Holder) hasLostHoldings() bool { return len(h.lostHoldings(h.ledger)) > 0 }

// firstEra is the era of a store that has never come back from a copy.
const firstEra = 1

// unmarked reports whether the store has no ledger although it has returned, or one
// that names no era: the copy may be older than the ledger.
func (h *Holder) unmarked() bool { return h.ledger.Mark.Sequence == 0 && h.era > firstEra }

// storeClock estimates the store's clock. The local clock does not count the time in
// which the process is suspended, so that the estimate may be too low.
func (h *Holder) storeClock(now time.Time) time.Duration { return h.clock + max(now.Sub(h.clockAt), 0) }

// settlementDue reports whether a commit brings the ledger closer to the end of its
// settlement.
func (h *Holder) settlementDue(now time.Time) bool {
	if h.unmarked() {
		return true
	}
	return h.ledger.Unsettled > 0 && h.storeClock(now) >= time.Duration(h.ledger.ReopenedAt)*time.Millisecond+settlementTime
}

// settle counts what the prepaid total has risen by since the ledger was reopened as
// granted before, and ends that once settlementTime has passed.
func (h *Holder) settle(ledger *Ledger, now time.Time) {
	if ledger.Unsettled <= 0 {
		return
	}
	rise := max(h.prepaid-ledger.Unsettled, 0)
	ledger.Lost += rise
	ledger.Base.Allocated += rise
	ledger.Unsettled = max(h.prepaid, ledger.Unsettled)
	if h.storeClock(now) >= time.Duration(ledger.ReopenedAt)*time.Millisecond+settlementTime {
		ledger.Unsettled = 0
	}
}

// grantable returns what may be granted now.
func (h *Holder) grantable(now time.Time) core.Tokens {
	if h.unmarked() || h.ledger.Unsettled > 0 {
		return 0
	}
	grantable := h.Unallocated() - h.withheldNow(now)
	if h.ledger.Room != nil && !h.established(now) {
		grantable = min(grantable, *h.ledger.Room)
	}
	return max(grantable, 0)
}
