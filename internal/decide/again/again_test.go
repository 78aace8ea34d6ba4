package again

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/gateway"
)

// Guards against requests that run at more upstreams than they may.
func TestARequestRunsNoOftenerThanItMay(t *testing.T) {
	ran := Attempt{Arrived: true}
	Convey("One that may not be repeated stops after it may have run", t, func() {
		for _, rule := range []gateway.RepeatRule{gateway.RunOnce, gateway.StreamOnce} {
			state := New(rule, 3)
			So(state.After(Attempt{NotRun: true, Arrived: true}), ShouldEqual, Repeat)
			So(state.After(ran), ShouldEqual, Stop)
			So(state.MayHaveRun(), ShouldBeTrue)
		}
	})
	Convey("One that may be repeated stops at its number of attempts", t, func() {
		state := New(gateway.Repeatable, 2)
		So(state.MayRepeatOnce(), ShouldBeTrue)
		So(state.After(ran), ShouldEqual, Repeat)
		So(state.MayRepeatOnce(), ShouldBeFalse)
		So(state.After(ran), ShouldEqual, Stop)
	})
	Convey("A final attempt stops in any case", t, func() {
		state := New(gateway.StreamResumable, 5)
		So(state.After(Attempt{Arrived: true, Final: true}), ShouldEqual, Stop)
	})
	Convey("One that never runs is offered a bounded number of times", t, func() {
		state := New(gateway.RunOnce, 1)
		offers := 1
		for state.After(Attempt{NotRun: true, Arrived: true}) == Repeat {
			offers++
		}
		So(offers, ShouldEqual, maxNotRun+1)
		So(state.MayHaveRun(), ShouldBeFalse)
	})
}
