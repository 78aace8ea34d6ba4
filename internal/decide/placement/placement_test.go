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

func poolOf(zones ...core.ZoneName) *Fleet {
	f := NewFleet("a")
	var list []gateway.Upstream
	for i, zone := range zones {
		list = append(list, gateway.Upstream{ID: core.UpstreamID(fmt.Sprintf("u%d", i)), Service: "s", Zone: zone, Slots: 4, Address: fmt.Sprint(i)})
	}
	f.SetUpstreams(list)
	return f
}

func choose(f *Fleet, query Query, at time.Time) string {
	query.Service = "s"
	choice, found := f.Choose(query, at)
	So(found, ShouldBeTrue)
	return string(choice.Upstream.ID)
}

// Guards against requests that cross zones without need, and against requests
// sent to an upstream in the host's own zone although it fails or is full.
func TestChooseForPlainServices(t *testing.T) {
	Convey("Given one upstream in each of two zones", t, func() {
		f := poolOf("b", "a")
		So(choose(f, Query{}, now), ShouldEqual, "u1")
		Convey("a request goes to the other zone when the local upstream is full", func() {
			for i := range 5 {
				f.Begin("u1", uint64(i), nil, now)
			}
			So(choose(f, Query{}, now), ShouldEqual, "u0")
		})
		Convey("an unreachable upstream is avoided, and tried again later", func() {
			f.Observe("u1", 1, Unreachable, now)
			So(choose(f, Query{}, now), ShouldEqual, "u0")
			So(choose(f, Query{}, now.Add(maxCooldown)), ShouldEqual, "u1")
		})
		Convey("an upstream whose connections break is avoided for longer", func() {
			for i := range 6 {
				f.Observe("u1", uint64(i), Broke, now)
			}
			So(choose(f, Query{}, now.Add(maxCooldown)), ShouldEqual, "u0")
		})
		Convey("a leaving upstream gets no requests", func() {
			closed := f.SetUpstreams([]gateway.Upstream{{ID: "u0", Service: "s", Zone: "b", Address: "0"}, {ID: "u1", Service: "s", Zone: "a", Address: "1", Leaving: true}})
			So(closed, ShouldResemble, []core.UpstreamID{"u1"})
			So(choose(f, Query{}, now), ShouldEqual, "u0")
			_, found := f.Choose(Query{Service: "s", Excluded: []core.UpstreamID{"u0"}}, now)
			So(found, ShouldBeFalse)
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
		first, second := poolOf("a", "a", "b", "b"), poolOf("a", "a", "b", "b")
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
		f := poolOf("a", "b")
		f.SetPeer("host-2", []PeerLoad{{Upstream: "u0", Running: 9}}, now)
		So(choose(f, Query{}, now), ShouldEqual, "u1")
		So(choose(f, Query{}, now.Add(maxPeerReportAge+time.Millisecond)), ShouldEqual, "u0")
	})
	Convey("Given a prompt that was sent to an upstream", t, func() {
		f := poolOf("a")
		prompt := &gateway.Prompt{Input: 100, Parts: []gateway.PromptPart{{ID: "p", Tokens: 60}, {ID: "q", Tokens: 40}}}
		f.Begin("u0", 1, prompt, now)
		So(f.caches.cachedTokens("u0", prompt, now), ShouldEqual, 100)
		f.SetUpstreams([]gateway.Upstream{{ID: "u0", Service: "s", Zone: "a", Address: "0", Born: 7}})
		So(f.caches.cachedTokens("u0", prompt, now), ShouldEqual, 0)
	})
}
