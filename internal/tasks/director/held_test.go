package director

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/decide/placement"
)

// Guards against upstreams that hold more of this host's requests than they have memory for:
// requests beyond their bound go to other upstreams, and are refused at once if there is none.
func TestUpstreamsHoldABoundedPartOfThisHostsRequests(t *testing.T) {
	Convey("Given four upstreams and requests that take most of what one may hold", t, func() {
		f := newCrashFixture()
		f.refusing = func(string) bool { return false }
		f.director.SetHosts(1, nil)
		place := func() Placed {
			placed, err := f.director.Place(context.Background(), PlacementRequest{Query: placement.Query{Service: "u"}, Bytes: 12 << 20})
			So(err, ShouldBeNil)
			return placed
		}
		seen := make(map[string]Placed)
		for range 4 {
			placed := place()
			So(placed.Outcome, ShouldEqual, Found)
			seen[string(placed.Upstream.ID)] = placed
		}
		So(seen, ShouldHaveLength, 4)
		So(place().Outcome, ShouldEqual, Limited)
		Convey("One that answers, or whose attempt ends, gets the next", func() {
			for _, signal := range []placement.Signal{placement.Started, placement.Abandoned} {
				f.observe(Observation{Upstream: "u-2", Attempt: seen["u-2"].Attempt, Signal: placement.Stalled})
				So(place().Outcome, ShouldEqual, Limited)
				f.observe(Observation{Upstream: "u-2", Attempt: seen["u-2"].Attempt, Signal: signal})
				next := place()
				So(next.Outcome, ShouldEqual, Found)
				So(string(next.Upstream.ID), ShouldEqual, "u-2")
				seen["u-2"] = next
			}
		})
	})
}
