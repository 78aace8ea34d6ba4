// Package reserve is the filter that reserves the maximum cost of a request from
// its team's balance and settles what the request consumed.
package reserve

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/opaque/match"
	"github.com/peridotreel/peridotreel/internal/tasks/balances"
	"github.com/peridotreel/peridotreel/internal/tasks/owners"
)

const (
	// waitShare is the share of a route's objective for which a request waits for
	// tokens from the store; the rest is left for the upstream.
	waitShare = 0.4
	// retryAfter is sent when tokens could not be fetched. The balancer sends the
	// retry to another host, which may hold tokens.
	retryAfter = 300 * time.Millisecond
	// outageRetryAfter is sent while the store is away: the longer an outage
	// lasts, the more a host may spend, and most outages end within seconds.
	outageRetryAfter = 2 * time.Second
)

// Balances reserves and settles tokens of teams' balances.
type Balances interface {
	Reserve(ctx context.Context, team core.TeamName, amount core.Tokens, deadline time.Time) (Reservation, error)
	Settle(reservation Reservation, spent core.Tokens)
}

// Reservation is an amount that is reserved for one request.
type Reservation = owners.Reservation

// Filter reserves tokens before a request is sent and settles them afterwards.
type Filter struct {
	Balances Balances
	Now      func() time.Time
}

// Apply reserves the request's maximum cost, or returns a *gateway.Refusal.
func (f *Filter) Apply(ctx context.Context, matched *match.Matched) (Reservation, error) {
	amount := matched.Request.MaxCost()
	if matched.Team == nil || !matched.Team.Limited || amount == 0 {
		return Reservation{}, nil
	}
	now := f.Now()
	deadline := now.Add(time.Duration(float64(matched.Route.Objective) * waitShare))
	reservation, err := f.Balances.Reserve(ctx, matched.Team.Name, amount, deadline)
	grant := reservation.Grant
	// An owner with an older configuration may not know of a higher total.
	final := grant.Outcome == balances.Spent && grant.Prepaid >= matched.Team.Prepaid
	switch {
	case err != nil:
		return reservation, gateway.Refuse(gateway.BalanceUnavailable, retryAfter, "no owner of the balance of team %s answered: %v; retry later", matched.Team.Name, err)
	case final:
		return reservation, gateway.Refuse(gateway.BalanceSpent, 0,
			"the balance of team %s does not cover %d tokens; top it up or ask for fewer", matched.Team.Name, amount)
	case grant.Outcome != balances.Granted:
		delay := retryAfter
		if grant.StoreAway {
			delay = outageRetryAfter
		}
		return reservation, gateway.Refuse(gateway.BalanceUnavailable, delay,
			"no tokens of team %s could be fetched in time; retry later", matched.Team.Name)
	}
	return reservation, nil
}

// Settle ends a reservation and reports how much of it was spent.
func (f *Filter) Settle(reservation Reservation, spent core.Tokens) {
	if reservation.Amount > 0 {
		f.Balances.Settle(reservation, spent)
	}
}

// Cost returns what a request consumed: its input, counted once, and the output
// that was delivered.
func Cost(matched *match.Matched, ran bool, events int) core.Tokens {
	prompt := matched.Request.Prompt
	if prompt == nil || !ran {
		return 0
	}
	perEvent := core.Tokens(1)
	if matched.Service.Engine != nil {
		perEvent = matched.Service.Engine.TokensPerEvent
	}
	return prompt.Input + min(core.Tokens(events)*perEvent, prompt.MaxOutput)
}
