package host

import (
	"context"
	"errors"
	"hash/fnv"
	"time"

	"go.opentelemetry.io/otel/metric"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
	"github.com/peridotreel/peridotreel/internal/journal"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/admitter"
	"github.com/peridotreel/peridotreel/internal/tasks/balancer"
	"github.com/peridotreel/peridotreel/internal/tasks/bills"
	"github.com/peridotreel/peridotreel/internal/tasks/calls"
	"github.com/peridotreel/peridotreel/internal/tasks/claimant"
	"github.com/peridotreel/peridotreel/internal/tasks/connections"
	"github.com/peridotreel/peridotreel/internal/tasks/endings"
	"github.com/peridotreel/peridotreel/internal/tasks/members"
	"github.com/peridotreel/peridotreel/internal/tasks/shares"
	"github.com/peridotreel/peridotreel/internal/tasks/teams"
	"github.com/peridotreel/peridotreel/internal/tasks/tunnels"
	"github.com/peridotreel/peridotreel/internal/telemetry"
	"github.com/peridotreel/peridotreel/internal/upstream"
	"github.com/peridotreel/peridotreel/internal/upstream/wire"
)

// tasks are the tasks of a host.
type tasks struct {
	store    *platform.Client
	client   *peerrpc.Client
	members  *members.Task
	server   *peerrpc.Server
	teams    *teams.Task
	shares   *shares.Task
	bills    *bills.Task
	claimant *claimant.Task
	admitter *admitter.Task
	balancer *balancer.Task
	calls    *calls.Task
	upstream *upstream.Client
	// tunnels serves the tunnels of other hosts, and helpers opens this host's through them.
	tunnels *tunnels.Server
	helpers *tunnels.Client
	// endings has the account of callers' requests and connections, and connections
	// reports the latter to it.
	endings     *endings.Endings
	connections *connections.Connections
}

// loadReporter reads the load reports of upstreams for the balancer.
type loadReporter struct {
	client *upstream.Client
}

// Load implements balancer.Reporter.
func (r loadReporter) Load(ctx context.Context, target core.Target) (upstreams.Report, error) {
	report, err := r.client.Load(ctx, target)
	return upstreams.Report(report), err
}

// shareRefunder credits the cost of dropped bills to the shares.
type shareRefunder struct {
	shares *shares.Task
}

// Refund implements bills.Refunder.
func (r shareRefunder) Refund(share core.ShareID, cost core.Tokens) {
	r.shares.Credit(share, cost)
}

// randomSeed derives the seed of a host's random choices from its identity, so
// that hosts that start at the same moment choose differently.
func randomSeed(self core.HostRef) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(self.String()))
	return digest.Sum64()
}

func newTasks(options Options, opened listeners, meter metric.Meter) (*tasks, error) {
	config, now, log := options.Settings, options.Now, options.Log
	self := core.HostRef{Host: config.Host, Incarnation: options.Incarnation}
	seed := randomSeed(self)
	store := platform.NewClient(config.Platform)
	traffic := &peerrpc.Traffic{}
	t := &tasks{
		store:  store,
		client: peerrpc.NewClient(peerrpc.ClientConfig{Traffic: traffic, Dial: options.Dial}),
	}
	t.endings = endings.New()
	t.connections = connections.New(t.endings)
	t.upstream = upstream.NewClient(upstream.WithLoads(t.reportAnswerLoad), upstream.WithDial(options.DialUpstream), upstream.WithLinks(links{t}))
	t.helpers = tunnels.NewClient(tunnels.ClientConfig{Host: config.Host, Zone: config.Zone, Dial: options.Dial, Log: log, Now: now})
	t.members = members.New(members.Config{
		PeersChanged: t.setHelpers,
		Self:         self, Zone: config.Zone, Address: opened.peers.Addr().String(), Directory: store,
		Seeds: config.Peers, Caller: t.client, Now: now, Seed: seed, Log: log, Meter: meter,
	})
	t.teams = teams.New(teams.Config{
		Table: store, Caller: t.client, Peers: t.members, OnRevision: t.members.SetRevision,
		Now: now, Seed: seed, Log: log, Meter: meter,
	})
	t.shares = shares.New(shares.Config{
		Table: store, Peers: t.members, Caller: t.client, Self: self, Zone: config.Zone, Now: now, Log: log, Meter: meter,
	})
	journals := journal.Reader{Table: store, Objects: store.Objects()}
	t.bills = bills.New(bills.Config{
		Refunds: shareRefunder{t.shares},
		SettleShares: func(ctx context.Context, owner core.HostRef) error {
			return journals.SettleShares(ctx, t.shares.SettleShare, owner)
		},
		Self: self, Zone: config.Zone, Table: store, Objects: store.Objects(), Peers: t.members, Caller: t.client,
		Now: now, Log: log, Meter: meter,
	})
	t.claimant = claimant.New(claimant.Config{
		Self: self, Table: store, Objects: store.Objects(), Peers: t.members, Now: now, Log: log, Meter: meter,
	})
	t.calls = calls.New(calls.Config{Self: self, Zone: config.Zone, Peers: t.members, Caller: t.client, Now: now, Meter: meter})
	t.admitter = admitter.New(admitter.Config{Peers: t.members, Caller: t.client, Now: now, Log: log, Meter: meter})
	t.balancer = balancer.New(balancer.Config{
		Directory: store, LoadClient: loadReporter{t.upstream}, Capacities: t.admitter,
		Connect: t.upstream.Connect, LinksLost: t.upstream.DropIdleConnections,
		Self: config.Host, Zone: config.Zone, Now: now, Seed: seed, Log: log, Meter: meter,
	})
	t.tunnels = tunnels.NewServer(tunnels.ServerConfig{
		Gate: tunnelGate{t.balancer}, Dial: t.upstream.Dial, DecodeHead: decodeHead, Log: log,
	})
	t.server = peerrpc.NewServer(peerrpc.ServerConfig{Listener: opened.peers, Traffic: traffic, Log: log, Tunnels: t.tunnels.Serve})
	totals := func(ctx context.Context) (telemetry.TunnelTotals, error) {
		return tunnels.Totals(ctx, t.helpers, t.tunnels)
	}
	return t, errors.Join(traffic.Observe(meter), telemetry.RegisterEndings(meter, t.endings.Totals), telemetry.RegisterTunnels(meter, totals),
		t.register())
}

// reportAnswerLoad passes the load report in an engine's answer to the balancer.
func (t *tasks) reportAnswerLoad(target core.Target, load wire.AnswerLoad) {
	t.balancer.ApplyAnswerLoad(target, load.Running, load.Waiting, load.MaxRunning)
}

// register registers the tasks' RPC receivers, which peers call.
func (t *tasks) register() error {
	return errors.Join(
		t.members.Register(t.server), t.teams.Register(t.server),
		t.server.RegisterName(shares.ReceiverName, t.shares.Receiver()),
		t.server.RegisterName(admitter.ReceiverName, t.admitter.Receiver()),
		t.bills.Register(t.server), t.calls.Register(t.server),
	)
}

// start starts the tasks in the order of their dependencies: each task relies on
// those before it.
func (t *tasks) start(group *task.Group) {
	group.Start(t.client)
	group.Start(t.helpers)
	group.Start(t.members)
	group.Start(t.teams)
	group.Start(t.shares)
	group.Start(t.bills)
	group.Start(t.claimant)
	group.Start(t.calls)
	group.Start(t.admitter)
	group.Start(t.balancer)
	group.Start(t.tunnels)
	group.Start(t.server)
}

// leaveTimeout limits the time to announce to peers that this host is leaving.
// Peers that can't be reached learn it from the platform's list of machines.
const leaveTimeout = time.Second

// leave announces to peers that this host is leaving.
func (t *tasks) leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	return t.members.Leave(ctx)
}

// drain stores the pending bills and the outcomes of calls and returns the shares.
// Bills come first because they are charged to the shares.
func (t *tasks) drain(ctx context.Context) error {
	return errors.Join(t.bills.Drain(ctx), t.claimant.Drain(ctx), t.shares.Drain(ctx))
}
