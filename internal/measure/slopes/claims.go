package slopes

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/peridotreel/peridotreel/internal/core"
	network "github.com/peridotreel/peridotreel/internal/measure/fleet"
	standin "github.com/peridotreel/peridotreel/internal/standin/platform"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/calls"
	"github.com/peridotreel/peridotreel/internal/tasks/claimant"
)

const (
	// callDuration is how long a non-idempotent call runs.
	callDuration = 30 * time.Millisecond
	// registeredDuration is how long a keyed request runs. It is longer than the
	// 100 ms after which the request is registered at its replicas.
	registeredDuration = 300 * time.Millisecond
	// shortRunDivisor shortens the runs of measurements that have no long
	// intervals.
	shortRunDivisor = 4
)

// claims measures the claims of non-idempotent calls, at several rates
// concurrently.
func claims(ctx context.Context, options Options) ([]Point, error) {
	options.Duration /= shortRunDivisor
	return atRates(func(rate int) []Point { return claimsAtRate(ctx, options, rate) }), ctx.Err()
}

// atRates measures all rates concurrently, as each needs little processor time.
func atRates(measure func(rate int) []Point) []Point {
	measured := make([][]Point, len(requestRates))
	var runs sync.WaitGroup
	for i, rate := range requestRates {
		runs.Go(func() { measured[i] = measure(rate) })
	}
	runs.Wait()
	var points []Point
	for _, part := range measured {
		points = append(points, part...)
	}
	return points
}

func claimsAtRate(ctx context.Context, options Options, rate int) []Point {
	var group task.Group
	defer group.Stop()
	service := standin.NewService()
	group.Start(service)
	var counts platformCounts
	host := claimant.New(claimant.Config{
		Self: core.HostRef{Host: "host-001", Incarnation: 1}, Table: countedTable{service, &counts}, Objects: service.Objects(),
	})
	group.Start(host)
	team := &core.TeamRow{Team: "team-00001"}
	var failed atomic.Int64
	count := arrivals(ctx, options, rate, func(uint64) {
		work := &core.Work{
			Call: &core.Call{IdempotencyKey: ulid.Make().String()}, Caller: core.Caller{Team: team},
			Deadline: time.Now().Add(time.Minute),
		}
		if _, err := host.Claim(ctx, work); err != nil {
			failed.Add(1)
			return
		}
		time.Sleep(callDuration)
		host.Complete(ctx, work, &core.Answer{Service: &core.ServiceAnswer{Status: 200, Body: make([]byte, 200)}})
	})
	calls := max(1, float64(count))
	point := func(metric string, value float64, unit string) Point {
		return Point{"claims", "calls/s", float64(rate), metric, value, unit}
	}
	return []Point{
		point("commits per host", float64(counts.commits.Load())/options.Duration.Seconds(), "1/s"),
		point("commits per call", float64(counts.commits.Load())/calls, "commits"),
		point("reads per call", float64(counts.reads.Load())/calls, "reads"),
		point("platform traffic per call", float64(counts.tableBytes.Load())/calls, "B"),
		point("failed calls", float64(failed.Load()), "calls"),
	}
}

// registry measures the registration of keyed requests at two replicas.
func registry(ctx context.Context, options Options) ([]Point, error) {
	options.Duration /= shortRunDivisor
	return atRates(func(rate int) []Point { return registryAtRate(ctx, options, rate) }), ctx.Err()
}

// registryAtRate measures one host that runs keyed requests, in a fleet of six hosts
// in three zones.
func registryAtRate(ctx context.Context, options Options, rate int) []Point {
	const zones, perZone = 3, 2
	var group task.Group
	defer group.Stop()
	net := network.NewNetwork()
	net.SetDelay(linkDelay)
	var nodes []*node
	for i := range zones * perZone {
		nodes = append(nodes, newNode(net, core.HostID(fmt.Sprintf("host-%03d", i)), core.ZoneName(fmt.Sprintf("zone-%02d", i/perZone))))
	}
	var host *calls.Task
	for _, peerNode := range nodes {
		host = calls.New(calls.Config{Self: peerNode.peer.Ref, Zone: peerNode.peer.Zone, Peers: viewOf(peerNode, nodes), Caller: peerNode.client})
		// The name is valid, so registering can't fail.
		_ = host.Register(peerNode.server)
		peerNode.start(&group)
		group.Start(host)
	}
	target := core.Target{Upstream: "engine-00001", Incarnation: 1, Zone: "zone-01", Address: "10.0.0.1:8000"}
	count := arrivals(ctx, options, rate, func(number uint64) {
		id := bill(nodes[0].peer.Ref, number, true).Request
		host.Begin(id)
		host.Located(id, target)
		time.Sleep(registeredDuration)
		host.Finished(id)
	})
	// Wait for the flush that sends the last updates.
	time.Sleep(registeredDuration)
	sent := float64(nodes[len(nodes)-1].bytes())
	return []Point{
		{"calls", "keyed requests/s", float64(rate), "peer traffic per request", sent / max(1, float64(count)), "B"},
		{"calls", "keyed requests/s", float64(rate), "peer traffic per host", sent / options.Duration.Seconds(), "B/s"},
	}
}
