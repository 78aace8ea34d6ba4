package localfleet_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards P3 and P5 against established connections to upstreams that go silent
// for good while new ones work.
func TestSilentUpstreams(t *testing.T) {
	Convey("The connections to all upstreams go silent during streams and calls", t, func() {
		w := start(3, 1)
		const requests, calls = 12, 6
		results := together(requests, func(number int) result { return w.ask(number, 300, w.addresses(number)[0]) })
		w.Services[0].SetDelay(time.Second)
		payouts := make([]*payout, calls)
		paid := together(calls, func(number int) result {
			payouts[number] = &payout{key: newKey()}
			payouts[number].tell(w.pay(w.addresses(number)[0], payouts[number].key))
			return result{}
		})
		w.until("streams and calls are in progress", func() bool {
			return w.generated() > requests*20 && len(w.ledgerRuns()) == calls
		})
		for _, engine := range w.Engines {
			engine.Server.Silence()
		}
		w.Services[0].Server.Silence()
		w.Services[0].SetDelay(0)
		answers := all(results)
		So(w.take(answers...), ShouldBeEmpty)
		repeated, _ := w.runAgain(answers)
		So(repeated, ShouldBeEmpty)
		all(paid)
		w.repeatUntilKnown(payouts)
		So(w.checkPayouts(payouts), ShouldBeEmpty)
		w.drainAll()
		So(w.checkBills(), ShouldBeEmpty)
	})
}
