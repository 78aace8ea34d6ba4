package director

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/coldstart"
	"github.com/peridotreel/peridotreel/internal/decide/evacuation"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
	"github.com/peridotreel/peridotreel/internal/decide/requestlimit"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/tasks/follower"
)

// coldDirector is the director of the only host, whose clock the test moves.
type coldDirector struct {
	*Director
	now    time.Time
	events *observer.ObservedLogs
	number int64
}

func newColdDirector() *coldDirector {
	c := &coldDirector{now: time.Unix(1000, 0)}
	log, events := observer.New(zap.InfoLevel)
	c.events = events
	c.Director = New(Config{
		Host: "h", Zone: "a", UpstreamTable: "servers", Log: zap.New(log), Now: func() time.Time { return c.now },
		ColdBound: coldstart.Bound{Overage: 1.5, Slack: 5},
		// A row's value is the time in ms for which its upstream stays cold.
		DecodeUpstream: func(id string, raw []byte) (gateway.Upstream, error) {
			upstream := gateway.Upstream{ID: core.UpstreamID(id), Service: "svc", Zone: core.ZoneName(id[:1]), Slots: 8}
			_, err := fmt.Sscan(string(raw), &upstream.ColdLeft)
			upstream.ColdLeft *= time.Millisecond
			return upstream, err
		},
		Listed: func(map[core.ServiceName][]string) {}, Forget: func([]core.UpstreamID) {},
		Dial:    func(context.Context, string) error { return nil },
		Changed: func(*gateway.Config, time.Time) {}, Serving: func() {}, SuspicionsChanged: func(bool) {},
	})
	c.expiry = time.NewTimer(time.Hour)
	c.applyConfig(&gateway.Config{Version: 1, Services: map[core.ServiceName]gateway.Service{"svc": {ColdFor: 3 * time.Second, ColdPerSecond: 10}}}, "store", time.Time{})
	c.setHosts(hostList{1, []requestlimit.Member{{Host: "h", Zone: "a"}}})
	c.now = c.now.Add(time.Minute)
	return c
}

// list applies a row of an upstream that stays cold for a time.
func (c *coldDirector) list(id string, coldMillis int) {
	c.number++
	revision := core.Revision{Number: c.number}
	c.applyUpdate(follower.Update{
		Table: "servers", Revision: revision, At: c.now, Rows: []rowstore.Row{{Key: id, Revision: revision, Value: fmt.Append(nil, coldMillis)}},
	})
}

func (c *coldDirector) send(t *testing.T) Placed {
	return c.place(t.Context(), PlacementRequest{Query: placement.Query{Service: "svc"}, First: true}, c.now)
}

func (c *coldDirector) observe(t *testing.T, id core.UpstreamID, signal placement.Signal, head *gateway.AnswerHead) {
	c.handle(t.Context(), Observation{Upstream: id, Signal: signal, Head: head})
}

func (c *coldDirector) logged(event string) int {
	return c.events.FilterField(zap.String("event", event)).Len()
}

// Guards against requests to a cold upstream beside a warm one, against a burst once only
// cold ones are left, and against refused callers that are not told when to return.
func TestWarmUpstreamsComeFirst(t *testing.T) {
	Convey("Given a cold upstream in the host's zone and a warm one in another", t, func() {
		c := newColdDirector()
		c.list("a-cold", 3000)
		c.list("b-warm", 0)
		for range 20 {
			So(c.send(t).Upstream.ID, ShouldEqual, core.UpstreamID("b-warm"))
		}
		Convey("once the warm one is lost, the cold one gets what it bears, and the rest is refused", func() {
			c.observe(t, "b-warm", placement.Unreachable, nil)
			c.now = c.now.Add(10 * time.Millisecond)
			sent, delays := 0, make(map[time.Duration]bool)
			for range 100 {
				c.now = c.now.Add(10 * time.Millisecond)
				placed := c.send(t)
				if placed.Outcome == Found {
					sent++
					continue
				}
				So(placed.Outcome, ShouldEqual, Limited)
				So(placed.RetryAfter, ShouldBeBetween, 0, 3*time.Second)
				delays[placed.RetryAfter] = true
			}
			So(sent, ShouldBeBetween, 5, 41)
			So(len(delays), ShouldBeGreaterThan, 50)
		})
		Convey("an entry that is written anew ends it, in one line each", func() {
			c.now = c.now.Add(time.Second)
			c.list("a-cold", 0)
			So(c.send(t).Upstream.ID, ShouldEqual, core.UpstreamID("a-cold"))
			So([]int{c.logged("upstream_cold"), c.logged("upstream_warm"), c.logged("upstream_listed")}, ShouldResemble, []int{1, 1, 2})
		})
	})
}

// Guards against a row that is read again, as in a full read, and begins the time anew.
func TestARowThatIsReadAgainTellsNothing(t *testing.T) {
	Convey("Given a cold upstream whose row is read twice", t, func() {
		c := newColdDirector()
		row := rowstore.Row{Key: "a-1", Revision: core.Revision{Number: 1}, Value: []byte("3000")}
		for range 3 {
			c.applyUpdate(follower.Update{Table: "servers", Full: true, Revision: row.Revision, At: c.now, Rows: []rowstore.Row{row}})
			c.now = c.now.Add(2 * time.Second)
		}
		So(c.cold.Cold("a-1", c.now), ShouldBeFalse)
		Convey("nor does a copy of the store that has it", func() {
			row.Revision.Era++
			c.applyUpdate(follower.Update{Table: "servers", Full: true, Revision: row.Revision, At: c.now, Rows: []rowstore.Row{row}})
			So(c.cold.Cold("a-1", c.now), ShouldBeFalse)
		})
	})
}

// Guards against a load on a whole zone whose use was allowed again a moment ago, and
// against attempts through other hosts, failures of which tell nothing of the upstream.
func TestAZoneIsMarkedAsCold(t *testing.T) {
	Convey("Given warm upstreams in two zones", t, func() {
		c := newColdDirector()
		for i := range 5 {
			c.list(fmt.Sprint("a-", i), 0)
			c.list(fmt.Sprint("b-", i), 0)
		}
		c.markZoneCold("a", c.now, c.now)
		count := c.cold.Count(c.now)
		So([]int{count, c.logged("upstream_cold")}, ShouldResemble, []int{5, 1})
		So(c.send(t).Upstream.Zone, ShouldEqual, core.ZoneName("b"))
		c.now = c.now.Add(3 * time.Second)
		c.list("a-0", 0)
		So([]int{c.cold.Count(c.now), c.logged("upstream_warm")}, ShouldResemble, []int{0, 1})
	})
	Convey("An attempt that no other host could help with is no failure of the upstream", t, func() {
		c := newColdDirector()
		c.list("a-1", 0)
		c.handle(t.Context(), Observation{Upstream: "a-1", Signal: placement.Abandoned, Helpless: true, Tunnelled: true})
		So(c.cold.Any("svc"), ShouldBeFalse)
		left := time.Second
		c.observe(t, "a-1", placement.Started, &gateway.AnswerHead{Status: 200, ColdLeft: &left})
		So(c.cold.Cold("a-1", c.now), ShouldBeTrue)
	})
}

// Guards against all hosts sending at once to a zone that is taken into use again, whose
// upstreams may have become cold while it was evacuated.
func TestTheUpstreamsOfARestoredZoneCountAsCold(t *testing.T) {
	Convey("Given upstreams of two zones that are warm", t, func() {
		c := newColdDirector()
		c.list("a-1", 0)
		c.list("b-1", 0)
		So(c.cold.Cold("a-1", c.now), ShouldBeFalse)
		c.applyEvacuationChanges([]evacuation.Change{{Zone: "a"}}, "store")
		So(c.cold.Cold("a-1", c.now), ShouldBeTrue)
		So(c.cold.Cold("b-1", c.now), ShouldBeFalse)
		Convey("they are warm after the time that the service states", func() {
			c.now = c.now.Add(3*time.Second + time.Millisecond)
			So(c.cold.Cold("a-1", c.now), ShouldBeFalse)
		})
	})
}
