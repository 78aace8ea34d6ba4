package fund

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/opaque/match"
	"github.com/peridotreel/peridotreel/internal/tasks/balances"
)

// scripted answers each reservation with one grant and counts settlements.
type scripted struct {
	grant   balances.Grant
	settled core.Tokens
}

func (s *scripted) Reserve(_ context.Context, team core.TeamName, amount core.Tokens, _ time.Time) (Reservation, error) {
	return Reservation{Team: team, Amount: amount, Grant: s.grant}, nil
}

func (s *scripted) Settle(_ Reservation, spent core.Tokens) { s.settled += spent }

func matched() *match.Matched {
	return &match.Matched{
		Request: &gateway.Request{Prompt: &gateway.Prompt{Input: 100, MaxOutput: 20}},
		Route:   &gateway.Route{Objective: time.Second}, Team: &gateway.Team{Name: "t", Limited: true},
		Service: gateway.Service{Engine: &gateway.Engine{TokensPerEvent: 7}},
	}
}

// Guards against a final refusal where tokens may only be out of reach, and
// against callers that come back while the store is still away.
func TestRefusalsForBalance(t *testing.T) {
	for name, expected := range map[balances.Outcome]struct {
		away  bool
		kind  gateway.RefusalKind
		retry time.Duration
	}{
		balances.Spent: {kind: gateway.BalanceSpent}, balances.Away: {kind: gateway.BalanceUnavailable, retry: awayRetry},
		"away in an outage": {away: true, kind: gateway.BalanceUnavailable, retry: outageRetry},
	} {
		Convey("When the balance is "+string(name), t, func() {
			outcome := name
			if expected.away {
				outcome = balances.Away
			}
			filter := &Filter{Balances: &scripted{grant: balances.Grant{Outcome: outcome, StoreAway: expected.away}}, Now: time.Now}
			_, err := filter.Apply(context.Background(), matched())
			var refusal *gateway.Refusal
			So(errors.As(err, &refusal), ShouldBeTrue)
			So(refusal.Kind, ShouldEqual, expected.kind)
			So(refusal.RetryAfter, ShouldEqual, expected.retry)
		})
	}
}

// Guards against charges beyond what was delivered, or none for what ran.
func TestWhatARequestCosts(t *testing.T) {
	Convey("The input counts once it may have run, the output as delivered", t, func() {
		So(Cost(matched(), false, 0), ShouldEqual, 0)
		So(Cost(matched(), true, 0), ShouldEqual, 100)
		So(Cost(matched(), true, 2), ShouldEqual, 114)
		So(Cost(matched(), true, 9), ShouldEqual, 120)
	})
	Convey("A request without a prompt reserves nothing", t, func() {
		plain := matched()
		plain.Request.Prompt = nil
		balance := &scripted{grant: balances.Grant{Outcome: balances.Spent}}
		filter := &Filter{Balances: balance, Now: time.Now}
		reservation, err := filter.Apply(context.Background(), plain)
		So(err, ShouldBeNil)
		filter.Settle(reservation, Cost(plain, true, 3))
		So(balance.settled, ShouldEqual, 0)
	})
}
