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
		change, changed := r.Put(ready, 1)
		So(changed, ShouldBeTrue)
		So(change.Kind, ShouldEqual, Listed)
		Convey("A removal while the store answers is final", func() {
			change, _ := r.Remove("u1", 2, now)
			So(change.Kind, ShouldEqual, Removed)
			So(r.Upstreams(), ShouldBeEmpty)
		})
		Convey("An entry that vanished during an outage is kept until the grace ends", func() {
			r.StoreLost(now)
			changes := r.RetainOnly(map[core.UpstreamID]bool{}, 2, now.Add(5*time.Second))
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
				_, changed := r.Put(ready, 3)
				So(changed, ShouldBeTrue)
				changes, _ := r.Expire(next)
				So(changes, ShouldBeEmpty)
				So(len(r.Upstreams()), ShouldEqual, 1)
			})
		})
		Convey("The removal of a leaving upstream is final even during an outage", func() {
			_, _ = r.Put(gateway.Upstream{ID: "u1", Address: "a", Leaving: true}, 2)
			r.StoreLost(now)
			change, _ := r.Remove("u1", 3, now)
			So(change.Kind, ShouldEqual, Removed)
		})
		Convey("An older row version changes nothing", func() {
			_, changed := r.Put(gateway.Upstream{ID: "u1", Address: "old"}, 0)
			So(changed, ShouldBeFalse)
		})
	})
}
