package localfleet_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	platformstandin "github.com/peridotreel/peridotreel/internal/standin/platform"
)

// Guards P2 against bills that are lost because the host with their only copies
// is drained shortly after the host that issued them was killed.
func TestBillCopiesSurviveDrainAfterKill(t *testing.T) {
	Convey("A host is killed with unwritten bills and all others are then replaced", t, func() {
		w := start(3, 1)
		w.warmUp()
		victim, others := w.Hosts[0], w.Hosts[1:]
		// No segment can be written, so that the bills exist only on the victim
		// and on the host with their copies.
		So(w.Platform.SetFault(platformstandin.Fault{Mode: platformstandin.ModeDown,
			Operations: []platformstandin.Operation{platformstandin.OperationPutObject}}), ShouldBeNil)
		answers := collect(runConcurrently(12, func(number int) result { return w.complete(700+number, 10, victim.CallerAddress()) }))
		So(w.record(answers...), ShouldBeEmpty)
		w.KillHost(victim)
		w.Platform.SetMode(platformstandin.ModeNone)
		for _, other := range others {
			_, err := w.StartHost(other.Name+"-new", other.Zone)
			So(err, ShouldBeNil)
		}
		So(w.WaitReady(w.ctx), ShouldBeNil)
		for _, other := range others {
			So(w.DrainHost(w.ctx, other), ShouldBeNil)
		}
		w.drainAll()
		w.releaseShares(victim)
		So(w.checkBills(), ShouldBeEmpty)
	})
}
