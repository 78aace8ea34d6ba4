package allowance

import (
	"math"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// demandHorizon is how far ahead of demand a host keeps tokens.
	// Outages of the store last up to about 9 s.
	demandHorizon = 10 * time.Second
	// demandFactor multiplies the expected demand, because demand arrives in few
	// large requests.
	demandFactor = 3.0
	// largestRequestsKept is how many requests of the largest recent size are
	// kept in addition.
	largestRequestsKept = 4
	// unallocatedRequests is how many requests of the largest recent size are
	// left unallocated, for hosts whose own tokens do not cover a request.
	unallocatedRequests = 2
	// minUnallocatedShare is the smallest share of the unspent balance that is
	// left unallocated.
	minUnallocatedShare = 0.08
	// scarceUnallocatedShare is the share left unallocated as the balance runs
	// out, when every token must be available to all hosts.
	scarceUnallocatedShare = 0.6
	// evenShare is the share of the unspent balance that is divided evenly among
	// the owners; the rest is divided by demand.
	evenShare = 0.3
	// fullEvenShareCover is how long the unspent balance must cover the team's
	// demand for evenShare to apply in full. Below it, tokens go to the hosts
	// with demand.
	fullEvenShareCover = 30 * time.Second
	// demandHalfLife is the half-life of past demand.
	demandHalfLife = 8 * time.Second
	// refillBelow is the fraction of the target below which tokens are fetched.
	refillBelow = 0.7
	// returnAbove is the multiple of the target above which tokens are returned.
	returnAbove = 1.4
	// minDemandChange is the relative change of demand that justifies a commit.
	minDemandChange = 0.2
	// minCommitInterval is the minimum time between commits that no request
	// waits for.
	minCommitInterval = 300 * time.Millisecond
	// minReturn is the smallest surplus that is returned unasked.
	minReturn = core.Tokens(1000)
)

// Holder is one process's part of one team's balance. It is not safe for
// concurrent use; the caller passes the current time.
type Holder struct {
	process Process
	prepaid core.Tokens
	// owners is the number of hosts that own the balance, and owned is true if
	// this host is one of them.
	owners int
	owned  bool
	// standby is true if this host has a holding even without tokens.
	standby bool
	// retired is true once the host is leaving.
	retired bool
	// earlierBounds are upper bounds on what earlier processes of this host have
	// spent, by the key of the process.
	earlierBounds map[string]core.Tokens

	ledger   Ledger
	revision core.Revision
	known    bool

	// era is the store's era. returnSeen is true once the store came back from an
	// older copy.
	era        int64
	returnSeen bool
	// clock is the store's clock when ledger was read or written, and clockAt the local
	// time at which that was known.
	clock   time.Duration
	clockAt time.Time
	// current is true if ledger was read in this era.
	current bool
	// carried is what was granted in earlier eras, until the ledger of this era has
	// it.
	carried *core.Tokens
	// newIn is the era in which the team is known to be new, 0 if there is none.
	newIn int64
	// latest is the latest ledger of an earlier era that this process knows, until
	// the ledger of this era is based on it.
	latest *Ledger

	// unknownCommits are those whose outcome was not known when the store returned.
	unknownCommits []Proposal

	spent    core.Tokens
	reserved core.Tokens
	waiting  core.Tokens

	// demand is the exponentially decaying sum of the requested amounts.
	demand float64
	// sustained is the exponentially decaying sum of demand over time, in token seconds. It
	// follows a change of demand later.
	sustained float64
	// largestAmount is the largest recent amount; it decays with demand.
	largestAmount float64
	decayedAt     time.Time
	// countsFrom is when the holder began to count demand.
	countsFrom time.Time

	// acknowledgedPledge is the newest pledge that the store has acknowledged.
	// pendingPledges are later ones that may have replaced it in the store.
	acknowledgedPledge *timedPledge
	pendingPledges     []timedPledge

	// uncertain are the commits whose outcome is not known.
	uncertain  []Proposal
	committing bool
	lastCommit time.Time
	// returning is the part of reserved that a commit returns. It stays reserved
	// until the outcome of the commit is known, because a commit without an
	// answer may still be applied as long as the row has its version.
	returning       core.Tokens
	returnUncertain bool
}

// NewHolder returns a holder without a grant.
func NewHolder(process Process) *Holder {
	return &Holder{process: process, owners: 1, earlierBounds: make(map[string]core.Tokens)}
}

// SetBalance sets the team's prepaid total, the number of hosts that own the
// balance, and whether this host is one of them.
func (h *Holder) SetBalance(prepaid core.Tokens, owners int, owned bool) {
	h.prepaid, h.owners, h.owned = prepaid, max(owners, 1), owned
}

// SetStandby sets whether this host is to have a holding even without tokens.
func (h *Holder) SetStandby(standby bool) { h.standby = standby }

// Retire makes the holder return all tokens that no request needs.
func (h *Holder) Retire() { h.retired = true }

// LedgerKnown reports whether the ledger has been read since the store last came
// back from a copy.
func (h *Holder) LedgerKnown() bool { return h.known && h.current }

// Active reports whether the holder has a grant or a pledge, or requests that
// wait for tokens.
func (h *Holder) Active() bool {
	return h.granted() > 0 || h.waiting > 0 || h.acknowledgedPledge != nil || len(h.pendingPledges) > 0
}

// BelowTarget reports whether the holder has too few tokens for the waiting
// requests or much less than its target.
func (h *Holder) BelowTarget(now time.Time) bool {
	held := h.held()
	return h.LedgerKnown() && (h.waiting > held || float64(held) < refillBelow*float64(h.target(now)))
}

// SetLedger records the ledger that the store has at a revision, and the store's
// clock at that time. Older revisions are ignored.
func (h *Holder) SetLedger(ledger Ledger, revision core.Revision, clock time.Duration, now time.Time) {
	h.BeginEra(revision.Era)
	if revision.Era < h.era || (h.known && h.current && h.revision.Newer(revision)) {
		return
	}
	if revision.Newer(h.revision) {
		h.uncertain = nil
		if h.returnUncertain {
			h.finishReturn()
		}
	}
	if ledger.Holdings[h.process.String()].Unconfirmed && h.carried == nil && !h.outdated(ledger) {
		// The holding is from a ledger of an earlier era that another process knew, and is
		// not this process's grant.
		granted := h.granted()
		h.carried = &granted
	}
	h.ledger, h.revision, h.known, h.current = ledger, revision, true, true
	h.clock, h.clockAt = clock, now
	h.confirm()
}

// finishReturn ends the reservation of the tokens of a return, whether it was
// applied or not. If it was, they are no longer part of the grant.
func (h *Holder) finishReturn() {
	h.reserved -= h.returning
	h.returning, h.returnUncertain = 0, false
}

func (h *Holder) granted() core.Tokens {
	if h.carried != nil {
		return *h.carried
	}
	return h.ledger.Holdings[h.process.String()].Granted
}

// held returns the granted tokens that are neither spent nor reserved.
func (h *Holder) held() core.Tokens { return h.granted() - h.spent - h.reserved }

// used returns the tokens that are spent or reserved for requests.
func (h *Holder) used() core.Tokens { return h.spent + h.reserved - h.returning }

// Available returns the tokens that can be reserved without a call to the store.
func (h *Holder) Available(now time.Time) core.Tokens {
	available := min(h.held(), h.spendingLimit(now)-h.used())
	if h.ledger.Allocated() > h.prepaid {
		// The total was lowered below what is allocated: nothing is spent until hosts
		// have returned tokens.
		return 0
	}
	return max(available, 0)
}

// Reserve reserves an amount for a request if it is available.
func (h *Holder) Reserve(amount core.Tokens, now time.Time) bool {
	if amount > h.Available(now) {
		return false
	}
	h.reserved += amount
	return true
}

// AddDemand counts a request in the demand, whether it is granted or not.
func (h *Holder) AddDemand(amount core.Tokens, now time.Time) {
	h.decayDemand(now)
	h.demand += float64(amount)
	h.largestAmount = max(h.largestAmount, float64(amount))
}

// AddWaiting counts a request that waits for tokens.
func (h *Holder) AddWaiting(amount core.Tokens) { h.waiting += amount }

// RemoveWaiting ends the wait of a request.
func (h *Holder) RemoveWaiting(amount core.Tokens) { h.waiting -= amount }

// Settle ends a reservation and records how much of it was spent.
func (h *Holder) Settle(reserved, spent core.Tokens) {
	h.reserved -= reserved
	h.spent += min(max(spent, 0), reserved)
}

// BalanceCovers reports whether the balance may cover an amount. It reports
// false only if the amount would not fit even if all hosts returned their
// unspent tokens and dead processes had spent no more than is known.
func (h *Holder) BalanceCovers(amount core.Tokens) bool {
	if !h.known {
		return true
	}
	used := h.ledger.KnownSpent() - h.ledger.Holdings[h.process.String()].Spent + h.spent + h.reserved
	return used+amount <= h.prepaid
}

// Unallocated returns the part of the balance that is not granted to any process.
func (h *Holder) Unallocated() core.Tokens { return max(h.prepaid-h.ledger.Allocated(), 0) }

// Elsewhere returns what is granted to other processes and not known to be
// spent.
func (h *Holder) Elsewhere() core.Tokens {
	own := h.ledger.Holdings[h.process.String()]
	return h.ledger.Allocated() - h.ledger.KnownSpent() - h.ledger.unsureSpent() - (own.Granted - own.Spent)
}

// Unsure returns the part of the allocated tokens that dead processes may not have
// spent.
func (h *Holder) Unsure() core.Tokens { return h.ledger.unsureSpent() }

// Prepaid returns the team's prepaid total in force.
func (h *Holder) Prepaid() core.Tokens { return h.prepaid }

// Revision returns the revision of the known ledger, for logs.
func (h *Holder) Revision() core.Revision { return h.revision }

func (h *Holder) decayDemand(now time.Time) {
	if h.decayedAt.IsZero() {
		h.countsFrom = now
	}
	if !h.decayedAt.IsZero() && now.After(h.decayedAt) {
		keep := math.Exp2(-float64(now.Sub(h.decayedAt)) / float64(demandHalfLife))
		// demand falls from its value to keep of it within the elapsed time, by the same
		// half-life as sustained, so that what it adds decays as it is added.
		h.sustained = keep * (h.sustained + h.demand*now.Sub(h.decayedAt).Seconds())
		h.demand *= keep
		h.largestAmount *= keep
	}
	h.decayedAt = now
}

// demandRate returns the recent demand in tokens per second.
func (h *Holder) demandRate() float64 {
	// The decaying sum holds demandHalfLife/ln 2 seconds of demand.
	return h.demand * math.Ln2 / demandHalfLife.Seconds()
}

// demandAge returns the time for which demand has been counted.
func (h *Holder) demandAge() time.Duration { return h.decayedAt.Sub(h.countsFrom) }

// lastingDemand returns an estimate of the team's demand in tokens per second, and the part
// of it that has lasted, between 0 and 1. For a young holder, it corrects the sums for the
// short time that they cover.
func (h *Holder) lastingDemand(teamRate float64) (rate, lasting float64) {
	age := h.demandAge().Seconds() * math.Ln2 / demandHalfLife.Seconds()
	covered, sustainedCovered := 1-math.Exp(-age), 1-(1+age)*math.Exp(-age)
	if h.demand <= 0 || sustainedCovered <= 0 {
		return teamRate, 0
	}
	sustained := h.sustained * math.Ln2 / demandHalfLife.Seconds()
	return teamRate / covered, min(sustained/sustainedCovered*covered/h.demand, 1)
}

// unspent returns the balance less what is known to be spent, what is reserved
// here, and what was settled for dead processes.
func (h *Holder) unspent() float64 { return h.unspentBy(h.ledger) }

// unspentBy returns the unspent balance by a ledger.
func (h *Holder) unspentBy(ledger Ledger) float64 {
	own := ledger.Holdings[h.process.String()].Spent
	used := ledger.KnownSpent() + ledger.unsureSpent() - own + h.used()
	return float64(max(h.prepaid-used, 0))
}

// balanceSplit is the division of the unspent balance.
type balanceSplit struct {
	// even is what an owner keeps without any demand, so that a first request
	// during an outage is served.
	even float64
	// byDemand is what all hosts keep together, each by its share of the team's
	// demand.
	byDemand float64
	// teamRate is the demand of all hosts in tokens per second.
	teamRate float64
}

// splitUnspent divides the unspent balance. Where it covers the team's demand for
// less than fullEvenShareCover, more is left unallocated and less is divided
// evenly.
func (h *Holder) splitUnspent(now time.Time) balanceSplit {
	teamRate := h.teamRate(h.ledger)
	unspent := max(h.unspent()-float64(h.withheldSoon(now)), 0)
	coverage := 1.0
	if teamRate > 0 {
		coverage = min(1, unspent/(teamRate*fullEvenShareCover.Seconds()))
	}
	unallocated := max(unallocatedRequests*h.largestAmount, minUnallocatedShare*unspent, scarceUnallocatedShare*(1-coverage)*unspent)
	distributed := max(unspent-unallocated, 0)
	share := evenShare * coverage
	split := balanceSplit{byDemand: (1 - share) * distributed, teamRate: teamRate}
	if h.owned {
		split.even = share * distributed / float64(h.owners)
	}
	return split
}

// target returns the number of tokens to keep ahead of demand: an even part of
// the unspent balance, and a part by the host's share of the team's demand.
func (h *Holder) target(now time.Time) core.Tokens {
	h.decayDemand(now)
	if h.retired {
		return 0
	}
	rate, split := h.demandRate(), h.splitUnspent(now)
	needed := demandFactor*rate*demandHorizon.Seconds() + largestRequestsKept*h.largestAmount
	if split.teamRate > 0 {
		needed = min(needed, split.byDemand*rate/split.teamRate)
	}
	return core.Tokens(split.even + needed)
}
