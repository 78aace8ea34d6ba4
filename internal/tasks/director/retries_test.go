package director

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/coldstart"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
	"github.com/peridotreel/peridotreel/internal/decide/requestlimit"
	"github.com/peridotreel/peridotreel/internal/decide/retrybudget"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/tasks/follower"
)

// retryFleet is the directors of all hosts of a fleet. Each request fails at each upstream,
// and is sent to further ones for as long as the retry budget allows it.
type retryFleet struct {
	bound             retrybudget.Bound
	now               time.Time
	hosts             []*Director
	requests, retries []time.Time
}

func newRetryFleet(hosts int, bound retrybudget.Bound) *retryFleet {
	f := &retryFleet{bound: bound, now: time.Unix(1_800_000_000, 0), hosts: make([]*Director, hosts)}
	for i := range f.hosts {
		f.start(i, hosts)
	}
	return f
}

// start starts a host anew. listed is the number of hosts that it reads from the store, 0
// if it cannot read it.
func (f *retryFleet) start(host, listed int) {
	d := New(Config{
		Host: core.HostID(fmt.Sprint("host-", host)), Zone: "a", UpstreamTable: "servers", RetryBound: f.bound, Hosts: 12, Log: zap.NewNop(),
		Now: func() time.Time { return f.now }, ColdBound: coldstart.Bound{Overage: 1.5, Slack: 5},
		DecodeUpstream: func(id string, _ []byte) (gateway.Upstream, error) {
			return gateway.Upstream{ID: core.UpstreamID(id), Service: "svc", Zone: "a", Slots: 1000}, nil
		},
		Listed: func(map[core.ServiceName][]string) {}, Forget: func([]core.UpstreamID) {}, Serving: func() {},
		Changed: func(*gateway.Config, time.Time) {}, SuspicionsChanged: func(bool) {},
		Dial: func(context.Context, string) error { return nil },
	})
	d.expiry = time.NewTimer(time.Hour)
	d.applyConfig(&gateway.Config{Version: 1, Services: map[core.ServiceName]gateway.Service{"svc": {}}}, "store", time.Time{})
	rows := make([]rowstore.Row, 3)
	for i := range rows {
		rows[i] = rowstore.Row{Key: fmt.Sprint("server-", i), Revision: core.Revision{Number: int64(i + 1)}}
	}
	d.applyUpdate(follower.Update{Table: "servers", Revision: core.Revision{Number: 3}, At: f.now, Rows: rows, Full: true})
	f.hosts[host] = d
	f.list(host, listed)
}

func (f *retryFleet) list(host, listed int) {
	if listed > 0 {
		f.hosts[host].setHosts(hostList{listed, []requestlimit.Member{{Host: "host-0", Zone: "a"}}})
	}
}

// request sends a request through a host, with up to three retries.
func (f *retryFleet) request(host int) {
	f.send(host, 3)
}

func (f *retryFleet) send(host, retries int) (repeated int) {
	d := f.hosts[host]
	f.requests = append(f.requests, f.now)
	for attempt := range 1 + retries {
		placed := d.place(context.Background(), PlacementRequest{Query: placement.Query{Service: "svc"}, First: attempt == 0, Retry: attempt > 0}, f.now)
		if placed.Outcome != Found {
			return repeated
		}
		d.handle(context.Background(), Observation{Upstream: placed.Upstream.ID, Attempt: placed.Attempt, Signal: placement.Succeeded})
		if attempt > 0 {
			f.retries = append(f.retries, f.now)
			repeated++
		}
	}
	return repeated
}

// excess returns by how many retries the worst window exceeds the bound. The requests are
// those of the window, of the one before it, or of the one half a window before it,
// whichever has most.
func (f *retryFleet) excess() float64 {
	count := func(times []time.Time, from time.Time) int {
		n := 0
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(f.bound.Window)) {
				n++
			}
		}
		return n
	}
	worst := -f.bound.Slack
	for i, from := range f.retries {
		if i > 0 && from.Equal(f.retries[i-1]) {
			continue
		}
		requests := max(count(f.requests, from), count(f.requests, from.Add(-f.bound.Window)), count(f.requests, from.Add(-f.bound.Window/2)))
		worst = max(worst, float64(count(f.retries, from))-f.bound.Ratio*float64(requests)-f.bound.Slack)
	}
	return worst
}

// Guards against retries beyond the fleet's bound because each start gives a host its part
// of the slack again, as if nothing had been sent before.
func TestRetriesStayWithinTheBoundOverKillsOfAllHosts(t *testing.T) {
	for _, fleet := range []struct {
		hosts     int
		slack     float64
		perSecond int
	}{{9, 58, 6}, {66, 172, 100}} {
		Convey(fmt.Sprintf("Given %d hosts that are all killed four times within a window", fleet.hosts), t, func() {
			f := newRetryFleet(fleet.hosts, retrybudget.Bound{Window: 10 * time.Second, Ratio: 0.2, Slack: fleet.slack})
			random := rand.New(rand.NewPCG(1, 66))
			f.now = f.now.Add(20 * time.Second)
			for step := range 16 * fleet.perSecond {
				f.now = f.now.Add(time.Second / time.Duration(fleet.perSecond))
				if step%(5*fleet.perSecond/2) == 0 {
					for host := range f.hosts {
						f.start(host, fleet.hosts)
					}
				}
				f.request(random.IntN(fleet.hosts))
			}
			So(f.excess(), ShouldBeLessThanOrEqualTo, 0)
		})
	}
}

// Guards against retries beyond the fleet's bound of hosts that start while the store does
// not answer: they divided the slack by a number of hosts that was assumed.
func TestRetriesStayWithinTheBoundWhileTheNumberOfHostsIsUnknown(t *testing.T) {
	Convey("Given 66 hosts that start and cannot read the table of hosts for 20 s", t, func() {
		f := newRetryFleet(66, retrybudget.Bound{Window: 10 * time.Second, Ratio: 0.2, Slack: 172})
		random := rand.New(rand.NewPCG(2, 66))
		for host := range f.hosts {
			f.start(host, 0)
		}
		for range 20 * 100 {
			f.now = f.now.Add(10 * time.Millisecond)
			f.request(random.IntN(len(f.hosts)))
		}
		So(f.excess(), ShouldBeLessThanOrEqualTo, 0)
	})
}

// Guards against a host that has no slack, or too many connections to upstreams, for as long
// as the store does not answer, although its peers know the number of hosts.
func TestTheNumberOfHostsIsTakenFromPeersWhileTheStoreDoesNotAnswer(t *testing.T) {
	Convey("Given a host that has not read the table of hosts", t, func() {
		f := newRetryFleet(1, retrybudget.Bound{Window: 10 * time.Second, Ratio: 0.2, Slack: 172})
		f.start(0, 0)
		d := f.hosts[0]
		f.now = f.now.Add(20 * time.Second)
		So(d.localState(f.now).Hosts, ShouldEqual, 0)
		So(d.retryShare.Slack(f.bound, f.now), ShouldEqual, 0)
		Convey("it takes the largest number that peers have read", func() {
			for _, count := range []int{0, 20, 40, 30} {
				d.receive(PeerState{Host: "host-1", Hosts: count}, f.now)
			}
			So(d.retryShare.Slack(f.bound, f.now), ShouldAlmostEqual, 172.0/40)
			So(d.hosts, ShouldEqual, 40)
			So(d.localState(f.now).Hosts, ShouldEqual, 0) // it has not read it itself
			Convey("until it has read the table, from when on peers change nothing", func() {
				f.list(0, 10)
				d.receive(PeerState{Host: "host-1", Hosts: 40}, f.now)
				So(d.hosts, ShouldEqual, 10)
				So(d.localState(f.now).Hosts, ShouldEqual, 10)
			})
		})
	})
}

// Guards against retries beyond the fleet's bound while hosts leave: the parts of those
// that remain grew at once, though what the others had sent was still in the window.
func TestRetriesStayWithinTheBoundWhileHostsLeave(t *testing.T) {
	Convey("Given 66 hosts, 50 of which leave within 5 s and use up their retries before", t, func() {
		f := newRetryFleet(66, retrybudget.Bound{Window: 10 * time.Second, Ratio: 0.2, Slack: 172})
		f.now = f.now.Add(20 * time.Second)
		for left := range 50 {
			f.now = f.now.Add(100 * time.Millisecond)
			f.request(left)
			for host := left + 1; host < len(f.hosts); host++ {
				f.list(host, len(f.hosts)-left-1)
			}
		}
		for host := 50; host < len(f.hosts); host++ {
			f.now = f.now.Add(100 * time.Millisecond)
			for range 4 {
				f.request(host)
			}
		}
		So(f.excess(), ShouldBeLessThanOrEqualTo, 0)
	})
}

// Guards against a bound on retries that is kept by fewer retries for all: hosts that have
// run for a window have their whole part of the bound.
func TestHostsThatKeepRunningHaveTheirWholePartOfTheRetries(t *testing.T) {
	Convey("Given nine hosts that have run for 20 s", t, func() {
		f := newRetryFleet(9, retrybudget.Bound{Window: 10 * time.Second, Ratio: 0.2, Slack: 58})
		f.now = f.now.Add(20 * time.Second)
		repeated := 0
		for range 20 {
			f.now = f.now.Add(10 * time.Millisecond)
			for host := range f.hosts {
				repeated += f.send(host, 3)
			}
		}
		// 180 requests and a slack of 58 allow 94 retries.
		So(repeated, ShouldBeGreaterThanOrEqualTo, 9*8)
		So(f.excess(), ShouldBeLessThanOrEqualTo, 0)
	})
}

// Guards against a window that is shorter than the bound's, at whose end the whole slack is
// there again while what was sent before is still in the bound's window.
func TestTheSlackIsNotUsedTwiceWithinAWindow(t *testing.T) {
	Convey("Given nine hosts whose requests fail in two bursts, a little less than a window apart", t, func() {
		for _, first := range []time.Duration{0, 100 * time.Millisecond, 250 * time.Millisecond, 490 * time.Millisecond} {
			f := newRetryFleet(9, retrybudget.Bound{Window: 10 * time.Second, Ratio: 0.2, Slack: 58})
			f.now = f.now.Add(20 * time.Second)
			start := f.now
			burst := func(at time.Duration) {
				f.now = start.Add(at)
				for host := range f.hosts {
					for range 4 {
						f.request(host)
					}
				}
			}
			for host := range f.hosts {
				f.send(host, 0)
			}
			burst(first)
			burst(first + 9600*time.Millisecond)
			So(f.excess(), ShouldBeLessThanOrEqualTo, 0)
		}
	})
}
