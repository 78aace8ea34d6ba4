package retrypolicy

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/gateway"
)

// Guards against requests that run at more upstreams than allowed.
func TestARequestRunsNoOftenerThanItMay(t *testing.T) {
	ran := Attempt{Arrived: true}
	Convey("A request that must not run twice stops after it may have run", t, func() {
		for _, rule := range []gateway.RetryRule{gateway.RunOnce, gateway.StreamOnce} {
			state := New(rule, 3)
			So(state.RecordFailed(Attempt{NotRun: true, Arrived: true}), ShouldEqual, Retry)
			So(state.RecordFailed(ran), ShouldEqual, Stop)
			So(state.MayHaveRun(), ShouldBeTrue)
		}
	})
	Convey("A request that may run twice stops at its maximum number of attempts", t, func() {
		state := New(gateway.Idempotent, 2)
		So(state.MayAdd(1), ShouldBeTrue)
		So(state.MayAdd(2), ShouldBeFalse)
		So(state.RecordFailed(ran), ShouldEqual, Retry)
		So(state.MayAdd(1), ShouldBeFalse)
		So(state.RecordFailed(ran), ShouldEqual, Stop)
	})
	Convey("A request is not retried after a final attempt", t, func() {
		state := New(gateway.StreamResumable, 5)
		So(state.RecordFailed(Attempt{Arrived: true, Final: true}), ShouldEqual, Stop)
	})
	Convey("A request that no upstream runs has a limited number of attempts", t, func() {
		state := New(gateway.RunOnce, 1)
		offers := 1
		for state.RecordFailed(Attempt{NotRun: true, Arrived: true}) == Retry {
			offers++
		}
		So(offers, ShouldEqual, maxNotRunAttempts+1)
		So(state.MayHaveRun(), ShouldBeFalse)
	})
}
