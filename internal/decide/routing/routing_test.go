package routing

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
)

// TestMain fixes rapid's seed, so that the tests give the same verdict on each
// run; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	m.Run()
}

var (
	epoch   = time.Unix(1000, 0)
	pool    = upstreams.Pool{Model: "m"}
	service = upstreams.Pool{Service: "s"}
)

// newTestView lists upstreams that serve both pools; every third is in zone
// "a".
func newTestView(size int) *upstreams.View {
	view := upstreams.NewView("h", "a")
	var entries []upstreams.Entry
	for i := range size {
		entries = append(entries, upstreams.Entry{
			Target: core.Target{Upstream: core.UpstreamID(fmt.Sprintf("e%d", i)), Incarnation: 1, Zone: core.ZoneName(string(rune('a' + i%3)))},
			Pools:  []upstreams.Pool{pool, service},
		})
	}
	view.ApplyList(epoch, entries)
	return view
}

// Guards against picking excluded or leaving upstreams, and against picking
// none while another upstream could serve.
func TestPickRespectsExclusions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 12).Draw(t, "size")
		view := newTestView(size)
		unavailable := map[core.UpstreamID]bool{}
		request := Request{Pool: rapid.SampledFrom([]upstreams.Pool{pool, service}).Draw(t, "pool"), Estimate: 10}
		for i := range size {
			id := core.UpstreamID(fmt.Sprintf("e%d", i))
			switch rapid.IntRange(0, 2).Draw(t, "fate") {
			case 1:
				view.MarkLeaving(epoch, id, 1)
				unavailable[id] = true
			case 2:
				request.Excluded = append(request.Excluded, id)
				unavailable[id] = true
			}
		}
		for range 20 {
			request.Random, request.PrefixHash = rapid.Uint64().Draw(t, "random"), rapid.Uint64().Draw(t, "prefix")
			member := Pick(view, epoch, &request)
			if (member == nil) != (len(unavailable) == size) {
				t.Fatalf("picked %v with %d of %d upstreams unavailable", member, len(unavailable), size)
			}
			if member != nil {
				if unavailable[member.Target().Upstream] {
					t.Fatalf("picked %s, which is unavailable", member.Target().Upstream)
				}
				view.StartAttempt(epoch, member, 10)
			}
		}
	})
}

// Guards against prompts of one prefix that move between upstreams, and against
// a prefix that overloads its upstream.
func TestPrefixAffinity(t *testing.T) {
	Convey("Twelve upstreams, four in the own zone", t, func() {
		view := newTestView(12)
		request := Request{Pool: pool, Estimate: 100, PrefixHash: 42}
		first := Pick(view, epoch, &request)
		So(first.Target().Zone, ShouldEqual, core.ZoneName("a"))
		for i := range 50 {
			request.Random = uint64(i) * 0x9e3779b97f4a7c15
			So(Pick(view, epoch, &request), ShouldEqual, first)
		}
		for range 400 {
			request.Random = mix(request.Random + 1)
			view.StartAttempt(epoch, Pick(view, epoch, &request), 100)
		}
		mean := 0.0
		busiest := 0
		for _, member := range view.Subset(pool) {
			requests, _ := member.InFlight()
			mean += float64(requests) / 12
			busiest = max(busiest, requests)
		}
		// The host's zone may carry zoneSpillRatio times more than the others,
		// and within it the affinity affinityLoadRatio times the mean.
		So(float64(busiest), ShouldBeLessThan, mean*affinityLoadRatio*zoneSpillRatio+2)
	})
}

// Guards against traffic between zones that gains nothing, and against a zone
// that is overloaded while others are idle.
func TestZoneSpill(t *testing.T) {
	Convey("An idle fleet keeps work in the own zone until it is loaded", t, func() {
		view := newTestView(12)
		request := Request{Pool: pool, Estimate: 100}
		zones := map[core.ZoneName]int{}
		for i := range 200 {
			request.Random = mix(uint64(i) + 7)
			member := Pick(view, epoch, &request)
			if i < 4 {
				So(member.Target().Zone, ShouldEqual, core.ZoneName("a"))
			}
			view.StartAttempt(epoch, member, 100)
			zones[member.Target().Zone]++
		}
		So(zones["b"], ShouldBeGreaterThan, 40)
		So(zones["c"], ShouldBeGreaterThan, 40)
	})
}

// Guards against a resumed answer that moves although the upstream that holds
// it is usable, and against a plain service that is not balanced by requests in
// flight.
func TestResumeAndServices(t *testing.T) {
	Convey("Resume prefers the holder unless it is leaving", t, func() {
		view := newTestView(12)
		request := Request{Pool: pool, Estimate: 1, Resume: "e7"}
		So(Pick(view, epoch, &request).Target().Upstream, ShouldEqual, core.UpstreamID("e7"))
		view.MarkLeaving(epoch, "e7", 1)
		So(Pick(view, epoch, &request).Target().Upstream, ShouldNotEqual, core.UpstreamID("e7"))
	})
	Convey("A plain service is balanced evenly", t, func() {
		view := newTestView(3)
		for i := range 30 {
			view.StartAttempt(epoch, Pick(view, epoch, &Request{Pool: service, Random: mix(uint64(i))}), 1)
		}
		for _, member := range view.Subset(service) {
			requests, _ := member.InFlight()
			So(requests, ShouldBeBetweenOrEqual, 9, 11)
		}
	})
}

// Guards against an upstream that refuses all work, has no requests and so gets
// the work of all others.
func TestRefusingUpstreamDrawsNoWork(t *testing.T) {
	Convey("One idle upstream of four refuses, the others are half full", t, func() {
		view := newTestView(4)
		now := epoch
		refuser := view.Find(pool, "e0")
		for _, member := range view.Subset(pool) {
			if member == refuser {
				view.ApplyAnswerLoad(now, member.Target(), 0, 0, 16)
			} else {
				view.ApplyAnswerLoad(now, member.Target(), 8, 0, 16)
			}
		}
		refused := 0
		for i := range 200 {
			now = now.Add(10 * time.Millisecond)
			member := Pick(view, now, &Request{Pool: pool, Estimate: 10, Random: mix(uint64(i))})
			view.StartAttempt(now, member, 10)
			outcome := upstreams.Completed
			if member == refuser {
				refused++
				outcome = upstreams.Failed
			}
			view.EndAttempt(now, pool, member.Target(), outcome, time.Millisecond, 0, 10)
		}
		So(refused, ShouldBeBetween, 0, 3)
	})
}

func BenchmarkPickAmong500(b *testing.B) {
	view := newTestView(500)
	request := Request{Pool: pool, Estimate: 100}
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		request.Random = mix(request.Random + 1)
		request.PrefixHash = request.Random % 64
		now = now.Add(time.Millisecond)
		member := Pick(view, now, &request)
		target := member.Target()
		view.StartAttempt(now, member, 100)
		view.RecordFirstToken(now, pool, target, 50*time.Millisecond, 100)
		view.EndAttempt(now, pool, target, upstreams.Completed, time.Second, 10, 100)
	}
}
