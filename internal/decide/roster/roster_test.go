package roster

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

// Guards against removing upstreams because the store was unreachable, and
// against keeping upstreams that were really removed.
func TestRemovalDuringStoreOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	ready := gateway.Upstream{ID: "u1", Address: "a"}
	Convey("Given a listed upstream", t, func() {
		r := New()
		change, changed := r.Put(ready, core.Revision{Number: 1})
		So(changed, ShouldBeTrue)
		So(change.Kind, ShouldEqual, Listed)
		Convey("A removal while the store answers is final", func() {
			change, _ := r.Remove("u1", core.Revision{Number: 2}, now)
			So(change.Kind, ShouldEqual, Removed)
			So(r.Upstreams(), ShouldBeEmpty)
		})
		Convey("An entry that vanished during an outage is kept until the grace ends", func() {
			r.StoreLost(now)
			changes := r.RetainOnly(map[core.UpstreamID]bool{}, core.Revision{Number: 2}, now.Add(5*time.Second))
			So(changes[0].Kind, ShouldEqual, Lapsed)
			back := now.Add(6 * time.Second)
			r.StoreRegained(back)
			changes, next := r.Expire(back)
			So(changes, ShouldBeEmpty)
			So(next, ShouldEqual, back.Add(RecoveryGrace))
			So(len(r.Upstreams()), ShouldEqual, 1)
			Convey("and removed then", func() {
				changes, _ := r.Expire(next)
				So(changes[0].Kind, ShouldEqual, Expired)
				So(r.Upstreams(), ShouldBeEmpty)
			})
			Convey("unless it is listed again", func() {
				_, changed := r.Put(ready, core.Revision{Number: 3})
				So(changed, ShouldBeTrue)
				changes, _ := r.Expire(next)
				So(changes, ShouldBeEmpty)
				So(len(r.Upstreams()), ShouldEqual, 1)
			})
		})
		Convey("The removal of a leaving upstream is final even during an outage", func() {
			_, _ = r.Put(gateway.Upstream{ID: "u1", Address: "a", Leaving: true}, core.Revision{Number: 2})
			r.StoreLost(now)
			change, _ := r.Remove("u1", core.Revision{Number: 3}, now)
			So(change.Kind, ShouldEqual, Removed)
		})
		Convey("An older row version changes nothing", func() {
			_, changed := r.Put(gateway.Upstream{ID: "u1", Address: "old"}, core.Revision{Number: 0})
			So(changed, ShouldBeFalse)
		})
	})
}

// Guards against sending requests to an upstream that was removed while calls to the store
// failed now and then: such a failure removes no entry, and must not keep one either.
func TestFailedCallsDoNotKeepARemovedUpstream(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	given := func() *Roster {
		r := New()
		_, _ = r.Put(gateway.Upstream{ID: "u1", Address: "a"}, core.Revision{Number: 1})
		return r
	}
	Convey("Given a removal that is read right after a failed call", t, func() {
		r := given()
		r.StoreLost(at(0))
		change, _ := r.Remove("u1", core.Revision{Number: 2}, at(0.3))
		So(change.Kind, ShouldEqual, Removed)
		So(r.Upstreams(), ShouldBeEmpty)
	})
	Convey("Given a removal a second after a failed call", t, func() {
		r := given()
		r.StoreLost(at(0))
		r.StoreRegained(at(0.3))
		change, _ := r.Remove("u1", core.Revision{Number: 2}, at(1.3))
		So(change.Kind, ShouldEqual, Removed)
	})
	Convey("Given an entry that lapsed in an outage, and failed calls after it", t, func() {
		r := given()
		r.StoreLost(at(0))
		_, _ = r.Remove("u1", core.Revision{Number: 2}, at(5))
		r.StoreRegained(at(5))
		for second := 6.0; second < 10; second++ {
			r.StoreLost(at(second))
			r.StoreRegained(at(second + 0.3))
			_, _ = r.Expire(at(second + 0.3))
		}
		So(r.Upstreams(), ShouldBeEmpty)
	})
}

// Guards against dropping upstreams that are well after several outages in a row, each too
// short to let an entry expire: heartbeats may miss the moments between them.
func TestShortOutagesInARowCountAsOne(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	Convey("Given two outages of 2 s with one answer between them", t, func() {
		r := New()
		_, _ = r.Put(gateway.Upstream{ID: "u1", Address: "a"}, core.Revision{Number: 1})
		r.StoreLost(at(0))
		r.StoreRegained(at(2))
		r.StoreLost(at(2.05))
		r.StoreRegained(at(4))
		change, _ := r.Remove("u1", core.Revision{Number: 2}, at(4.1))
		So(change.Kind, ShouldEqual, Lapsed)
		Convey("The entry ends with the grace after them", func() {
			_, _ = r.Expire(at(6.1))
			So(r.Upstreams(), ShouldBeEmpty)
		})
	})
	Convey("Given the same with some seconds between them, it is removed", t, func() {
		r := New()
		_, _ = r.Put(gateway.Upstream{ID: "u1", Address: "a"}, core.Revision{Number: 1})
		r.StoreLost(at(0))
		r.StoreRegained(at(2))
		r.StoreLost(at(5))
		r.StoreRegained(at(7))
		change, _ := r.Remove("u1", core.Revision{Number: 2}, at(7.1))
		So(change.Kind, ShouldEqual, Removed)
	})
}

// Guards against sending requests to upstreams that have left, because the store
// has come back from a copy that lists them as ready, against dropping upstreams
// that the copy lacks, and against rows that are ignored because their version is
// lower than before the return.
func TestTheListAfterTheStoreHasComeBackFromACopy(t *testing.T) {
	now := time.Unix(1000, 0)
	upstream := gateway.Upstream{ID: "u1", Address: "a", StartMillis: 7}
	leaving := upstream
	leaving.Leaving = true
	before := func(number int64) core.Revision { return core.Revision{Era: 1, Number: number} }
	after := func(number int64) core.Revision { return core.Revision{Era: 2, Number: number} }
	Convey("Given an upstream that was listed at version 500", t, func() {
		r := New()
		_, _ = r.Put(upstream, before(500))
		Convey("Its row of a lower version in the next era counts", func() {
			change, changed := r.Put(leaving, after(300))
			So(changed, ShouldBeTrue)
			So(change.Kind, ShouldEqual, Leaving)
		})
		Convey("It is used for the grace if the copy lacks it", func() {
			r.StoreReturned(now)
			changes := r.RetainOnly(map[core.UpstreamID]bool{}, after(250), now)
			So(changes[0].Kind, ShouldEqual, Lapsed)
		})
		Convey("It stays leaving though the copy lists it as ready", func() {
			_, _ = r.Put(leaving, before(510))
			_, changed := r.Put(upstream, after(250))
			So(changed, ShouldBeFalse)
			known, _ := r.Upstream("u1")
			So(known.Leaving, ShouldBeTrue)
			Convey("but not once it has started again", func() {
				restarted := upstream
				restarted.StartMillis = 9
				_, changed := r.Put(restarted, after(260))
				So(changed, ShouldBeTrue)
			})
		})
		Convey("The copy does not take back that it has started again", func() {
			restarted := leaving
			restarted.StartMillis = 9
			_, _ = r.Put(restarted, before(510))
			for range 2 { // a read of the list and its repetition
				_, changed := r.Put(upstream, after(250))
				So(changed, ShouldBeFalse)
				known, _ := r.Upstream("u1")
				So(known, ShouldResemble, restarted)
			}
			Convey("until it writes its row itself, with a clock that was set back", func() {
				_, changed := r.Put(upstream, after(270))
				So(changed, ShouldBeTrue)
			})
			Convey("nor once it was removed", func() {
				_, _ = r.Remove("u1", after(255), now)
				_, changed := r.Put(upstream, after(250))
				So(changed, ShouldBeFalse)
			})
			Convey("nor once it was removed before the return", func() {
				r = New()
				_, _ = r.Put(restarted, before(510))
				_, _ = r.Remove("u1", before(520), now)
				r.StoreReturned(now)
				_, changed := r.Put(upstream, after(250))
				So(changed, ShouldBeFalse)
			})
		})
		Convey("Once it was removed, the copy does not list it again", func() {
			_, _ = r.Remove("u1", before(520), now)
			r.StoreReturned(now)
			_, changed := r.Put(upstream, after(250))
			So(changed, ShouldBeFalse)
			_, changed = r.Put(upstream, after(250))
			So(changed, ShouldBeFalse)
			So(r.Upstreams(), ShouldBeEmpty)
			Convey("until it writes its row itself", func() {
				_, changed := r.Put(upstream, after(270))
				So(changed, ShouldBeTrue)
			})
		})
		Convey("An answer of the era before changes nothing", func() {
			_, _ = r.Put(leaving, after(300))
			_, changed := r.Put(upstream, before(530))
			So(changed, ShouldBeFalse)
			_, changed = r.Remove("u1", before(540), now)
			So(changed, ShouldBeFalse)
		})
	})
}
