package balancer

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/filter/route"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/task"
)

// fakeUpstreams is the platform's list and the upstreams' load reports.
type fakeUpstreams struct {
	members []platform.Member
	// e1Leaving makes the upstream e1 report that it is leaving.
	e1Leaving atomic.Bool
}

func (f *fakeUpstreams) Members(context.Context) ([]platform.Member, error) {
	if f.members == nil {
		return nil, errors.New("the list is not available")
	}
	return f.members, nil
}

func (f *fakeUpstreams) Load(_ context.Context, target core.Target) (upstreams.Report, error) {
	return upstreams.Report{
		Upstream: target.Upstream, Incarnation: target.Incarnation, MaxRunning: 8,
		Leaving: target.Upstream == "e1" && f.e1Leaving.Load(), MeasuredAt: time.Now(),
	}, nil
}

func engine(id string, incarnation core.Incarnation) platform.Member {
	return platform.Member{
		Role: platform.RoleEngine, ID: id, Incarnation: incarnation, Zone: "a",
		Address: "127.0.0.1:1", Models: []core.ModelName{"m"},
	}
}

func query(attempt int) route.Query {
	return route.Query{Attempt: attempt, Work: &core.Work{
		Call:     &core.Call{Kind: core.KindCompletion, Completion: &core.Completion{Model: "m"}},
		Estimate: 100, Idempotent: true,
	}}
}

func withTask(t *testing.T, fleet *fakeUpstreams, body func(*Task)) {
	synctest.Test(t, func(t *testing.T) {
		Convey("", t, func() {
			var group task.Group
			balancer := New(Config{Directory: fleet, LoadClient: fleet, Self: "h", Zone: "a", Seed: 1})
			group.Start(balancer)
			defer group.Stop()
			synctest.Wait()
			body(balancer)
		})
	})
}

func finish(balancer *Task, target core.Target) {
	balancer.Observe(route.Observation{Kind: route.Finished, Target: target, Model: "m", Elapsed: time.Second, Tokens: 10, Estimate: 100})
}

// Guards against an error for a first attempt that does not say that nothing
// ran, and one for a retry that says so.
func TestNoUpstreamIsNotRun(t *testing.T) {
	withTask(t, &fakeUpstreams{}, func(balancer *Task) {
		_, err := balancer.Pick(context.Background(), query(1))
		refused := fault.From(err)
		So(refused.Code, ShouldEqual, fault.NoUpstream)
		So(refused.Run, ShouldEqual, fault.NotRun)
		So(refused.RetryAfter, ShouldBeGreaterThan, 0)
		So(balancer.Serves("m"), ShouldBeFalse)
		_, err = balancer.Pick(context.Background(), query(2))
		So(fault.From(err).Run, ShouldEqual, fault.Unknown)
	})
}

// Guards against giving work to an upstream whose load report says that it is
// leaving while the platform's list lags.
func TestLeavingByReport(t *testing.T) {
	fleet := &fakeUpstreams{members: []platform.Member{engine("e1", 1), engine("e2", 1)}}
	withTask(t, fleet, func(balancer *Task) {
		So(balancer.Serves("m"), ShouldBeTrue)
		target, err := balancer.Pick(context.Background(), query(1))
		So(err, ShouldBeNil)
		finish(balancer, target)
		fleet.e1Leaving.Store(true)
		time.Sleep(2 * time.Second)
		for range 100 {
			target, err := balancer.Pick(context.Background(), query(1))
			So(err, ShouldBeNil)
			So(target.Upstream, ShouldEqual, core.UpstreamID("e2"))
		}
	})
}

// Guards against attempts that stay counted as in flight and against retries
// beyond the budget of 10%.
func TestInFlightAndRetryBudget(t *testing.T) {
	fleet := &fakeUpstreams{members: []platform.Member{engine("e1", 1), engine("e2", 1), engine("e3", 1)}}
	withTask(t, fleet, func(balancer *Task) {
		retries := 0
		for range 200 {
			target, err := balancer.Pick(context.Background(), query(1))
			So(err, ShouldBeNil)
			retryQuery := query(2)
			retryQuery.Excluded = []core.UpstreamID{target.Upstream}
			balancer.Observe(route.Observation{Kind: route.Cancelled, Target: target, Model: "m", Estimate: 100})
			if retryTarget, err := balancer.Pick(context.Background(), retryQuery); err == nil {
				So(retryTarget.Upstream, ShouldNotEqual, target.Upstream)
				finish(balancer, retryTarget)
				retries++
			}
		}
		So(retries, ShouldBeBetweenOrEqual, 1, 21)
		status, err := balancer.Status(context.Background())
		So(err, ShouldBeNil)
		So(status, ShouldHaveLength, 3)
		for _, s := range status {
			So(s.InFlight, ShouldEqual, 0)
		}
	})
}

// Guards against hedging work that is not idempotent, against hedges beyond 5%
// of the requests, and against a hedge that goes to the upstream of the first
// attempt.
func TestHedges(t *testing.T) {
	fleet := &fakeUpstreams{members: []platform.Member{engine("e1", 1), engine("e2", 1)}}
	withTask(t, fleet, func(balancer *Task) {
		hedges := 0
		for range 200 {
			first, err := balancer.Pick(context.Background(), query(1))
			So(err, ShouldBeNil)
			hedgeQuery := query(1)
			hedgeQuery.Excluded = []core.UpstreamID{first.Upstream}
			hedgeQuery.Work.Idempotent = false
			_, err = balancer.Hedge(context.Background(), hedgeQuery)
			So(err, ShouldNotBeNil)
			hedgeQuery.Work.Idempotent = true
			if second, err := balancer.Hedge(context.Background(), hedgeQuery); err == nil {
				So(second.Upstream, ShouldNotEqual, first.Upstream)
				finish(balancer, second)
				hedges++
			}
			finish(balancer, first)
		}
		So(hedges, ShouldBeBetweenOrEqual, 1, 10)
	})
}

// Guards against an upstream that holds more of this host's requests than it has memory for:
// requests beyond its bound go to another, and are refused at once if there is none.
func TestUpstreamsHoldABoundedPartOfThisHostsRequests(t *testing.T) {
	fleet := &fakeUpstreams{members: []platform.Member{engine("e1", 1), engine("e2", 1)}}
	withTask(t, fleet, func(balancer *Task) {
		long := query(1)
		long.Work.Call.Completion.Messages = []core.Message{{Content: strings.Repeat("p", 12<<20)}}
		first, err := balancer.Pick(context.Background(), long)
		So(err, ShouldBeNil)
		second, err := balancer.Pick(context.Background(), long)
		So(err, ShouldBeNil)
		So(second.Upstream, ShouldNotEqual, first.Upstream)
		_, err = balancer.Pick(context.Background(), long)
		So(fault.From(err).Run, ShouldEqual, fault.NotRun)
		balancer.Observe(route.Observation{Kind: route.Finished, Target: first, Model: "m", Elapsed: time.Second, Tokens: 10, Estimate: 100, Bytes: long.Work.Call.Bytes()})
		next, err := balancer.Pick(context.Background(), long)
		So(err, ShouldBeNil)
		So(next.Upstream, ShouldEqual, first.Upstream)
	})
}
