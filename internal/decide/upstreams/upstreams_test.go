package upstreams

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
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
	epoch = time.Unix(1000, 0)
	pool  = Pool{Model: "m"}
)

func target(i int, incarnation core.Incarnation) core.Target {
	return core.Target{Upstream: core.UpstreamID(fmt.Sprintf("e%02d", i)), Incarnation: incarnation, Zone: core.ZoneName("z" + string(rune('a'+i%2)))}
}

type attempt struct {
	target  core.Target
	started time.Time
}

// viewModel is the reference model: the highest incarnation ever reported as
// leaving, and the attempts in flight.
type viewModel struct {
	view     *View
	now      time.Time
	leaving  map[core.UpstreamID]core.Incarnation
	attempts []attempt
}

func (m *viewModel) drawTarget(t *rapid.T) core.Target {
	return target(rapid.IntRange(0, 11).Draw(t, "upstream"), core.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")))
}

func (m *viewModel) leave(target core.Target) {
	m.leaving[target.Upstream] = max(m.leaving[target.Upstream], target.Incarnation)
}

func (m *viewModel) list(t *rapid.T) {
	var entries []Entry
	seen := map[core.UpstreamID]bool{}
	for range rapid.IntRange(0, 12).Draw(t, "entries") {
		entry := Entry{Target: m.drawTarget(t), Leaving: rapid.Float64().Draw(t, "leaving") < 0.1, Pools: []Pool{pool}}
		if seen[entry.Target.Upstream] {
			continue
		}
		seen[entry.Target.Upstream] = true
		if known, found := m.view.upstreams[entry.Target.Upstream]; entry.Leaving && (!found || entry.Target.Incarnation >= known.target.Incarnation) {
			m.leave(entry.Target)
		}
		entries = append(entries, entry)
	}
	m.view.ApplyList(m.now, entries)
}

func (m *viewModel) report(t *rapid.T) {
	report := Report{
		Running: rapid.IntRange(0, 20).Draw(t, "running"), MaxRunning: 8,
		Leaving:    rapid.Float64().Draw(t, "leaving") < 0.1,
		MeasuredAt: m.now.Add(-time.Duration(rapid.IntRange(-1000, 5000).Draw(t, "lag")) * time.Millisecond),
	}
	target := m.drawTarget(t)
	report.Upstream, report.Incarnation = target.Upstream, target.Incarnation
	if report.Leaving {
		m.leave(target)
	}
	m.view.ApplyReport(m.now, report)
}

func (m *viewModel) start(t *rapid.T) {
	subset := m.view.Subset(pool)
	if len(subset) == 0 {
		return
	}
	member := subset[rapid.IntRange(0, len(subset)-1).Draw(t, "member")]
	if !member.Usable() {
		return
	}
	m.view.StartAttempt(m.now, member, 100)
	m.attempts = append(m.attempts, attempt{target: member.Target(), started: m.now})
}

func (m *viewModel) end(t *rapid.T) {
	if len(m.attempts) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.attempts)-1).Draw(t, "attempt")
	m.finish(i, Outcome(rapid.IntRange(1, 3).Draw(t, "ending")))
}

func (m *viewModel) finish(i int, outcome Outcome) {
	a := m.attempts[i]
	m.attempts = append(m.attempts[:i], m.attempts[i+1:]...)
	elapsed := m.now.Sub(a.started)
	if outcome == Completed {
		m.view.RecordFirstToken(m.now, pool, a.target, elapsed/2, 100)
	}
	tokens := int64(0)
	if outcome == Completed {
		tokens = 10
	}
	m.view.EndAttempt(m.now, pool, a.target, outcome, elapsed, tokens, 100)
}

// check compares the view with the model: no leaving incarnation is usable,
// estimates and the subset's size are possible, and counts match the attempts
// that remain.
func (m *viewModel) check(t *rapid.T) {
	ejected := 0
	for _, member := range m.view.Subset(pool) {
		at := member.Target()
		if member.Usable() && at.Incarnation <= m.leaving[at.Upstream] {
			t.Fatalf("%v is usable although it is leaving", at)
		}
		if member.Ejected(m.now) {
			ejected++
		}
		if member.Slowness(m.now) < 1 || member.Requests(m.now) < 0 {
			t.Fatalf("%v has an impossible load", at)
		}
	}
	if size := len(m.view.Subset(pool)); size > MaxSubset {
		t.Fatalf("the subset has %d members", size)
	}
	for id, upstream := range m.view.upstreams {
		count := 0
		for _, a := range m.attempts {
			if a.target == upstream.target {
				count++
			}
		}
		if requests, tokens := upstream.InFlight(); requests > count || int(tokens) != 100*requests {
			t.Fatalf("%s counts %d requests and %d tokens, but %d attempts run", id, requests, tokens, count)
		}
	}
}

// Guards against a leaving upstream that a later list makes usable again,
// counts of attempts in flight that drift, and impossible estimates after late
// reports.
func TestViewStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &viewModel{view: NewView("h", "za"), now: epoch, leaving: map[core.UpstreamID]core.Incarnation{}}
		t.Repeat(map[string]func(*rapid.T){
			"list":   m.list,
			"report": m.report,
			"start":  m.start,
			"end":    m.end,
			"peer": func(t *rapid.T) {
				target := m.drawTarget(t)
				m.leave(target)
				m.view.MarkLeaving(m.now, target.Upstream, target.Incarnation)
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				m.view.Evaluate(m.now)
			},
			"": m.check,
		})
		for len(m.attempts) > 0 {
			m.finish(0, Cancelled)
		}
		for id, upstream := range m.view.upstreams {
			if requests, tokens := upstream.InFlight(); requests != 0 || tokens != 0 {
				t.Fatalf("%s has %d requests in flight at the end", id, requests)
			}
		}
	})
}

func newTestView(size int, zone func(i int) core.ZoneName) *View {
	view := NewView("h", "za")
	var entries []Entry
	for i := range size {
		at := target(i, 1)
		at.Zone = zone(i)
		entries = append(entries, Entry{Target: at, Pools: []Pool{pool}})
	}
	view.ApplyList(epoch, entries)
	return view
}

func oneZone(int) core.ZoneName { return "za" }

// Guards against ejecting more than 30% of a pool, whatever the members do.
func TestEjectionCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 20).Draw(t, "size")
		view := newTestView(size, oneZone)
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			for _, member := range view.Subset(pool) {
				view.StartAttempt(now, member, 10)
				latency := time.Duration(rapid.SampledFrom([]int{10, 20, 500, 5000}).Draw(t, "latency")) * time.Millisecond
				view.RecordFirstToken(now, pool, member.Target(), latency, 10)
				view.EndAttempt(now, pool, member.Target(), Outcome(rapid.IntRange(1, 2).Draw(t, "ending")), latency, 1, 10)
			}
			view.Evaluate(now)
			ejected := 0
			for _, member := range view.Subset(pool) {
				if member.Ejected(now) {
					ejected++
				}
			}
			if allowed := len(view.Subset(pool)) * 30 / 100; ejected > allowed {
				t.Fatalf("%d of %d are ejected", ejected, len(view.Subset(pool)))
			}
		}
	})
}

// Guards against a slow or stalled upstream that keeps getting work, and
// against an ejected one that never regains its load or regains it at once.
func TestEjectionAndReturn(t *testing.T) {
	Convey("One of ten upstreams that is ten times slower", t, func() {
		view := newTestView(10, oneZone)
		now := epoch
		serve := func(slow time.Duration) {
			now = now.Add(100 * time.Millisecond)
			for i, member := range view.Subset(pool) {
				latency := 100 * time.Millisecond
				if i == 3 {
					latency = slow
				}
				view.StartAttempt(now, member, 10)
				view.RecordFirstToken(now, pool, member.Target(), latency, 10)
				view.EndAttempt(now, pool, member.Target(), Completed, latency, 1, 10)
			}
			view.Evaluate(now)
		}
		for range 10 {
			serve(time.Second)
		}
		slow := view.Subset(pool)[3]
		So(slow.Ejected(now), ShouldBeTrue)
		So(view.Subset(pool)[2].Ejected(now), ShouldBeFalse)
		now = slow.ejection.until
		So(slow.Ejected(now), ShouldBeFalse)
		So(slow.Slowness(now), ShouldBeGreaterThanOrEqualTo, 1/minSlowStartFactor-1e-9)
		for range 60 {
			serve(100 * time.Millisecond)
		}
		So(slow.Slowness(now), ShouldBeLessThan, 1.5)
	})
	Convey("An upstream that stalls without any answer", t, func() {
		view := newTestView(10, oneZone)
		for i, member := range view.Subset(pool) {
			view.StartAttempt(epoch, member, 10)
			if i != 5 {
				for range 3 {
					view.RecordFirstToken(epoch, pool, member.Target(), 100*time.Millisecond, 10)
				}
			}
		}
		now := epoch.Add(time.Second)
		view.Evaluate(now)
		So(view.Subset(pool)[5].Ejected(now), ShouldBeTrue)
	})
}

// Guards against a late report being taken for the present load.
func TestReportIsCorrected(t *testing.T) {
	Convey("A report measured before this host sent more", t, func() {
		view := newTestView(1, oneZone)
		member := view.Subset(pool)[0]
		view.StartAttempt(epoch, member, 10)
		view.StartAttempt(epoch, member, 10)
		later := epoch.Add(2 * time.Second)
		for range 3 {
			view.StartAttempt(later, member, 10)
		}
		// Two of the seven were this host's when the report was measured.
		view.ApplyReport(later, Report{Upstream: "e00", Incarnation: 1, Running: 5, Waiting: 2, MeasuredAt: epoch.Add(time.Second)})
		So(member.Requests(later), ShouldEqual, 5+5)
		So(member.Requests(later.Add(time.Minute)), ShouldEqual, 5)
	})
}

// Guards against a late report that replaces the more recent load of an answer,
// and against a load that is applied to another process of the upstream.
func TestAnswerOutweighsReport(t *testing.T) {
	Convey("An answer carries 7 requests, an earlier report none", t, func() {
		view := newTestView(1, oneZone)
		member := view.Subset(pool)[0]
		now := epoch.Add(time.Second)
		view.ApplyAnswerLoad(now, member.Target(), 5, 2, 8)
		So(member.Requests(now), ShouldAlmostEqual, 7)
		view.ApplyReport(now, Report{Upstream: member.Target().Upstream, Incarnation: member.Target().Incarnation, MaxRunning: 8, MeasuredAt: epoch})
		So(member.Requests(now), ShouldAlmostEqual, 7)
		other := member.Target()
		other.Incarnation++
		view.ApplyAnswerLoad(now, other, 0, 0, 8)
		So(member.Requests(now), ShouldAlmostEqual, 7)
	})
}

// Guards against free slots that are reported although no load is known, and
// against each host counting all free slots as its own.
func TestFreeSlots(t *testing.T) {
	Convey("Two upstreams that four hosts share", t, func() {
		view := NewView("h", "a")
		view.SetHostCount(4)
		var entries []Entry
		for i := range 2 {
			entries = append(entries, Entry{Target: target(i, 1), Pools: []Pool{pool}})
		}
		view.ApplyList(epoch, entries)
		So(view.Capacities(epoch, nil)[0].SharingHosts, ShouldEqual, 0)
		view.ApplyAnswerLoad(epoch, target(0, 1), 6, 0, 16)
		view.ApplyAnswerLoad(epoch, target(1, 1), 16, 4, 16)
		// The first load is applied again, as it was compared only with itself
		// at first. Both come at the same time and before any request has ended.
		view.ApplyAnswerLoad(epoch, target(0, 1), 6, 0, 16)
		capacity := view.Capacities(epoch, nil)[0]
		So(capacity.SharingHosts, ShouldEqual, 4)
		So(capacity.FreeSlots, ShouldAlmostEqual, (10.0-4)/4)
	})
}

// Guards against a subset that exceeds its bound or has no member of another
// zone.
func TestSubset(t *testing.T) {
	Convey("Forty upstreams in two zones", t, func() {
		view := newTestView(40, func(i int) core.ZoneName { return core.ZoneName("z" + string(rune('a'+i%2))) })
		So(view.Subset(pool), ShouldHaveLength, MaxSubset)
		own := 0
		for _, member := range view.Subset(pool) {
			if member.Target().Zone == "za" {
				own++
			}
		}
		So(own, ShouldEqual, MaxSubset-otherZoneMembers)
	})
}

// Guards against a concurrency limit that ignores latency.
func TestLimitFollowsLatency(t *testing.T) {
	Convey("A limit that was grown by steady latency", t, func() {
		l := newLimit()
		for range 100 {
			l.sample(0.1, int(l.value))
		}
		grown := l.value
		So(grown, ShouldBeGreaterThan, initialLimit)
		for range 20 {
			l.sample(1, int(l.value))
		}
		So(l.value, ShouldBeLessThan, grown/2)
	})
}

// A list of the design size is applied once a second. All control work together
// may use 2.7% of a core.
func BenchmarkApplyList12000(b *testing.B) {
	view := NewView("h", "za")
	entries := make([]Entry, 12000)
	for i := range entries {
		entries[i] = Entry{Target: target(i, 1), Pools: []Pool{{Model: core.ModelName(fmt.Sprint(i % 31))}}}
	}
	b.ReportAllocs()
	for b.Loop() {
		view.ApplyList(epoch, entries)
	}
}

// Guards against an upstream that refuses all work, looks idle and so gets work
// that its peers could run.
func TestRefusingUpstreamIsAvoidedForAWhile(t *testing.T) {
	Convey("It is at its limit for a second after a refusal", t, func() {
		view := NewView("h", "za")
		view.ApplyList(epoch, []Entry{{Target: target(0, 1), Pools: []Pool{pool}}})
		member := view.Find(pool, "e00")
		view.StartAttempt(epoch, member, 10)
		So(member.AtLimit(epoch), ShouldBeFalse)
		view.EndAttempt(epoch, pool, target(0, 1), Refused, time.Millisecond, 0, 10)
		So(member.AtLimit(epoch.Add(refusalBackoff-1)), ShouldBeTrue)
		So(member.AtLimit(epoch.Add(refusalBackoff)), ShouldBeFalse)
	})
}
