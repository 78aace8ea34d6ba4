package bills

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/filter/settle"
	"github.com/peridotreel/peridotreel/internal/rows"
	standin "github.com/peridotreel/peridotreel/internal/standin/platform"
	"github.com/peridotreel/peridotreel/internal/task"
)

var _ settle.Bills = (*Task)(nil)

// Guards against bills that a graceful stop leaves behind.
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
		found, err := service.Get(ctx, rows.SegmentKey(self))
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
