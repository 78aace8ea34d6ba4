package allowance

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// ReservationID identifies a reservation that a process made at another host.
type ReservationID struct {
	Process string
	Number  uint64
}

// settlementRetention is how long a settlement is remembered, in case its
// reservation arrives later. It exceeds the longest wait of a reservation and
// its call.
const settlementRetention = 10 * time.Second

// Reservations are the amounts that an owner has reserved for processes of other
// hosts. Calls may be lost, repeated or reordered; each reservation is counted
// once and settled once.
type Reservations struct {
	held map[ReservationID]reservation
	// settledAt has the times of recent settlements. A call that reserves may
	// arrive after the settlement of its reservation.
	settledAt map[ReservationID]time.Time
}

type reservation struct {
	team   core.TeamName
	amount core.Tokens
}

// NewReservations returns an empty register of reservations.
func NewReservations() *Reservations {
	return &Reservations{held: make(map[ReservationID]reservation), settledAt: make(map[ReservationID]time.Time)}
}

// RegisterResult is the result of registering a reservation.
type RegisterResult int

// The results of Register.
const (
	// Registered means that the amount is held until it is settled.
	Registered RegisterResult = iota
	// Duplicate means that an earlier call already registered the reservation:
	// the amount of this call is to be released.
	Duplicate
	// AlreadySettled means that the caller has settled the reservation: the
	// amount is to be released.
	AlreadySettled
)

// Register registers an amount that was reserved for another process.
func (r *Reservations) Register(id ReservationID, team core.TeamName, amount core.Tokens, now time.Time) RegisterResult {
	r.expireSettlements(now)
	if _, settled := r.settledAt[id]; settled {
		return AlreadySettled
	}
	if _, found := r.held[id]; found {
		return Duplicate
	}
	r.held[id] = reservation{team, amount}
	return Registered
}

// Settle ends a reservation and returns its team and amount. It reports false
// if the reservation is not registered, for instance if the settlement is a
// repeat.
func (r *Reservations) Settle(id ReservationID, now time.Time) (core.TeamName, core.Tokens, bool) {
	held, found := r.held[id]
	delete(r.held, id)
	r.settledAt[id] = now
	return held.team, held.amount, found
}

// expireThreshold is the number of remembered settlements from which old ones
// are removed, so that few calls scan for them.
const expireThreshold = 256

func (r *Reservations) expireSettlements(now time.Time) {
	if len(r.settledAt) < expireThreshold {
		return
	}
	for id, at := range r.settledAt {
		if now.Sub(at) > settlementRetention {
			delete(r.settledAt, id)
		}
	}
}
