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
	// callers is the number of concurrent callers of the mix.
	callers = 60
	// maxTries bounds how often a caller repeats a request under its key; with
	// pauses that grow by retryPause it gives up after some two seconds. Five
	// tries in 150 ms could all meet refusals and the host that is killed.
	maxTries = 12
	// lookupEvery and actionEvery say how often a caller uses a plain service.
	lookupEvery = 9
	actionEvery = 14
	retryPause  = 30 * time.Millisecond
	think       = 10 * time.Millisecond
)

// addresses tells where hosts that take requests can be reached, as the
// platform's balancer would.
type addresses interface {
	pick(random *mathrand.Rand) string
}

// newKey returns an idempotency key.
func newKey() string {
	return ulid.MustNew(ulid.Now(), rand.Reader).String()
}

// sendMix has concurrent callers send the mix until ctx ends; requests that
// have begun are finished.
func sendMix(ctx context.Context, teams []*team, hosts addresses, samples chan<- sample) {
	var running sync.WaitGroup
	for number := range callers {
		running.Go(func() {
			random := mathrand.New(mathrand.NewPCG(uint64(number), 1))
			of := teams[number%len(teams)]
			if number%2 == 0 {
				of = teams[(number/2)%largeTeams+teamsPerSite*((number/2)%len(sites))]
			}
			connection := client.New(of.key)
			defer connection.Close()
			for ctx.Err() == nil {
				sendOne(connection, of, hosts, random, samples)
				pause(ctx, think)
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

func sendOne(connection *client.Client, of *team, hosts addresses, random *mathrand.Rand, samples chan<- sample) {
	switch {
	case random.IntN(lookupEvery) == 0:
		samples <- call(connection, of, hosts, random, serviceCall{http.MethodGet, of.site.lookupAt, of.site.lookup, ""})
	case random.IntN(actionEvery) == 0:
		samples <- call(connection, of, hosts, random, serviceCall{http.MethodPost, of.site.service, of.site.action, newKey()})
	default:
		samples <- complete(connection, of, chooseClass(of.site.classes, random), hosts, random)
	}
}

func chooseClass(classes []classOf, random *mathrand.Rand) classOf {
	for _, class := range classes[1:] {
		if random.IntN(class.every) == 0 {
			return class
		}
	}
	return classes[0]
}

// complete sends one completion and repeats it under its key when the caller
// can't know that it was answered.
func complete(connection *client.Client, of *team, class classOf, hosts addresses, random *mathrand.Rand) sample {
	request := client.Request{
		Model: string(class.model), Class: string(class.row.Name), MaxTokens: class.tokens, Stream: class.stream,
		Prompt: fmt.Sprintf("%s, number %d?", class.prompt, random.IntN(1_000_000)), IdempotencyKey: newKey(),
	}
	expected := upstreamstandin.Expected(class.model, []core.Message{{Role: "user", Content: request.Prompt}}, core.Tokens(class.tokens))
	result := sample{team: of.row.Team, class: class.row.Name, key: request.IdempotencyKey}
	started := time.Now()
	for try := range maxTries {
		result.retries = try
		address := hosts.pick(random)
		answer, err := connection.Complete(context.Background(), address, request)
		if err == nil {
			result.answered, result.request = true, answer.RequestID
			result.code, result.notRun = "", false
			result.firstToken = time.Since(started) - answer.Total + answer.FirstToken
			result.cost = core.Tokens(answer.PromptTokens + answer.GeneratedTokens)
			if answer.Text != expected.Text {
				result.wrong = fmt.Sprintf("answer has %d bytes, the true one %d", len(answer.Text), len(expected.Text))
			}
			return result
		}
		if !result.shouldRetry(address, err) {
			return result
		}
		time.Sleep(time.Duration(try+1) * retryPause)
	}
	return result
}

// shouldRetry notes an error and reports whether the caller repeats.
func (s *sample) shouldRetry(address string, err error) bool {
	var typed *client.Error
	if !errors.As(err, &typed) {
		s.code, s.notRun = err.Error(), false
		s.cutBy = append(s.cutBy, address)
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

// call sends one call to a plain service, with retries under its key.
func call(connection *client.Client, of *team, hosts addresses, random *mathrand.Rand, request serviceCall) sample {
	result := sample{team: of.row.Team, class: core.ClassName(request.method + " " + string(request.service)), key: request.key}
	started := time.Now()
	for try := range maxTries {
		result.retries = try
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
		if errors.As(err, &typed) && typed.Code == "outcome_unknown" {
			result.code, result.notRun = typed.Code, false
			return result
		}
		if !result.shouldRetry(address, err) {
			return result
		}
		time.Sleep(time.Duration(try+1) * retryPause)
	}
	return result
}
