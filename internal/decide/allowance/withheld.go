package allowance

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// MaxCopyAge is the greatest age of the copy from which the store may come back for
// which balances hold: what was withheld when the copy was made has not been granted
// since. The store keeps its history for as long.
const MaxCopyAge = 20 * time.Second

const (
	// withheldShare is the share of the unspent balance, beyond what withheldCover
	// needs, that is withheld. A request of most of an idle balance is still served.
	withheldShare = 0.1
	// withheldCover is how much of the team's demand is never withheld, so that a
	// team is not refused while a lower amount waits for MaxCopyAge to pass.
	withheldCover = 6 * MaxCopyAge
	// initialWithheldShare is the share of a new ledger's balance that is withheld.
	initialWithheldShare = 0.02
	// roomShare is the share of the unallocated balance that processes may be granted
	// which the ledger has had for less than MaxCopyAge, beside what the processes before
	// them left. It is lost if the store returns to a copy.
	roomShare = 0.2
	// roomDecay is the part of a larger room that a commit leaves.
	roomDecay = 0.9
	// withheldRaise is the multiple of the withheld amount from which it is raised,
	// and its inverse the one from which it is lowered.
	withheldRaise = 1.25
)

// Withheld is a part of the balance that no process may be granted. It makes a return
// of the store to an older copy safe: whatever processes were granted after the copy
// was made, and even if all of them have ended since, it was not from what the copy
// withholds. An amount is therefore lowered in steps, of which the last comes
// MaxCopyAge after the store acknowledged the first.
type Withheld struct {
	// Amount is withheld until Next replaces it.
	Amount core.Tokens `json:"a"`
	// Lowering is true while Next is about to replace Amount.
	Lowering bool        `json:"l,omitempty"`
	Next     core.Tokens `json:"n,omitempty"`
	// At is the time of the store's clock, in milliseconds, at which Next replaces
	// Amount; 0 until a process has read from the store that Next is announced.
	At int64 `json:"t,omitempty"`
}

// at returns the amount that is withheld at a time of the store's clock.
func (w Withheld) at(clock time.Duration) core.Tokens {
	if w.Lowering && w.At > 0 && clock.Milliseconds() >= w.At {
		return w.Next
	}
	return w.Amount
}

// guaranteed returns what cannot have been granted by the time of a number of returns
// of the store, of which each was to a copy that is no older than MaxCopyAge. Each
// ledger that was reopened from this one granted half of what was guaranteed.
func (w Withheld) guaranteed(returns int64) core.Tokens {
	amount := w.Amount
	if w.Lowering {
		amount = min(amount, w.Next)
	}
	for ; returns > 1 && amount > 0; returns-- {
		amount /= 2
	}
	return max(amount, 0)
}

// next returns what is withheld after a commit, if an amount is wanted. It does not
// exceed what is unallocated after the commit.
func (w Withheld) next(clock time.Duration, wanted, unallocated core.Tokens) Withheld {
	switch {
	case w.Lowering && w.At == 0:
		// The row with the announcement was read or written by the time of clock.
		w.At = (clock + MaxCopyAge).Milliseconds()
	case w.Lowering && clock.Milliseconds() >= w.At:
		w = Withheld{Amount: w.Next}
	case w.Lowering:
	case float64(wanted) > withheldRaise*float64(w.Amount):
		w.Amount = max(w.Amount, min(wanted, unallocated))
	case float64(wanted)*withheldRaise < float64(w.Amount):
		// What is wanted goes on falling while the announcement ages.
		w = Withheld{Amount: w.Amount, Lowering: true, Next: max(2*wanted-w.Amount, 0)}
	}
	return w
}

// withheldNow returns what may not be granted now. The local clock does not count the
// time in which the process is suspended, so that the store's clock is not overestimated.
func (h *Holder) withheldNow(now time.Time) core.Tokens {
	return h.withheldIn(h.ledger).at(h.clock + max(now.Sub(h.clockAt), 0))
}

// withheldIn returns what a ledger withholds. One that was never written withholds a
// share of the whole balance.
func (h *Holder) withheldIn(ledger Ledger) Withheld {
	if ledger.Withheld == nil {
		if ledger.Mark.Sequence > 0 {
			return Withheld{}
		}
		return Withheld{Amount: core.Tokens(initialWithheldShare * float64(h.prepaid))}
	}
	return *ledger.Withheld
}

// wantedWithheld returns the amount that a ledger should withhold by the team's demand.
// Nothing is withheld from requests that wait here for more than may be granted.
func (h *Holder) wantedWithheld(ledger Ledger, now time.Time) core.Tokens {
	if h.waitsForWithheld(now) {
		return 0
	}
	teamRate := h.demandRate() + ledger.demandWithout(h.process.String())
	wanted := core.Tokens(withheldShare * max(h.unspentBy(ledger)-teamRate*withheldCover.Seconds(), 0))
	if !h.established(now) {
		// The team's demand is not known yet.
		wanted = min(wanted, h.withheldIn(ledger).Amount)
	}
	return wanted
}

// waitsForWithheld reports whether the waiting requests need tokens that are withheld.
func (h *Holder) waitsForWithheld(now time.Time) bool {
	return h.withheldNow(now) > 0 && h.waiting > h.held()+h.grantable(now)
}

// lowersWithheld reports whether a commit brings the withheld amount closer to what
// the waiting requests need.
func (h *Holder) lowersWithheld(now time.Time) bool {
	withheld := h.withheldIn(h.ledger)
	return h.waitsForWithheld(now) && (!withheld.Lowering || withheld.At == 0)
}

// established reports whether each copy of the ledger has this process's holding, so
// that a return of the store to one of them misses the process.
func (h *Holder) established(now time.Time) bool {
	entered := h.ledger.Holdings[h.process.String()].EnteredAt
	return entered > 0 && !h.outdated(h.ledger) && h.storeClock(now) >= time.Duration(entered)*time.Millisecond+MaxCopyAge
}

// entryDue reports whether a commit enters this process in the ledger, or the time at
// which it was there.
func (h *Holder) entryDue() bool {
	holding, found := h.ledger.Holdings[h.process.String()]
	return (found || h.standby) && !h.retired && holding.EnteredAt == 0
}

// updateRoom takes what is granted to a process that is not established off the room.
// Established processes restore it, as the commit of a process that a return of the
// store misses need not be known.
func (h *Holder) updateRoom(ledger *Ledger, granted core.Tokens, now time.Time) {
	if !h.established(now) {
		if ledger.Room != nil {
			ledger.widenRoom(-max(granted, 0))
		}
		return
	}
	room := core.Tokens(roomShare * float64(max(h.prepaid-ledger.Allocated(), 0)))
	if ledger.Room != nil {
		room = max(room, core.Tokens(roomDecay*float64(*ledger.Room)))
	}
	ledger.Room = &room
}
