// Package fund is the filter that reserves the most that a request can consume
// of its team's balance and settles what it consumed.
package fund

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
	// waitShare is the part of a request's objective for which it waits for
	// tokens of the store; the rest is left for the upstream.
	waitShare = 0.4
	// awayRetry is given when tokens could not be fetched. The balancer gives a
	// retry to another host, which may hold tokens.
	awayRetry = 300 * time.Millisecond
	// outageRetry is given while the store is away: what a host may spend grows
	// with the time of an outage, and most outages end within seconds.
	outageRetry = 2 * time.Second
)

// Balances reserves and settles.
type Balances interface {
	Reserve(ctx context.Context, team core.TeamName, amount core.Tokens, until time.Time) (Reservation, error)
	Settle(reservation Reservation, spent core.Tokens)
}

// Reservation is an amount held for one request.
type Reservation = owners.Reservation

// Filter reserves and settles.
type Filter struct {
	Balances Balances
	Now      func() time.Time
}

// Apply reserves the request's maximum, or returns a *gateway.Refusal.
func (f *Filter) Apply(ctx context.Context, matched *match.Matched) (Reservation, error) {
	amount := matched.Request.MaxCost()
	if matched.Team == nil || !matched.Team.Limited || amount == 0 {
		return Reservation{}, nil
	}
	now := f.Now()
	until := now.Add(time.Duration(float64(matched.Route.Objective) * waitShare))
	reservation, err := f.Balances.Reserve(ctx, matched.Team.Name, amount, until)
	grant := reservation.Grant
	// An owner whose configuration is older may not know of a higher total.
	final := grant.Outcome == balances.Spent && grant.Prepaid >= matched.Team.Prepaid
	switch {
	case err != nil:
		return reservation, gateway.Refuse(gateway.BalanceUnavailable, awayRetry, "no owner of the balance of team %s answered: %v; retry later", matched.Team.Name, err)
	case final:
		return reservation, gateway.Refuse(gateway.BalanceSpent, 0,
			"the balance of team %s does not cover %d tokens; top it up or ask for fewer", matched.Team.Name, amount)
	case grant.Outcome != balances.Granted:
		retry := awayRetry
		if grant.StoreAway {
			retry = outageRetry
		}
		return reservation, gateway.Refuse(gateway.BalanceUnavailable, retry,
			"no tokens of team %s could be fetched in time; retry later", matched.Team.Name)
	}
	return reservation, nil
}

// Settle ends a reservation.
func (f *Filter) Settle(reservation Reservation, spent core.Tokens) {
	if reservation.Amount > 0 {
		f.Balances.Settle(reservation, spent)
	}
}

// Cost returns what a request consumed: its input once, and the output that was
// delivered.
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
