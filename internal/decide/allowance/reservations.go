package allowance

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// ReservationID names a reservation that a process made at another host.
type ReservationID struct {
	Process string
	Number  uint64
}

// earlyMemory is how long a settlement is remembered whose reservation is not
// known. It outlasts the longest wait of a reservation and its call.
const earlyMemory = 10 * time.Second

// Reservations are what an owner holds for processes of other hosts. Calls may
// be lost, repeated and overtake each other: a reservation is counted once, and
// settled once.
type Reservations struct {
	held map[ReservationID]reservation
	// early are settlements whose reservation was not there: it may still be on
	// its way.
	early map[ReservationID]time.Time
}

type reservation struct {
	team   core.TeamName
	amount core.Tokens
}

// NewReservations returns an empty register.
func NewReservations() *Reservations {
	return &Reservations{held: make(map[ReservationID]reservation), early: make(map[ReservationID]time.Time)}
}

// Verdict is what becomes of an amount that was reserved for another process.
type Verdict int

// The verdicts.
const (
	// Kept means that the amount is held until it is settled.
	Kept Verdict = iota
	// Repeated means that an earlier call already holds an amount for the
	// reservation: this one's is to be released.
	Repeated
	// Abandoned means that the caller has given the reservation up: the amount
	// is to be released.
	Abandoned
)

// Keep registers an amount that was reserved.
func (r *Reservations) Keep(id ReservationID, team core.TeamName, amount core.Tokens, now time.Time) Verdict {
	r.forget(now)
	if _, settled := r.early[id]; settled {
		return Abandoned
	}
	if _, found := r.held[id]; found {
		return Repeated
	}
	r.held[id] = reservation{team, amount}
	return Kept
}

// Settle ends a reservation and returns its team and amount. It reports false
// if none is held, which is so for a repeated settlement too.
func (r *Reservations) Settle(id ReservationID, now time.Time) (core.TeamName, core.Tokens, bool) {
	held, found := r.held[id]
	delete(r.held, id)
	r.early[id] = now
	return held.team, held.amount, found
}

// forgetAbove is the number of remembered settlements from which old ones are
// looked for, so that a look costs little for each settlement.
const forgetAbove = 256

func (r *Reservations) forget(now time.Time) {
	if len(r.early) < forgetAbove {
		return
	}
	for id, at := range r.early {
		if now.Sub(at) > earlyMemory {
			delete(r.early, id)
		}
	}
}
