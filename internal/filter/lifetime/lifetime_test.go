package lifetime

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
)

type stopsAt time.Time

func (s stopsAt) StopsAt() time.Time { return time.Time(s) }

// Guards against a stopping host that takes work which it may cut off at its end.
func TestWorkThatMayOutlastTheHostIsRefused(t *testing.T) {
	Convey("Given a host that stops", t, func() {
		end := time.Unix(1000, 0)
		filter := New(stopsAt(end))
		So(filter.Apply(&core.Work{Deadline: end}), ShouldBeNil)
		refused := fault.From(filter.Apply(&core.Work{Deadline: end.Add(1)}))
		So(refused.Code, ShouldEqual, fault.HostDraining)
		So(refused.Run, ShouldEqual, fault.NotRun)
		So(refused.RetryAfter, ShouldBeGreaterThan, 0)
	})
	Convey("A host that does not stop takes all work", t, func() {
		So(New(stopsAt{}).Apply(&core.Work{Deadline: time.Unix(1<<40, 0)}), ShouldBeNil)
	})
}
