package origin

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Guards against streams that begin at a software version which the store does not have
// yet: a host that has not seen it, cut off or standing still, would conclude that only
// the earlier version has served and resume such a stream there.
func TestStreamsBeginOnlyAtVersionsOfTheHistory(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("Given a new version in the list", t, func() {
		c := NewConfirmed()
		c.Listed(map[core.ServiceName][]string{"svc": {"v1"}}, now)
		c.Confirm("svc", []string{"v1"})
		c.Listed(map[core.ServiceName][]string{"svc": {"v1", "v2"}}, now.Add(time.Minute))
		So(c.MayBegin("svc", "v1", now.Add(time.Minute)), ShouldBeTrue)
		So(c.MayBegin("svc", "v2", now.Add(time.Minute)), ShouldBeFalse)
		Convey("it is used once the history has it", func() {
			c.Confirm("svc", []string{"v1", "v2"})
			So(c.MayBegin("svc", "v2", now.Add(time.Minute)), ShouldBeTrue)
			Convey("and not after a return of the store to a copy without it", func() {
				c.Confirm("svc", []string{"v1"})
				So(c.MayBegin("svc", "v2", now.Add(time.Minute+time.Second)), ShouldBeFalse)
			})
		})
		Convey("it is used after a time without the store", func() {
			So(c.MayBegin("svc", "v2", now.Add(time.Minute+confirmTimeout+time.Millisecond)), ShouldBeTrue)
		})
		Convey("a process that has read no history goes by the list sooner", func() {
			c = NewConfirmed()
			c.Listed(map[core.ServiceName][]string{"svc": {"v1"}}, now)
			So(c.MayBegin("svc", "v1", now.Add(startTimeout)), ShouldBeFalse)
			So(c.MayBegin("svc", "v1", now.Add(startTimeout+time.Millisecond)), ShouldBeTrue)
		})
		So(c.MayBegin("other", "v1", now.Add(time.Hour)), ShouldBeFalse)
	})
}
