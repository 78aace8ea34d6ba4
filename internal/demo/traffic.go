package demo

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/peridotreel/peridotreel/internal/client"
	"github.com/peridotreel/peridotreel/internal/core"
	upstreamstandin "github.com/peridotreel/peridotreel/internal/standin/upstream"
)

const (
	// callers is the number of concurrent callers in the mixed workload.
	callers = 60
	// maxAttempts bounds the attempts of a caller to send a request under its key.
	// With delays that grow by retryDelay, a caller gives up after about two
	// seconds. Five attempts in 150 ms could all be refused or reach the killed
	// host.
	maxAttempts = 12
	// A caller calls a plain service in one of lookupEvery and one of
	// actionEvery requests.
	lookupEvery = 9
	actionEvery = 14
	retryDelay  = 30 * time.Millisecond
	thinkTime   = 10 * time.Millisecond
)

// addressPicker chooses the address of a host that accepts requests, like the
// platform's load balancer.
type addressPicker interface {
	pick(random *mathrand.Rand) string
}

// newKey returns an idempotency key.
func newKey() string {
	return ulid.MustNew(ulid.Now(), rand.Reader).String()
}

// sendMix runs concurrent callers that send the mixed workload until ctx ends.
// Requests in progress are completed.
func sendMix(ctx context.Context, teams []*team, hosts addressPicker, samples chan<- sample) {
	var running sync.WaitGroup
	for number := range callers {
		running.Go(func() {
			random := mathrand.New(mathrand.NewPCG(uint64(number), 1))
			sender := teams[number%len(teams)]
			if number%2 == 0 {
				sender = teams[(number/2)%largeTeams+teamsPerDeployment*((number/2)%len(deployments))]
			}
			connection := client.New(sender.key)
			defer connection.Close()
			for ctx.Err() == nil {
				sendOne(connection, sender, hosts, random, samples)
				pause(ctx, thinkTime)
			}
		})
	}
	running.Wait()
}

func pause(ctx context.Context, delay time.Duration) {
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}

func sendOne(connection *client.Client, sender *team, hosts addressPicker, random *mathrand.Rand, samples chan<- sample) {
	switch {
	case random.IntN(lookupEvery) == 0:
		samples <- call(connection, sender, hosts, random, serviceCall{http.MethodGet, sender.deployment.lookupAt, sender.deployment.lookup, ""})
	case random.IntN(actionEvery) == 0:
		samples <- call(connection, sender, hosts, random, serviceCall{http.MethodPost, sender.deployment.service, sender.deployment.action, newKey()})
	default:
		samples <- complete(connection, sender, chooseClass(sender.deployment.classes, random), hosts, random)
	}
}

func chooseClass(classes []classWorkload, random *mathrand.Rand) classWorkload {
	for _, class := range classes[1:] {
		if random.IntN(class.oneIn) == 0 {
			return class
		}
	}
	return classes[0]
}

// complete sends one completion and retries it under its key after errors that
// shouldRetry accepts.
func complete(connection *client.Client, sender *team, class classWorkload, hosts addressPicker, random *mathrand.Rand) sample {
	request := client.Request{
		Model: string(class.model), Class: string(class.row.Name), MaxTokens: class.tokens, Stream: class.stream,
		Prompt: fmt.Sprintf("%s, number %d?", class.prompt, random.IntN(1_000_000)), IdempotencyKey: newKey(),
	}
	expected := upstreamstandin.ExpectedAnswer(class.model, []core.Message{{Role: "user", Content: request.Prompt}}, core.Tokens(class.tokens))
	result := sample{team: sender.row.Team, class: class.row.Name, key: request.IdempotencyKey}
	started := time.Now()
	for attempt := range maxAttempts {
		result.retries = attempt
		address := hosts.pick(random)
		answer, err := connection.Complete(context.Background(), address, request)
		if err == nil {
			result.answered, result.request = true, answer.RequestID
			result.code, result.notRun = "", false
			result.firstToken = time.Since(started) - answer.Total + answer.FirstToken
			result.cost = core.Tokens(answer.PromptTokens + answer.GeneratedTokens)
			if answer.Text != expected.Text {
				result.mismatch = fmt.Sprintf("answer has %d bytes, the true one %d", len(answer.Text), len(expected.Text))
			}
			return result
		}
		if !result.shouldRetry(address, err) {
			return result
		}
		time.Sleep(time.Duration(attempt+1) * retryDelay)
	}
	return result
}

// shouldRetry records an error and reports whether the caller retries.
func (s *sample) shouldRetry(address string, err error) bool {
	var typed *client.Error
	if !errors.As(err, &typed) {
		s.code, s.notRun = err.Error(), false
		s.cutOffBy = append(s.cutOffBy, address)
		return true
	}
	s.code, s.notRun = typed.Code+": "+typed.Message, typed.Run == "not_run"
	return typed.Run == "unknown" || typed.Status == http.StatusServiceUnavailable || typed.Code == "overloaded"
}

// serviceCall is a call to a plain service.
type serviceCall struct {
	method  string
	service core.ServiceName
	path    string
	key     string
}

// outcomeUnknown is the code of a call that may have run and did not run again.
const outcomeUnknown = "outcome_unknown"

// call sends one call to a plain service and retries it under its key like
// complete, except when the outcome is unknown.
func call(connection *client.Client, sender *team, hosts addressPicker, random *mathrand.Rand, request serviceCall) sample {
	result := sample{team: sender.row.Team, class: core.ClassName(request.method + " " + string(request.service)), key: request.key}
	started := time.Now()
	for attempt := range maxAttempts {
		result.retries = attempt
		address := hosts.pick(random)
		status, _, err := connection.Call(context.Background(), address,
			request.method, "/"+string(request.service)+request.path, request.key, nil)
		if err == nil && status < http.StatusMultipleChoices {
			result.answered, result.code, result.notRun = true, "", false
			result.firstToken = time.Since(started)
			result.cost = serviceCosts[request.service]
			return result
		}
		if err == nil {
			result.code = fmt.Sprintf("status %d", status)
			return result
		}
		var typed *client.Error
		if errors.As(err, &typed) && typed.Code == outcomeUnknown {
			result.code, result.notRun = typed.Code, false
			return result
		}
		if !result.shouldRetry(address, err) {
			return result
		}
		time.Sleep(time.Duration(attempt+1) * retryDelay)
	}
	return result
}
