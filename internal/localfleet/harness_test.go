package localfleet_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/client"
	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/filter/authenticate"
	"github.com/peridotreel/peridotreel/internal/journal"
	"github.com/peridotreel/peridotreel/internal/localfleet"
	"github.com/peridotreel/peridotreel/internal/settings"
	standin "github.com/peridotreel/peridotreel/internal/standin/upstream"
)

const (
	model     = "quick-8b"
	callerKey = "key-team"
	teamName  = "team"
	prepaid   = 1_000_000
	callCost  = 3
	// hangTimeout fails a test whose condition never holds.
	hangTimeout  = 40 * time.Second
	pollInterval = 10 * time.Millisecond
	// retryDelay is the delay before a caller retries a request.
	retryDelay = 20 * time.Millisecond
	// operatorKey authorizes requests to the admin interface of all hosts.
	operatorKey = "operator-key"
)

var zones = []core.ZoneName{"zone-a", "zone-b", "zone-c"}

// testFleet is a fleet under test with one team.
type testFleet struct {
	*localfleet.Fleet
	ctx    context.Context
	caller *client.Client
	row    core.TeamRow
	// answered holds the cost of each answered request by request id.
	answered map[string]core.Tokens
}

// start starts a fleet in the given number of zones, with an engine in each zone
// and one ledger, and stops it at the end of the Convey block.
func start(zoneCount, hostsPerZone int, change ...func(*localfleet.Config)) *testFleet {
	config := localfleet.Config{
		Zones: zones[:zoneCount], HostsPerZone: hostsPerZone,
		Operators: []settings.Operator{{Name: "operator", KeyDigest: authenticate.Digest(operatorKey)}},
		Services:  []localfleet.Service{{Zone: zones[0], Settings: standin.ServiceSettings{ID: "ledger-1", Name: "ledger"}}},
	}
	for i, zone := range config.Zones {
		config.Engines = append(config.Engines, localfleet.Engine{Zone: zone, Models: []core.ModelName{model},
			Settings: standin.EngineSettings{ID: core.UpstreamID(fmt.Sprintf("engine-%d", i+1)), StepTime: 5 * time.Millisecond}})
	}
	for _, apply := range change {
		apply(&config)
	}
	fleet, err := localfleet.Start(config)
	So(err, ShouldBeNil)
	ctx, cancel := context.WithTimeout(context.Background(), 2*hangTimeout)
	f := &testFleet{Fleet: fleet, ctx: ctx, caller: client.New(callerKey), answered: make(map[string]core.Tokens)}
	Reset(func() {
		f.caller.Close()
		_ = fleet.Stop()
		cancel()
	})
	f.row = core.TeamRow{
		Team: teamName, Budget: teamName, Weight: 1, MaxInFlight: 200, TokensPerSecond: 1_000_000, QueueLength: 200,
		Deadline: 10 * time.Second, KeyDigests: []string{authenticate.Digest(callerKey)},
		Classes: []core.ClassRow{{Name: "chat", MaxTokens: 64}},
	}
	So(fleet.Budgets().TopUp(ctx, teamName, prepaid, "first-payment", "test"), ShouldBeNil)
	So(fleet.CreateRows(ctx, []core.TeamRow{f.row}, []core.ServiceRow{{Service: "ledger", Cost: callCost, Rules: []core.ServiceRule{{Method: http.MethodGet, Idempotent: true}}}}), ShouldBeNil)
	So(fleet.StartHosts(ctx), ShouldBeNil)
	f.waitUntil("every host sees all hosts of the fleet", func() bool {
		for _, running := range f.running() {
			if f.countAlive(running) < len(f.running()) {
				return false
			}
		}
		return true
	})
	return f
}

// adminRequest sends an operator's request to a host's admin address and decodes
// the answer. It returns status 0 if there is none.
func (f *testFleet) adminRequest(address, method, path, body string, into any) (status int) {
	request, err := http.NewRequestWithContext(f.ctx, method, "http://"+address+"/api/v1"+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if json.NewDecoder(response.Body).Decode(into) != nil {
		return 0
	}
	return response.StatusCode
}

// metric returns the value of a host's metric without attributes.
func (f *testFleet) metric(running *localfleet.RunningHost, name string) float64 {
	request, err := http.NewRequestWithContext(f.ctx, http.MethodGet, "http://"+running.AdminAddress()+"/metrics", http.NoBody)
	So(err, ShouldBeNil)
	response, err := http.DefaultClient.Do(request)
	So(err, ShouldBeNil)
	defer response.Body.Close()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if value, found := strings.CutPrefix(lines.Text(), name+" "); found {
			parsed, err := strconv.ParseFloat(value, 64)
			So(err, ShouldBeNil)
			return parsed
		}
	}
	So(name, ShouldEqual, "a metric of the host")
	return 0
}

// countAlive returns the number of hosts that a host sees as alive, including
// itself.
func (f *testFleet) countAlive(running *localfleet.RunningHost) int {
	var view struct {
		Hosts []struct {
			State string `json:"state"`
		} `json:"hosts"`
	}
	So(f.adminRequest(running.AdminAddress(), http.MethodGet, "/hosts", "", &view), ShouldEqual, http.StatusOK)
	count := 0
	for _, host := range view.Hosts {
		if host.State == "alive" {
			count++
		}
	}
	return count
}

// running returns the hosts that have not been killed or drained.
func (f *testFleet) running() []*localfleet.RunningHost {
	var found []*localfleet.RunningHost
	for _, running := range f.Hosts {
		if !running.Stopped() {
			found = append(found, running)
		}
	}
	return found
}

// waitUntil polls a condition and fails the test after hangTimeout.
func (f *testFleet) waitUntil(what string, holds func() bool) {
	limit := time.Now().Add(hangTimeout)
	for !holds() {
		if time.Now().After(limit) {
			So("condition was never true: "+what, ShouldEqual, "true in time")
		}
		time.Sleep(pollInterval)
	}
}

func newKey() string { return ulid.Make().String() }

// result is the final outcome of a caller's request.
type result struct {
	key    string
	cost   core.Tokens
	errors []string
	// mismatch describes an answer that differs from the expected one.
	mismatch string
	answered bool
}

// complete sends a completion under a new key to the addresses in turn, until one
// returns a complete answer.
func (f *testFleet) complete(number, tokens int, addresses ...string) result {
	return f.completeWithKey(newKey(), number, tokens, addresses...)
}

func (f *testFleet) completeWithKey(key string, number, tokens int, addresses ...string) result {
	request := client.Request{Model: model, Prompt: fmt.Sprintf("What is card %d worth?", number),
		MaxTokens: int64(tokens), Stream: true, IdempotencyKey: key}
	r := result{key: key}
	for _, address := range addresses {
		answer, err := f.caller.Complete(f.ctx, address, request)
		if err == nil {
			expected := standin.ExpectedAnswer(model, []core.Message{{Role: "user", Content: request.Prompt}}, core.Tokens(tokens))
			if answer.Text != expected.Text {
				r.mismatch = fmt.Sprintf("request %s: answer %q, expected %q", r.key, answer.Text, expected.Text)
			}
			r.answered, r.cost = true, core.Tokens(answer.PromptTokens+answer.GeneratedTokens)
			return r
		}
		r.errors = append(r.errors, err.Error())
		time.Sleep(retryDelay)
	}
	return r
}

// record stores the costs of answered requests. It returns the violations:
// requests without an answer and answers that differ from the expected ones.
func (f *testFleet) record(results ...result) []string {
	violations := []string{}
	for _, r := range results {
		switch {
		case !r.answered:
			violations = append(violations, fmt.Sprintf("request %s was not answered: %s", r.key, strings.Join(r.errors, "; ")))
		case r.mismatch != "":
			violations = append(violations, r.mismatch)
		}
		if r.answered {
			f.answered[core.KeyedRequestID(teamName, r.key).String()] = r.cost
		}
	}
	return violations
}

// runConcurrently calls a function concurrently for each number below count.
func runConcurrently(count int, send func(number int) result) <-chan result {
	results := make(chan result, count)
	var sending sync.WaitGroup
	for number := range count {
		sending.Go(func() { results <- send(number) })
	}
	go func() {
		sending.Wait()
		close(results)
	}()
	return results
}

func collect(results <-chan result) []result {
	var found []result
	for r := range results {
		found = append(found, r)
	}
	return found
}

// sendPayout sends one payout and returns the error's code and run state, which
// are empty if it was answered.
func (f *testFleet) sendPayout(address, key string) (code, run string) {
	status, _, err := f.caller.Call(f.ctx, address, http.MethodPost, "/ledger/payouts", key, []byte(`{"amount":5}`))
	var typed *client.Error
	switch {
	case err == nil && status == http.StatusOK:
		return "", ""
	case errors.As(err, &typed):
		return typed.Code, typed.Run
	}
	return fmt.Sprintf("status %d, %v", status, err), "unknown"
}

// ledgerRuns returns the number of runs of the ledger's calls by key.
func (f *testFleet) ledgerRuns() map[string]int { return f.Services[0].Runs() }

// hasRun reports whether a request has run on any engine.
func (f *testFleet) hasRun(key string) bool {
	for _, engine := range f.Engines {
		if engine.Counters().Runs[core.KeyedRequestID(teamName, key)] > 0 {
			return true
		}
	}
	return false
}

// drainAll drains all running hosts.
func (f *testFleet) drainAll() {
	for _, running := range f.running() {
		So(f.DrainHost(f.ctx, running), ShouldBeNil)
	}
}

// bills returns the bills of all journals by request.
func (f *testFleet) bills() map[string][]core.Bill {
	found, err := journal.Reader{Table: f.Store, Objects: f.Store.Objects()}.All(f.ctx)
	So(err, ShouldBeNil)
	byRequest := make(map[string][]core.Bill)
	for _, bill := range found {
		byRequest[bill.Request.String()] = append(byRequest[bill.Request.String()], bill)
	}
	return byRequest
}

// checkBills returns the violations of P1 and P2: each answered request has one
// bill of its cost, no request has two, and the sums in the table agree.
func (f *testFleet) checkBills() []string {
	violations := []string{}
	var billed core.Tokens
	bills := f.bills()
	for request, requestBills := range bills {
		if len(requestBills) > 1 {
			violations = append(violations, fmt.Sprintf("request %s has %d bills", request, len(requestBills)))
		}
		for _, bill := range requestBills {
			billed += bill.Cost
		}
	}
	for request, cost := range f.answered {
		if requestBills := bills[request]; len(requestBills) == 0 {
			violations = append(violations, fmt.Sprintf("answered request %s has no bill", request))
		} else if requestBills[0].Cost != cost {
			violations = append(violations, fmt.Sprintf("request %s cost %d and was billed %d", request, cost, requestBills[0].Cost))
		}
	}
	budgets, err := f.Budgets().List(f.ctx)
	So(err, ShouldBeNil)
	for _, budget := range budgets {
		if held := budget.Held + budget.Stranded; budget.Spent > budget.Prepaid || budget.Left < 0 ||
			budget.Left+budget.Spent+held != budget.Prepaid {
			violations = append(violations, fmt.Sprintf("budget: left %d, spent %d, held %d of %d", budget.Left, budget.Spent, held, budget.Prepaid))
		}
		if budget.Spent != billed {
			violations = append(violations, fmt.Sprintf("budget: shares say %d spent, bills %d", budget.Spent, billed))
		}
	}
	return violations
}

// releaseShares returns the shares of a killed host to their budgets, as an
// operator does after making sure that the process has ended.
func (f *testFleet) releaseShares(killed *localfleet.RunningHost) {
	_, err := f.Budgets().Release(f.ctx, killed.Ref(), "test")
	So(err, ShouldBeNil)
}
