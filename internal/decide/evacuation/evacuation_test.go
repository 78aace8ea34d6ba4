package evacuation

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

func rev(era, number int64) core.Revision { return core.Revision{Era: era, Number: number} }

// full is a full read at a revision that names the given zones.
func full(at core.Revision, zones ...core.ZoneName) Read {
	read := Read{Full: true, Revision: at}
	for _, zone := range zones {
		read.Rows = append(read.Rows, Row{Zone: zone, Revision: at})
	}
	return read
}

func reading(read Read, now time.Time) *Table {
	t := New()
	t.Apply(read, now)
	return t
}

// Guards against a host that goes on with a zone which it was told to leave, or stays away
// from one that was restored, because it read less than its peers.
func TestTheHigherRevisionWins(t *testing.T) {
	Convey("Given a host that has read no evacuation at revision 10, and peers that read further", t, func() {
		host := reading(full(rev(1, 10)), at(0))
		tell := func(read Read) []Change { return host.Merge(reading(read, at(0)).Report(at(0)), at(1)) }
		evacuated := Row{Zone: "a", Revision: rev(1, 12)}
		So(tell(full(rev(1, 9), "a")), ShouldBeEmpty)
		Convey("What a peer tells is ended by a later read only", func() {
			So(tell(full(rev(1, 12), "a")), ShouldResemble, []Change{{Zone: "a", Evacuated: true, Revision: rev(1, 12)}})
			So(host.Apply(full(rev(1, 11)), at(1)), ShouldBeEmpty)
			So(tell(full(rev(1, 11))), ShouldBeEmpty)
			So(host.Apply(full(rev(1, 13)), at(2)), ShouldResemble, []Change{{Zone: "a", Revision: rev(1, 13)}})
			So(tell(full(rev(1, 12), "a")), ShouldBeEmpty)
		})
		Convey("What a peer tells has ended does not begin again by reads that were under way", func() {
			tell(full(rev(1, 14)))
			So(host.Apply(full(rev(1, 13), "a"), at(2)), ShouldBeEmpty)
			So(host.Apply(Read{Revision: rev(1, 15), Rows: []Row{evacuated}}, at(2)), ShouldBeEmpty)
		})
		Convey("A row on a later page of a read outlives what is of an older revision", func() {
			host.Apply(Read{Full: true, Revision: rev(1, 11), Rows: []Row{{Zone: "a", Revision: rev(1, 14)}}}, at(1))
			So(tell(full(rev(1, 12))), ShouldBeEmpty)
			So(host.Apply(Read{Revision: rev(1, 13), Rows: []Row{{Zone: "a", Revision: rev(1, 13), Deleted: true}}}, at(1)), ShouldBeEmpty)
		})
		Convey("Two zones are evacuated and restored apart", func() {
			host.Apply(full(rev(1, 12), "a", "b"), at(1))
			host.Apply(Read{Revision: rev(1, 13), Rows: []Row{evacuated, {Zone: "a", Revision: rev(1, 13), Deleted: true}}}, at(2))
			So(host.Zones(), ShouldResemble, []core.ZoneName{"b"})
		})
	})
}

// Guards against requests to an evacuated zone because the store has come back from a copy
// of before the evacuation, and against a zone that stays evacuated for ever after that.
func TestAnEvacuationOutlivesAReturnOfTheStoreForFourSeconds(t *testing.T) {
	Convey("Given an evacuation that the copy lacks", t, func() {
		host, deaf := reading(full(rev(1, 100), "a"), at(0)), reading(full(rev(1, 100), "a"), at(0))
		So(host.Apply(full(rev(2, 90)), at(10)), ShouldBeEmpty)
		evacuated := func(table *Table, seconds float64) bool {
			table.Expire(at(seconds))
			return table.Evacuated("a")
		}
		Convey("It is kept for 4 s, and the host knows when these are over", func() {
			So(evacuated(host, 13.9), ShouldBeTrue)
			_, next := host.Expire(at(13.9))
			So(next, ShouldEqual, at(14))
			So(evacuated(host, 14), ShouldBeFalse)
		})
		Convey("It ends at once if the operator writes and removes it within the time, although a peer keeps it", func() {
			host.Apply(Read{Revision: rev(2, 92), Rows: []Row{{Zone: "a", Revision: rev(2, 92)}}}, at(11))
			host.Apply(full(rev(2, 93)), at(11.5))
			deaf.Merge(reading(full(rev(2, 91)), at(0)).Report(at(0)), at(11.4))
			So(evacuated(deaf, 11.5), ShouldBeTrue)
			host.Merge(deaf.Report(at(11.5)), at(11.6))
			So(host.Evacuated("a"), ShouldBeFalse)
		})
		Convey("A process that has started since learns of it from a peer, once", func() {
			started := reading(full(rev(2, 91)), at(11))
			started.Merge(host.Report(at(12)), at(12.5))
			So(started.Evacuated("a"), ShouldBeTrue)
			started.Merge(host.Report(at(13)), at(14.4))
			So(evacuated(started, 14.5), ShouldBeFalse)
		})
	})
}

// Guards against a process that sends a burst to a zone that was restored just before it
// started, and against times that grow as hosts tell each other.
func TestAProcessLearnsWhichZonesWereRestored(t *testing.T) {
	Convey("Given a zone that was restored at 5 s", t, func() {
		host := reading(full(rev(1, 10), "a"), at(0))
		host.Apply(full(rev(1, 11)), at(5))
		started := New()
		started.Merge(host.Report(at(6)), at(7))
		restored, known := started.RestoredAt("a")
		So(known, ShouldBeTrue)
		So(restored, ShouldEqual, at(6))
		host.Merge(started.Report(at(7)), at(8))
		restored, _ = host.RestoredAt("a")
		So(restored, ShouldEqual, at(5))
		host.Expire(at(66))
		_, known = host.RestoredAt("a")
		So(known, ShouldBeFalse)
	})
}

// Guards against telling callers that a service has no upstream while an operator has
// evacuated all its zones, and the reverse.
func TestAServiceIsEvacuatedIfAllItsUpstreamsAre(t *testing.T) {
	Convey("Given a service in zone a, and one in a and b", t, func() {
		table := New()
		table.SetUpstreams([]gateway.Upstream{
			{ID: "1", Service: "one", Zone: "a"}, {ID: "2", Service: "two", Zone: "a"}, {ID: "3", Service: "two", Zone: "b"},
			{ID: "4", Service: "one", Zone: "b", Leaving: true},
		})
		So(table.AllEvacuated("one"), ShouldBeFalse)
		table.Apply(full(rev(1, 1), "a"), at(0))
		So(table.AllEvacuated("one"), ShouldBeTrue)
		So(table.AllEvacuated("two"), ShouldBeFalse)
		So(table.AllEvacuated("unknown"), ShouldBeFalse)
		table.Apply(full(rev(1, 2), "a", "b"), at(0))
		So(table.AllEvacuated("two"), ShouldBeTrue)
	})
}

// BenchmarkEvacuated measures what a request asks before it is placed and before it is sent,
// at the design size of 12,000 upstreams in 23 zones and below, to show the slope.
func BenchmarkEvacuated(b *testing.B) {
	for _, upstreams := range []int{120, 1_200, 12_000} {
		for _, evacuated := range []int{0, 1, 23} {
			b.Run(fmt.Sprintf("upstreams=%d/evacuated=%d", upstreams, evacuated), func(b *testing.B) {
				table, list := New(), make([]gateway.Upstream, upstreams)
				for i := range list {
					list[i] = gateway.Upstream{Service: "svc", Zone: core.ZoneName(fmt.Sprintf("zone-%02d", i%23))}
				}
				table.SetUpstreams(list)
				var zones []core.ZoneName
				for i := range evacuated {
					zones = append(zones, core.ZoneName(fmt.Sprintf("zone-%02d", i)))
				}
				table.Apply(full(rev(1, 1), zones...), start)
				b.ReportAllocs()
				b.ResetTimer()
				refused := 0
				for range b.N {
					if table.AllEvacuated("svc") || table.Evacuated("zone-22") {
						refused++
					}
				}
			})
		}
	}
}
