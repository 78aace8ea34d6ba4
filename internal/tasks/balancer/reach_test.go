package balancer

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
	"github.com/peridotreel/peridotreel/internal/filter/route"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/task"
)

// cutLinks are the links of the host under test to all upstreams.
type cutLinks struct {
	fakeUpstreams
	cut                  atomic.Bool
	polls, probes, lost  atomic.Int64
	running, mostRunning atomic.Int64
}

func (c *cutLinks) Load(ctx context.Context, target core.Target) (upstreams.Report, error) {
	c.polls.Add(1)
	if c.cut.Load() {
		<-ctx.Done()
		return upstreams.Report{}, ctx.Err()
	}
	return c.fakeUpstreams.Load(ctx, target)
}

// connect hangs while the links are cut.
func (c *cutLinks) connect(ctx context.Context, _ string) error {
	c.probes.Add(1)
	c.mostRunning.Store(max(c.mostRunning.Load(), c.running.Add(1)))
	var err error
	if c.cut.Load() {
		<-ctx.Done()
		err = ctx.Err()
	}
	c.running.Add(-1)
	return err
}

// Guards against a host that loses its links and keeps all upstreams ejected, polls them
// in vain, or does not notice that the links are back.
func TestAHostThatReachesNoUpstreamIsCutOffUntilOneConnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		Convey("The links to all four upstreams of a pool hang for 20 s", t, func() {
			links := &cutLinks{}
			for i, id := range []string{"e1", "e2", "e3", "e4"} {
				member := engine(id, 1)
				member.Address = net.JoinHostPort("127.0.0.1", string(rune('1'+i)))
				links.members = append(links.members, member)
			}
			links.members = append(links.members, platform.Member{Role: platform.RoleHost, ID: "p", Zone: "a", Address: "127.0.0.1:9"})
			balancer := New(Config{Directory: links, LoadClient: links, Self: "h", Zone: "a", Seed: 1,
				LinksLost: func() { links.lost.Add(1) },
				Connect:   links.connect})
			var group task.Group
			group.Start(balancer)
			defer group.Stop()
			cutOff := func(id core.UpstreamID) bool { return !balancer.reaches(id) }
			synctest.Wait()
			target, err := balancer.Pick(ctx, query(1))
			So(err, ShouldBeNil)
			finish(balancer, target)
			time.Sleep(5 * time.Second)
			So(links.probes.Load(), ShouldEqual, 0)

			// The polls alone show the cut.
			links.cut.Store(true)
			time.Sleep(5 * time.Second)
			pool, found := balancer.CutOff("e1")
			So(found, ShouldBeTrue)
			So(string(pool), ShouldEqual, "model/m")
			So(cutOff("e4"), ShouldBeTrue)
			So(links.lost.Load(), ShouldEqual, 1)
			admission, err := balancer.AdmitTunnel(ctx, "e1", 1)
			So(err, ShouldBeNil)
			So(admission, ShouldResemble, TunnelAdmission{Verdict: TunnelCutOff})

			polls, probes := links.polls.Load(), links.probes.Load()
			for range 5 {
				target, err := balancer.Pick(ctx, query(1))
				So(err, ShouldBeNil)
				balancer.Observe(route.Observation{Kind: route.Refused, Target: target, Model: "m", Elapsed: time.Millisecond, Estimate: 100})
				time.Sleep(3 * time.Second)
			}
			So(links.polls.Load(), ShouldEqual, polls)
			So(links.probes.Load()-probes, ShouldBeBetweenOrEqual, 10, 31) // one each 500 ms at most
			So(links.mostRunning.Load(), ShouldBeLessThanOrEqualTo, 3)
			So(cutOff("e1"), ShouldBeTrue)

			links.cut.Store(false)
			time.Sleep(time.Second)
			So(cutOff("e1"), ShouldBeFalse)
			So(cutOff("e4"), ShouldBeFalse)
			status, err := balancer.Status(ctx)
			So(err, ShouldBeNil)
			for _, upstream := range status {
				So(upstream.Ejected, ShouldBeFalse)
			}
			time.Sleep(5 * time.Second)
			So(links.polls.Load(), ShouldBeGreaterThan, polls)
		})
	})
}

// Guards against an open proxy, and against tunnels to upstreams that leave.
func TestTunnelsLeadToListedUpstreamsOnly(t *testing.T) {
	fleet := &fakeUpstreams{members: []platform.Member{engine("e1", 7), engine("e2", 7)}}
	fleet.members[1].Leaving = true
	withTask(t, fleet, func(balancer *Task) {
		admit := func(id core.UpstreamID, incarnation core.Incarnation) TunnelAdmission {
			admission, err := balancer.AdmitTunnel(context.Background(), id, incarnation)
			So(err, ShouldBeNil)
			return admission
		}
		So(admit("e1", 7), ShouldResemble, TunnelAdmission{Verdict: TunnelAllowed, Address: "127.0.0.1:1"})
		So(admit("e1", 6), ShouldResemble, TunnelAdmission{Verdict: TunnelUnknown})
		So(admit("e3", 7), ShouldResemble, TunnelAdmission{Verdict: TunnelUnknown})
		So(admit("e2", 7), ShouldResemble, TunnelAdmission{Verdict: TunnelNotNow})
	})
}

// Guards against a lack of file descriptors, or a caller that leaves, that counts as a cut,
// and against a cut that does not end with the first connection.
func TestOnlyUnreachableUpstreamsShowACut(t *testing.T) {
	fleet := &fakeUpstreams{members: []platform.Member{engine("e1", 1)}}
	withTask(t, fleet, func(balancer *Task) {
		balancer.Dialed("127.0.0.1:1", context.Canceled)
		balancer.Dialed("127.0.0.1:1", &net.OpError{Op: "dial", Err: syscall.EMFILE})
		balancer.Dialed("127.0.0.1:2", syscall.ECONNREFUSED)
		So(balancer.reaches("e1"), ShouldBeTrue)
		balancer.Dialed("127.0.0.1:1", &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED})
		So(balancer.reaches("e1"), ShouldBeFalse)
		balancer.Dialed("127.0.0.1:1", nil)
		synctest.Wait()
		So(balancer.reaches("e1"), ShouldBeTrue)
	})
}
