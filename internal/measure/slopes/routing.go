package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/routing"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
	"github.com/peridotreel/peridotreel/internal/filter/route"
	"github.com/peridotreel/peridotreel/internal/platform"
	platformwire "github.com/peridotreel/peridotreel/internal/platform/wire"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/balancer"
	upstreamwire "github.com/peridotreel/peridotreel/internal/upstream/wire"
)

// listSizes are the measured numbers of upstreams in the platform's list.
var listSizes = []int{100, 1000, designServers}

func modelName(i int) core.ModelName {
	return core.ModelName(fmt.Sprintf("model-%02d", i%designModels))
}

// members returns a list of engines in 23 zones. Each engine serves one of 31
// models.
func members(count int) []platform.Member {
	const zones = 23
	list := make([]platform.Member, count)
	for i := range list {
		list[i] = platform.Member{
			Role: platform.RoleEngine, ID: fmt.Sprintf("engine-%05d", i), Incarnation: 1,
			Zone: core.ZoneName(fmt.Sprintf("zone-%02d", i%zones)), Models: []core.ModelName{modelName(i)},
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16&255, i>>8&255, i&255), ChecksFencing: i%2 == 0,
		}
	}
	return list
}

func listEntries(members []platform.Member) []upstreams.Entry {
	entries := make([]upstreams.Entry, len(members))
	for i := range members {
		entries[i] = upstreams.Entry{
			Target: core.Target{
				Upstream: core.UpstreamID(members[i].ID), Incarnation: members[i].Incarnation,
				Zone: members[i].Zone, Address: members[i].Address,
			},
			Pools: []upstreams.Pool{{Model: members[i].Models[0]}},
		}
	}
	return entries
}

// routes measures the list of upstreams, the picking of upstreams and the load
// reports.
func routes(ctx context.Context, options Options) ([]Point, error) {
	var points []Point
	for _, count := range listSizes {
		points = append(points, listCosts(options, count)...)
	}
	points = append(points, reportTraffic(ctx, options))
	return points, ctx.Err()
}

// listCosts measures the routing decisions and the decoding of the list at one
// size.
func listCosts(options Options, count int) []Point {
	const picks = 20_000
	now := time.Unix(1_800_000_000, 0)
	list := members(count)
	content, err := json.Marshal(platform.EncodeMembers(list))
	if err != nil {
		return nil
	}
	entries := listEntries(list)
	view, heapBytes := heapOf(func() *upstreams.View {
		view := upstreams.NewView("host-001", "zone-01")
		view.ApplyList(now, entries)
		return view
	})
	random := rand.New(rand.NewPCG(options.Seed, 0))
	pickMicros := microsPerOperation(options.Repeats, picks, func() {
		for i := range picks {
			request := routing.Request{
				Pool: upstreams.Pool{Model: modelName(i)}, Estimate: requestCost,
				PrefixHash: random.Uint64(), Random: random.Uint64(),
			}
			if member := routing.Pick(view, now, &request); member != nil {
				target := member.Target()
				view.StartAttempt(now, member, requestCost)
				view.EndAttempt(now, request.Pool, target, upstreams.Completed, time.Second, int64(requestCost), requestCost)
			}
		}
	})
	applyMicros := microsPerOperation(options.Repeats, 1, func() { view.ApplyList(now, entries) })
	evaluateMicros := microsPerOperation(options.Repeats, 1, func() { view.Evaluate(now); view.Capacities(now, nil) })
	decodeMicros := microsPerOperation(options.Repeats, 1, func() {
		var form platformwire.Members
		if json.Unmarshal(content, &form) == nil {
			runtime.KeepAlive(platform.DecodeMembers(form))
		}
	})
	point := func(metric string, value float64, unit string) Point {
		return Point{"routing", "upstreams in the list", float64(count), metric, value, unit}
	}
	return []Point{
		point("processor time per pick and end", pickMicros, "µs"),
		point("processor time per list applied", applyMicros, "µs"),
		point("processor time per list decoded", decodeMicros, "µs"),
		point("processor time per evaluation", evaluateMicros, "µs"),
		point("heap of the view", heapBytes, "B"),
		point("size of the list", float64(len(content)), "B"),
	}
}

// directory is a static list of upstreams.
type directory struct {
	list []platform.Member
}

// Members implements platform.Directory.
func (d *directory) Members(context.Context) ([]platform.Member, error) { return d.list, nil }

// reporter answers load polls and sends the size of each report to a channel.
type reporter struct{ reports chan int }

// Load implements balancer.Reporter.
func (r *reporter) Load(_ context.Context, target core.Target) (upstreams.Report, error) {
	content, err := json.Marshal(upstreamwire.Load{
		Upstream: string(target.Upstream), Incarnation: uint64(target.Incarnation), Running: 20, MaxRunning: 64,
		KVUsed: 100_000, KVTotal: 400_000, TokensPerSecond: 900, MeasuredAt: time.Now(),
	})
	r.reports <- len(content)
	return upstreams.Report{Upstream: target.Upstream, Incarnation: target.Incarnation, Running: 20, MaxRunning: 64, MeasuredAt: time.Now()}, err
}

// reportTraffic counts the load reports that a balancer polls with the largest
// list and requests for all models.
func reportTraffic(ctx context.Context, options Options) Point {
	const capacity = 1 << 12
	options.Duration /= shortRunDivisor
	counter := &reporter{reports: make(chan int, capacity)}
	host := balancer.New(balancer.Config{
		Directory: &directory{members(designServers)}, LoadClient: counter, Self: "host-001", Zone: "zone-01", Seed: options.Seed,
	})
	var group task.Group
	group.Start(host)
	arrivals(ctx, options, averageRate, func(number uint64) {
		work := &core.Work{
			Call:     &core.Call{Kind: core.KindCompletion, Completion: &core.Completion{Model: modelName(int(number))}},
			Estimate: requestCost, Idempotent: true,
		}
		if target, err := host.Pick(ctx, route.Query{Work: work, Attempt: 1}); err == nil {
			host.Observe(route.Observation{Target: target, Model: work.Model(), Kind: route.Finished, Elapsed: time.Second, Tokens: int64(requestCost), Estimate: requestCost, Bytes: work.Call.Bytes()})
		}
	})
	group.Stop()
	return Point{"routing", "upstreams in the list", designServers, "load reports per host", float64(len(counter.reports)) / options.Duration.Seconds(), "1/s"}
}
