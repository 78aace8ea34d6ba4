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
		w := start(3, 1)
		const requests, calls = 12, 6
		results := runConcurrently(requests, func(number int) result { return w.complete(number, 300, w.addresses(number)[0]) })
		w.Services[0].SetDelay(time.Second)
		payouts := make([]*payout, calls)
		paid := runConcurrently(calls, func(number int) result {
			payouts[number] = &payout{key: newKey()}
			payouts[number].addOutcome(w.sendPayout(w.addresses(number)[0], payouts[number].key))
			return result{}
		})
		w.waitUntil("streams and calls are in progress", func() bool {
			return w.generatedTokens() > requests*20 && len(w.ledgerRuns()) == calls
		})
		for _, engine := range w.Engines {
			engine.Server.Silence()
		}
		w.Services[0].Server.Silence()
		w.Services[0].SetDelay(0)
		answers := collect(results)
		So(w.record(answers...), ShouldBeEmpty)
		repeated, _ := w.repeatedRuns(answers)
		So(repeated, ShouldBeEmpty)
		collect(paid)
		w.repeatUntilKnown(payouts)
		So(w.checkPayouts(payouts), ShouldBeEmpty)
		w.drainAll()
		So(w.checkBills(), ShouldBeEmpty)
	})
}
