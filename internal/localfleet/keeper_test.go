package localfleet_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	platformstandin "github.com/peridotreel/peridotreel/internal/standin/platform"
)

// Guards P2 against bills that are lost because the host that keeps their only
// copies is drained shortly after their own host was killed.
func TestKeeperDrainsAfterKill(t *testing.T) {
	Convey("A host is killed with unwritten bills and all others are replaced at once", t, func() {
		w := start(3, 1)
		w.warm()
		victim, keepers := w.Hosts[0], w.Hosts[1:]
		// No segment is written, so that the bills exist at the victim and at
		// their keeper only.
		So(w.Platform.SetFault(platformstandin.Fault{Mode: platformstandin.ModeDown,
			Operations: []platformstandin.Operation{platformstandin.OperationPutObject}}), ShouldBeNil)
		answers := all(together(12, func(number int) result { return w.ask(700+number, 10, victim.CallerAddress()) }))
		So(w.take(answers...), ShouldBeEmpty)
		w.KillHost(victim)
		w.Platform.SetMode(platformstandin.ModeNone)
		for _, keeper := range keepers {
			_, err := w.StartHost(keeper.Name+"-new", keeper.Zone)
			So(err, ShouldBeNil)
		}
		So(w.WaitReady(w.ctx), ShouldBeNil)
		for _, keeper := range keepers {
			So(w.DrainHost(w.ctx, keeper), ShouldBeNil)
		}
		w.drainAll()
		w.release(victim)
		So(w.checkBills(), ShouldBeEmpty)
	})
}
