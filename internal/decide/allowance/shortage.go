package allowance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Parts divides a team's prepaid total by what its tokens are used for, as one owner of
// the balance knows it. All parts but Overdrawn add up to the total and Overdrawn.
type Parts struct {
	// Spent is known to be spent.
	Spent core.Tokens
	// Available can be reserved at the owner at once.
	Available core.Tokens
	// Unpledged is held by the owner, but its pledges do not allow it yet.
	Unpledged core.Tokens
	// Unallocated may be granted by a write of the ledger.
	Unallocated core.Tokens
	// Returning is given back by a write of the ledger whose outcome is not known.
	Returning core.Tokens
	// HeldReachable is held by other owners that answered the same request.
	HeldReachable core.Tokens
	// HeldUnasked is held by other hosts that were not asked and are not known to be
	// unreachable. It includes what they have reserved, and spent since their last commit.
	HeldUnasked core.Tokens
	// Reserved is reserved for requests under way, at their maxima: at the owner and at
	// those other owners that were asked for the same request.
	Reserved core.Tokens
	// HeldUnreachable is held by other owners that could not be reached.
	HeldUnreachable core.Tokens
	// Withheld is unallocated and withheld from all grants, in case the store returns to an
	// older copy.
	Withheld core.Tokens
	// Barred is unallocated beside that, but the owner may not grant it yet: a return of
	// the store would miss the owner, or was too short ago.
	Barred core.Tokens
	// Lost may have been granted, before a return of the store, to processes that nobody
	// knows of.
	Lost core.Tokens
	// Unsettled was granted to earlier processes of the owner's host, which have ended,
	// and what they have spent of it is not settled yet.
	Unsettled core.Tokens
	// Unsure was settled for dead processes that may not have spent it.
	Unsure core.Tokens
	// Unread is the whole total as long as the owner has not read the ledger.
	Unread core.Tokens
	// Overdrawn is what is allocated beyond the total, after it was lowered.
	Overdrawn core.Tokens
}

// NamedPart is a part with its name in logs.
type NamedPart struct {
	Name   string
	Tokens core.Tokens
}

// Named returns all parts with their names.
func (p Parts) Named() []NamedPart {
	return []NamedPart{
		{"spent", p.Spent}, {"available", p.Available}, {"unpledged", p.Unpledged}, {"unallocated", p.Unallocated},
		{"returning", p.Returning}, {"held_reachable", p.HeldReachable}, {"held_unasked", p.HeldUnasked},
		{"reserved", p.Reserved}, {"held_unreachable", p.HeldUnreachable}, {"withheld", p.Withheld}, {"barred", p.Barred}, {"lost", p.Lost}, {"unsettled", p.Unsettled},
		{"unsure", p.Unsure}, {"unread", p.Unread}, {"overdrawn", p.Overdrawn},
	}
}

// Cause is why the tokens of a request could not be reserved.
type Cause string

// The causes.
const (
	// CausePledge means that the owner held the tokens, but its pledges did not allow them.
	CausePledge Cause = "pledge_write"
	// CauseLedger means that unallocated tokens would have covered the request.
	CauseLedger Cause = "ledger_write"
	// CauseStoreAway means that the store was away, and a write or a return of tokens by
	// other owners would have been enough.
	CauseStoreAway Cause = "store_away"
	// CauseReachable means that tokens of owners that answered were missing.
	CauseReachable Cause = "held_reachable"
	// CauseUnasked means that tokens of hosts were missing that were not asked, and that
	// are not known to be unreachable.
	CauseUnasked Cause = "held_unasked"
	// CauseReserved means that tokens reserved for requests under way were missing.
	CauseReserved Cause = "reserved"
	// CauseUnreachable means that tokens of owners that could not be reached were missing.
	CauseUnreachable Cause = "held_unreachable"
	// CauseStoreReturn means that tokens were missing that the rules for returns of the
	// store withhold, bar from grants or count as lost.
	CauseStoreReturn Cause = "store_return"
	// CauseInDoubt means that tokens were missing that dead processes may have spent.
	CauseInDoubt Cause = "in_doubt"
	// CauseSpent means that the whole unspent balance did not cover the request.
	CauseSpent Cause = "spent"
	// CauseUnread means that the owner had not read the ledger.
	CauseUnread Cause = "ledger_unread"
	// CauseNoOwner means that no owner answered, or the one that did was leaving or did
	// not know the team's total.
	CauseNoOwner Cause = "no_owner"
)

// Cause returns why an amount could not be reserved. The parts are taken in the order in
// which they can be had: from those that one call of the store yields to those that
// never come back. The first that, with all before it, covers the amount is the cause.
func (p Parts) Cause(amount core.Tokens, storeAway bool) Cause {
	if p.Unread > 0 {
		if storeAway {
			return CauseStoreAway
		}
		return CauseUnread
	}
	missing := amount + p.Overdrawn - p.Available
	for _, source := range []struct {
		cause      Cause
		tokens     core.Tokens
		needsStore bool
	}{
		{CausePledge, p.Unpledged, true},
		{CauseLedger, p.Unallocated + p.Returning, true},
		{CauseReachable, p.HeldReachable, true},
		{CauseUnasked, p.HeldUnasked, true},
		{CauseReserved, p.Reserved, false},
		{CauseUnreachable, p.HeldUnreachable, false},
		{CauseStoreReturn, p.Withheld + p.Barred + p.Lost, false},
		{CauseInDoubt, p.Unsettled + p.Unsure, false},
	} {
		if missing -= source.tokens; missing > 0 {
			continue
		}
		if source.needsStore && storeAway {
			return CauseStoreAway
		}
		return source.cause
	}
	return CauseSpent
}

// HostTokens is what a host's processes were granted and are not known to have spent.
type HostTokens struct {
	Host   core.HostID
	Tokens core.Tokens
	// Unreachable is true if the host did not answer the owner.
	Unreachable bool
}

// Shortage is what an owner knows of a balance when it cannot reserve an amount.
type Shortage struct {
	// Parts lacks what Holders have.
	Parts   Parts
	Holders []HostTokens
}

// Shortage returns the parts of the balance. What was granted in earlier eras of the
// store counts as the next write of the ledger will record it.
func (h *Holder) Shortage(now time.Time) Shortage {
	if !h.known {
		return Shortage{Parts: Parts{Unread: h.prepaid}}
	}
	ledger, _ := h.reconciled()
	own := h.process.String()
	parts := Parts{
		Spent: ledger.Settled - ledger.Unsure + h.spent, Reserved: h.used() - h.spent, Returning: h.returning,
		Available: h.Available(now), Lost: max(ledger.Lost, 0), Unsure: ledger.Unsure,
	}
	parts.Unpledged = h.held() - parts.Available
	holders := make(map[core.HostID]core.Tokens)
	for key, holding := range ledger.Holdings {
		if key == own {
			continue
		}
		parts.Spent += holding.Spent
		if holding.Host == h.process.Host {
			parts.Unsettled += holding.Granted - holding.Spent
		} else {
			holders[holding.Host] += holding.Granted - holding.Spent
		}
	}
	free := h.prepaid - (ledger.Allocated() - ledger.Holdings[own].Granted + h.granted())
	parts.Overdrawn = max(-free, 0)
	parts.Unallocated = min(h.grantable(now), max(free, 0))
	barred := max(free, 0) - parts.Unallocated
	parts.Withheld = min(h.withheldNow(now), barred)
	parts.Barred = barred - parts.Withheld
	return Shortage{Parts: parts, Holders: sortedHolders(holders)}
}

func sortedHolders(holders map[core.HostID]core.Tokens) []HostTokens {
	sorted := make([]HostTokens, 0, len(holders))
	for _, host := range slices.SortedFunc(maps.Keys(holders), cmp.Compare[core.HostID]) {
		if holders[host] != 0 {
			sorted = append(sorted, HostTokens{Host: host, Tokens: holders[host]})
		}
	}
	return sorted
}

// Locate returns all parts of the balance, with those of the holders divided by what
// they answered to the same request and by whether they could be reached. A holder that
// answered knows better than the ledger what it has spent and reserved.
func (s Shortage) Locate(answers map[core.HostID]Parts, unreachable map[core.HostID]bool) Parts {
	parts := s.Parts
	for _, holder := range s.Holders {
		rest := holder.Tokens
		take := func(limit core.Tokens) core.Tokens {
			taken := max(min(rest, limit), 0)
			rest -= taken
			return taken
		}
		answer, answered := answers[holder.Host]
		switch {
		case unreachable[holder.Host] || (holder.Unreachable && !answered):
			parts.HeldUnreachable += rest
		case !answered || answer.Unread > 0:
			parts.HeldUnasked += rest
		default:
			parts.HeldReachable += take(answer.Available + answer.Unpledged)
			parts.Reserved += take(answer.Reserved)
			parts.Returning += take(answer.Returning)
			parts.Unsettled += take(answer.Unsettled)
			parts.Spent += rest
		}
	}
	return parts
}
