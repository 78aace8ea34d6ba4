package placement

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

// Guards against sums of the peers' loads that drift from their reports, as reports are
// replaced and lapse.
func TestSumsOfPeerLoadsFollowTheReports(t *testing.T) {
	Convey("For random reports", t, func() {
		rapid.Check(t, func(r *rapid.T) {
			b := NewLoadBalancer("a")
			b.SetUpstreams([]gateway.Upstream{{ID: "u-0", Service: "s"}, {ID: "u-1", Service: "s"}})
			type report struct {
				at    time.Time
				loads []PeerLoad
			}
			reports := make(map[core.HostID]report)
			now := time.Unix(100, 0)
			for range rapid.IntRange(1, 40).Draw(r, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(r, "pause")) * time.Millisecond)
				if rapid.Bool().Draw(r, "report") {
					host := core.HostID(fmt.Sprint(rapid.IntRange(0, 3).Draw(r, "host")))
					var loads []PeerLoad
					for i := range rapid.IntRange(0, 2).Draw(r, "upstreams") {
						loads = append(loads, PeerLoad{Upstream: core.UpstreamID(fmt.Sprint("u-", i)), Running: rapid.IntRange(0, 9).Draw(r, "running"), Unread: core.Tokens(rapid.IntRange(0, 99).Draw(r, "unread"))})
					}
					reports[host] = report{now, loads}
					b.SetPeerLoads(host, loads, now)
				}
				for id, u := range b.upstreams {
					running, unread := 0, core.Tokens(0)
					for _, known := range reports {
						for _, load := range known.loads {
							if load.Upstream == id && now.Sub(known.at) < maxPeerReportAge {
								running, unread = running+load.Running, unread+load.Unread
							}
						}
					}
					gotRunning, gotUnread := b.estimateLoad(u, now)
					if gotRunning != running || gotUnread != unread {
						r.Fatalf("%s: got %d and %d, want %d and %d", id, gotRunning, gotUnread, running, unread)
					}
				}
			}
		})
	})
}

func benchmarkChoose(b *testing.B, peers, upstreams int) {
	balancer := NewLoadBalancer("a")
	list := make([]gateway.Upstream, upstreams)
	loads := make([]PeerLoad, upstreams)
	for i := range list {
		id := core.UpstreamID(fmt.Sprint("u-", i))
		list[i] = gateway.Upstream{ID: id, Service: "s", Zone: "a", Slots: 12}
		loads[i] = PeerLoad{Upstream: id, Running: i % 7}
	}
	balancer.SetUpstreams(list)
	now := time.Unix(100, 0)
	for i := range peers {
		balancer.SetPeerLoads(core.HostID(fmt.Sprint(i)), loads, now)
	}
	query := Query{
		Service: "s", Engine: &gateway.Engine{Slots: 12, Capacity: 295_245}, Objective: time.Second,
		Prompt: &gateway.Prompt{Input: 6000, MaxOutput: 400, Parts: []gateway.PromptPart{{ID: "a", Tokens: 512}, {ID: "b", Tokens: 4870}, {ID: "c", Tokens: 600}}},
	}
	b.ReportAllocs()
	for b.Loop() {
		balancer.Choose(query, now)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ peers, upstreams int }{{60, 140}, {330, 52}, {330, 520}} {
		b.Run(fmt.Sprintf("%d_peers_%d_upstreams", size.peers, size.upstreams), func(b *testing.B) { benchmarkChoose(b, size.peers, size.upstreams) })
	}
}
