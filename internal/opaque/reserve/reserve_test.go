package reserve

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

// fakeBalances answers each reservation with the same grant and sums up what is
// settled as spent.
type fakeBalances struct {
	grant   balances.Grant
	settled core.Tokens
}

func (s *fakeBalances) Reserve(_ context.Context, team core.TeamName, amount core.Tokens, _ time.Time) (Reservation, error) {
	return Reservation{Team: team, Amount: amount, Grant: s.grant}, nil
}

func (s *fakeBalances) Settle(_ Reservation, spent core.Tokens) { s.settled += spent }

func matched() *match.Matched {
	return &match.Matched{
		Request: &gateway.Request{Prompt: &gateway.Prompt{Input: 100, MaxOutput: 20}},
		Route:   &gateway.Route{Objective: time.Second}, Team: &gateway.Team{Name: "t", Limited: true},
		Service: gateway.Service{Engine: &gateway.Engine{TokensPerEvent: 7}},
	}
}

// Guards against a final refusal when the team's tokens are only out of reach, and
// against callers that retry while the store is still away.
func TestRefusalsForBalance(t *testing.T) {
	for name, expected := range map[balances.Outcome]struct {
		away  bool
		kind  gateway.RefusalKind
		retry time.Duration
	}{
		balances.Spent: {kind: gateway.BalanceSpent}, balances.Away: {kind: gateway.BalanceUnavailable, retry: retryAfter},
		"away in an outage": {away: true, kind: gateway.BalanceUnavailable, retry: outageRetryAfter},
	} {
		Convey("When the balance is "+string(name), t, func() {
			outcome := name
			if expected.away {
				outcome = balances.Away
			}
			filter := &Filter{Balances: &fakeBalances{grant: balances.Grant{Outcome: outcome, StoreAway: expected.away}}, Now: time.Now}
			_, err := filter.Apply(context.Background(), matched())
			var refusal *gateway.Refusal
			So(errors.As(err, &refusal), ShouldBeTrue)
			So(refusal.Kind, ShouldEqual, expected.kind)
			So(refusal.RetryAfter, ShouldEqual, expected.retry)
		})
	}
}

// Guards against charging more than was delivered, and against charging nothing
// for a request that ran.
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
		balance := &fakeBalances{grant: balances.Grant{Outcome: balances.Spent}}
		filter := &Filter{Balances: balance, Now: time.Now}
		reservation, err := filter.Apply(context.Background(), plain)
		So(err, ShouldBeNil)
		filter.Settle(reservation, Cost(plain, true, 3))
		So(balance.settled, ShouldEqual, 0)
	})
}
