package placement

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

var now = time.Unix(1000, 0)

func balancerWith(zones ...core.ZoneName) *LoadBalancer {
	balancer := NewLoadBalancer("a")
	var list []gateway.Upstream
	for i, zone := range zones {
		list = append(list, gateway.Upstream{ID: core.UpstreamID(fmt.Sprintf("u%d", i)), Service: "s", Zone: zone, Slots: 4, Address: fmt.Sprint(i)})
	}
	balancer.SetUpstreams(list)
	return balancer
}

func choose(balancer *LoadBalancer, query Query, at time.Time) string {
	query.Service = "s"
	choice, found := balancer.Choose(query, at)
	So(found, ShouldBeTrue)
	return string(choice.Upstream.ID)
}

// Guards against requests that cross zones without need, and against requests
// sent to an upstream in the host's own zone although it fails or is full.
func TestChooseForPlainServices(t *testing.T) {
	Convey("Given one upstream in each of two zones", t, func() {
		balancer := balancerWith("b", "a")
		So(choose(balancer, Query{}, now), ShouldEqual, "u1")
		Convey("a request goes to the other zone when the local upstream is full", func() {
			for i := range 5 {
				balancer.Begin("u1", uint64(i), nil, now)
			}
			So(choose(balancer, Query{}, now), ShouldEqual, "u0")
		})
		Convey("an unreachable upstream is avoided, and tried again later", func() {
			balancer.Observe("u1", 1, Unreachable, now)
			So(choose(balancer, Query{}, now), ShouldEqual, "u0")
			So(choose(balancer, Query{}, now.Add(maxCooldown)), ShouldEqual, "u1")
		})
		Convey("an upstream whose connections break is avoided for longer", func() {
			for i := range 6 {
				balancer.Observe("u1", uint64(i), Broke, now)
			}
			So(choose(balancer, Query{}, now.Add(maxCooldown)), ShouldEqual, "u0")
		})
		Convey("a leaving upstream gets no requests", func() {
			retired := balancer.SetUpstreams([]gateway.Upstream{{ID: "u0", Service: "s", Zone: "b", Address: "0"}, {ID: "u1", Service: "s", Zone: "a", Address: "1", Leaving: true}})
			So(retired, ShouldResemble, []core.UpstreamID{"u1"})
			So(choose(balancer, Query{}, now), ShouldEqual, "u0")
			_, found := balancer.Choose(Query{Service: "s", Excluded: []core.UpstreamID{"u0"}}, now)
			So(found, ShouldBeFalse)
		})
	})
}

// Guards against requests to the upstreams of an evacuated zone, and against forgetting what
// is known of them until they are restored.
func TestUpstreamsOfEvacuatedZonesAreNotChosen(t *testing.T) {
	Convey("Given an upstream in each of two zones, of which the first is busy", t, func() {
		balancer := balancerWith("a", "b")
		balancer.Begin("u0", 1, nil, now)
		balancer.SetEvacuated([]core.ZoneName{"a"})
		So(choose(balancer, Query{}, now), ShouldEqual, "u1")
		_, found := balancer.Choose(Query{Service: "s", Excluded: []core.UpstreamID{"u1"}}, now)
		So(found, ShouldBeFalse)
		Convey("restored ones are chosen again", func() {
			balancer.SetEvacuated(nil)
			So(choose(balancer, Query{Excluded: []core.UpstreamID{"u1"}}, now), ShouldEqual, "u0")
			So(balancer.OwnLoads(), ShouldHaveLength, 1)
		})
	})
}

// Guards against processing the same shared prompt part at many upstreams, and
// against sending all requests to one upstream while others are idle.
func TestChooseForSharedPromptParts(t *testing.T) {
	prompts := 0
	prompt := func(session string) *gateway.Prompt {
		prompts++
		return &gateway.Prompt{Input: 12_000, MaxOutput: 500, Parts: []gateway.PromptPart{
			{ID: "common", Tokens: 500}, {ID: session, Tokens: 4900}, {ID: fmt.Sprintf("own-%d", prompts), Tokens: 6600},
		}}
	}
	Convey("Given two hosts with the same upstream list", t, func() {
		first, second := balancerWith("a", "a", "b", "b"), balancerWith("a", "a", "b", "b")
		chosen := map[string]int{}
		for i := range 200 {
			query := Query{Prompt: prompt(fmt.Sprintf("session-%d", i))}
			upstream := choose(first, query, now)
			So(choose(second, query, now), ShouldEqual, upstream)
			chosen[upstream]++
		}
		So(len(chosen), ShouldEqual, 4)
		Convey("the affinity upstream is passed over when much prefill is pending there", func() {
			query := Query{Prompt: prompt("hot"), Objective: time.Second}
			affinity := choose(first, query, now)
			for number := uint64(1); choose(first, query, now) == affinity; number++ {
				first.Begin(core.UpstreamID(affinity), number, query.Prompt, now)
				pending := first.upstreams[core.UpstreamID(affinity)].pendingPrefill()
				So(float64(pending)/prefillTokensPerMs, ShouldBeLessThan, query.Objective.Milliseconds())
				query.Prompt = prompt("hot")
			}
		})
	})
}

// Guards against using a peer's outdated load report, and against assuming that
// an upstream's cache survives its restart.
func TestStaleStateIsDropped(t *testing.T) {
	Convey("Given a peer's report of high load", t, func() {
		balancer := balancerWith("a", "b")
		balancer.SetPeerLoads("host-2", []PeerLoad{{Upstream: "u0", Running: 9}}, now)
		So(choose(balancer, Query{}, now), ShouldEqual, "u1")
		So(choose(balancer, Query{}, now.Add(maxPeerReportAge+time.Millisecond)), ShouldEqual, "u0")
	})
	Convey("Given a prompt that was sent to an upstream", t, func() {
		balancer := balancerWith("a")
		prompt := &gateway.Prompt{Input: 100, Parts: []gateway.PromptPart{{ID: "p", Tokens: 60}, {ID: "q", Tokens: 40}}}
		balancer.Begin("u0", 1, prompt, now)
		So(balancer.caches.cachedTokens("u0", prompt, now), ShouldEqual, 100)
		balancer.SetUpstreams([]gateway.Upstream{{ID: "u0", Service: "s", Zone: "a", Address: "0", StartMillis: 7}})
		So(balancer.caches.cachedTokens("u0", prompt, now), ShouldEqual, 0)
	})
}

// Guards against requests that wait at an engine until their callers leave, and
// against refusals while an engine is free.
func TestTheExpectedWaitFollowsTheLoad(t *testing.T) {
	Convey("Given an engine", t, func() {
		balancer := balancerWith("a")
		query := Query{
			Service: "s", Engine: &gateway.Engine{Slots: 4, Capacity: 100_000},
			Prompt: &gateway.Prompt{Input: 6000, Parts: []gateway.PromptPart{{ID: "shared", Tokens: 3000}, {ID: "own", Tokens: 3000}}},
		}
		wait := func(at time.Time) time.Duration {
			choice, found := balancer.Choose(query, at)
			So(found, ShouldBeTrue)
			return choice.Wait
		}
		limit := MaxWait(500*time.Millisecond, 500*time.Millisecond, 12*time.Second)
		So(limit, ShouldEqual, 2*time.Second)
		So(MaxWait(500*time.Millisecond, 500*time.Millisecond, 600*time.Millisecond), ShouldEqual, 300*time.Millisecond)
		So(wait(now), ShouldEqual, 0)
		for i := range 20 {
			balancer.Begin("u0", uint64(i), query.Prompt, now)
		}
		So(wait(now), ShouldBeGreaterThan, limit)
		Convey("an engine that was freed has no wait", func() {
			for i := range 20 {
				balancer.Observe("u0", uint64(i), Succeeded, now)
			}
			So(wait(now), ShouldEqual, 0)
		})
		Convey("an engine that answers nobody has one", func() {
			for i := range 19 {
				balancer.Observe("u0", uint64(i), Succeeded, now)
			}
			So(wait(now), ShouldBeLessThan, limit)
			So(wait(now.Add(3*time.Second)), ShouldBeGreaterThan, limit)
		})
		Convey("a plain service has none", func() {
			query.Prompt, query.Engine = nil, nil
			So(wait(now.Add(3*time.Second)), ShouldEqual, 0)
		})
	})
}
