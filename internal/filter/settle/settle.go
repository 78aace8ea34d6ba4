// Package settle is the filter that bills a finished request and returns the
// unused part of its reservation.
package settle

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Shares settles reservations.
type Shares interface {
	// Settle ends a reservation: cost is spent, and the rest becomes available again.
	Settle(reservation core.Reservation, cost core.Tokens)
}

// Bills records bills.
type Bills interface {
	// Record accepts a bill and waits, for a bounded time, until a peer holds a copy.
	// The bill is kept in any case.
	Record(ctx context.Context, bill core.Bill)
}

// Filter settles requests.
type Filter struct {
	shares Shares
	bills  Bills
}

// New returns the filter.
func New(shares Shares, bills Bills) *Filter {
	return &Filter{shares: shares, bills: bills}
}

// Charge bills the usage of a request and ends its reservation. It returns the
// cost, which never exceeds the reserved amount.
func (f *Filter) Charge(ctx context.Context, work *core.Work, reservation core.Reservation, usage core.Usage, now time.Time) core.Tokens {
	cost := min(usage.Total(), reservation.Amount)
	if work.Call.Kind == core.KindService {
		cost = min(work.MaxCost, reservation.Amount)
	}
	f.shares.Settle(reservation, cost)
	// The copy protects the bill even if the caller has left.
	f.bills.Record(context.WithoutCancel(ctx), core.Bill{
		Request: work.ID, Keyed: work.Keyed,
		Team: work.Caller.Team.Team, Class: work.Class.Name,
		Share: reservation.Share, Usage: usage, Cost: cost, Finished: now,
	})
	return cost
}

// Refund ends the reservation of a request that is not billed.
func (f *Filter) Refund(reservation core.Reservation) {
	f.shares.Settle(reservation, 0)
}
