package bills

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/billing"
	"github.com/peridotreel/peridotreel/internal/filter/settle"
	"github.com/peridotreel/peridotreel/internal/rows"
	standin "github.com/peridotreel/peridotreel/internal/standin/platform"
	"github.com/peridotreel/peridotreel/internal/task"
)

var _ settle.Bills = (*Task)(nil)

// Guards against a graceful stop that leaves bills unwritten.
func TestDrainWritesAllBills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group task.Group
		service := standin.NewService()
		group.Start(service)
		self := core.HostRef{Host: "a", Incarnation: 1}
		bills := New(Config{Self: self, Zone: "z1", Table: service, Objects: service.Objects()})
		group.Start(bills)
		defer group.Stop()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		for i := range 250 {
			bills.Record(ctx, core.Bill{Request: core.RequestID{byte(i), 1}, Keyed: i%2 == 0, Cost: 3})
		}
		drained := bills.Drain(ctx)
		found, err := service.Get(ctx, rows.HeadKey(self))
		Convey("All bills are in the table", t, func() {
			So(drained, ShouldBeNil)
			So(err, ShouldBeNil)
			So(found, ShouldHaveLength, 1)
			head, err := rows.DecodeHead(found[0].Value)
			So(err, ShouldBeNil)
			So(head.Count, ShouldEqual, 250)
			So(head.Tokens, ShouldEqual, 750)
		})
	})
}

// Guards against the loss of a dead host's bills when the only peer with their
// copies stops before it detects the death.
func TestDrainWritesCopiesOfASilentPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group task.Group
		service := standin.NewService()
		group.Start(service)
		owner := core.HostRef{Host: "dead", Incarnation: 1}
		var adopted []core.HostRef
		copyHolder := New(Config{
			Self: core.HostRef{Host: "keeper", Incarnation: 1}, Zone: "z1", Table: service, Objects: service.Objects(),
			SettleShares: func(_ context.Context, owner core.HostRef) error {
				adopted = append(adopted, owner)
				return nil
			},
		})
		group.Start(copyHolder)
		defer group.Stop()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		receiver := &Receiver{copyHolder}
		copies := []billing.Copy{{Sequence: 1, Bill: core.Bill{Request: core.RequestID{1}, Cost: 3}}}
		var reply ReplicateReply
		replicated := receiver.Replicate(ReplicateArgs{Owner: owner, Copies: copies}, &reply)
		drained := copyHolder.Drain(ctx)
		found, err := service.Get(ctx, rows.HeadKey(owner))
		Convey("The copied bill is in the table and the owner's shares are settled", t, func() {
			So(replicated, ShouldBeNil)
			So(reply.Held, ShouldBeTrue)
			So(drained, ShouldBeNil)
			So(err, ShouldBeNil)
			So(found, ShouldHaveLength, 1)
			So(adopted, ShouldResemble, []core.HostRef{owner})
		})
	})
}
