package balancer

import (
	"context"
	"errors"
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

// fakeFleet is the platform's list and the upstreams' reports.
type fakeFleet struct {
	members []platform.Member
	// firstLeaves makes the upstream e1 report that it leaves.
	firstLeaves atomic.Bool
}

func (f *fakeFleet) Members(context.Context) ([]platform.Member, error) {
	if f.members == nil {
		return nil, errors.New("no list")
	}
	return f.members, nil
}

func (f *fakeFleet) Load(_ context.Context, target core.Target) (upstreams.Report, error) {
	return upstreams.Report{
		Upstream: target.Upstream, Incarnation: target.Incarnation, MaxRunning: 8,
		Leaving: target.Upstream == "e1" && f.firstLeaves.Load(), MeasuredAt: time.Now(),
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

func started(t *testing.T, fleet *fakeFleet, body func(*Task)) {
	synctest.Test(t, func(t *testing.T) {
		Convey("", t, func() {
			var group task.Group
			balancer := New(Config{Directory: fleet, Reporter: fleet, Self: "h", Zone: "a", Seed: 1})
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

// Guards against a refusal that does not say that nothing ran.
func TestNoUpstreamIsNotRun(t *testing.T) {
	started(t, &fakeFleet{}, func(balancer *Task) {
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

// Guards against work for an upstream whose own report says that it leaves
// while the platform's list lags (P6).
func TestLeavingByReport(t *testing.T) {
	fleet := &fakeFleet{members: []platform.Member{engine("e1", 1), engine("e2", 1)}}
	started(t, fleet, func(balancer *Task) {
		So(balancer.Serves("m"), ShouldBeTrue)
		target, err := balancer.Pick(context.Background(), query(1))
		So(err, ShouldBeNil)
		finish(balancer, target)
		fleet.firstLeaves.Store(true)
		time.Sleep(2 * time.Second)
		for range 100 {
			target, err := balancer.Pick(context.Background(), query(1))
			So(err, ShouldBeNil)
			So(target.Upstream, ShouldEqual, core.UpstreamID("e2"))
		}
	})
}

// Guards against a leak of attempts in flight and against retries beyond the
// budget of 10%.
func TestInFlightAndRetryBudget(t *testing.T) {
	fleet := &fakeFleet{members: []platform.Member{engine("e1", 1), engine("e2", 1), engine("e3", 1)}}
	started(t, fleet, func(balancer *Task) {
		retries := 0
		for range 200 {
			target, err := balancer.Pick(context.Background(), query(1))
			So(err, ShouldBeNil)
			repeat := query(2)
			repeat.Excluded = []core.UpstreamID{target.Upstream}
			balancer.Observe(route.Observation{Kind: route.Cancelled, Target: target, Model: "m", Estimate: 100})
			if again, err := balancer.Pick(context.Background(), repeat); err == nil {
				So(again.Upstream, ShouldNotEqual, target.Upstream)
				finish(balancer, again)
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

// Guards against hedges of work that must not run twice, hedges beyond 5%, and
// one that goes to the upstream of the first attempt.
func TestHedges(t *testing.T) {
	fleet := &fakeFleet{members: []platform.Member{engine("e1", 1), engine("e2", 1)}}
	started(t, fleet, func(balancer *Task) {
		hedges := 0
		for range 200 {
			first, err := balancer.Pick(context.Background(), query(1))
			So(err, ShouldBeNil)
			beside := query(1)
			beside.Excluded = []core.UpstreamID{first.Upstream}
			beside.Work.Idempotent = false
			_, err = balancer.Hedge(context.Background(), beside)
			So(err, ShouldNotBeNil)
			beside.Work.Idempotent = true
			if second, err := balancer.Hedge(context.Background(), beside); err == nil {
				So(second.Upstream, ShouldNotEqual, first.Upstream)
				finish(balancer, second)
				hedges++
			}
			finish(balancer, first)
		}
		So(hedges, ShouldBeBetweenOrEqual, 1, 10)
	})
}
