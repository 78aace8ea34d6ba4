package director

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
)

// cutOff makes a director of which all connections are refused, and cuts it off.
func cutOff() *crashFixture {
	f := newCrashFixture()
	f.refusing = func(string) bool { return true }
	for i := range 4 {
		f.observe(Observation{Upstream: core.UpstreamID(fmt.Sprint("u-", i)), Signal: placement.Unreachable})
	}
	return f
}

// observe passes an observation and waits until it was handled.
func (f *crashFixture) observe(observation Observation) {
	f.director.Observe(observation)
	_, err := f.director.Current(context.Background())
	So(err, ShouldBeNil)
}

func (f *crashFixture) admit() TunnelVerdict {
	admission, err := f.director.AdmitTunnel(context.Background(), TunnelRequest{Upstream: "u-3"})
	So(err, ShouldBeNil)
	return admission.Verdict
}

// Guards against tunnels that lead through two hosts, and against a host without requests
// that helps nobody for ever after a cut.
func TestAHostHelpsOthersUnlessItIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a host that is cut off", t, func() {
			f := cutOff()
			// The probes that follow the failures must have ended: one that ends later shows
			// the cut again.
			synctest.Wait()
			So(f.admit(), ShouldEqual, TunnelCutOff)
			Convey("It helps again once it has reached an upstream", func() {
				f.observe(Observation{Upstream: "u-3", Signal: placement.Connected})
				So(f.admit(), ShouldEqual, TunnelAllowed)
			})
			Convey("It helps again once what it knows is old", func() {
				f.now.Add(int64(time.Minute))
				So(f.admit(), ShouldEqual, TunnelAllowed)
			})
		})
	})
}

// Guards against the end of connections that still work, and against silent ones that go on
// to be used.
func TestIdleConnectionsOfACutOffHostAreDroppedUnlessTheyWork(t *testing.T) {
	Convey("Given a host that loses its links", t, func() {
		f := newCrashFixture()
		f.refusing = func(string) bool { return true }
		dropped := 0
		f.director.config.Forget = func([]core.UpstreamID) { dropped++ }
		lose := func() {
			for i := range 4 {
				f.observe(Observation{Upstream: core.UpstreamID(fmt.Sprint("u-", i)), Signal: placement.Unreachable})
			}
		}
		Convey("Idle connections are dropped", func() {
			lose()
			So(dropped, ShouldEqual, 1)
		})
		Convey("They are kept while upstreams answer over those that are open, and then dropped", func() {
			f.observe(Observation{Upstream: "u-3", Signal: placement.Started})
			lose()
			So(dropped, ShouldEqual, 0)
			f.now.Add(int64(time.Second))
			f.observe(Observation{Upstream: "u-3", Signal: placement.Stalled})
			So(dropped, ShouldEqual, 1)
		})
	})
}

// Guards against hosts that all send their callers away because one service is down.
func TestCallersMoveAwayOnlyFromAHostWithoutAnyService(t *testing.T) {
	Convey("Given a host that nobody helps with a service", t, func() {
		f := cutOff()
		helpless := func() {
			for range 2 {
				f.observe(Observation{Upstream: "u-0", Tunnelled: true, Helpless: true, Signal: placement.Abandoned})
				f.now.Add(int64(600 * time.Millisecond))
			}
		}
		Convey("Callers move away if it reaches no other", func() {
			helpless()
			So(f.director.Away(), ShouldBeTrue)
			f.observe(Observation{Upstream: "u-3", Signal: placement.Connected})
			So(f.director.Away(), ShouldBeFalse)
		})
		Convey("They stay if it is not cut off from another", func() {
			f.list("other-1")
			helpless()
			So(f.director.Away(), ShouldBeFalse)
		})
	})
}

// Guards against a cut that is never noticed because callers leave before an attempt to
// connect has failed.
func TestAnAttemptThatEndsBeforeItIsConnectedLeadsToAProbe(t *testing.T) {
	Convey("Given a host whose attempts to connect are abandoned", t, func() {
		f := newCrashFixture()
		probed := make(chan string, 16)
		f.director.config.Dial = func(_ context.Context, address string) error {
			probed <- address
			return context.DeadlineExceeded
		}
		f.observe(Observation{Upstream: "u-1", Signal: placement.Abandoned, Unconnected: true})
		So(<-probed, ShouldEqual, "u-1")
	})
}

// Guards against real crashes that are not seen because other upstreams do not answer.
func TestACrashIsSeenBesideUpstreamsThatDoNotAnswer(t *testing.T) {
	Convey("Given four upstreams of which one has crashed and two do not answer", t, func() {
		f := newCrashFixture()
		f.director.config.Dial = func(ctx context.Context, address string) error {
			switch address {
			case "u-0":
				return syscall.ECONNREFUSED
			case "u-3":
				return nil
			}
			<-ctx.Done()
			return ctx.Err()
		}
		f.director.Observe(Observation{Upstream: "u-0", Signal: placement.ClosedEarly})
		So(<-f.finished, ShouldStartWith, "upstream crashed")
	})
}

// Guards against tunnels, which add to the traffic, on a host whose own link is full:
// connections to upstreams then time out though the upstreams can be reached.
func TestAHostWhoseLinkIsFullIsNotCutOff(t *testing.T) {
	Convey("Given a host whose link is full", t, func() {
		f := newCrashFixture()
		f.refusing = func(string) bool { return true }
		var full atomic.Bool
		full.Store(true)
		f.director.config.LinkFull = full.Load
		lose := func() {
			for i := range 4 {
				f.observe(Observation{Upstream: core.UpstreamID(fmt.Sprint("u-", i)), Signal: placement.Unreachable})
			}
		}
		lose()
		So(f.admit(), ShouldEqual, TunnelAllowed)
		Convey("Once it has room, failures show a cut again", func() {
			full.Store(false)
			lose()
			So(f.admit(), ShouldEqual, TunnelCutOff)
		})
	})
}
