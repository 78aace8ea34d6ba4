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

func fleetOf(zones ...core.ZoneName) *Fleet {
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

// Guards against bytes between zones without need, and against an upstream of
// the own zone that is used though it fails or is full.
func TestPlainServices(t *testing.T) {
	Convey("Given one upstream in each of two zones", t, func() {
		f := fleetOf("b", "a")
		So(choose(f, Query{}, now), ShouldEqual, "u1")
		Convey("a full one is left for the other", func() {
			for i := range 5 {
				f.Begin("u1", uint64(i), nil, now)
			}
			So(choose(f, Query{}, now), ShouldEqual, "u0")
		})
		Convey("one that can't be reached is avoided, and tried again later", func() {
			f.Observe("u1", 1, Unreachable, now)
			So(choose(f, Query{}, now), ShouldEqual, "u0")
			So(choose(f, Query{}, now.Add(shunMost)), ShouldEqual, "u1")
		})
		Convey("one that breaks answers is avoided for longer", func() {
			for i := range 6 {
				f.Observe("u1", uint64(i), Broke, now)
			}
			So(choose(f, Query{}, now.Add(shunMost)), ShouldEqual, "u0")
		})
		Convey("one that leaves gets nothing", func() {
			closed := f.SetUpstreams([]gateway.Upstream{{ID: "u0", Service: "s", Zone: "b", Address: "0"}, {ID: "u1", Service: "s", Zone: "a", Address: "1", Leaving: true}})
			So(closed, ShouldResemble, []core.UpstreamID{"u1"})
			So(choose(f, Query{}, now), ShouldEqual, "u0")
			_, found := f.Choose(Query{Service: "s", Excluded: []core.UpstreamID{"u0"}}, now)
			So(found, ShouldBeFalse)
		})
	})
}

// Guards against shared parts of prompts that are read at many upstreams, and
// against one upstream that gets them all while others are idle.
func TestPromptsWithASharedPart(t *testing.T) {
	own := 0
	prompt := func(session string) *gateway.Prompt {
		own++
		return &gateway.Prompt{Input: 12_000, MaxOutput: 500, Parts: []gateway.PromptPart{
			{ID: "common", Tokens: 500}, {ID: session, Tokens: 4900}, {ID: fmt.Sprintf("own-%d", own), Tokens: 6600},
		}}
	}
	Convey("Given hosts with the same list", t, func() {
		first, second := fleetOf("a", "a", "b", "b"), fleetOf("a", "a", "b", "b")
		homes := map[string]int{}
		for i := range 200 {
			query := Query{Prompt: prompt(fmt.Sprintf("session-%d", i))}
			home := choose(first, query, now)
			So(choose(second, query, now), ShouldEqual, home)
			homes[home]++
		}
		So(len(homes), ShouldEqual, 4)
		Convey("the home is left when much is unread there", func() {
			query := Query{Prompt: prompt("hot"), Objective: time.Second}
			home := choose(first, query, now)
			for number := uint64(1); choose(first, query, now) == home; number++ {
				first.Begin(core.UpstreamID(home), number, query.Prompt, now)
				waiting := first.units[core.UpstreamID(home)].unread()
				So(float64(waiting)/readTokensPerMs, ShouldBeLessThan, query.Objective.Milliseconds())
				query.Prompt = prompt("hot")
			}
		})
	})
}

// Guards against peers' stale reports, and a restarted upstream that is taken
// for warm.
func TestWhatIsBelievedAges(t *testing.T) {
	Convey("Given a peer's report of much work", t, func() {
		f := fleetOf("a", "b")
		f.SetPeer("host-2", []PeerLoad{{Upstream: "u0", Running: 9}}, now)
		So(choose(f, Query{}, now), ShouldEqual, "u1")
		So(choose(f, Query{}, now.Add(peerReportAge+time.Millisecond)), ShouldEqual, "u0")
	})
	Convey("Given a prompt that was sent to an upstream", t, func() {
		f := fleetOf("a")
		prompt := &gateway.Prompt{Input: 100, Parts: []gateway.PromptPart{{ID: "p", Tokens: 60}, {ID: "q", Tokens: 40}}}
		f.Begin("u0", 1, prompt, now)
		So(f.warm.cached("u0", prompt, now), ShouldEqual, 100)
		f.SetUpstreams([]gateway.Upstream{{ID: "u0", Service: "s", Zone: "a", Address: "0", StartMillis: 7}})
		So(f.warm.cached("u0", prompt, now), ShouldEqual, 0)
	})
}
