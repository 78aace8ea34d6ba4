package allowance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Proposal is a conditional update of the ledger.
type Proposal struct {
	Ledger Ledger
	// Revision is the revision that the row must have.
	Revision core.Revision
	// Reopens is true if the ledger is the first one of an era after the first. Its row
	// then has the era in its key, whether the store has an earlier ledger or none, so
	// that an era has one ledger.
	Reopens bool
	// Delta is the change of the holder's grant; it is negative for a return.
	Delta core.Tokens
}

// Propose returns the update that the holder needs, if any.
func (h *Holder) Propose(now time.Time) (Proposal, bool) {
	if h.committing || !h.LedgerKnown() {
		return Proposal{}, false
	}
	if _, changed := h.reconciled(); changed {
		return h.proposal(0, now), true
	}
	if h.returnUncertain {
		// The same commit is repeated to learn the outcome of the one without an
		// answer: at most one of them finds the row at its version.
		return h.proposal(-h.returning, now), true
	}
	held := h.held()
	target := h.target(now)
	intervalPassed := h.lastCommit.IsZero() || now.Sub(h.lastCommit) >= minCommitInterval
	delta := core.Tokens(0)
	switch {
	case h.ledger.Allocated() > h.prepaid:
		if held > 0 && intervalPassed {
			delta = -held
		}
	case h.waiting > held:
		delta = min(h.waiting+target-held, h.grantable(now))
	case float64(held) < refillBelow*float64(target) && intervalPassed:
		delta = min(target-held, h.grantable(now))
	case float64(held) > returnAbove*float64(max(target, h.waiting))+float64(minReturn) && intervalPassed:
		delta = max(target, h.waiting) - held
	}
	if delta != 0 || h.hasEarlierHoldings() || h.hasLostHoldings() {
		return h.proposal(delta, now), true
	}
	due := h.demandReportDue(held, target) || h.settlementDue(now) || h.lowersWithheld(now) || h.recoveryDue(now) || h.entryDue()
	if !intervalPassed || !due {
		return Proposal{}, false
	}
	return h.proposal(0, now), true
}

// recallKeepTime is how much of its own demand a host keeps when another host
// recalls tokens.
const recallKeepTime = 1500 * time.Millisecond

// ProposeReturn returns the update that gives up to an amount back to the
// balance, for a host that has recalled it.
func (h *Holder) ProposeReturn(amount core.Tokens, now time.Time) (Proposal, bool) {
	if _, changed := h.reconciled(); h.committing || !h.LedgerKnown() || h.returnUncertain || changed {
		return Proposal{}, false
	}
	h.decayDemand(now)
	spare := h.held() - h.waiting - core.Tokens(h.demandRate()*recallKeepTime.Seconds())
	if amount = min(amount, spare); amount <= 0 {
		return Proposal{}, false
	}
	return h.proposal(-amount, now), true
}

// LargestHolders returns the hosts with the most granted tokens that are not known
// to be spent, largest first, and how many tokens the waiting requests lack.
func (h *Holder) LargestHolders(limit int, now time.Time) ([]core.HostID, core.Tokens) {
	type hostHolding struct {
		host core.HostID
		held core.Tokens
	}
	var holders []hostHolding
	for _, holding := range h.ledger.Holdings {
		if held := holding.Granted - holding.Spent; holding.Host != h.process.Host && held > 0 {
			holders = append(holders, hostHolding{holding.Host, held})
		}
	}
	slices.SortFunc(holders, func(a, b hostHolding) int { return cmp.Or(cmp.Compare(b.held, a.held), cmp.Compare(a.host, b.host)) })
	hosts := make([]core.HostID, 0, limit)
	for _, next := range holders[:min(limit, len(holders))] {
		hosts = append(hosts, next.host)
	}
	shortfall := h.waiting - h.held() - h.grantable(now)
	return hosts, shortfall
}

// demandReportDue reports whether other hosts must learn of this host's demand,
// because it lacks tokens that they hold.
func (h *Holder) demandReportDue(held, target core.Tokens) bool {
	if float64(held) >= refillBelow*float64(target) {
		return false
	}
	reported := h.ledger.Holdings[h.process.String()].Demand
	return math.Abs(h.demandRate()-reported) > minDemandChange*max(reported, 1)
}

// hasEarlierHoldings reports whether the ledger has holdings of earlier processes
// of this host.
func (h *Holder) hasEarlierHoldings() bool {
	for key, holding := range h.ledger.Holdings {
		if holding.Host == h.process.Host && key != h.process.String() {
			return true
		}
	}
	return false
}

// proposal returns the ledger with a change of the grant. It closes the holdings
// of earlier processes of this host, which have ended, and settles the most that
// each can have spent by its pledge, or the whole grant if no pledge is known.
//
// After a return of the store, it also brings the ledger into the new era.
func (h *Holder) proposal(delta core.Tokens, now time.Time) Proposal {
	reconciled, _ := h.reconciled()
	ledger := reconciled.clone()
	entered := ledger.Holdings[h.process.String()].EnteredAt
	for key, holding := range ledger.Holdings {
		if holding.Host != h.process.Host || key == h.process.String() {
			continue
		}
		// Each copy that misses this process has the earlier one, which cannot confirm
		// its holding any more.
		entered = max(entered, holding.EnteredAt)
		// What processes have returned since the copy was made may have been granted
		// to others, so that unconfirmed holdings are settled whole.
		spent := holding.Granted
		if bound, known := h.earlierBounds[key]; known && !holding.Unconfirmed {
			spent = min(max(bound, holding.Spent), holding.Granted)
		}
		ledger.Unsure += spent - holding.Spent
		ledger.close(key, spent)
	}
	for _, key := range h.lostHoldings(ledger) {
		spent := h.earlierBounds[key]
		ledger.Unsure += spent
		ledger.Lost -= spent
		ledger.close(key, spent)
	}
	if own, found := h.ledger.Holdings[h.process.String()]; found && !own.Unconfirmed && entered == 0 && h.carried == nil {
		entered = h.clock.Milliseconds()
	}
	ledger.Holdings[h.process.String()] = Holding{Host: h.process.Host, Granted: h.granted() + delta, Spent: h.spent, Demand: h.demandRate(), EnteredAt: entered, WrittenAt: h.storeClock(now).Milliseconds()}
	return h.newProposal(ledger, delta, now)
}

func (h *Holder) newProposal(ledger Ledger, delta core.Tokens, now time.Time) Proposal {
	if h.unmarked() && ledger.ReopenedAt == 0 {
		h.begin(&ledger)
	}
	h.settle(&ledger, now)
	h.updateRoom(&ledger, delta, now)
	unallocated := h.prepaid - ledger.Allocated()
	withheld := h.withheldIn(ledger).next(h.clock, h.wantedWithheld(ledger, now), unallocated).planned(h.clock, h.planRecovery(ledger, now), unallocated)
	ledger.Withheld = &withheld
	ledger.Replaced = h.replaced()
	ledger.Mark = Mark{Era: h.era, Sequence: max(ledger.Mark.Sequence, h.ledger.Mark.Sequence, ledger.Base.Mark.Sequence) + 1}
	return Proposal{Ledger: ledger, Revision: h.revision, Reopens: h.outdated(h.ledger) || h.unmarked(), Delta: delta}
}

// ProposeClose returns the update that ends the holding and returns all unspent
// tokens. Whatever is still reserved counts as spent.
func (h *Holder) ProposeClose(now time.Time) (Proposal, bool) {
	if !h.LedgerKnown() {
		return Proposal{}, false
	}
	if _, changed := h.reconciled(); changed {
		return h.proposal(0, now), true
	}
	holding, found := h.ledger.Holdings[h.process.String()]
	if !found {
		return Proposal{}, false
	}
	ledger := h.ledger.clone()
	ledger.close(h.process.String(), h.spent+h.reserved)
	return h.newProposal(ledger, h.spent+h.reserved-holding.Granted, now), true
}

// BeginCommit marks a commit as in progress. Tokens that it returns can no longer
// be spent.
func (h *Holder) BeginCommit(proposal Proposal, now time.Time) {
	h.committing, h.lastCommit = true, now
	h.uncertain = append(h.uncertain, proposal)
	if proposal.Delta < 0 && !h.returnUncertain {
		h.returning = -proposal.Delta
		h.reserved += h.returning
	}
}

// EndCommit ends a commit. If its outcome is certain, the caller must have passed
// the resulting ledger to SetLedger before.
func (h *Holder) EndCommit(certain bool) {
	h.committing = false
	if certain {
		h.uncertain = nil
		h.finishReturn()
	} else if h.returning > 0 {
		h.returnUncertain = true
	}
}
