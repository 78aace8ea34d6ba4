package reach

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against a host that goes on to try upstreams itself after all its links are gone,
// and against one that takes the end of a few upstreams for a cut.
func TestAHostIsCutOffOnceSeveralUpstreamsAreUnreachable(t *testing.T) {
	Convey("Given a service of nine upstreams", t, func() {
		table := New()
		fail := func(id core.UpstreamID, at time.Duration) Change {
			return table.Unreachable("models", id, 9, start.Add(at))
		}
		Convey("Six that are unreachable in a row show a cut, until a connection is set up", func() {
			So(fail("a", 0), ShouldEqual, None)
			So(fail("a", 50*time.Millisecond), ShouldEqual, None)
			for i, id := range []core.UpstreamID{"b", "c", "d", "e"} {
				So(fail(id, time.Duration(i)*100*time.Millisecond), ShouldEqual, None)
			}
			So(table.CutOff("models", start.Add(400*time.Millisecond)), ShouldBeFalse)
			So(fail("f", 400*time.Millisecond), ShouldEqual, Lost)
			So(fail("g", 400*time.Millisecond), ShouldEqual, None)
			So(table.CutOff("models", start.Add(400*time.Millisecond)), ShouldBeTrue)
			So(table.CutOff("ledger", start), ShouldBeFalse)
			So(table.Connected("models"), ShouldEqual, Regained)
			So(table.CutOff("models", start.Add(400*time.Millisecond)), ShouldBeFalse)
			So(fail("e", 500*time.Millisecond), ShouldEqual, None)
		})
		Convey("A connection in between, or a long time, does not", func() {
			for _, id := range []core.UpstreamID{"a", "b", "c", "d", "e"} {
				fail(id, 0)
			}
			So(table.Connected("models"), ShouldEqual, None)
			for _, id := range []core.UpstreamID{"f", "g", "h", "i", "a"} {
				So(fail(id, 0), ShouldEqual, None)
			}
			So(fail("b", failureMemory+time.Millisecond), ShouldEqual, None)
		})
	})
	Convey("Given a service with fewer upstreams than that, all of them show it", t, func() {
		table := New()
		So(table.Unreachable("ledger", "a", 2, start), ShouldEqual, None)
		So(table.Unreachable("ledger", "b", 2, start), ShouldEqual, Lost)
		So(New().Unreachable("ledger", "a", 1, start), ShouldEqual, Lost)
	})
}

// Guards against a host without requests that takes a cut of long ago for one of now: its
// next request was refused, and it helped no other host.
func TestAnOldCutTellsNothing(t *testing.T) {
	Convey("Given a host that was cut off and then had no requests", t, func() {
		table := New()
		table.Unreachable("models", "a", 1, start)
		later := start.Add(staleAfter)
		So(table.CutOff("models", later.Add(-1)), ShouldBeTrue)
		So(table.CutOff("models", later), ShouldBeFalse)
		So(table.Helpless("models", later).IsZero(), ShouldBeTrue)
		Convey("One further failure shows that the cut goes on", func() {
			table.Unreachable("models", "b", 9, later)
			So(table.CutOff("models", later), ShouldBeTrue)
		})
		Convey("A connection ends it", func() {
			So(table.Connected("models"), ShouldEqual, Regained)
			table.Unreachable("models", "b", 9, later)
			So(table.CutOff("models", later), ShouldBeFalse)
		})
	})
}

// Guards against a host that keeps callers although nobody can help it, and against one that
// sends them away for a moment's lack of help.
func TestCallersMoveAwayFromAHostThatNobodyHelps(t *testing.T) {
	Convey("Given a host that is cut off from a service", t, func() {
		table := New()
		So(table.Helpless("models", start).IsZero(), ShouldBeTrue)
		table.Unreachable("models", "a", 1, start)
		So(table.Helpless("models", start).IsZero(), ShouldBeTrue)
		later := start.Add(helplessAfter)
		Convey("Callers move once nobody has helped for some time", func() {
			So(table.Helpless("models", later), ShouldEqual, later.Add(awayTime))
		})
		Convey("They stay if somebody has, or the cut is over", func() {
			table.Helped("models")
			So(table.Helpless("models", later).IsZero(), ShouldBeTrue)
			table.Connected("models")
			So(table.Helpless("models", later.Add(helplessAfter)).IsZero(), ShouldBeTrue)
		})
	})
}

// Guards against a cut that is noticed late, as few requests set up connections, and
// against probes that cost more than they tell.
func TestProbesOfAService(t *testing.T) {
	listed := []core.UpstreamID{"a", "b", "c", "d", "e", "f", "g"}
	Convey("Given a host that suspects an upstream", t, func() {
		table := New()
		So(table.TakeProbes("models", "b", listed, start), ShouldResemble, []core.UpstreamID{"b"})
		So(table.TakeProbes("models", "c", listed, start.Add(probeInterval-1)), ShouldBeEmpty)
		table.Unreachable("models", "b", len(listed), start)
		So(table.TakeProbes("models", "b", listed, start), ShouldBeEmpty)
		now := start.Add(probeInterval)
		Convey("Two others are probed, and if they are unreachable as many as would show a cut", func() {
			So(table.TakeProbes("models", "b", listed, now), ShouldResemble, []core.UpstreamID{"a", "c"})
			table.Unreachable("models", "a", len(listed), now)
			So(table.TakeProbes("models", "a", listed, now), ShouldResemble, []core.UpstreamID{"c", "d", "e", "f"})
			Convey("None is while what was probed has not ended", func() {
				So(table.TakeProbes("models", "a", listed, now), ShouldBeEmpty)
			})
		})
		Convey("One is probed while the service is cut off", func() {
			for _, id := range listed[:6] {
				table.Unreachable("models", id, len(listed), now)
			}
			So(table.TakeProbes("models", "", listed, now), ShouldResemble, []core.UpstreamID{"a"})
			So(table.TakeProbes("models", "", listed, now), ShouldBeEmpty)
		})
	})
}

// Guards against any order of results after which a host that reaches an upstream counts as
// cut off, or one that reaches none does not.
func TestTheLatestResultsDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := New(), start
		upstreams := rapid.IntRange(1, 12).Draw(t, "upstreams")
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "connected") {
				table.Connected("s")
				if table.CutOff("s", now) {
					t.Fatal("cut off after a connection")
				}
				continue
			}
			table.Unreachable("s", core.UpstreamID(fmt.Sprint(rapid.IntRange(1, upstreams).Draw(t, "id"))), upstreams, now)
		}
		for id := range upstreams {
			table.Unreachable("s", core.UpstreamID(fmt.Sprint(id+1)), upstreams, now)
		}
		if !table.CutOff("s", now) {
			t.Fatal("not cut off although all upstreams are unreachable")
		}
	})
}
