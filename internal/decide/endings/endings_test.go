package endings

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/gateway"
)

// Guards against a request or connection that is counted twice or not at all, also if a
// front end reports an end twice or one of what never began.
func TestBegunIsTheSumOfEndsAndInFlight(t *testing.T) {
	ids := rapid.Uint64Range(1, 8)
	ends := rapid.SampledFrom([]gateway.Ending{
		{End: gateway.EndAnswered}, {End: gateway.EndRefused, Cause: "overloaded"}, {End: gateway.EndCut, Cause: gateway.CauseWrite},
		{End: gateway.EndUnanswered, Cause: gateway.CauseHostStopping},
	})
	causes := rapid.SampledFrom([]gateway.CloseCause{gateway.CloseIdle, gateway.CloseLimit})
	rapid.Check(t, func(t *rapid.T) {
		account := NewAccount()
		inFlight, open := map[uint64]bool{}, map[uint64]bool{}
		var begun, accepted, lost, unmatched int64
		// change records a beginning or an end, and reports whether it counts.
		change := func(running map[uint64]bool, id uint64, begins bool) bool {
			if running[id] == begins {
				unmatched++
				return false
			}
			running[id] = begins
			return true
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				id := ids.Draw(t, "id")
				account.Begin(ID(id))
				if change(inFlight, id, true) {
					begun++
				}
			},
			"end": func(t *rapid.T) {
				id, ending := ids.Draw(t, "id"), ends.Draw(t, "ending")
				account.End(ID(id), ending)
				if change(inFlight, id, false) && ending.End.Lost() {
					lost++
				}
			},
			"accept": func(t *rapid.T) {
				id := ids.Draw(t, "id")
				account.Accept(ID(id))
				if change(open, id, true) {
					accepted++
				}
			},
			"close": func(t *rapid.T) {
				id := ids.Draw(t, "id")
				account.Close(ID(id), gateway.Closing{Cause: causes.Draw(t, "cause")})
				change(open, id, false)
			},
			"": func(t *rapid.T) {
				totals := account.Totals()
				var ended, closed int64
				for _, count := range totals.Ends {
					ended += count
				}
				for _, count := range totals.Closes {
					closed += count
				}
				if totals.RequestsBegun != begun || totals.RequestsBegun != ended+totals.RequestsInFlight {
					t.Fatalf("%d requests begun, want %d; %d ended, %d in flight", totals.RequestsBegun, begun, ended, totals.RequestsInFlight)
				}
				if totals.ConnectionsAccepted != accepted || totals.ConnectionsAccepted != closed+totals.ConnectionsOpen {
					t.Fatalf("%d connections accepted, want %d; %d closed, %d open", totals.ConnectionsAccepted, accepted, closed, totals.ConnectionsOpen)
				}
				if totals.Lost() != lost || totals.Unmatched != unmatched {
					t.Fatalf("%d lost and %d unmatched, want %d and %d", totals.Lost(), totals.Unmatched, lost, unmatched)
				}
			},
		})
	})
}

// Guards against totals that change after they were returned.
func TestTotalsDoNotChange(t *testing.T) {
	Convey("Given totals that were read while a request was in flight", t, func() {
		account := NewAccount()
		account.Begin(1)
		before := account.Totals()
		account.End(1, gateway.Ending{End: gateway.EndAnswered})
		So(before.RequestsInFlight, ShouldEqual, 1)
		So(before.Ends, ShouldBeEmpty)
		So(account.Totals().Ends[gateway.Ending{End: gateway.EndAnswered}], ShouldEqual, 1)
	})
}
