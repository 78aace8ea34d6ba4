package slopes

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	decide "github.com/peridotreel/peridotreel/internal/decide/billing"
	network "github.com/peridotreel/peridotreel/internal/measure/fleet"
	"github.com/peridotreel/peridotreel/internal/rows"
	standin "github.com/peridotreel/peridotreel/internal/standin/platform"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/bills"
)

const (
	// linkDelay is the network delay between availability zones of one region.
	linkDelay = time.Millisecond
	// The request rates per second and host: a tenth and a third of the average
	// host's rate at peak, that rate, and three times it.
	tenthRate, thirdRate, averageRate, plannedRate = 14, 47, 142, 426
)

var requestRates = []int{tenthRate, thirdRate, averageRate, plannedRate}

// bill returns a bill whose contents are determined by the request's number.
func bill(owner core.HostRef, number uint64, keyed bool) core.Bill {
	random := rand.New(rand.NewPCG(number, uint64(len(owner.Host))))
	var id core.RequestID
	binary.BigEndian.PutUint64(id[:8], random.Uint64())
	binary.BigEndian.PutUint64(id[8:], number)
	budget := random.IntN(designBudgets)
	return core.Bill{
		Request: id, Keyed: keyed,
		Team: core.TeamName(fmt.Sprintf("team-%05d", budget%designTeams)), Class: "chat",
		Share: core.ShareID{Budget: budgetName(budget), Holder: owner},
		Usage: core.Usage{Prompt: core.Tokens(random.IntN(2000)), Generated: core.Tokens(random.IntN(500))},
		Cost:  core.Tokens(random.IntN(2500)), Finished: time.Unix(1_800_000_000, random.Int64N(1e9)),
	}
}

// The fleet size that the capacity plan is computed for.
const (
	designBudgets = 90_000
	designTeams   = 12_000
	designModels  = 31
	designServers = 12_000
)

// billing measures hosts that bill at different rates, concurrently and in real
// time, because the batching of copies depends on real delays.
func billing(ctx context.Context, options Options) ([]Point, error) {
	var measured [][]Point
	var runs sync.WaitGroup
	for _, rate := range requestRates {
		for _, keyed := range []float64{0, 0.1, 0.5, 1} {
			i := len(measured)
			measured = append(measured, nil)
			runs.Go(func() { measured[i] = billingAtRate(ctx, options, rate, keyed) })
		}
	}
	runs.Wait()
	var points []Point
	for _, pair := range measured {
		points = append(points, pair...)
	}
	return append(points, billCosts(options)...), ctx.Err()
}

// billingAtRate measures one host that bills at a rate and copies its bills to a peer
// in another zone. A second peer takes over if the first answers late on a busy
// machine.
func billingAtRate(ctx context.Context, options Options, rate int, keyed float64) []Point {
	var group task.Group
	defer group.Stop()
	service := standin.NewService()
	group.Start(service)
	net := network.NewNetwork()
	net.SetDelay(linkDelay)
	owner := newNode(net, "host-001", "zone-01")
	nodes := []*node{newNode(net, "host-002", "zone-02"), newNode(net, "host-003", "zone-03"), owner}
	var counts platformCounts
	var host *bills.Task
	for _, peerNode := range nodes {
		host = bills.New(bills.Config{
			Self: peerNode.peer.Ref, Zone: peerNode.peer.Zone, Table: countedTable{service, &counts},
			Objects: countedObjects{service.Objects(), &counts},
			Peers:   viewOf(peerNode, nodes), Caller: peerNode.client,
		})
		// The name is valid, so registering can't fail.
		_ = host.Register(peerNode.server)
		peerNode.start(&group)
		group.Start(host)
	}
	random := rand.New(rand.NewPCG(options.Seed, uint64(rate)))
	started := time.Now()
	count := arrivals(ctx, options, rate, func(number uint64) {
		host.Record(ctx, bill(owner.peer.Ref, number, random.Float64() < keyed))
	})
	elapsed, commitSeconds := time.Since(started).Seconds(), counts.untilLastCommit(started)
	parameter := fmt.Sprintf("bills/s, %.0f%% keyed", 100*keyed)
	point := func(metric string, value float64, unit string) Point {
		return Point{"billing", parameter, float64(rate), metric, value, unit}
	}
	return []Point{
		point("commits per host", float64(counts.commits.Load())/commitSeconds, "1/s"),
		point("objects per host", float64(counts.objects.Load())/commitSeconds, "1/s"),
		point("conditions per commit", float64(counts.conditions.Load())/max(1, float64(counts.commits.Load())), "rows"),
		point("table traffic per host", float64(counts.tableBytes.Load())/commitSeconds, "B/s"),
		point("object traffic per host", float64(counts.objectBytes.Load())/commitSeconds, "B/s"),
		point("peer traffic per host", float64(owner.bytes())/elapsed, "B/s"),
		point("peer traffic per bill", float64(owner.bytes())/max(1, float64(count)), "B"),
	}
}

// arrivals calls handle as a Poisson process with a mean rate, each time in a
// new goroutine, and returns the number of calls once all have ended.
func arrivals(ctx context.Context, options Options, rate int, handle func(number uint64)) int {
	random := rand.New(rand.NewPCG(options.Seed, uint64(rate)))
	var calls sync.WaitGroup
	defer calls.Wait()
	started := time.Now()
	var at time.Duration
	for number := 0; ; number++ {
		at += time.Duration(random.ExpFloat64() * float64(time.Second) / float64(rate))
		if at >= options.Duration || ctx.Err() != nil {
			return number
		}
		time.Sleep(time.Until(started.Add(at)))
		calls.Go(func() { handle(uint64(number)) })
	}
}

// billCosts measures the processor time and memory of the billing decisions.
func billCosts(options Options) []Point {
	owner := core.HostRef{Host: "host-001", Incarnation: 1}
	now := time.Unix(1_800_000_000, 0)
	const count = 20_000
	list := make([]core.Bill, count)
	for i := range list {
		list[i] = bill(owner, uint64(i), false)
	}
	billMicros := microsPerOperation(options.Repeats, count, func() {
		pending := decide.NewPendingBills(owner)
		for _, entry := range list {
			pending.Record(entry, now)
			if step := pending.NextOwnStep(now, false); step != nil {
				pending.FinishWrite(step)
			}
		}
	})
	points := []Point{{"billing", "bills", count, "processor time per bill, decisions only", billMicros, "µs"}}
	segment := decide.Segment{Owner: owner, Number: 1, Bills: list[:decide.MaxSegmentBills]}
	encodeMicros := microsPerOperation(options.Repeats, len(segment.Bills), func() { runtime.KeepAlive(rows.EncodeSegment(segment)) })
	points = append(points, Point{"billing", "bills", decide.MaxSegmentBills, "processor time per bill, encoding of the object", encodeMicros, "µs"})
	for _, size := range []int{1000, 10_000, 100_000} {
		at := float64(size)
		_, pendingBytes := heapOf(func() *decide.PendingBills { return pendingBills(owner, size, now) })
		points = append(points, Point{"billing", "pending bills", at, "heap of pending bills", pendingBytes, "B"})
		_, heldBytes := heapOf(func() *decide.PendingBills { return heldCopies(owner, size, now) })
		points = append(points, Point{"billing", "kept copies", at, "heap of kept copies", heldBytes, "B"})
	}
	return points
}

func pendingBills(owner core.HostRef, size int, now time.Time) *decide.PendingBills {
	pending := decide.NewPendingBills(owner)
	for i := range size {
		pending.Record(bill(owner, uint64(i), false), now)
	}
	return pending
}

// heldCopies returns the pending bills of a peer that holds copies, received in
// messages of copiesPerMessage.
func heldCopies(owner core.HostRef, size int, now time.Time) *decide.PendingBills {
	const copiesPerMessage = 500
	held := decide.NewPendingBills(core.HostRef{Host: "host-002", Incarnation: 1})
	for first := 0; first < size; first += copiesPerMessage {
		var copies []decide.Copy
		for i := first; i < first+copiesPerMessage; i++ {
			copies = append(copies, decide.Copy{Sequence: uint64(i + 1), Bill: bill(owner, uint64(i), false)})
		}
		held.HoldCopies(owner, 0, copies, now)
	}
	return held
}
