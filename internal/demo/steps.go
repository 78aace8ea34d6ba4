package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/peridotreel/peridotreel/internal/client"
	"github.com/peridotreel/peridotreel/internal/core"
	upstreamstandin "github.com/peridotreel/peridotreel/internal/standin/upstream"
)

const (
	// payouts is the number of calls sent twice for each site.
	payouts = 10
	// tightBudget runs out within some dozen requests of the demo.
	tightBudget core.Tokens = 1_200
	topUp       core.Tokens = 400
	// maxSpending bounds the requests sent until the budget has run out.
	maxSpending = 500
)

// payoutsTwice sends each call that must not be repeated through two hosts at
// the same time under one key, and once more later.
func (d *demo) payoutsTwice(ctx context.Context) error {
	c := d.newCheck("P5 a non-idempotent call runs at most once")
	sent := 0
	for s := range sites {
		of := d.teams[s*teamsPerSite]
		connection := client.New(of.key)
		for range payouts {
			key := newKey()
			if err := d.payoutTwice(ctx, c, connection, of, key); err != nil {
				return err
			}
			sent++
		}
		connection.Close()
	}
	for _, service := range d.fleet.Services {
		for key, runs := range service.Runs() {
			if key != "" && runs > 1 {
				c.breakf("the call with key %s ran %d times", key, runs)
			}
		}
	}
	c.detail = fmt.Sprintf("%d calls sent twice at once and once more, and the mix", sent)
	return nil
}

type callResult struct {
	body []byte
	err  error
}

func (d *demo) payoutTwice(ctx context.Context, c *check, connection *client.Client, of *team, key string) error {
	path := "/" + string(of.site.service) + of.site.action
	content := fmt.Appendf(nil, `{"amount": 120, "payee": %q}`, key)
	send := func(address string, results chan<- callResult) {
		_, body, err := connection.Call(ctx, address, http.MethodPost, path, key, content)
		results <- callResult{body, err}
	}
	random := mathrand.New(mathrand.NewPCG(1, uint64(len(key))))
	results := make(chan callResult, 2)
	go send(d.balancer.pick(random), results)
	go send(d.balancer.pick(random), results)
	first, second := <-results, <-results
	third := make(chan callResult, 1)
	send(d.balancer.pick(random), third)
	repeated := <-third
	if repeated.err != nil {
		return fmt.Errorf("a repeated call got no recorded answer: %w", repeated.err)
	}
	for _, result := range []callResult{first, second} {
		if result.err == nil && !bytes.Equal(result.body, repeated.body) {
			c.breakf("the call with key %s got two different answers", key)
		}
	}
	d.later = append(d.later, sample{team: of.row.Team, key: key, answered: true, cost: serviceCosts[of.site.service]})
	return nil
}

// budgetRunsOut spends a budget to its end through all hosts, tops it up
// twice under one token and goes on.
func (d *demo) budgetRunsOut(ctx context.Context) error {
	c := d.newCheck("P1 a team's spend never exceeds its prepaid budget")
	of := newTeam(&sites[0], teamsPerSite)
	of.row.Team, of.row.Budget = "cartamarca-tight", "cartamarca-tight"
	if err := d.fleet.Budgets().TopUp(ctx, of.row.Budget, tightBudget, "first-payment", operatorName); err != nil {
		return err
	}
	version, err := d.fleet.SaveTeam(ctx, &of.row)
	if err != nil {
		return err
	}
	for d.hostsBehind(of.row.Team, version) > 0 && ctx.Err() == nil {
		pause(ctx, propagationPoll)
	}
	d.teams = append(d.teams, of)
	spent, err := d.spend(ctx, of)
	if err != nil {
		return err
	}
	token := uuid.NewString()
	for range 2 {
		if err := d.fleet.Budgets().TopUp(ctx, of.row.Budget, topUp, token, operatorName); err != nil {
			return err
		}
	}
	// Hosts remember for a moment that the budget was spent.
	var more core.Tokens
	for saved := time.Now(); more == 0 && time.Since(saved) < propagationBound; pause(ctx, propagationPoll) {
		if more, err = d.spend(ctx, of); err != nil {
			return err
		}
	}
	if more == 0 {
		c.breakf("no request was answered within %s of the top-up", propagationBound)
	}
	if spent+more > tightBudget+topUp {
		c.breakf("%d tokens spent of %d", spent+more, tightBudget+topUp)
	}
	c.detail = fmt.Sprintf("spent %d of %d before the first refusal, then %d of a top-up of %d sent twice",
		spent, tightBudget, more, topUp)
	return nil
}

// spend sends requests through all hosts until the first refusal for lack of
// budget and returns what they cost.
func (d *demo) spend(ctx context.Context, of *team) (core.Tokens, error) {
	connection := client.New(of.key)
	defer connection.Close()
	random := mathrand.New(mathrand.NewPCG(2, 2))
	var spent core.Tokens
	for number := range maxSpending {
		request := client.Request{Model: string(modelQuick), Class: "price", MaxTokens: 20, Prompt: fmt.Sprintf("price of card %d", number)}
		answer, err := connection.Complete(ctx, d.balancer.pick(random), request)
		var typed *client.Error
		if errors.As(err, &typed) && typed.Code == "insufficient_quota" {
			return spent, nil
		}
		if err != nil {
			return spent, fmt.Errorf("spending the budget of %s: %w", of.row.Team, err)
		}
		expected := upstreamstandin.Expected(modelQuick, []core.Message{{Role: "user", Content: request.Prompt}}, 20)
		if answer.Text != expected.Text {
			return spent, fmt.Errorf("answer %q is not the expected %q", answer.Text, expected.Text)
		}
		cost := core.Tokens(answer.PromptTokens + answer.GeneratedTokens)
		spent += cost
		d.later = append(d.later, sample{team: of.row.Team, request: answer.RequestID, answered: true, cost: cost})
	}
	return spent, fmt.Errorf("the budget of %s did not run out after %d requests", of.row.Team, maxSpending)
}
