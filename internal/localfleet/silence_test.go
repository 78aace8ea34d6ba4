package localfleet_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards P3 and P5 against established connections to upstreams that stop
// delivering data without being closed, while new ones work.
func TestSilentUpstreams(t *testing.T) {
	Convey("The connections to all upstreams go silent during streams and calls", t, func() {
		f := start(3, 1)
		const requests, calls = 12, 6
		results := runConcurrently(requests, func(number int) result { return f.complete(number, 300, f.addresses(number)[0]) })
		f.Services[0].SetDelay(time.Second)
		payouts := make([]*payout, calls)
		paid := runConcurrently(calls, func(number int) result {
			payouts[number] = &payout{key: newKey()}
			payouts[number].addOutcome(f.sendPayout(f.addresses(number)[0], payouts[number].key))
			return result{}
		})
		f.waitUntil("streams and calls are in progress", func() bool {
			return f.generatedTokens() > requests*20 && len(f.ledgerRuns()) == calls
		})
		for _, engine := range f.Engines {
			engine.Server.Silence()
		}
		f.Services[0].Server.Silence()
		f.Services[0].SetDelay(0)
		answers := collect(results)
		So(f.record(answers...), ShouldBeEmpty)
		repeated, _ := f.repeatedRuns(answers)
		So(repeated, ShouldBeEmpty)
		collect(paid)
		f.repeatUntilKnown(payouts)
		So(f.checkPayouts(payouts), ShouldBeEmpty)
		f.drainAll()
		So(f.checkBills(), ShouldBeEmpty)
	})
}
