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
	// period stands for one second of the product. What a period costs doesn't
	// depend on its length, so four times shorter ones save time. Still shorter
	// ones would overload this machine with 300 hosts.
	period = 250 * time.Millisecond
	// scale is how many seconds of the product pass in one.
	scale = int(time.Second / period)
	// settlePeriods let the hosts find each other. After that, three pings a
	// period open a connection to each other host.
	settlePeriods = 20
	// changeEvery is the time between changes of configuration, 22,000 a day.
	changeEvery = 4
	// teamCount is small, because all hosts share this process's memory.
	teamCount = 100
	// bytesPerMB converts memory.
	bytesPerMB = 1 << 20
)

// Slope is what membership and configuration cost one host in a fleet of some
// size. Times and rates are those of the product, in which a period is 1 s.
type Slope struct {
	Hosts   int
	Periods int
	// In and Out are bytes a second, without TCP and IP headers.
	In, Out float64
	// CPU is the process time a second, the network in memory and the
	// stand-in of the platform included, the kernel's TCP excluded.
	CPU time.Duration
	// Memory is heap and stacks in bytes.
	Memory float64
	// NotAlive counts the peers that some host saw as suspected or dead at the
	// end, though all were alive.
	NotAlive int
	// InForce is the longest time until a saved row was in force on all hosts,
	// those of Late left out.
	InForce time.Duration
	// Late counts the saves that were not in force on all hosts by the next one.
	Late int
}

// member is one host of the measured fleet.
type member struct {
	members *members.Task
	teams   *teams.Task
	traffic *peerrpc.Traffic
	group   task.Group
}

// Measure runs a fleet of some size for some periods after it has settled.
// Periods is a multiple of 4.
func Measure(ctx context.Context, hosts, periods int) (Slope, error) {
	runtime.GC()
	before := memory()
	service := standin.NewService()
	var group task.Group
	group.Start(service)
	defer group.Stop()
	if err := fill(ctx, service); err != nil {
		return Slope{}, err
	}
	fleet := startFleet(service, hosts)
	defer func() {
		for _, host := range fleet {
			host.group.Stop()
		}
	}()
	if err := task.Sleep(ctx, time.Duration(settlePeriods+hosts/3)*period); err != nil {
		return Slope{}, err
	}
	slope := Slope{Hosts: hosts, Periods: periods}
	inBefore, outBefore := totals(fleet)
	cpuBefore := processTime()
	err := slope.change(ctx, service, fleet)
	if err != nil {
		return Slope{}, err
	}
	cpu := processTime() - cpuBefore
	in, out := totals(fleet)
	share := 1 / float64(hosts*periods)
	slope.In, slope.Out = float64(in-inBefore)*share, float64(out-outBefore)*share
	slope.CPU = time.Duration(float64(cpu) * share)
	slope.InForce *= time.Duration(scale)
	for _, host := range fleet {
		for _, peer := range host.members.Peers().Peers {
			if peer.State != core.PeerAlive {
				slope.NotAlive++
			}
		}
	}
	runtime.GC()
	slope.Memory = (memory() - before) / float64(hosts)
	return slope, nil
}

// WriteSlopes measures fleets of several sizes and writes a table.
func WriteSlopes(ctx context.Context, w io.Writer, sizes []int, periods int) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := fmt.Fprintln(table, "hosts\tin B/s\tout B/s\tCPU ms/s\tmemory MB\tnot alive\tin force\tlate\t"); err != nil {
		return err
	}
	for _, size := range sizes {
		slope, err := Measure(ctx, size, periods)
		if err != nil {
			return fmt.Errorf("measure %d hosts: %w", size, err)
		}
		_, err = fmt.Fprintf(table, "%d\t%.0f\t%.0f\t%.3f\t%.2f\t%d\t%s\t%d\t\n", slope.Hosts, slope.In, slope.Out,
			slope.CPU.Seconds()*1000, slope.Memory/bytesPerMB, slope.NotAlive, slope.InForce.Round(100*time.Millisecond), slope.Late)
		if err != nil {
			return err
		}
	}
	return table.Flush()
}

func startFleet(service *standin.Service, hosts int) []*member {
	network := NewNetwork()
	started := make([]*member, hosts)
	for i := range started {
		started[i] = startMember(network, service, i)
	}
	return started
}

func hostAddress(i int) string {
	return fmt.Sprintf("10.1.%d.%d:7000", i/256, i%256)
}

func startMember(network *Network, service *standin.Service, i int) *member {
	host := &member{traffic: &peerrpc.Traffic{}}
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
	for _, part := range []task.Task{client, server, host.members, host.teams} {
		host.group.Start(part)
	}
	return host
}

func save(ctx context.Context, table platform.Table, i int, weight int) (platform.Revision, error) {
	team := core.TeamName(fmt.Sprintf("team-%04d", i))
	value, err := rows.EncodeTeam(&core.TeamRow{Team: team, Weight: weight, Budget: "budget", MaxInFlight: 100,
		TokensPerSecond: 10000, QueueLength: 100, Deadline: time.Minute,
		Classes: []core.ClassRow{{Name: "short", MaxTokens: 100}, {Name: "long", Long: true, MaxTokens: 4000}}})
	if err != nil {
		return 0, err
	}
	return table.Commit(ctx, platform.Commit{Writes: []platform.Write{{Key: rows.TeamKey(team), Value: value}}})
}

func fill(ctx context.Context, table platform.Table) error {
	for i := range teamCount {
		if _, err := save(ctx, table, i, 1); err != nil {
			return err
		}
	}
	return nil
}

// change saves a row every few periods and notes how long each took to be in
// force on all hosts.
func (s *Slope) change(ctx context.Context, table platform.Table, hosts []*member) error {
	for passed := 0; passed < s.Periods; passed += changeEvery {
		started := time.Now()
		revision, err := save(ctx, table, passed%teamCount, passed+2)
		if err != nil {
			return err
		}
		reached := false
		for range changeEvery * scale {
			if err := task.Sleep(ctx, period/time.Duration(scale)); err != nil {
				return err
			}
			if !reached && inForce(hosts, int64(revision)) {
				reached = true
				s.InForce = max(s.InForce, time.Since(started))
			}
		}
		if !reached {
			s.Late++
		}
	}
	return nil
}

func inForce(hosts []*member, revision int64) bool {
	for _, host := range hosts {
		if host.teams.Status().Revision < revision {
			return false
		}
	}
	return true
}

func totals(hosts []*member) (in, out int64) {
	for _, host := range hosts {
		hostIn, hostOut := host.traffic.Totals()
		in += hostIn
		out += hostOut
	}
	return in, out
}

// processTime returns the CPU time that this process has used.
func processTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func memory() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}
