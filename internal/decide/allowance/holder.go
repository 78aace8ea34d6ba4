package allowance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// horizon is the time for which a host keeps tokens ahead of its demand.
	// Outages of the store last up to some 9 s.
	horizon = 10 * time.Second
	// burst is the multiple of the expected demand that is kept, as demand
	// comes in few large requests.
	burst = 3.0
	// largestAhead is the number of the largest recent requests kept besides.
	largestAhead = 4
	// poolRequests is the number of the largest recent requests that are left
	// unallocated, for hosts whose part does not cover a request.
	poolRequests = 2
	// poolShare is the least part of the unspent balance left unallocated.
	poolShare = 0.08
	// scarcePool is the part left unallocated as the balance runs out, when each
	// token must be within reach of all hosts.
	scarcePool = 0.6
	// evenShare is the part of the unspent balance that is spread evenly over
	// the owners; the rest is spread by demand.
	evenShare = 0.3
	// plenty is the time of the team's demand that the unspent balance must cover
	// for the even part to be kept in full; below, tokens go where the demand is.
	plenty = 30 * time.Second
	// demandMemory is the time after which past demand counts half.
	demandMemory = 8 * time.Second
	// refillBelow is the part of the target below which tokens are fetched.
	refillBelow = 0.7
	// returnAbove is the multiple of the target above which they are returned.
	returnAbove = 1.4
	// tellChange is the relative change of demand that is worth a commit.
	tellChange = 0.2
	// commitPause is the least time between commits that no request waits for.
	commitPause = 300 * time.Millisecond
	// returnLeast is the least amount that is returned by itself.
	returnLeast = core.Tokens(1000)
)

// Holder is one process's part of one team's balance. Its methods take the
// time and are called by one task.
type Holder struct {
	process Process
	prepaid core.Tokens
	// owners is the number of hosts that own the balance, owned whether this is
	// one of them.
	owners int
	owned  bool
	// retired is set once the host leaves.
	retired bool
	// ended are bounds of what earlier processes of this host have spent.
	ended map[string]core.Tokens

	ledger  Ledger
	version int64
	known   bool

	spent    core.Tokens
	reserved core.Tokens
	waiting  core.Tokens

	// demand is the sum of amounts asked for, which loses weight with time.
	demand float64
	// largest is the largest recent amount, decaying likewise.
	largest  float64
	demandAt time.Time

	// pledged bounds spending, pending are pledges that may have replaced it.
	pledged *anchored
	pending []anchored

	committing bool
	lastCommit time.Time
	// returning is the part of reserved that a commit returns. It stays
	// reserved until the commit's fate is certain, because a commit without an
	// answer may still be applied as long as the row has its version.
	returning core.Tokens
	uncertain bool
}

// NewHolder returns a holder that has been granted nothing.
func NewHolder(process Process) *Holder {
	return &Holder{process: process, owners: 1, ended: make(map[string]core.Tokens)}
}

// SetBalance sets the team's prepaid total, the number of hosts that own the
// balance, and whether this is one of them.
func (h *Holder) SetBalance(prepaid core.Tokens, owners int, owned bool) {
	h.prepaid, h.owners, h.owned = prepaid, max(owners, 1), owned
}

// Retire makes the holder return what no request needs.
func (h *Holder) Retire() { h.retired = true }

// Known reports whether the ledger was read.
func (h *Holder) Known() bool { return h.known }

// Engaged reports whether the holder has been granted tokens or needs some.
func (h *Holder) Engaged() bool {
	return h.granted() > 0 || h.waiting > 0 || h.pledged != nil || len(h.pending) > 0
}

// Lacks reports whether the holder has much less than it wants.
func (h *Holder) Lacks(now time.Time) bool {
	held := h.held()
	return h.known && (h.waiting > held || float64(held) < refillBelow*float64(h.target(now)))
}

// Learn takes the ledger as it is in the store at a version.
func (h *Holder) Learn(ledger Ledger, version int64) {
	if h.known && version < h.version {
		return
	}
	if h.uncertain && version > h.version {
		h.endReturn()
	}
	h.ledger, h.version, h.known = ledger, version, true
}

// endReturn frees what a commit returned or failed to return; what was returned
// is no longer part of the grant.
func (h *Holder) endReturn() {
	h.reserved -= h.returning
	h.returning, h.uncertain = 0, false
}

func (h *Holder) granted() core.Tokens { return h.ledger.Holdings[h.process.String()].Granted }

// held returns what is granted and neither spent nor reserved.
func (h *Holder) held() core.Tokens { return h.granted() - h.spent - h.reserved }

// used returns what is spent or reserved for requests.
func (h *Holder) used() core.Tokens { return h.spent + h.reserved - h.returning }

// Available returns the tokens that can be reserved without the store.
func (h *Holder) Available(now time.Time) core.Tokens {
	available := min(h.held(), h.limit(now)-h.used())
	if h.ledger.Taken() > h.prepaid {
		// The balance was lowered below what is granted: nothing more is spent
		// until hosts have returned what they hold.
		return 0
	}
	return max(available, 0)
}

// Reserve takes an amount for a request if it is available.
func (h *Holder) Reserve(amount core.Tokens, now time.Time) bool {
	if amount > h.Available(now) {
		return false
	}
	h.reserved += amount
	return true
}

// Note counts a request in the demand, whatever becomes of it.
func (h *Holder) Note(amount core.Tokens, now time.Time) {
	h.decay(now)
	h.demand += float64(amount)
	h.largest = max(h.largest, float64(amount))
}

// Await and Release count the requests that wait for tokens.
func (h *Holder) Await(amount core.Tokens) { h.waiting += amount }

// Release ends the wait of a request.
func (h *Holder) Release(amount core.Tokens) { h.waiting -= amount }

// Settle ends a reservation with what was spent of it.
func (h *Holder) Settle(reserved, spent core.Tokens) {
	h.reserved -= reserved
	h.spent += min(max(spent, 0), reserved)
}

// Covers reports whether the balance may cover an amount. It does not if not
// even all that hosts hold, and that dead processes may not have spent, would.
func (h *Holder) Covers(amount core.Tokens) bool {
	if !h.known {
		return true
	}
	used := h.ledger.Used() - h.ledger.Holdings[h.process.String()].Spent + h.spent + h.reserved
	return used+amount <= h.prepaid
}

// Unallocated returns the part of the balance that nobody was granted.
func (h *Holder) Unallocated() core.Tokens { return max(h.prepaid-h.ledger.Taken(), 0) }

// Elsewhere returns what other processes were granted and are not known to have
// spent.
func (h *Holder) Elsewhere() core.Tokens {
	own := h.ledger.Holdings[h.process.String()]
	return h.ledger.Taken() - h.ledger.Used() - h.ledger.Unsure - (own.Granted - own.Spent)
}

// Unsure returns what dead processes may not have spent, though it is settled.
func (h *Holder) Unsure() core.Tokens { return h.ledger.Unsure }

// Prepaid returns the team's total in force.
func (h *Holder) Prepaid() core.Tokens { return h.prepaid }

// Version returns the version of the ledger that is known, for logs.
func (h *Holder) Version() int64 { return h.version }

func (h *Holder) decay(now time.Time) {
	if !h.demandAt.IsZero() && now.After(h.demandAt) {
		keep := math.Exp2(-float64(now.Sub(h.demandAt)) / float64(demandMemory))
		h.demand *= keep
		h.largest *= keep
	}
	h.demandAt = now
}

// perSecond returns the recent demand in tokens a second.
func (h *Holder) perSecond() float64 {
	// The decaying sum holds demandMemory/ln 2 seconds of demand.
	return h.demand * math.Ln2 / demandMemory.Seconds()
}

// unspent returns the part of the balance that is not known to be spent.
func (h *Holder) unspent() float64 {
	own := h.ledger.Holdings[h.process.String()].Spent
	used := h.ledger.Used() + h.ledger.Unsure - own + h.used()
	return float64(max(h.prepaid-used, 0))
}

// spread is how the unspent balance is divided.
type spread struct {
	// even is what an owner keeps without demand, so that a first request
	// during an outage is served.
	even float64
	// byDemand is what hosts keep by their share of the team's demand.
	byDemand float64
	// teamRate is the demand of all hosts in tokens a second.
	teamRate float64
}

// spread divides the unspent balance. Where it covers less than plenty of the
// team's demand, more is left unallocated and less is spread evenly.
func (h *Holder) spread() spread {
	unspent, teamRate := h.unspent(), h.perSecond()+h.ledger.demand(h.process.String())
	abundance := 1.0
	if teamRate > 0 {
		abundance = min(1, unspent/(teamRate*plenty.Seconds()))
	}
	pool := max(poolRequests*h.largest, poolShare*unspent, scarcePool*(1-abundance)*unspent)
	distributed := max(unspent-pool, 0)
	share := evenShare * abundance
	split := spread{byDemand: (1 - share) * distributed, teamRate: teamRate}
	if h.owned {
		split.even = share * distributed / float64(h.owners)
	}
	return split
}

// target returns the tokens to keep ahead of demand: an even part of the
// unspent balance, and a part by the host's share of the team's demand.
func (h *Holder) target(now time.Time) core.Tokens {
	h.decay(now)
	if h.retired {
		return 0
	}
	rate, spread := h.perSecond(), h.spread()
	needed := burst*rate*horizon.Seconds() + largestAhead*h.largest
	if spread.teamRate > 0 {
		needed = min(needed, spread.byDemand*rate/spread.teamRate)
	}
	return core.Tokens(spread.even + needed)
}

// Proposal is a change of the ledger to commit.
type Proposal struct {
	Ledger Ledger
	// Version is that which the row must have.
	Version int64
	// Delta is what the holder is granted more, or returns if negative.
	Delta core.Tokens
}

// Propose returns the commit that the holder wants, if any.
func (h *Holder) Propose(now time.Time) (Proposal, bool) {
	if h.committing || !h.known {
		return Proposal{}, false
	}
	if h.uncertain {
		// The same commit again settles the fate of the one without an answer:
		// at most one of them finds the row at its version.
		return h.proposal(-h.returning), true
	}
	held := h.held()
	target := h.target(now)
	rest := h.lastCommit.IsZero() || now.Sub(h.lastCommit) >= commitPause
	delta := core.Tokens(0)
	switch {
	case h.ledger.Taken() > h.prepaid:
		if held > 0 && rest {
			delta = -held
		}
	case h.waiting > held:
		delta = min(h.waiting+target-held, h.Unallocated())
	case float64(held) < refillBelow*float64(target) && rest:
		delta = min(target-held, h.Unallocated())
	case float64(held) > returnAbove*float64(max(target, h.waiting))+float64(returnLeast) && rest:
		delta = max(target, h.waiting) - held
	}
	if delta == 0 && !h.predecessors() && (!rest || !h.mustTell(held, target)) {
		return Proposal{}, false
	}
	return h.proposal(delta), true
}

// recallKeep is the time of its own demand that a host keeps when another asks
// for what it holds.
const recallKeep = 1500 * time.Millisecond

// Return returns the commit that gives up to an amount back for another host.
func (h *Holder) Return(amount core.Tokens, now time.Time) (Proposal, bool) {
	if h.committing || !h.known || h.uncertain {
		return Proposal{}, false
	}
	h.decay(now)
	spare := h.held() - h.waiting - core.Tokens(h.perSecond()*recallKeep.Seconds())
	if amount = min(amount, spare); amount <= 0 {
		return Proposal{}, false
	}
	return h.proposal(-amount), true
}

// Lenders returns the hosts that hold the most of what is not known to be spent,
// the richest first, and how much the request in front lacks.
func (h *Holder) Lenders(most int) ([]core.HostID, core.Tokens) {
	type lender struct {
		host core.HostID
		held core.Tokens
	}
	var lenders []lender
	for _, holding := range h.ledger.Holdings {
		if held := holding.Granted - holding.Spent; holding.Host != h.process.Host && held > 0 {
			lenders = append(lenders, lender{holding.Host, held})
		}
	}
	slices.SortFunc(lenders, func(a, b lender) int { return cmp.Or(cmp.Compare(b.held, a.held), cmp.Compare(a.host, b.host)) })
	hosts := make([]core.HostID, 0, most)
	for _, next := range lenders[:min(most, len(lenders))] {
		hosts = append(hosts, next.host)
	}
	lack := h.waiting - h.held() - h.Unallocated()
	return hosts, lack
}

// mustTell reports whether the others must learn of this host's demand, because
// it lacks tokens that they hold.
func (h *Holder) mustTell(held, target core.Tokens) bool {
	if float64(held) >= refillBelow*float64(target) {
		return false
	}
	told := h.ledger.Holdings[h.process.String()].Demand
	return math.Abs(h.perSecond()-told) > tellChange*max(told, 1)
}

// predecessors reports whether earlier processes of this host hold tokens.
func (h *Holder) predecessors() bool {
	for key, holding := range h.ledger.Holdings {
		if holding.Host == h.process.Host && key != h.process.String() {
			return true
		}
	}
	return false
}

// proposal returns the ledger with a change of the grant. Holdings of earlier
// processes of this host are closed, since they have ended: what they can have
// spent by their pledge is settled, all of the grant if no pledge is known.
func (h *Holder) proposal(delta core.Tokens) Proposal {
	ledger := h.ledger.clone()
	for key, holding := range ledger.Holdings {
		if holding.Host != h.process.Host || key == h.process.String() {
			continue
		}
		spent := holding.Granted
		if bound, known := h.ended[key]; known {
			spent = min(spent, max(bound, holding.Spent))
		}
		ledger.Settled += spent
		ledger.Unsure += spent - holding.Spent
		delete(ledger.Holdings, key)
	}
	ledger.Holdings[h.process.String()] = Holding{Host: h.process.Host, Granted: h.granted() + delta, Spent: h.spent, Demand: h.perSecond()}
	return Proposal{Ledger: ledger, Version: h.version, Delta: delta}
}

// Close returns the commit that ends the holding, with all unspent tokens
// returned. Reservations must have been settled.
func (h *Holder) Close() (Proposal, bool) {
	holding, found := h.ledger.Holdings[h.process.String()]
	if !found || !h.known {
		return Proposal{}, false
	}
	ledger := h.ledger.clone()
	delete(ledger.Holdings, h.process.String())
	ledger.Settled += h.spent + h.reserved
	return Proposal{Ledger: ledger, Version: h.version, Delta: h.spent + h.reserved - holding.Granted}, true
}

// Begin marks a commit as under way. Tokens that it returns are not spent any
// more.
func (h *Holder) Begin(proposal Proposal, now time.Time) {
	h.committing, h.lastCommit = true, now
	if proposal.Delta < 0 && !h.uncertain {
		h.returning = -proposal.Delta
		h.reserved += h.returning
	}
}

// Done ends the commit. If its fate is certain, the caller passes the ledger
// that resulted to Learn before.
func (h *Holder) Done(certain bool) {
	h.committing = false
	if certain {
		h.endReturn()
	} else if h.returning > 0 {
		h.uncertain = true
	}
}
