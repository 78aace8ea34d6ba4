package director

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/decide/quarantine"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

// Guards against a process that has just started and sends a request that crashes
// upstreams, as it serves before it has read from the store which ones do.
func TestAHostServesOnceItKnowsTheSavedCrashes(t *testing.T) {
	Convey("Given a host that has just started", t, func() {
		now, served := time.Unix(1000, 0), 0
		director := New(Config{
			Log: zap.NewNop(), Now: func() time.Time { return now },
			Changed: func(*gateway.Config, time.Time) {}, Serving: func() { served++ },
		})
		serves := func() bool { return director.configState(now).Config != nil }
		readCrashes := func() {
			reply := make(chan []quarantine.CrashReport, 1)
			director.handle(t.Context(), savedCrashes{reply: reply})
		}
		configure := func(version int64) {
			director.handle(t.Context(), offeredConfig{version: version, config: &gateway.Config{Version: version}})
		}
		Convey("It does not serve with a configuration alone, but with both", func() {
			configure(1)
			So(serves(), ShouldBeFalse)
			So(served, ShouldEqual, 0)
			readCrashes()
			So(serves(), ShouldBeTrue)
			configure(2)
			readCrashes()
			So(served, ShouldEqual, 1)
		})
		Convey("It does not serve with the crashes alone", func() {
			readCrashes()
			So(serves(), ShouldBeFalse)
			configure(1)
			So(serves(), ShouldBeTrue)
			So(served, ShouldEqual, 1)
		})
		Convey("It waits for the crashes for a limited time", func() {
			configure(1)
			now = now.Add(savedCrashesWait - time.Millisecond)
			So(serves(), ShouldBeFalse)
			now = now.Add(time.Millisecond)
			So(serves(), ShouldBeTrue)
			director.announceServing(now)
			So(served, ShouldEqual, 1)
		})
	})
}
