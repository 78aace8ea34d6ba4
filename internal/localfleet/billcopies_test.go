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
		f := start(3, 1)
		f.warmUp()
		victim, others := f.Hosts[0], f.Hosts[1:]
		// No segment can be written, so that the bills exist only on the victim
		// and on the host with their copies.
		So(f.Platform.SetFault(platformstandin.Fault{Mode: platformstandin.ModeDown,
			Operations: []platformstandin.Operation{platformstandin.OperationPutObject}}), ShouldBeNil)
		answers := collect(runConcurrently(12, func(number int) result { return f.complete(700+number, 10, victim.CallerAddress()) }))
		So(f.record(answers...), ShouldBeEmpty)
		// On a slow machine, answers go out without copies after a bounded wait, and
		// their copies follow. TestAnswersWaitForCopiesAtSlowPeers of tasks/bills checks
		// within that bound that a host may be killed as soon as an answer is out.
		f.waitUntil("a peer holds a copy of each bill", func() bool {
			return f.metric(victim, "peridotreel_bills_pending_uncopied") == 0
		})
		f.KillHost(victim)
		f.Platform.SetMode(platformstandin.ModeNone)
		for _, other := range others {
			_, err := f.StartHost(other.Name+"-new", other.Zone)
			So(err, ShouldBeNil)
		}
		So(f.WaitReady(f.ctx), ShouldBeNil)
		for _, other := range others {
			So(f.DrainHost(f.ctx, other), ShouldBeNil)
		}
		f.drainAll()
		f.releaseShares(victim)
		So(f.checkBills(), ShouldBeEmpty)
	})
}
