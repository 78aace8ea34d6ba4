package fleet

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
	standin "github.com/peridotreel/peridotreel/internal/standin/platform"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/members"
	"github.com/peridotreel/peridotreel/internal/tasks/teams"
)

const (
	// period stands for one second of the product. The cost of a period doesn't
	// depend on its length, so periods that are four times shorter save time.
	// With 300 hosts, still shorter ones would overload the machine.
	period = 250 * time.Millisecond
	// scale is the number of product seconds per second of real time.
	scale = int(time.Second / period)
	// warmupPeriods let the hosts discover each other. Then a third of a period
	// per host follows, as each host opens its connections with three pings per
	// period.
	warmupPeriods = 20
	// periodsPerSave is the number of periods between saves of configuration, 22,000 a day.
	periodsPerSave = 4
	// teamCount is small because each of the hosts in this process has a copy of
	// the table in memory.
	teamCount  = 100
	bytesPerMB = 1 << 20
)

// Cost is what membership and configuration cost one host in a fleet of a given
// size. Times and rates are scaled to the product, in which a period is 1 s.
type Cost struct {
	Hosts   int
	Periods int
	// In and Out are in bytes/s, without TCP and IP headers.
	In, Out float64
	// CPU is the processor time per second. It includes the in-memory network and
	// the platform stand-in, but no TCP processing in the kernel.
	CPU time.Duration
	// Memory is the heap and the stacks in bytes.
	Memory float64
	// NotAlive counts, over all hosts, the peers seen as not alive at the end,
	// though all were alive.
	NotAlive int
	// InForce is the longest time until a saved row was in force on all hosts,
	// without the rows counted in Late.
	InForce time.Duration
	// Late counts the saved rows that were not in force on all hosts by the next
	// save.
	Late int
}

// fleetHost is one host of the measured fleet.
type fleetHost struct {
	members *members.Task
	teams   *teams.Task
	traffic *peerrpc.Traffic
	group   task.Group
}

// Measure runs a fleet of the given size until it has settled and measures it
// for the given number of periods, a multiple of 4.
func Measure(ctx context.Context, hosts, periods int) (Cost, error) {
	runtime.GC()
	memoryBefore := memoryInUse()
	service := standin.NewService()
	var group task.Group
	group.Start(service)
	defer group.Stop()
	if err := saveTeams(ctx, service); err != nil {
		return Cost{}, err
	}
	fleet := startFleet(service, hosts)
	defer func() {
		for _, host := range fleet {
			host.group.Stop()
		}
	}()
	if err := task.Sleep(ctx, time.Duration(warmupPeriods+hosts/3)*period); err != nil {
		return Cost{}, err
	}
	cost := Cost{Hosts: hosts, Periods: periods}
	inBefore, outBefore := totalTraffic(fleet)
	cpuBefore := processTime()
	err := cost.saveRows(ctx, service, fleet)
	if err != nil {
		return Cost{}, err
	}
	cpu := processTime() - cpuBefore
	in, out := totalTraffic(fleet)
	perHostSecond := 1 / float64(hosts*periods)
	cost.In, cost.Out = float64(in-inBefore)*perHostSecond, float64(out-outBefore)*perHostSecond
	cost.CPU = time.Duration(float64(cpu) * perHostSecond)
	cost.InForce *= time.Duration(scale)
	for _, host := range fleet {
		for _, peer := range host.members.Peers().Peers {
			if peer.State != core.PeerAlive {
				cost.NotAlive++
			}
		}
	}
	runtime.GC()
	cost.Memory = (memoryInUse() - memoryBefore) / float64(hosts)
	return cost, nil
}

// WriteCosts measures fleets of several sizes and writes a table.
func WriteCosts(ctx context.Context, w io.Writer, sizes []int, periods int) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := fmt.Fprintln(table, "hosts\tin B/s\tout B/s\tCPU ms/s\tmemory MB\tnot alive\tin force\tlate\t"); err != nil {
		return err
	}
	for _, size := range sizes {
		cost, err := Measure(ctx, size, periods)
		if err != nil {
			return fmt.Errorf("measure %d hosts: %w", size, err)
		}
		_, err = fmt.Fprintf(table, "%d\t%.0f\t%.0f\t%.3f\t%.2f\t%d\t%s\t%d\t\n", cost.Hosts, cost.In, cost.Out,
			cost.CPU.Seconds()*1000, cost.Memory/bytesPerMB, cost.NotAlive, cost.InForce.Round(100*time.Millisecond), cost.Late)
		if err != nil {
			return err
		}
	}
	return table.Flush()
}

func startFleet(service *standin.Service, hosts int) []*fleetHost {
	network := NewNetwork()
	started := make([]*fleetHost, hosts)
	for i := range started {
		started[i] = startHost(network, service, i)
	}
	return started
}

func hostAddress(i int) string {
	return fmt.Sprintf("10.1.%d.%d:7000", i/256, i%256)
}

func startHost(network *Network, service *standin.Service, i int) *fleetHost {
	host := &fleetHost{traffic: &peerrpc.Traffic{}}
	client := peerrpc.NewClient(peerrpc.ClientConfig{Dial: network.Dialer(hostAddress(i)), Traffic: host.traffic})
	server := peerrpc.NewServer(peerrpc.ServerConfig{Listener: network.Listen(hostAddress(i)), Traffic: host.traffic})
	host.members = members.New(members.Config{
		Self: core.HostRef{Host: core.HostID(fmt.Sprintf("host-%03d", i)), Incarnation: core.Incarnation(time.Now().UnixNano())},
		Zone: core.ZoneName(fmt.Sprintf("zone-%02d", i%23)), Address: hostAddress(i),
		Seeds: []string{hostAddress(0), hostAddress(1), hostAddress(2)}, Caller: client, Seed: uint64(i), Period: period})
	host.teams = teams.New(teams.Config{Table: service, Caller: client, Peers: host.members,
		OnRevision: host.members.SetRevision, Interval: period, Seed: uint64(i)})
	for _, register := range []func(peerrpc.Registrar) error{host.members.Register, host.teams.Register} {
		if err := register(server); err != nil {
			panic(err)
		}
	}
	for _, t := range []task.Task{client, server, host.members, host.teams} {
		host.group.Start(t)
	}
	return host
}

func saveTeam(ctx context.Context, table platform.Table, i int, weight int) (platform.Revision, error) {
	team := core.TeamName(fmt.Sprintf("team-%04d", i))
	value, err := rows.EncodeTeam(&core.TeamRow{Team: team, Weight: weight, Budget: "budget", MaxInFlight: 100,
		TokensPerSecond: 10000, QueueLength: 100, Deadline: time.Minute,
		Classes: []core.ClassRow{{Name: "short", MaxTokens: 100}, {Name: "long", Long: true, MaxTokens: 4000}}})
	if err != nil {
		return 0, err
	}
	return table.Commit(ctx, platform.Commit{Writes: []platform.Write{{Key: rows.TeamKey(team), Value: value}}})
}

func saveTeams(ctx context.Context, table platform.Table) error {
	for i := range teamCount {
		if _, err := saveTeam(ctx, table, i, 1); err != nil {
			return err
		}
	}
	return nil
}

// saveRows saves a row every periodsPerSave periods and records how long each
// takes to be in force on all hosts.
func (c *Cost) saveRows(ctx context.Context, table platform.Table, hosts []*fleetHost) error {
	for elapsedPeriods := 0; elapsedPeriods < c.Periods; elapsedPeriods += periodsPerSave {
		started := time.Now()
		revision, err := saveTeam(ctx, table, elapsedPeriods%teamCount, elapsedPeriods+2)
		if err != nil {
			return err
		}
		reachedAll := false
		for range periodsPerSave * scale {
			if err := task.Sleep(ctx, period/time.Duration(scale)); err != nil {
				return err
			}
			if !reachedAll && inForce(hosts, int64(revision)) {
				reachedAll = true
				c.InForce = max(c.InForce, time.Since(started))
			}
		}
		if !reachedAll {
			c.Late++
		}
	}
	return nil
}

func inForce(hosts []*fleetHost, revision int64) bool {
	for _, host := range hosts {
		if host.teams.Status().Revision < revision {
			return false
		}
	}
	return true
}

func totalTraffic(hosts []*fleetHost) (in, out int64) {
	for _, host := range hosts {
		hostIn, hostOut := host.traffic.Totals()
		in += hostIn
		out += hostOut
	}
	return in, out
}

// processTime returns the processor time that this process has used.
func processTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func memoryInUse() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
