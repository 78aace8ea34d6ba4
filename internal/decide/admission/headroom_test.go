package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against long work that takes the slots that short work needs, and
// against long work that gets none while short work takes all slots.
func TestLongWorkLeavesRoom(t *testing.T) {
	grantedLong := func(free float64) int {
		m := newSizedController(100)
		team := newRow("t", 1)
		for range 16 {
			_, refusal := m.Enter(epoch, newRequest(team, false, 10, epoch))
			So(refusal, ShouldBeNil)
		}
		m.SetFreeSlots(epoch, model, free, 4)
		m.Granted()
		for range 100 {
			_, refusal := m.Enter(epoch, newRequest(team, true, 500, epoch))
			So(refusal, ShouldBeNil)
		}
		return len(m.Granted())
	}
	Convey("With 16 short requests on this host and on each of three others", t, func() {
		Convey("long work leaves 8 slots free, this host's quarter of four standard deviations of the 64", func() {
			So(grantedLong(60), ShouldEqual, 52)
		})
		Convey("long work may take a fifth of the slots however full the upstreams are", func() {
			So(grantedLong(0), ShouldEqual, 20)
			So(grantedLong(-50), ShouldEqual, 20)
		})
		Convey("long work never takes more than 80% of the slots", func() {
			So(grantedLong(1000), ShouldEqual, 80)
		})
	})
}

// Guards against headroom that follows short work without averaging: long work
// would take the slots during a brief gap in short work and hold on to them.
func TestHeadroomIsAveraged(t *testing.T) {
	Convey("A brief gap in short work frees only a few of its slots for long work", t, func() {
		var r headroom
		r.update(epoch, 10, 1, [kindCount]int{short: 25, long: 50})
		before := r.maxLong()
		r.update(epoch.Add(headroomTimeConstant/10), 35, 1, [kindCount]int{long: 50})
		So(r.maxLong()-before, ShouldBeBetween, 0, 6)
		r.update(epoch.Add(10*headroomTimeConstant+time.Second), 35, 1, [kindCount]int{long: 50})
		So(r.maxLong(), ShouldAlmostEqual, 85, 1)
	})
}
