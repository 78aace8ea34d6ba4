package selfload

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/linkmeter"
)

// start runs a monitor of a host in a zone of some hosts, on a link of 10 Mbit/s.
func start(hosts int) (*Monitor, *linkmeter.Meter, context.CancelFunc) {
	link := &linkmeter.Meter{}
	m := New(Config{Zone: "a", Link: link, LinkMbps: 10, Log: zap.NewNop(), Now: time.Now})
	ctx, cancel := context.WithCancel(context.Background())
	go m.Run(ctx)
	var members []allowance.Member
	for i := range hosts {
		members = append(members, allowance.Member{Host: core.HostID(fmt.Sprint(i)), Zone: "a"})
	}
	m.SetMembers(members)
	return m, link, cancel
}

// receive counts bytes a second as received for a time.
func receive(link *linkmeter.Meter, perSecond int, duration time.Duration) {
	const step = 20 * time.Millisecond
	for range duration / step {
		link.Received(int(float64(perSecond) * step.Seconds()))
		time.Sleep(step)
	}
}

// Guards against a host whose timers are on time while its link is full: it took callers'
// requests until they timed out, and took peers and upstreams for lost.
func TestAFullLinkTakesTheHostOutOfRotation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a host in a zone of ten whose link is full", t, func() {
			m, link, stop := start(10)
			receive(link, 1_250_000, time.Second)
			So(m.Away(), ShouldBeTrue)
			So(m.LinkFull(), ShouldBeTrue)
			rejected := 0
			for i := range 1000 {
				if m.Reject(i % 10) {
					rejected++
				}
			}
			So(rejected, ShouldBeGreaterThan, 0)
			Convey("the least urgent requests are rejected first", func() {
				receive(link, 1_250_000, 200*time.Millisecond)
				plan := m.published.Load().plan
				So(plan[9], ShouldBeGreaterThan, plan[0])
			})
			stop()
			synctest.Wait()
		})
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a zone of three, where the load of one would overload the next", t, func() {
			m, link, stop := start(3)
			receive(link, 1_250_000, time.Second)
			So(m.Away(), ShouldBeFalse)
			So(m.Reject(9), ShouldBeFalse)
			So(m.LinkFull(), ShouldBeTrue)
			stop()
			synctest.Wait()
		})
	})
}
