package notice

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func listed(born int64) gateway.Upstream { return gateway.Upstream{ID: "u", StartMillis: born} }

// Guards against work for an upstream that has said that it leaves, and against holding
// that against a later start under the same id, or believing a late answer of an
// earlier one.
func TestLeavingIsAFactAboutOneStart(t *testing.T) {
	Convey("Given an upstream that says that it leaves", t, func() {
		n := New("h")
		So(n.Leaving(listed(5)), ShouldBeFalse)
		So(n.Leaves("u", 5, at(0)), ShouldBeTrue)
		So(n.Leaves("u", 5, at(1)), ShouldBeFalse)
		So(n.Leaving(listed(5)), ShouldBeTrue)
		Convey("a later start does not leave", func() {
			So(n.Leaving(listed(6)), ShouldBeFalse)
			n.Quiet("u", 6, time.Second, at(2))
			Convey("nor by a late answer of the earlier one", func() {
				So(n.Leaves("u", 5, at(3)), ShouldBeFalse)
				So(n.Leaving(listed(6)), ShouldBeFalse)
			})
		})
		Convey("it still leaves when its entry has gone and come back", func() {
			n.Forget(func(core.UpstreamID) bool { return false }, at(60))
			So(n.Leaving(listed(5)), ShouldBeTrue)
			n.Forget(func(core.UpstreamID) bool { return false }, at(3600))
			So(n.Leaving(listed(5)), ShouldBeFalse)
		})
	})
}

// Guards against work for a start of an upstream that said that it leaves before it was
// listed, against holding that against the starts after it, and against a check for each
// answer.
func TestALaterStartLeavesOnceItIsListed(t *testing.T) {
	Convey("Given an answer under the listed start, and that a later one gave it", t, func() {
		n := New("h")
		So(n.Leaves("u", 5, at(0)), ShouldBeTrue)
		So(n.CheckStart("u", 5, at(0)), ShouldBeTrue)
		So(n.CheckStart("u", 5, at(0)), ShouldBeFalse)
		n.LaterLeaves("u", 5, at(0))
		n.Listed(listed(5), at(1))
		So(n.Leaving(listed(5)), ShouldBeTrue)
		Convey("the first later start that is listed leaves, the next does not", func() {
			n.Listed(listed(6), at(2))
			So(n.Leaving(listed(6)), ShouldBeTrue)
			n.Listed(listed(7), at(3))
			So(n.Leaving(listed(7)), ShouldBeFalse)
		})
	})
	Convey("Given an answer that the listed start gave itself", t, func() {
		n := New("h")
		n.Leaves("u", 5, at(0))
		n.Listed(listed(6), at(1))
		So(n.Leaving(listed(6)), ShouldBeFalse)
	})
}

// Guards against requests in the time for which an upstream wants none, and against
// values that would silence one for good.
func TestAQuietUpstreamGetsNothing(t *testing.T) {
	Convey("Given an upstream that wants nothing for 1.5 s", t, func() {
		n := New("h")
		So(n.Quiet("u", 5, 1500*time.Millisecond, at(0)), ShouldBeTrue)
		So(n.Quiet("u", 5, time.Second, at(0.1)), ShouldBeFalse)
		So(n.Wait(listed(5), at(0.1)), ShouldBeGreaterThanOrEqualTo, 1400*time.Millisecond)
		So(n.Wait(listed(5), at(1.49)), ShouldBeGreaterThan, 0)
		So(n.Wait(listed(5), at(1.5+0.3)), ShouldEqual, 0)
		So(n.Wait(listed(6), at(0.1)), ShouldEqual, 0)
		Convey("absurd times are bounded", func() {
			n.Quiet("u", 5, 1000*time.Hour, at(1))
			So(n.Wait(listed(5), at(1)), ShouldBeLessThanOrEqualTo, MaxQuiet+maxReturnSpread)
			n.Quiet("u", 6, -time.Second, at(1))
			So(n.Wait(listed(6), at(1)), ShouldEqual, 0)
		})
	})
}

// Guards against all hosts returning at once to upstreams that were all silent for the
// same time: 300 hosts that each have requests waiting would refill them in a moment,
// and they would be silent again.
func TestHostsReturnOneAfterTheOther(t *testing.T) {
	Convey("Given 300 hosts with requests for one upstream, which wants nothing for 4 s", t, func() {
		sent := make(map[int]int) // by tenth of a second
		for i := range 300 {
			n := New(core.HostID(fmt.Sprint("host-", i)))
			n.Quiet("u", 5, 4*time.Second, at(0))
			for now := at(0); now.Before(at(6)); now = now.Add(10 * time.Millisecond) {
				if n.Wait(listed(5), now) == 0 {
					n.Sent("u", now)
					sent[int(now.Sub(start)/(100*time.Millisecond))]++
				}
			}
		}
		for tenth := range 40 {
			So(sent[tenth], ShouldEqual, 0)
		}
		// Without the spread and the spacing all 300 would send 10 each in the first.
		So(sent[40], ShouldBeLessThan, 100)
		for tenth := 40; tenth < 45; tenth++ {
			So(sent[tenth], ShouldBeLessThanOrEqualTo, 310)
		}
	})
	Convey("Given an upstream that takes a request after its time", t, func() {
		n := New("h")
		n.Quiet("u", 5, time.Second, at(0))
		n.Sent("u", at(1.5))
		So(n.Wait(listed(5), at(1.51)), ShouldBeGreaterThan, 0)
		n.Took("u", at(1.55))
		So(n.Wait(listed(5), at(1.56)), ShouldEqual, 0)
	})
}

// Guards against callers that are refused together and return together.
func TestCallersAreToldDifferentTimes(t *testing.T) {
	Convey("Given refused callers", t, func() {
		seen := make(map[time.Duration]bool)
		for i := range uint64(50) {
			delay := SpreadDelay(time.Second, i)
			So(delay, ShouldBeBetweenOrEqual, time.Second, 1250*time.Millisecond)
			seen[delay.Round(time.Millisecond)] = true
		}
		So(len(seen), ShouldBeGreaterThan, 40)
	})
}
