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
		m := newSizedMachine(100)
		team := newRow("t", 1)
		for range 16 {
			_, refusal := m.Enter(epoch, newRequest(team, false, 10, epoch))
			So(refusal, ShouldBeNil)
		}
		m.SetFree(epoch, model, free, 4)
		m.Granted()
		for range 100 {
			_, refusal := m.Enter(epoch, newRequest(team, true, 500, epoch))
			So(refusal, ShouldBeNil)
		}
		return len(m.Granted())
	}
	Convey("16 short requests here and at three other hosts", t, func() {
		Convey("keep four deviations of the 64, an even part of 8", func() {
			So(grantedLong(60), ShouldEqual, 52)
		})
		Convey("leave a fifth of the slots however full the upstreams are", func() {
			So(grantedLong(0), ShouldEqual, 20)
			So(grantedLong(-50), ShouldEqual, 20)
		})
		Convey("never leave more than 80%", func() {
			So(grantedLong(1000), ShouldEqual, 80)
		})
	})
}

// Guards against headroom that follows short work without averaging: long work
// would take the slots during a brief gap in short work and hold on to them.
func TestReserveIsAveraged(t *testing.T) {
	Convey("A gap in short work opens a small part of its places", t, func() {
		var r headroom
		r.update(epoch, 10, 1, [kindCount]int{short: 25, long: 50})
		before := r.maxLong()
		r.update(epoch.Add(headroomTimeConstant/10), 35, 1, [kindCount]int{long: 50})
		So(r.maxLong()-before, ShouldBeBetween, 0, 6)
		r.update(epoch.Add(10*headroomTimeConstant+time.Second), 35, 1, [kindCount]int{long: 50})
		So(r.maxLong(), ShouldAlmostEqual, 85, 1)
	})
}
