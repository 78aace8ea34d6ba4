package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against long work that fills the places that short work needs, and
// against long work that gets none while short work takes all.
func TestLongWorkLeavesRoom(t *testing.T) {
	grantedLong := func(free float64) int {
		m := sized(100)
		team := row("t", 1)
		for range 16 {
			_, refusal := m.Enter(epoch, ask(team, false, 10, epoch))
			So(refusal, ShouldBeNil)
		}
		m.SetFree(epoch, model, free, 4)
		m.Granted()
		for range 100 {
			_, refusal := m.Enter(epoch, ask(team, true, 500, epoch))
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

// Guards against a reserve that follows each moment's short work, so that long
// work takes the places at its low tide and keeps them.
func TestReserveIsAveraged(t *testing.T) {
	Convey("A gap in short work opens a small part of its places", t, func() {
		var r reserve
		r.note(epoch, 10, 1, [kinds]int{short: 25, long: 50})
		before := r.limit()
		r.note(epoch.Add(reserveTime/10), 35, 1, [kinds]int{long: 50})
		So(r.limit()-before, ShouldBeBetween, 0, 6)
		r.note(epoch.Add(10*reserveTime+time.Second), 35, 1, [kinds]int{long: 50})
		So(r.limit(), ShouldAlmostEqual, 85, 1)
	})
}
