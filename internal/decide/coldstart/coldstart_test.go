package coldstart

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

// newTable returns the table of the only host, long after it was listed.
func newTable() (*Table, gateway.Upstream) {
	table := New("h", tolerated)
	table.Configure(map[core.ServiceName]gateway.Service{"svc": {ColdFor: coldFor, ColdPerSecond: 10}, "plain": {}})
	table.SetMembers([]Member{{"h", "z0"}}, start.Add(-time.Minute))
	return table, gateway.Upstream{ID: "u", Service: "svc", Zone: "z0", StartMillis: 5}
}

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against coldness that outlasts its time, or that an entry ends which was written
// before what this host heard.
func TestWhenAnUpstreamIsCold(t *testing.T) {
	Convey("Given an upstream", t, func() {
		table, upstream := newTable()
		listed := func(left time.Duration, startMillis int64, at float64) {
			upstream.ColdLeft, upstream.StartMillis = left, startMillis
			table.Listed(upstream, false, after(at))
		}
		cold := func(at float64) bool { return table.Cold("u", after(at)) }
		Convey("its entry says for how long it is cold, at most for the time of its service", func() {
			listed(time.Second, 5, 0)
			So([]bool{cold(0), cold(0.9), cold(1)}, ShouldResemble, []bool{true, true, false})
			listed(time.Hour, 5, 2)
			So([]bool{cold(4.9), cold(5)}, ShouldResemble, []bool{true, false})
		})
		Convey("an answer may name it as cold again, and a lagging entry does not end that", func() {
			left := 3 * time.Second
			table.Answered(upstream, &left, after(0))
			listed(0, 5, 1.9)
			So(cold(1.9), ShouldBeTrue)
			listed(0, 5, 2)
			So(cold(2), ShouldBeFalse)
		})
		Convey("after a failed connection it is cold until its entry is written anew, or some time after its first answer", func() {
			table.Lost(upstream, after(0))
			listed(0, 5, 1)
			So([]bool{cold(1), cold(20)}, ShouldResemble, []bool{true, true})
			Convey("an entry of a new start tells at once", func() {
				listed(0, 6, 1)
				So(cold(1), ShouldBeFalse)
				listed(time.Second, 5, 1.1)
				So(cold(1.1), ShouldBeFalse) // from an older copy of the store
			})
			Convey("an entry that is written after the failure tells", func() {
				listed(0, 5, 2.5)
				So(cold(2.5), ShouldBeFalse)
			})
			Convey("its first answer begins the time of its service", func() {
				table.Answered(upstream, nil, after(20))
				table.Answered(upstream, nil, after(21))
				So([]bool{cold(22.9), cold(23)}, ShouldResemble, []bool{true, false})
			})
			Convey("an answer that says that it is warm ends it", func() {
				left := time.Duration(0)
				table.Answered(upstream, &left, after(1))
				So(cold(1), ShouldBeFalse)
			})
			Convey("it ends by itself", func() { So(cold(lostHold.Seconds()), ShouldBeFalse) })
		})
		Convey("a mark holds for the time of its service, whatever the list and answers say", func() {
			table.Mark(upstream, after(0), after(0))
			listed(0, 5, 2.5)
			left := time.Duration(0)
			table.Answered(upstream, &left, after(2.6))
			So([]bool{cold(2.9), cold(3)}, ShouldResemble, []bool{true, false})
		})
		Convey("an upstream of a service without such a time is never cold", func() {
			upstream.Service = "plain"
			table.Lost(upstream, after(0))
			table.Mark(upstream, after(0), after(0))
			So(table.Any("plain"), ShouldBeFalse)
			listed(time.Second, 5, 0)
			So(cold(0), ShouldBeFalse)
			table.Forget(after(11))
			So(table.Any("plain"), ShouldBeFalse)
		})
	})
}

// Guards against a host that becomes a user before the others know its place, and against a
// burst of one that was a user of a warm upstream.
func TestWhoMaySend(t *testing.T) {
	Convey("Given a cold upstream and a host", t, func() {
		table, upstream := newTable()
		upstream.ColdLeft = coldFor
		Convey("that is not on its own list, it sends nothing", func() {
			table.SetMembers([]Member{{"other", "z0"}}, start)
			table.Listed(upstream, true, start)
			So(table.Wait("u", start), ShouldEqual, -1)
		})
		Convey("that has just been listed, it sends nothing for some time", func() {
			table.SetMembers(nil, start.Add(-settleTime))
			table.SetMembers([]Member{{"h", "z0"}}, start)
			table.Listed(upstream, true, start)
			So(table.Wait("u", start.Add(settleTime-1)), ShouldEqual, -1)
			So(table.Wait("u", start.Add(settleTime)), ShouldBeGreaterThan, 0)
		})
		Convey("whose predecessors are gone, it takes their place after some time", func() {
			var members []Member
			for i := range 40 {
				members = append(members, Member{core.HostID(fmt.Sprint("near", i)), "z0"})
			}
			table.SetMembers(append(members, Member{"h", "z1"}), start.Add(-time.Minute))
			table.SetMembers([]Member{{"h", "z1"}}, start)
			table.Listed(upstream, true, start)
			So(table.Wait("u", start.Add(settleTime-1)), ShouldEqual, -1)
			So(table.Wait("u", start.Add(settleTime)), ShouldBeGreaterThan, 0)
		})
		Convey("an upstream that has just been listed gets one request at once, and one that was warm none", func() {
			table.Listed(upstream, true, start)
			So(table.Wait("u", start), ShouldEqual, 0)
			table.Sent("u", start)
			So(table.Wait("u", start), ShouldBeGreaterThan, 0)
			upstream.ID = "warm"
			table.Listed(upstream, false, start)
			So(table.Wait("warm", start), ShouldBeGreaterThan, 0)
		})
	})
}

// Guards against callers that return at the same moment, or after half of the upstreams
// have been warm for long.
func TestReturnsAreSpread(t *testing.T) {
	Convey("Given upstreams that are cold for 1, 2 and 3 s", t, func() {
		table, upstream := newTable()
		_, cold := table.ReturnDelay("svc", 1, start)
		So(cold, ShouldBeFalse)
		for i := range 3 {
			upstream.ID, upstream.ColdLeft = core.UpstreamID(fmt.Sprint("u", i)), time.Duration(i+1)*time.Second
			table.Listed(upstream, true, start)
		}
		asked := start.Add(2 * delayAge)
		left := 2*time.Second - 2*delayAge // until the second of them is warm
		var quarters [4]int
		for n := range uint64(400) {
			delay, cold := table.ReturnDelay("svc", n, asked)
			So(cold, ShouldBeTrue)
			So(delay, ShouldBeBetween, 0, left)
			quarters[int(4*delay/left)]++
		}
		for _, count := range quarters {
			So(count, ShouldBeBetween, 90, 110)
		}
	})
}

// Guards against a log line for each upstream of a zone that becomes cold at once.
func TestChangesAreGrouped(t *testing.T) {
	Convey("Given 50 upstreams of two zones that become cold", t, func() {
		table, upstream := newTable()
		for i := range 50 {
			upstream.ID, upstream.Zone = core.UpstreamID(fmt.Sprint("u", i)), core.ZoneName(fmt.Sprint("z", i%2))
			table.Mark(upstream, start, start)
		}
		So(table.Changes(start), ShouldHaveLength, 2)
		So(table.Changes(start), ShouldBeEmpty)
		So(table.Count(start), ShouldEqual, 50)
		warm := table.Changes(start.Add(coldFor))
		So(warm, ShouldHaveLength, 2)
		So(warm[0].Cold, ShouldBeFalse)
		So(warm[0].Upstreams, ShouldHaveLength, 25)
	})
}

// Guards against shares that exceed the bound, or that no number describes.
func TestSharesKeepToTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := Bound{Overage: rapid.Float64Range(0.1, 1e6).Draw(t, "overage"), Slack: rapid.Float64Range(0, 1e6).Draw(t, "slack")}
		perSecond := rapid.Float64Range(0.01, 1e6).Draw(t, "per second")
		hosts := rapid.IntRange(0, 400).Draw(t, "hosts")
		s := bound.divide(perSecond, hosts)
		total := bound.Overage*perSecond + bound.Slack
		if s.users < 0 || s.users > hosts || math.IsNaN(s.rate) || s.rate < 0 {
			t.Fatalf("share %+v", s)
		}
		if s.users > 0 && float64(s.users)*(bucketSize+s.rate) > total+1e-6 {
			t.Fatalf("share %+v exceeds %g", s, total)
		}
		others := min(disagreement, hosts, int(total)-1)
		if s.users > 0 && float64(s.users+others)*(bucketSize+s.rate) > total+1e-6 {
			t.Fatalf("share %+v exceeds %g with %d more", s, total, others)
		}
	})
}

// BenchmarkDecision measures what cold upstreams add to a choice among those of a service,
// of which a third is cold, at several numbers of hosts and upstreams.
func BenchmarkDecision(b *testing.B) {
	for _, size := range [][2]int{{33, 40}, {330, 40}, {330, 80}, {330, 390}} {
		b.Run(fmt.Sprintf("hosts=%d/upstreams=%d", size[0], size[1]), func(b *testing.B) {
			table, upstream := newTable()
			var members []Member
			for i := range size[0] {
				members = append(members, Member{hostID(i), core.ZoneName(fmt.Sprint("z", i%23))})
			}
			table.self, table.hosts = "h0", newHostList("h0")
			table.SetMembers(members, start.Add(-time.Minute))
			ids := make([]core.UpstreamID, size[1])
			for i := range ids {
				ids[i] = core.UpstreamID(fmt.Sprint("i-", i))
				if upstream.ID, upstream.ColdLeft = ids[i], coldFor; i%3 == 0 {
					table.Listed(upstream, true, start)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				for _, id := range ids {
					if !table.Cold(id, start) {
						table.Wait(id, start)
					}
				}
				for _, id := range ids {
					if table.Cold(id, start) && table.Wait(id, start) == 0 {
						table.Sent(id, start)
					}
				}
			}
		})
	}
}
