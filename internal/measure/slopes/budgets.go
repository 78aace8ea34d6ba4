package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/budget"
	network "github.com/peridotreel/peridotreel/internal/measure/fleet"
	standin "github.com/peridotreel/peridotreel/internal/standin/platform"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/shares"
)

const (
	// prepaid is large enough that no budget runs out in a run.
	prepaid core.Tokens = 1_000_000_000
	// requestCost is what a request reserves and spends.
	requestCost core.Tokens = 500
	// warmupSeconds of the fake clock pass before the measurement: demand
	// estimates converge within a few demand windows of 5 s.
	warmupSeconds = 30
	// measuredSeconds is longer than the minute after which an idle share expires.
	measuredSeconds = 90
	// usualRate is requests per second, budget and host.
	usualRate = 0.5
)

// budgetSize is the size of one run of the shares tasks.
type budgetSize struct {
	parameter             string
	at                    float64
	zones, hosts, budgets int
	// rate is requests per second, budget and host.
	rate float64
}

func budgetSizes() []budgetSize {
	var sizes []budgetSize
	for _, n := range []int{3, 10, 30, 100, 300} {
		sizes = append(sizes, budgetSize{"budgets per host", float64(n), 1, 3, n, usualRate})
	}
	for _, n := range []int{1, 3, 10, 30} {
		sizes = append(sizes, budgetSize{"hosts per zone", float64(n), 1, n, 10, usualRate})
	}
	for _, n := range []int{1, 3, 10, 23} {
		sizes = append(sizes, budgetSize{"zones", float64(n), n, 1, 10, usualRate})
	}
	for _, rate := range []float64{0.01, 0.03, 0.1, 0.3, 1} {
		sizes = append(sizes, budgetSize{"requests/s per budget", rate, 1, 3, 100, rate})
	}
	return sizes
}

// budgets measures the shares task on a fake clock. The platform answers
// immediately, so draws are hardly batched and the commits are an upper bound.
func budgets(ctx context.Context, options Options) ([]Point, error) {
	var points []Point
	for _, size := range budgetSizes() {
		measured, err := size.run(ctx, options.Seed)
		if err != nil {
			return nil, err
		}
		points = append(points, measured...)
	}
	return append(points, budgetMemory(ctx)...), ctx.Err()
}

// budgetFleet is a fleet of shares tasks on one fake clock.
type budgetFleet struct {
	size     budgetSize
	counts   platformCounts
	nodes    []*node
	hosts    []*shares.Task
	ticks    []chan time.Time
	now      atomic.Int64
	random   *rand.Rand
	requests int64
}

func (f *budgetFleet) clock() time.Time {
	return time.Unix(0, f.now.Load())
}

func budgetName(i int) core.BudgetID {
	return core.BudgetID(fmt.Sprintf("budget-%05d", i))
}

func newBudgetFleet(size budgetSize, service *standin.Service, seed uint64, group *task.Group) *budgetFleet {
	f := &budgetFleet{size: size, random: rand.New(rand.NewPCG(seed, 0))}
	f.now.Store(time.Unix(1_800_000_000, 0).UnixNano())
	net := network.NewNetwork()
	for i := range size.zones * size.hosts {
		zone := core.ZoneName(fmt.Sprintf("zone-%02d", i/size.hosts))
		f.nodes = append(f.nodes, newNode(net, core.HostID(fmt.Sprintf("host-%03d", i)), zone))
	}
	for _, node := range f.nodes {
		ticks := make(chan time.Time)
		host := shares.New(shares.Config{
			Table: countedTable{service, &f.counts}, Peers: viewOf(node, f.nodes), Caller: node.client,
			Self: node.peer.Ref, Zone: node.peer.Zone, Now: f.clock, Ticks: ticks,
		})
		// The name is valid, so registering can't fail.
		_ = node.server.RegisterName(shares.ReceiverName, host.Receiver())
		f.hosts, f.ticks = append(f.hosts, host), append(f.ticks, ticks)
		node.start(group)
		group.Start(host)
	}
	return f
}

func topUp(ctx context.Context, service *standin.Service, count int) error {
	ledger := shares.NewTableLedger(service, time.Now)
	for i := range count {
		payment := budget.TopUp{Budget: budgetName(i), Token: "first", Amount: prepaid}
		if err := ledger.TopUp(ctx, payment); err != nil {
			return err
		}
	}
	return nil
}

// run measures one size. All hosts draw from the same budgets.
func (s budgetSize) run(ctx context.Context, seed uint64) ([]Point, error) {
	service := standin.NewService()
	var group task.Group
	group.Start(service)
	defer group.Stop()
	if err := topUp(ctx, service, s.budgets); err != nil {
		return nil, err
	}
	f := newBudgetFleet(s, service, seed, &group)
	if err := f.advance(ctx, warmupSeconds); err != nil {
		return nil, err
	}
	before, requestsBefore, cpuTime := f.snapshot(), f.requests, processorTime()
	if err := f.advance(ctx, measuredSeconds); err != nil {
		return nil, err
	}
	cpuTime = processorTime() - cpuTime
	return f.points(before, f.snapshot(), f.requests-requestsBefore, cpuTime), nil
}

// budgetCounts are the counts from which the points are computed.
type budgetCounts struct{ commits, writes, reads, table, peers float64 }

func (f *budgetFleet) snapshot() budgetCounts {
	var peers int64
	for _, node := range f.nodes {
		peers += node.bytes()
	}
	return budgetCounts{
		float64(f.counts.commits.Load()), float64(f.counts.writes.Load()), float64(f.counts.reads.Load()),
		float64(f.counts.tableBytes.Load()), float64(peers),
	}
}

func (f *budgetFleet) points(before, after budgetCounts, requests int64, cpuTime time.Duration) []Point {
	hostSeconds := float64(len(f.hosts)) * measuredSeconds
	commits := after.commits - before.commits
	point := func(metric string, value float64, unit string) Point {
		return Point{"budgets", f.size.parameter, f.size.at, metric, value, unit}
	}
	return []Point{
		point("commits per host", commits/hostSeconds, "1/s"),
		point("reads per host", (after.reads-before.reads)/hostSeconds, "1/s"),
		point("rows per commit", (after.writes-before.writes)/max(commits, 1), "rows"),
		point("platform traffic per host", (after.table-before.table)/hostSeconds, "B/s"),
		point("peer traffic per host", (after.peers-before.peers)/hostSeconds, "B/s"),
		point("commits per request", commits/max(float64(requests), 1), "commits"),
		point("processor time per commit, stand-in included", float64(cpuTime.Microseconds())/max(commits, 1), "µs"),
	}
}

// advance advances the fake clock by a number of seconds, in tenths. In each
// tenth, requests arrive at random and end immediately.
func (f *budgetFleet) advance(ctx context.Context, seconds int) error {
	const steps = 10
	for range seconds * steps {
		for _, host := range f.hosts {
			for i := range f.size.budgets {
				if f.random.Float64() >= f.size.rate/steps {
					continue
				}
				reservation, err := host.Reserve(ctx, budgetName(i), requestCost)
				if err != nil {
					return err
				}
				f.requests++
				host.Settle(reservation, requestCost)
			}
		}
		now := f.now.Add(int64(time.Second / steps))
		if now%int64(time.Second) == 0 {
			f.tick(ctx)
		}
	}
	return nil
}

func (f *budgetFleet) tick(ctx context.Context) {
	for _, ticks := range f.ticks {
		select {
		case ticks <- f.clock():
		case <-ctx.Done():
		}
	}
}

// budgetMemory measures the heap of a host by the number of budgets of which it
// holds a share.
func budgetMemory(ctx context.Context) []Point {
	var points []Point
	for _, count := range []int{300, 1000, 3000, 9000} {
		service := standin.NewService()
		var platformGroup, group task.Group
		platformGroup.Start(service)
		if topUp(ctx, service, count) != nil {
			platformGroup.Stop()
			continue
		}
		host, heapBytes := heapOf(func() *shares.Task {
			host := shares.New(shares.Config{Table: service, Self: core.HostRef{Host: "a", Incarnation: 1}, Zone: "z"})
			group.Start(host)
			for i := range count {
				if reservation, err := host.Reserve(ctx, budgetName(i), requestCost); err == nil {
					host.Settle(reservation, requestCost)
				}
			}
			// Release the table, so that its rows are not measured.
			platformGroup.Stop()
			return host
		})
		group.Stop()
		_ = host
		points = append(points, Point{"budgets", "held budgets", float64(count), "heap of the shares task", heapBytes, "B"})
	}
	return points
}
