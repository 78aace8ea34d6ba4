// Package reserve is the filter that reserves the maximum cost of a request
// from the team's prepaid budget before the request is sent.
package reserve

import (
	"context"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Shares makes reservations from this host's shares of the prepaid budgets.
type Shares interface {
	// Reserve reserves amount from the budget's share on this host and draws
	// more from the budget if needed.
	Reserve(ctx context.Context, budget core.BudgetID, amount core.Tokens) (core.Reservation, error)
}

// Filter reserves the maximum cost of work.
type Filter struct {
	shares Shares
}

// New returns the filter.
func New(shares Shares) *Filter {
	return &Filter{shares: shares}
}

// Apply returns a reservation of the maximum cost of the work.
func (f *Filter) Apply(ctx context.Context, work *core.Work) (core.Reservation, error) {
	return f.shares.Reserve(ctx, work.Caller.Team.Budget, work.MaxCost)
}
