package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
)

// crashesOf records that upstreams crash one after the other while a request is in flight.
func crashesOf(r *Registry, traits []Trait, count int, from time.Time, spacing time.Duration) {
	for i := range count {
		now := from.Add(time.Duration(i) * spacing)
		crash := Crash{Upstream: core.UpstreamID(fmt.Sprint("u", i)), At: now, SameZone: true}
		r.RecordCrash(crash, []Lost{{Traits: traits, Repeat: r.Repeats(traits)}}, now)
	}
}

// Guards against holding a sound request that a team sends all the time, because it is in
// flight at each crash when upstreams are lost one after the other by another cause.
func TestARequestThatWasAnsweredIsNotHeldForAFewCrashes(t *testing.T) {
	polled := plain("request-polled")
	Convey("Given a request that was answered shortly before", t, func() {
		r := New("h")
		r.RecordAnswer(polled, at(0))
		Convey("it is not held as a service's three upstreams crash one after the other", func() {
			crashesOf(r, polled, crashesToHold, at(1), 200*time.Millisecond)
			So(r.Holds(), ShouldBeEmpty)
			Convey("and not on the hosts that hear of the crashes", func() {
				other := New("other")
				other.Merge(r.Report(nil, at(3)), at(3))
				So(other.evidence, ShouldNotBeEmpty)
				So(other.Holds(), ShouldBeEmpty)
			})
		})
		Convey("it is not held as the only upstream crashes again and again", func() {
			for i := range 2 * crossZoneCrashesToHold {
				record(r, polled, Crash{Upstream: "only", At: at(float64(5 * i)), SameZone: true}, at(float64(5*i)))
			}
			So(r.Holds(), ShouldBeEmpty)
		})
		Convey("it is held after more crashes", func() {
			crashesOf(r, polled, crossZoneCrashesToHold, at(1), time.Second)
			So(r.Holds().HeldTraits(), ShouldResemble, []string{"request-polled"})
		})
	})
	Convey("An upstream's failures count as answers before, but clear no crashes", t, func() {
		r := New("h")
		r.RecordFailure(polled, at(0))
		crashesOf(r, polled, crossZoneCrashesToHold-1, at(1), time.Second)
		So(r.Holds(), ShouldBeEmpty)
		r.RecordFailure(polled, at(5.5))
		So(len(r.evidence), ShouldEqual, crossZoneCrashesToHold-1)
	})
	Convey("What one host sees behind a cut holds nothing that the others answer", t, func() {
		const size = 9
		f := newFleet(size, 1)
		crashesOf(f.hosts[0], polled, crossZoneCrashesToHold, f.now, 20*time.Millisecond)
		So(f.hosts[0].Holds().HeldTraits(), ShouldResemble, []string{"request-polled"})
		for _, host := range f.hosts[1:] {
			host.RecordAnswer(polled, f.now.Add(200*time.Millisecond))
		}
		for range 5 {
			f.round()
		}
		So(f.holding("request-polled"), ShouldEqual, 0)
	})
}

// Guards against one host whose reports are wrong: it held many requests everywhere, and
// left no room for those that crash upstreams.
func TestOneHostsWordHoldsFewRequests(t *testing.T) {
	Convey("Given a host that reports crashes by many requests", t, func() {
		r := New("h")
		crashesOf(r, plain("request-deadly"), crashesToHold, at(0), time.Second)
		for i := range 2 * maxHeld {
			var report Report
			for upstream := range 2 * crossZoneCrashesToHold {
				report.Crashes = append(report.Crashes, CrashReport{
					Part: fmt.Sprint("request-", i), Own: true, Upstream: core.UpstreamID(fmt.Sprint("w", i, "-", upstream)),
					Age: time.Duration(upstream) * time.Second, Origin: "wrong", SameZone: true,
				})
			}
			r.Merge(report, at(60))
		}
		So(len(r.Holds()), ShouldEqual, maxHeldByWord+1)
		So(r.Holds(), ShouldContainKey, "request-deadly")
	})
}

// Guards against what a host remembers of answers growing with the requests.
func TestRecentAnswersAreBounded(t *testing.T) {
	Convey("Given many requests that are answered once", t, func() {
		r := New("h")
		for i := range 3 * maxRecent {
			r.RecordAnswer(plain(fmt.Sprint("request-", i)), at(0))
		}
		So(len(r.recent.current)+len(r.recent.previous), ShouldBeLessThanOrEqualTo, maxRecent)
		So(r.answers, ShouldBeEmpty)
		_, found := r.recent.find(fmt.Sprint("request-", 3*maxRecent-1))
		So(found, ShouldBeTrue)
	})
}
