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
	// payoutsPerDeployment is the number of duplicated calls for each deployment.
	payoutsPerDeployment = 10
	// tightBudget is spent by a few dozen requests of the demo.
	tightBudget core.Tokens = 1_200
	topUp       core.Tokens = 400
	// maxSpending bounds the number of requests sent to spend a budget.
	maxSpending = 500
)

// sendDuplicatePayouts sends each of a number of non-idempotent calls twice
// concurrently under one key, through hosts chosen at random, and once more
// afterwards.
func (d *demo) sendDuplicatePayouts(ctx context.Context) error {
	c := d.newCheck("P5 a non-idempotent call runs at most once")
	sent := 0
	for s := range deployments {
		sender := d.teams[s*teamsPerDeployment]
		connection := client.New(sender.key)
		for range payoutsPerDeployment {
			key := newKey()
			if err := d.sendDuplicatePayout(ctx, c, connection, sender, key); err != nil {
				return err
			}
			sent++
		}
		connection.Close()
	}
	for _, service := range d.fleet.Services {
		for key, runs := range service.Runs() {
			if key != "" && runs > 1 {
				c.violationf("the call with key %s ran %d times", key, runs)
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

func (d *demo) sendDuplicatePayout(ctx context.Context, c *check, connection *client.Client, sender *team, key string) error {
	path := "/" + string(sender.deployment.service) + sender.deployment.action
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
			c.violationf("the call with key %s got two different answers", key)
		}
	}
	d.laterSamples = append(d.laterSamples, sample{team: sender.row.Team, key: key, answered: true, cost: serviceCosts[sender.deployment.service]})
	return nil
}

// exhaustBudget spends a budget through all hosts until it is used up, tops it up
// twice under one token and spends it again.
func (d *demo) exhaustBudget(ctx context.Context) error {
	c := d.newCheck("P1 a team's spend never exceeds its prepaid budget")
	sender := newTeam(&deployments[0], teamsPerDeployment)
	sender.row.Team, sender.row.Budget = "cartamarca-tight", "cartamarca-tight"
	if err := d.fleet.Budgets().TopUp(ctx, sender.row.Budget, tightBudget, "first-payment", operatorName); err != nil {
		return err
	}
	version, err := d.fleet.SaveTeam(ctx, &sender.row)
	if err != nil {
		return err
	}
	for d.hostsBehind(sender.row.Team, version) > 0 && ctx.Err() == nil {
		pause(ctx, propagationPoll)
	}
	d.teams = append(d.teams, sender)
	spent, err := d.spendUntilRefused(ctx, sender)
	if err != nil {
		return err
	}
	token := uuid.NewString()
	for range 2 {
		if err := d.fleet.Budgets().TopUp(ctx, sender.row.Budget, topUp, token, operatorName); err != nil {
			return err
		}
	}
	// Hosts cache for a moment that the budget was spent.
	var more core.Tokens
	for saved := time.Now(); more == 0 && time.Since(saved) < propagationBound; pause(ctx, propagationPoll) {
		if more, err = d.spendUntilRefused(ctx, sender); err != nil {
			return err
		}
	}
	if more == 0 {
		c.violationf("no request was answered within %s of the top-up", propagationBound)
	}
	if spent+more > tightBudget+topUp {
		c.violationf("%d tokens spent of %d", spent+more, tightBudget+topUp)
	}
	c.detail = fmt.Sprintf("spent %d of %d before the first refusal, then %d of a top-up of %d sent twice",
		spent, tightBudget, more, topUp)
	return nil
}

// spendUntilRefused sends requests through all hosts until one is refused for lack
// of budget, and returns the cost of the answered ones.
func (d *demo) spendUntilRefused(ctx context.Context, sender *team) (core.Tokens, error) {
	connection := client.New(sender.key)
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
			return spent, fmt.Errorf("spending the budget of %s: %w", sender.row.Team, err)
		}
		expected := upstreamstandin.ExpectedAnswer(modelQuick, []core.Message{{Role: "user", Content: request.Prompt}}, 20)
		if answer.Text != expected.Text {
			return spent, fmt.Errorf("answer %q is not the expected %q", answer.Text, expected.Text)
		}
		cost := core.Tokens(answer.PromptTokens + answer.GeneratedTokens)
		spent += cost
		d.laterSamples = append(d.laterSamples, sample{team: sender.row.Team, request: answer.RequestID, answered: true, cost: cost})
	}
	return spent, fmt.Errorf("the budget of %s did not run out after %d requests", sender.row.Team, maxSpending)
}
