package localfleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
)

// repeatedRuns returns the requests that one engine ran more than once instead of
// resuming their streams, and counts the runs on further engines.
func (f *testFleet) repeatedRuns(results []result) (repeated []string, elsewhere int) {
	repeated = []string{}
	for _, r := range results {
		engines := 0
		for _, engine := range f.Engines {
			runs := engine.Counters().Runs[core.KeyedRequestID(teamName, r.key)]
			engines += min(runs, 1)
			if runs > 1 {
				repeated = append(repeated, fmt.Sprintf("request %s ran %d times on %s", r.key, runs, engine.ID))
			}
		}
		elsewhere += max(engines-1, 0)
	}
	return repeated, elsewhere
}

// generatedTokens returns the number of tokens that the engines have generated.
func (f *testFleet) generatedTokens() (tokens int64) {
	for _, engine := range f.Engines {
		tokens += engine.Counters().GeneratedTokens
	}
	return tokens
}

// Guards P1, P2 and P3 against answers that are cut off, mixed up, billed twice
// or run twice when the host that relays them is killed.
func TestHostKilledWithStreams(t *testing.T) {
	Convey("A host is killed in the middle of streamed answers and callers retry", t, func() {
		f := start(3, 1)
		victim, other, third := f.Hosts[0], f.Hosts[1], f.Hosts[2]
		const requests, tokens = 20, 200
		results := runConcurrently(requests, func(number int) result {
			return f.complete(number, tokens, victim.CallerAddress(), other.CallerAddress(), third.CallerAddress(), other.CallerAddress())
		})
		// The streams run for more than 100 ms before the kill, so the other hosts
		// know which engines run them.
		f.waitUntil("every stream has many tokens", func() bool { return f.generatedTokens() > requests*40 })
		f.KillHost(victim)
		answers := collect(results)
		So(f.record(answers...), ShouldBeEmpty)
		repeated, elsewhere := f.repeatedRuns(answers)
		So(repeated, ShouldBeEmpty)
		// A host looks for the engine of a retried request for 20 ms. A busy
		// machine may exceed that, but not for most requests.
		So(elsewhere, ShouldBeLessThan, requests/2)
		retried := 0
		for _, answer := range answers {
			retried += len(answer.errors)
		}
		So(retried, ShouldBeGreaterThanOrEqualTo, requests)
		f.drainAll()
		So(f.checkBills(), ShouldBeEmpty)
		f.releaseShares(victim)
		So(f.checkBills(), ShouldBeEmpty)
	})
}

// payout is one call with the outcomes that its callers received.
type payout struct {
	key   string
	codes []string
	runs  []string
}

func (p *payout) addOutcome(code, run string) {
	p.codes, p.runs = append(p.codes, code), append(p.runs, run)
}

// checkPayouts returns the payouts' violations of P4 and P5.
func (f *testFleet) checkPayouts(payouts []*payout) []string {
	violations := []string{}
	ran := f.ledgerRuns()
	for _, p := range payouts {
		if ran[p.key] > 1 {
			violations = append(violations, fmt.Sprintf("payout %s ran %d times", p.key, ran[p.key]))
		}
		for i, code := range p.codes {
			if p.runs[i] == "not_run" && ran[p.key] > 0 && i == len(p.codes)-1 {
				violations = append(violations, fmt.Sprintf("payout %s ran and its caller was told not_run (%s)", p.key, code))
			}
			if code == "" && ran[p.key] == 0 {
				violations = append(violations, fmt.Sprintf("payout %s got an answer and did not run", p.key))
			}
		}
	}
	return violations
}

// Guards P4 and P5 against a payout that runs twice, or is reported as not run
// although it ran, when the host that sent it is killed.
func TestHostKilledWithPayouts(t *testing.T) {
	Convey("A host is killed with payouts in flight and callers repeat them elsewhere", t, func() {
		f := start(3, 1)
		f.shortenDeadline()
		victim, others := f.Hosts[0], f.Hosts[1:]
		const calls = 12
		done := make([]*payout, calls)
		for i := range done {
			done[i] = &payout{key: newKey()}
			done[i].addOutcome(f.sendPayout(victim.CallerAddress(), done[i].key))
			So(done[i].codes, ShouldResemble, []string{""})
			f.answered[core.KeyedRequestID(teamName, done[i].key).String()] = callCost
		}
		// The calls in flight are answered after the host was killed.
		f.Services[0].SetDelay(500 * time.Millisecond)
		inFlight := make([]*payout, calls)
		sent := runConcurrently(calls, func(number int) result {
			p := &payout{key: newKey()}
			inFlight[number] = p
			p.addOutcome(f.sendPayout(victim.CallerAddress(), p.key))
			return result{}
		})
		f.waitUntil("every payout runs", func() bool { return len(f.ledgerRuns()) == 2*calls })
		f.KillHost(victim)
		collect(sent)
		f.Services[0].SetDelay(0)
		// A new incarnation tells the other hosts that the killed process is gone.
		_, err := f.StartHost(victim.Name, victim.Zone)
		So(err, ShouldBeNil)
		So(f.WaitReady(f.ctx), ShouldBeNil)
		payouts := slices.Concat(done, inFlight)
		for range 2 {
			collect(runConcurrently(len(payouts), func(i int) result {
				payouts[i].addOutcome(f.sendPayout(others[i%len(others)].CallerAddress(), payouts[i].key))
				return result{}
			}))
		}
		f.repeatUntilKnown(payouts)
		So(f.checkPayouts(payouts), ShouldBeEmpty)
		for _, p := range done {
			So(p.codes, ShouldResemble, []string{"", "", "", ""})
		}
		for _, p := range inFlight {
			for _, code := range p.codes[1:] {
				So(code, ShouldBeIn, "outcome_unknown", "request_in_progress")
			}
			So(p.codes[len(p.codes)-1], ShouldEqual, "outcome_unknown")
		}
		f.drainAll()
		So(f.checkBills(), ShouldBeEmpty)
	})
}
