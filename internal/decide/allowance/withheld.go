package allowance

import (
	"errors"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// MaxCopyAge is the greatest age of the copy from which the store may come back for
// which balances hold: what was withheld when the copy was made has not been granted
// since. The store keeps its history for as long.
const MaxCopyAge = 20 * time.Second

const (
	// withheldShare is the share of the unspent balance, beyond what withheldCover
	// needs, that is withheld at any demand. A request of most of an idle balance is
	// still served.
	withheldShare = 0.1
	// withheldCover is how much of the team's demand that leaves, so that a team is not
	// refused while a lower amount waits for MaxCopyAge to pass.
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
// withholds. What a ledger withholds at a time is therefore lowered only by commits that
// the store acknowledged MaxCopyAge before that time.
//
// Builds without Steps take Amount as withheld until At and as guaranteed only what Next
// is, and drop Steps when they write: they grant and guarantee less.
type Withheld struct {
	// Amount is withheld until a lower amount replaces it.
	Amount core.Tokens `json:"a"`
	// Lowering is true if lower amounts are to replace it. Next is the last of them.
	Lowering bool        `json:"l,omitempty"`
	Next     core.Tokens `json:"n,omitempty"`
	// At is the time of the store's clock, in milliseconds, at which Next is in force; 0
	// until a process has read from the store that Next is announced.
	At int64 `json:"t,omitempty"`
	// Steps are the amounts that are in force before Next, in the order of time.
	Steps []WithheldStep `json:"s,omitempty"`
	// Announced is a time of the store's clock, in milliseconds, that had passed when Next
	// was announced, as long as At is 0; 0 if it is not known.
	Announced int64 `json:"c,omitempty"`
}

// WithheldStep is an amount that is withheld from a time on.
type WithheldStep struct {
	// At is a time of the store's clock, in milliseconds.
	At     int64       `json:"t"`
	Amount core.Tokens `json:"a"`
}

// at returns the amount that is withheld at a time of the store's clock.
func (w Withheld) at(clock time.Duration) core.Tokens { return w.since(clock).Amount }

// since returns w without the amounts that others have replaced by a time of the store's
// clock.
func (w Withheld) since(clock time.Duration) Withheld {
	if w.Lowering && w.At > 0 && clock.Milliseconds() >= w.At {
		return Withheld{Amount: w.Next}
	}
	for len(w.Steps) > 0 && clock.Milliseconds() >= w.Steps[0].At {
		w.Amount, w.Steps = w.Steps[0].Amount, w.Steps[1:]
	}
	return w
}

// last returns the amount that is withheld in the end.
func (w Withheld) last() core.Tokens {
	if w.Lowering {
		return w.Next
	}
	return w.Amount
}

// guaranteed returns what cannot have been granted by the time of a number of returns
// of the store, of which each was to a copy that is no older than MaxCopyAge and the last
// came before a time of the store's clock. Each ledger that was reopened from this one
// granted half of what was guaranteed.
func (w Withheld) guaranteed(clock time.Duration, returns int64) core.Tokens {
	amount := w.at(clock)
	if w.Lowering && w.At == 0 && clock >= time.Duration(w.Announced)*time.Millisecond+MaxCopyAge {
		// A commit that the copy lacks may have told when Next is in force.
		amount = min(amount, w.Next)
	}
	for ; returns > 1 && amount > 0; returns-- {
		amount /= 2
	}
	return max(amount, 0)
}

// levels returns the amounts with a time at which they come into force, the present one
// first.
func (w Withheld) levels(clock time.Duration) []WithheldStep {
	levels := append([]WithheldStep{{clock.Milliseconds(), w.Amount}}, w.Steps...)
	if w.Lowering && w.At > 0 {
		levels = append(levels, WithheldStep{w.At, w.Next})
	}
	return levels
}

// withLevels returns w with other amounts in place of those that levels returns. Of equal
// ones, the first remains.
func (w Withheld) withLevels(levels []WithheldStep) Withheld {
	levels = slices.CompactFunc(levels, func(a, b WithheldStep) bool { return a.Amount == b.Amount })
	w.Amount, w.Steps = levels[0].Amount, nil
	if w.Lowering && w.At == 0 {
		w.Steps = levels[1:]
		return w
	}
	if w.Lowering = len(levels) > 1; !w.Lowering {
		return Withheld{Amount: w.Amount}
	}
	end := levels[len(levels)-1]
	w.Next, w.At, w.Steps = end.Amount, end.At, levels[1:len(levels)-1]
	return w
}

// check reports amounts that no host writes.
func (w Withheld) check() error {
	err := errors.Join(checkTokens("withheld", w.Amount), checkTokens("withheld next", w.Next))
	for i, step := range w.Steps {
		err = errors.Join(err, checkTokens("withheld step", step.Amount))
		if i > 0 && step.At < w.Steps[i-1].At {
			err = errors.Join(err, errors.New("withheld steps are not in the order of time"))
		}
	}
	return err
}

// maxWithheldSteps bounds the steps of a ledger. A recovery plan has fewer.
const maxWithheldSteps = 24

// next returns what is withheld after a commit, if an amount is wanted in the end. It does
// not exceed what is unallocated after the commit.
func (w Withheld) next(clock time.Duration, wanted, unallocated core.Tokens) Withheld {
	w = w.since(clock)
	if w.Lowering && w.At == 0 {
		// The row with the announcement was read or written by the time of clock.
		w.At, w.Announced = (clock + MaxCopyAge).Milliseconds(), 0
		if n := len(w.Steps); n > 0 {
			w.At = max(w.At, w.Steps[n-1].At)
		}
	}
	last := w.last()
	switch {
	case float64(wanted) > withheldRaise*float64(last):
		levels := w.levels(clock)
		for i := range levels {
			levels[i].Amount = max(levels[i].Amount, min(wanted, unallocated))
		}
		w = w.withLevels(levels)
	case float64(wanted)*withheldRaise < float64(last) && len(w.Steps) < maxWithheldSteps:
		// What is wanted goes on falling while the announcement ages.
		levels := w.levels(clock)
		w = Withheld{Amount: w.Amount, Lowering: true, Next: max(2*wanted-last, 0), Announced: clock.Milliseconds()}
		if len(levels) > 1 {
			w.Steps = levels[1:]
		}
	}
	return w
}

// WithheldAt returns what may not be granted at a time of the store's clock, for logs.
func (l Ledger) WithheldAt(clock time.Duration) core.Tokens {
	if l.Withheld == nil {
		return 0
	}
	return l.Withheld.at(clock)
}

// withheldNow returns what may not be granted now. The local clock does not count the
// time in which the process is suspended, so that the store's clock is not overestimated.
func (h *Holder) withheldNow(now time.Time) core.Tokens {
	return h.withheldIn(h.ledger).at(h.storeClock(now))
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
	wanted := core.Tokens(withheldShare * max(h.unspentBy(ledger)-h.teamRate(ledger)*withheldCover.Seconds(), 0))
	if !h.established(now) || h.demandAge() < MaxCopyAge {
		// The team's demand is not known yet.
		wanted = min(wanted, h.withheldIn(ledger).last())
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
	withheld := h.withheldIn(h.ledger).since(h.storeClock(now))
	return h.waitsForWithheld(now) && (withheld.last() > 0 || (withheld.Lowering && withheld.At == 0))
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
