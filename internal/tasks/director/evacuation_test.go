package director

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/evacuation"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/tasks/follower"
)

// zoneFixture is a director with upstreams in zones, on a clock that the test moves.
type zoneFixture struct {
	director *Director
	now      time.Time
	logs     *observer.ObservedLogs
	// servedWith are the evacuated zones when the host began to serve.
	servedWith []core.ZoneName
	placed     Placed
}

// newZoneFixture returns a director that lists upstreams with ids SERVICE-ZONE-NUMBER.
func newZoneFixture(ids ...string) *zoneFixture {
	f := &zoneFixture{now: time.Unix(1000, 0)}
	observed, logs := observer.New(zap.InfoLevel)
	f.logs = logs
	f.director = New(Config{
		Host: "host-1", Zone: "a", Hosts: 1, ConfigTable: "op", ConfigKey: "config", UpstreamTable: "upstreams", Log: zap.New(observed), Now: func() time.Time { return f.now },
		DecodeConfig: func([]byte) (*gateway.Config, error) { return &gateway.Config{Version: 1}, nil },
		DecodeUpstream: func(id string, _ []byte) (gateway.Upstream, error) {
			parts := strings.Split(id, "-")
			return gateway.Upstream{ID: core.UpstreamID(id), Service: core.ServiceName(parts[0]), Zone: core.ZoneName(parts[1]), Address: id, Slots: 8, StartMillis: 1}, nil
		},
		DecodeEvacuation: func(row rowstore.Row) (core.ZoneName, bool, error) {
			zone, matches := strings.CutPrefix(row.Key, "zone/")
			if string(row.Value) == "odd" {
				return core.ZoneName(zone), matches, fmt.Errorf("odd")
			}
			return core.ZoneName(zone), matches, nil
		},
		Listed: func(map[core.ServiceName][]string) {}, Forget: func([]core.UpstreamID) {}, Changed: func(*gateway.Config, time.Time) {},
		Serving: func() {
			for _, zone := range []core.ZoneName{"a", "b"} {
				if f.director.Evacuated(zone) {
					f.servedWith = append(f.servedWith, zone)
				}
			}
		},
	})
	f.director.expiry = time.NewTimer(time.Hour)
	var rows []rowstore.Row
	for _, id := range ids {
		rows = append(rows, rowstore.Row{Key: id, Revision: core.Revision{Era: 1, Number: 1}})
	}
	f.director.handle(context.Background(), follower.Update{Table: "upstreams", Full: true, Revision: core.Revision{Era: 1, Number: 1}, At: f.now, Rows: rows})
	return f
}

// read passes on a read of the operator's table that has the configuration and rows.
func (f *zoneFixture) read(full bool, era, number int64, rows ...rowstore.Row) {
	revision := core.Revision{Era: era, Number: number}
	if full {
		rows = append([]rowstore.Row{{Key: "config", Revision: core.Revision{Era: era, Number: 1}}}, rows...)
	}
	f.director.handle(context.Background(), follower.Update{Table: "op", Full: full, Revision: revision, At: f.now, Rows: rows})
}

func zoneRow(zone string, era, number int64) rowstore.Row {
	return rowstore.Row{Key: "zone/" + zone, Value: []byte("{}"), Revision: core.Revision{Era: era, Number: number}}
}

func removed(row rowstore.Row) rowstore.Row {
	row.Deleted, row.Value = true, nil
	return row
}

// place places an attempt and returns its zone, or the outcome.
func (f *zoneFixture) place(service string, excluded ...core.UpstreamID) string {
	placed := f.director.place(context.Background(), PlacementRequest{Query: placement.Query{Service: core.ServiceName(service), Excluded: excluded}}, f.now)
	f.placed = placed
	return map[PlacementOutcome]string{Found: string(placed.Upstream.Zone), Evacuated: "evacuated", NoUpstream: "none", Limited: "limited"}[placed.Outcome]
}

// events returns the log lines of an event since the last call of any.
func (f *zoneFixture) events(name string) []string {
	var events []string
	for _, entry := range f.logs.TakeAll() {
		if fields := entry.ContextMap(); fields["event"] == name {
			events = append(events, fmt.Sprint(fields["zone"], " ", fields["source"], " ", fields["revision"]))
		}
	}
	return events
}

// ask passes a message to a director that does not run and returns its answer.
func ask[T any](f *zoneFixture, message func(chan<- T) any) T {
	reply := make(chan T, 1)
	f.director.handle(context.Background(), message(reply))
	return <-reply
}

// report returns what the host tells its peers.
func (f *zoneFixture) report() evacuation.Report {
	return ask(f, func(reply chan<- LocalState) any { return exchangeState{nil, reply} }).Evacuations
}

// Guards against a request to an evacuated zone from a host that the store turns away, and
// against one that a read which was under way, or a peer that is behind, lets through.
func TestAHostThatTheStoreTurnsAwayLearnsOfEvacuationsFromPeers(t *testing.T) {
	Convey("Given a host in zone a that has read the table before an evacuation, and a peer after it", t, func() {
		host, peer, behind := newZoneFixture("svc-a-1", "svc-b-1"), newZoneFixture(), newZoneFixture()
		host.read(true, 1, 10)
		behind.read(true, 1, 10)
		peer.read(true, 1, 12, zoneRow("a", 1, 11))
		So(host.place("svc"), ShouldEqual, "a")
		running := host.placed.Attempt
		host.director.handle(t.Context(), offeredEvacuations{peer.report(), "host-2"})
		So(host.place("svc"), ShouldEqual, "b")
		So(host.events("zone_evacuated"), ShouldResemble, []string{"a peer host-2 1.11"})
		host.read(true, 1, 11)
		host.read(false, 1, 11)
		ask(host, func(reply chan<- LocalState) any {
			return exchangeState{&PeerState{Host: "host-3", Evacuations: behind.report()}, reply}
		})
		So(host.place("svc"), ShouldEqual, "b")
		Convey("It counts the attempts that are still in progress there", func() {
			totals := func() EvacuationTotals {
				return ask(host, func(reply chan<- EvacuationTotals) any { return evacuationTotals{reply} })
			}
			So(totals(), ShouldResemble, EvacuationTotals{Zones: 1, Attempts: 1})
			host.director.handle(t.Context(), Observation{Upstream: "svc-a-1", Attempt: running, Signal: placement.Succeeded})
			So(totals(), ShouldResemble, EvacuationTotals{Zones: 1})
		})
		Convey("A later deletion in the feed ends it, and the zone counts as restored since", func() {
			host.now = host.now.Add(time.Second)
			host.read(false, 1, 13, removed(zoneRow("a", 1, 13)))
			So(host.place("svc"), ShouldEqual, "a")
			So(host.events("zone_restored"), ShouldResemble, []string{"a store 1.13"})
			at, _ := host.director.evacuations.RestoredAt("a")
			So(at, ShouldEqual, host.now)
		})
		Convey("A peer that calls is heard as well", func() {
			state := PeerState{Host: "host-2", Evacuations: peer.report()}
			ask(behind, func(reply chan<- LocalState) any { return exchangeState{&state, reply} })
			So(behind.director.Evacuated("a"), ShouldBeTrue)
		})
	})
}

// Guards against a process that serves before it knows of the evacuations that were read
// with its configuration, against requests to an evacuated zone as the store has come back
// from a copy that lacks its row, and against an evacuation that outlasts the grace.
func TestEvacuationsOverARestartAndAReturnOfTheStore(t *testing.T) {
	Convey("Given a process that has just started, two evacuated zones, and a return to before one of them", t, func() {
		host := newZoneFixture("svc-a-1", "svc-b-1", "svc-c-1")
		host.director.startup.crashesRead = true
		host.read(true, 1, 12, zoneRow("a", 1, 11), zoneRow("b", 1, 12))
		So(host.servedWith, ShouldResemble, []core.ZoneName{"a", "b"})
		host.read(true, 2, 11, zoneRow("a", 2, 11))
		So(host.place("svc"), ShouldEqual, "c")
		host.now = host.now.Add(evacuation.ReturnGrace - time.Millisecond)
		host.director.expireEvacuations()
		So(host.director.Evacuated("b"), ShouldBeTrue)
		host.now = host.now.Add(time.Millisecond)
		host.director.expireEvacuations()
		So(host.director.Evacuated("a"), ShouldBeTrue)
		So(host.events("zone_restored"), ShouldResemble, []string{"b expiry 2.11"})
		So(host.place("svc"), ShouldEqual, "b")
	})
}

// Guards against a refusal that hides an evacuation, against one that tells of one while
// another zone is only busy, and against requests, questions and probes by other ways.
func TestNothingElseGoesToAnEvacuatedZone(t *testing.T) {
	Convey("Given a service in one zone and one in two", t, func() {
		host := newZoneFixture("one-a-1", "two-a-1", "two-b-1")
		admit := func(id core.UpstreamID) TunnelVerdict {
			return host.director.admitTunnel(TunnelRequest{Upstream: id, StartMillis: 1}, host.now).Verdict
		}
		check := func(id core.UpstreamID) bool {
			return ask(host, func(reply chan<- bool) any { return checkStart{id, 1, reply} })
		}
		host.read(true, 1, 12, zoneRow("a", 1, 11))
		So(host.place("one"), ShouldEqual, "evacuated")
		So(host.placed.RetryAfter, ShouldBeBetweenOrEqual, evacuatedRetryAfter, evacuatedRetryAfter*5/4)
		So(host.place("two"), ShouldEqual, "b")
		So(host.place("two", "two-b-1"), ShouldEqual, "none")
		So(admit("two-a-1"), ShouldEqual, TunnelNotNow)
		So(admit("two-b-1"), ShouldEqual, TunnelAllowed)
		So(check("two-a-1"), ShouldBeFalse)
		So(check("two-b-1"), ShouldBeTrue)
		So(host.director.usable("two"), ShouldResemble, []core.UpstreamID{"two-b-1"})
		host.read(true, 1, 13)
		So(admit("two-a-1"), ShouldEqual, TunnelAllowed)
		So(check("two-a-1"), ShouldBeTrue)
	})
}

// Guards against log lines for each of many writes between two reads, against losing the
// last of them, and against odd rows that evacuate a zone or fill the log.
func TestManyWritesAndOddRowsOfEvacuations(t *testing.T) {
	Convey("Given a host that has read the table", t, func() {
		host := newZoneFixture()
		host.read(true, 1, 10)
		Convey("Of several writes in a second, the last one counts", func() {
			on, off := zoneRow("a", 1, 11), removed(zoneRow("a", 1, 12))
			host.read(false, 1, 12, on, off)
			So(host.events("zone_evacuated"), ShouldBeEmpty)
			on.Revision.Number, off.Revision.Number = 15, 14
			host.read(false, 1, 15, off, on)
			So(host.events("zone_evacuated"), ShouldResemble, []string{"a store 1.15"})
		})
		Convey("Odd rows name no zone, and each version is logged once", func() {
			odd, empty := zoneRow("b", 1, 11), zoneRow("", 1, 11)
			odd.Value, empty.Value = []byte("odd"), []byte("odd")
			for number := int64(12); number < 15; number++ {
				host.read(true, 1, number, odd, empty, zoneRow("a", 1, 11))
			}
			So(host.director.evacuations.Zones(), ShouldResemble, []core.ZoneName{"a"})
			So(host.events("evacuation_malformed"), ShouldHaveLength, 2)
			host.read(false, 1, 15, zoneRow("b", 1, 15))
			odd.Revision.Number = 16
			host.read(false, 1, 16, odd)
			So(host.director.Evacuated("b"), ShouldBeFalse)
			So(host.events("evacuation_malformed"), ShouldHaveLength, 1)
		})
	})
}

// BenchmarkPlaceWithEvacuatedZones measures a placement at the design size, 12,000 upstreams
// in 23 zones: what evacuations add to it is the difference to none.
func BenchmarkPlaceWithEvacuatedZones(b *testing.B) {
	for _, upstreams := range []int{1_200, 12_000} {
		var ids []string
		for i := range upstreams {
			ids = append(ids, fmt.Sprintf("svc%02d-zone%02d-%d", i%31, i%23, i))
		}
		for _, evacuated := range []int{0, 1, 3} {
			b.Run(fmt.Sprintf("upstreams=%d/evacuated=%d", upstreams, evacuated), func(b *testing.B) {
				host := newZoneFixture(ids...)
				var rows []rowstore.Row
				for i := range evacuated {
					rows = append(rows, zoneRow(fmt.Sprintf("zone%02d", i), 1, 11))
				}
				host.read(true, 1, 12, rows...)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					service := core.ServiceName(fmt.Sprintf("svc%02d", i%31))
					placed := host.director.place(b.Context(), PlacementRequest{Query: placement.Query{Service: service}}, host.now)
					host.director.balancer.Observe(placed.Upstream.ID, placed.Attempt, placement.Succeeded, host.now)
				}
			})
		}
	}
}

// Guards against a cut of a whole service that is concluded from failures in an evacuated
// zone, which is often one that has failed.
func TestFailuresInAnEvacuatedZoneAreNoCut(t *testing.T) {
	Convey("Given a zone that fails and is evacuated, and two upstreams in another", t, func() {
		host := newZoneFixture("svc-a-1", "svc-a-2", "svc-a-3", "svc-b-1", "svc-b-2")
		host.read(true, 1, 10)
		host.director.unreachable("svc", "svc-a-1", host.now)
		host.read(true, 1, 12, zoneRow("a", 1, 11))
		host.director.unreachable("svc", "svc-a-2", host.now)
		host.director.unreachable("svc", "svc-a-3", host.now)
		So(host.director.reach.CutOff("svc", host.now), ShouldBeFalse)
		So(host.place("svc"), ShouldEqual, "b")
		So(host.placed.Tunnel, ShouldBeFalse)
	})
}

// Guards against a host that starts after the end of an evacuation and sends to the zone as
// if its upstreams were warm.
func TestAHostThatStartsLearnsFromPeersThatAZoneMayBeCold(t *testing.T) {
	Convey("Given a peer that knows of a restored zone, and a host that has just started", t, func() {
		peer, host := newZoneFixture("svc-a-1"), newZoneFixture("svc-a-1", "svc-b-1")
		peer.read(true, 1, 12, zoneRow("a", 1, 11))
		peer.read(false, 1, 13, removed(zoneRow("a", 1, 13)))
		host.read(true, 1, 13)
		host.director.cold.Configure(map[core.ServiceName]gateway.Service{"svc": {ColdFor: 3 * time.Second, ColdPerSecond: 10}})
		So(host.director.cold.Cold("svc-a-1", host.now), ShouldBeFalse)
		host.director.handle(t.Context(), offeredEvacuations{peer.report(), "host-2"})
		So(host.director.cold.Cold("svc-a-1", host.now), ShouldBeTrue)
		So(host.director.cold.Cold("svc-b-1", host.now), ShouldBeFalse)
	})
}
