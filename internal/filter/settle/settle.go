// Package settle is the filter that turns a finished request into a bill and
// returns what was reserved beyond it.
package settle

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// replicationTimeout bounds the wait for a copy of the bill at a peer before
// the last event of the answer is released. A copy takes a few milliseconds;
// at 50 ms busy hosts gave up, and the death of one host could lose a bill.
const replicationTimeout = 250 * time.Millisecond

// Shares takes back reservations.
type Shares interface {
	// Settle ends a hold: cost is spent, the rest may be reserved again.
	Settle(hold core.Hold, cost core.Tokens)
}

// Bills records bills.
type Bills interface {
	// Record takes over a bill. It waits for a copy at a peer until ctx
	// ends; the bill is kept in either case.
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

// Charge bills the usage of a request and ends its hold. It returns the cost,
// which never exceeds the hold.
func (f *Filter) Charge(ctx context.Context, work *core.Work, hold core.Hold, usage core.Usage, now time.Time) core.Tokens {
	cost := min(usage.Total(), hold.Amount)
	if work.Call.Kind == core.KindService {
		cost = min(work.MaxCost, hold.Amount)
	}
	f.shares.Settle(hold, cost)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), replicationTimeout)
	defer cancel()
	f.bills.Record(ctx, core.Bill{
		Request: work.ID, Keyed: work.Keyed,
		Team: work.Caller.Team.Team, Class: work.Class.Name,
		Share: hold.Share, Usage: usage, Cost: cost, Finished: now,
	})
	return cost
}

// Refund ends the hold of a request that is not billed.
func (f *Filter) Refund(hold core.Hold) {
	f.shares.Settle(hold, 0)
}
