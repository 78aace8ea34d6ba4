package director

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
	"github.com/peridotreel/peridotreel/internal/decide/room"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

// Guards against requests that are refused although nothing is short, or sent to engines
// whose queues the caller would not outlast, and against attempts that are counted for ever.
func TestRequestsAreRefusedOnlyWhileEnginesAreShort(t *testing.T) {
	Convey("Given four engines and requests to them", t, func() {
		f := newCrashFixture()
		f.director.SetHosts(1, nil)
		place := func(maxWait time.Duration, retry bool) Placed {
			placed, err := f.director.Place(context.Background(), PlacementRequest{
				Query: placement.Query{Service: "u", Engine: &gateway.Engine{Slots: 2, Capacity: 1 << 20}, Prompt: &gateway.Prompt{Input: 100, MaxOutput: 10}},
				First: !retry, Retry: retry, MaxWait: maxWait, Caller: Caller{Route: "r", Left: 10 * time.Second, Arrived: 10 * time.Second},
			})
			So(err, ShouldBeNil)
			return placed
		}
		sent := 0
		for ; sent < 200; sent++ {
			if placed := place(time.Second, false); placed.Outcome != Found {
				So(placed.Outcome, ShouldEqual, Saturated)
				break
			}
		}
		So(sent, ShouldBeBetweenOrEqual, 8, 100)
		Convey("retries and requests that may wait for any time are not refused for it", func() {
			So(place(time.Second, true).Outcome, ShouldNotEqual, Saturated)
			So(place(0, false).Outcome, ShouldEqual, Found)
		})
		Convey("all are sent again once the attempts have ended, and none is counted any more", func() {
			for attempt := uint64(1); attempt <= uint64(sent); attempt++ {
				for i := range 4 {
					f.observe(Observation{Upstream: core.UpstreamID(fmt.Sprint("u-", i)), Attempt: attempt, Signal: placement.Succeeded})
				}
			}
			So(place(time.Second, false).Outcome, ShouldEqual, Found)
			totals, err := f.director.RoomTotals(context.Background())
			So(err, ShouldBeNil)
			So(totals.Sent[0], ShouldEqual, uint64(sent+1))
			refused := uint64(0)
			for cause := range room.Causes {
				refused += totals.Refused[0][cause]
			}
			So(refused, ShouldEqual, 1)
		})
	})
}
