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
	"github.com/peridotreel/peridotreel/internal/tasks/members"
	"github.com/peridotreel/peridotreel/internal/tasks/shares"
	"github.com/peridotreel/peridotreel/internal/tasks/teams"
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
}

// reporter gives the balancer the load reports of upstreams.
type reporter struct {
	client *upstream.Client
}

// Load implements balancer.Reporter.
func (r reporter) Load(ctx context.Context, target core.Target) (upstreams.Report, error) {
	report, err := r.client.Load(ctx, target)
	return upstreams.Report(report), err
}

// refunder gives the cost of bills that are dropped back to the shares.
type refunder struct {
	shares *shares.Task
}

// Refund implements bills.Refunder.
func (r refunder) Refund(share core.ShareID, cost core.Tokens) {
	r.shares.Credit(share, cost)
}

// seedOf derives the seed of a host's random choices from its identity, so
// that hosts started at the same instant differ.
func seedOf(self core.HostRef) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(self.String()))
	return digest.Sum64()
}

func newTasks(options Options, opened listeners, meter metric.Meter) (*tasks, error) {
	chosen, now, log := options.Settings, options.Now, options.Log
	self := core.HostRef{Host: chosen.Host, Incarnation: options.Incarnation}
	seed := seedOf(self)
	store := platform.NewClient(chosen.Platform)
	traffic := &peerrpc.Traffic{}
	t := &tasks{
		store:  store,
		client: peerrpc.NewClient(peerrpc.ClientConfig{Traffic: traffic, Dial: options.Dial}),
		server: peerrpc.NewServer(peerrpc.ServerConfig{Listener: opened.peers, Traffic: traffic, Log: log}),
	}
	t.upstream = upstream.NewClient(upstream.WithLoads(t.answered))
	t.members = members.New(members.Config{
		Self: self, Zone: chosen.Zone, Address: opened.peers.Addr().String(), Directory: store,
		Seeds: chosen.Peers, Caller: t.client, Now: now, Seed: seed, Log: log, Meter: meter,
	})
	t.teams = teams.New(teams.Config{
		Table: store, Caller: t.client, Peers: t.members, OnRevision: t.members.SetRevision,
		Now: now, Seed: seed, Log: log, Meter: meter,
	})
	t.shares = shares.New(shares.Config{
		Table: store, Peers: t.members, Caller: t.client, Self: self, Zone: chosen.Zone, Now: now, Log: log, Meter: meter,
	})
	journals := journal.Reader{Table: store, Objects: store.Objects()}
	t.bills = bills.New(bills.Config{
		Refunds: refunder{t.shares},
		SettleShares: func(ctx context.Context, owner core.HostRef) error {
			return journals.SettleShares(ctx, t.shares.SettleShare, owner)
		},
		Self: self, Zone: chosen.Zone, Table: store, Objects: store.Objects(), Peers: t.members, Caller: t.client,
		Now: now, Log: log, Meter: meter,
	})
	t.claimant = claimant.New(claimant.Config{
		Self: self, Table: store, Objects: store.Objects(), Peers: t.members, Now: now, Log: log, Meter: meter,
	})
	t.calls = calls.New(calls.Config{Self: self, Zone: chosen.Zone, Peers: t.members, Caller: t.client, Now: now, Meter: meter})
	t.admitter = admitter.New(admitter.Config{Peers: t.members, Caller: t.client, Now: now, Log: log, Meter: meter})
	t.balancer = balancer.New(balancer.Config{
		Directory: store, LoadClient: reporter{t.upstream}, Capacities: t.admitter,
		Self: chosen.Host, Zone: chosen.Zone, Now: now, Seed: seed, Log: log, Meter: meter,
	})
	return t, errors.Join(traffic.Observe(meter), t.register())
}

// answered hands the load that an engine's answer carries to the balancer.
func (t *tasks) answered(target core.Target, load wire.AnswerLoad) {
	t.balancer.ApplyAnswerLoad(target, load.Running, load.Waiting, load.MaxRunning)
}

// register makes the tasks reachable by peers.
func (t *tasks) register() error {
	return errors.Join(
		t.members.Register(t.server), t.teams.Register(t.server),
		t.server.RegisterName(shares.ReceiverName, t.shares.Receiver()),
		t.server.RegisterName(admitter.ReceiverName, t.admitter.Receiver()),
		t.bills.Register(t.server), t.calls.Register(t.server),
	)
}

// start runs the tasks; a task relies on those started before it.
func (t *tasks) start(group *task.Group) {
	group.Start(t.client)
	group.Start(t.members)
	group.Start(t.teams)
	group.Start(t.shares)
	group.Start(t.bills)
	group.Start(t.claimant)
	group.Start(t.calls)
	group.Start(t.admitter)
	group.Start(t.balancer)
	group.Start(t.server)
}

// leaveTimeout bounds the wait for a peer to learn that this host leaves.
// Peers that can't be reached find out from the platform's list.
const leaveTimeout = time.Second

// leave tells peers that this host is leaving.
func (t *tasks) leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	return t.members.Leave(ctx)
}

// handBack returns what this host holds, bills first, as they are paid from
// the shares.
func (t *tasks) handBack(ctx context.Context) error {
	return errors.Join(t.bills.Drain(ctx), t.claimant.Drain(ctx), t.shares.Drain(ctx))
}
