package allowance

import (
	"cmp"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// A recovery plan is what is withheld from a team with demand, beyond what is withheld at
// any demand, so that the team is served after a return of the store of which no process
// remembers anything. It falls with the balance, as demand is expected to go on: each
// commit adds the amounts of a later time, and none lowers those of an earlier commit.
type recoveryPlan func(ahead time.Duration) core.Tokens

const (
	// recoveryDemandTime is how much of the team's demand is withheld. A reopened ledger
	// grants half of what is left at once, and more from MaxCopyAge on.
	recoveryDemandTime = MaxCopyAge
	// recoveryCover is how much of the team's demand is never withheld, and recoveryShare
	// the share of the rest of the unspent balance that may be, as demand may rise.
	recoveryCover = MaxCopyAge
	recoveryShare = 0.4
	// recoveryStepTime is the time between two steps of a plan.
	recoveryStepTime = 2 * time.Second
	// recoveryHorizon is how far a plan reaches. It exceeds MaxCopyAge by the time between
	// two commits of a team with steady demand.
	recoveryHorizon = MaxCopyAge + 2*recoveryStepTime
	// staleHoldingAge is the age from which all that was granted to another process counts
	// as spent in a plan, as its demand may have risen since.
	staleHoldingAge = 3 * time.Second
	// knownDemandFactor is the multiple of the time for which demand has been counted that
	// a plan reaches at most.
	knownDemandFactor = 3
)

// planned returns w with at least the amounts of a plan, as far as tokens are unallocated.
// An amount is not raised for little.
func (w Withheld) planned(clock time.Duration, plan recoveryPlan, unallocated core.Tokens) Withheld {
	levels := w.levels(clock)
	end := (clock + recoveryHorizon).Truncate(recoveryStepTime)
	for at := clock.Truncate(recoveryStepTime) + recoveryStepTime; at <= end; at += recoveryStepTime {
		levels = divideLevel(levels, at)
	}
	for i, level := range levels {
		from := time.Duration(level.At) * time.Millisecond
		if from >= end {
			break
		}
		// The plan falls, so that its amount at the end of a step is the least.
		until := from.Truncate(recoveryStepTime) + recoveryStepTime
		amount := min(plan(until-clock), unallocated)
		if float64(amount) > withheldRaise*float64(level.Amount) {
			levels[i].Amount = amount
		}
	}
	for i := len(levels) - 2; i >= 0; i-- {
		levels[i].Amount = max(levels[i].Amount, levels[i+1].Amount)
	}
	return w.withLevels(levels)
}

// divideLevel divides the level in force at a time of the store's clock in two.
func divideLevel(levels []WithheldStep, at time.Duration) []WithheldStep {
	i, found := slices.BinarySearchFunc(levels, at.Milliseconds(), func(level WithheldStep, at int64) int { return cmp.Compare(level.At, at) })
	if found || i == 0 {
		return levels
	}
	return slices.Insert(levels, i, WithheldStep{at.Milliseconds(), levels[i-1].Amount})
}

// planRecovery returns the recovery plan of a ledger by the team's demand. Nothing is
// withheld from requests that wait here for more than may be granted.
func (h *Holder) planRecovery(ledger Ledger, now time.Time) recoveryPlan {
	if h.waitsForWithheld(now) {
		return func(time.Duration) core.Tokens { return 0 }
	}
	rate, lasting := h.lastingDemand(h.teamRate(ledger))
	most := lasting * rate * recoveryDemandTime.Seconds()
	// Demand that rises is expected to rise further by what has not lasted.
	rate *= 2 - lasting
	unspent, known := h.unspentBy(ledger)-h.stale(ledger, now), knownDemandFactor*h.demandAge()
	return func(ahead time.Duration) core.Tokens {
		if ahead > known {
			return 0
		}
		return core.Tokens(min(most, recoveryShare*max(unspent-rate*(ahead+recoveryCover).Seconds(), 0)))
	}
}

// stale returns what is granted to other processes that have not written their holding of
// late and is not known to be spent.
func (h *Holder) stale(ledger Ledger, now time.Time) float64 {
	stale, since := core.Tokens(0), (h.storeClock(now) - staleHoldingAge).Milliseconds()
	for process, holding := range ledger.Holdings {
		if process != h.process.String() && holding.WrittenAt < since {
			stale += holding.Granted - holding.Spent
		}
	}
	return float64(stale)
}

// recoveryDue reports whether a return of the store would find less than is planned.
func (h *Holder) recoveryDue(now time.Time) bool {
	amount := h.planRecovery(h.ledger, now)(MaxCopyAge)
	withheld := h.withheldIn(h.ledger).at(h.storeClock(now) + MaxCopyAge)
	return float64(amount) > withheldRaise*float64(withheld) && amount <= h.Unallocated()
}

// withheldSoon returns what is withheld once holders have returned enough tokens.
func (h *Holder) withheldSoon(now time.Time) core.Tokens {
	return max(h.withheldNow(now), h.planRecovery(h.ledger, now)(recoveryStepTime))
}

// teamRate returns the demand of all processes in tokens per second.
func (h *Holder) teamRate(ledger Ledger) float64 {
	return h.demandRate() + ledger.demandWithout(h.process.String())
}
