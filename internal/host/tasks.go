package host

import (
	"context"
	"errors"
	"hash/fnv"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
	"github.com/peridotreel/peridotreel/internal/fleet"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/admitter"
	"github.com/peridotreel/peridotreel/internal/tasks/balancer"
	"github.com/peridotreel/peridotreel/internal/tasks/bills"
	"github.com/peridotreel/peridotreel/internal/tasks/calls"
	"github.com/peridotreel/peridotreel/internal/tasks/claimant"
	"github.com/peridotreel/peridotreel/internal/tasks/shares"
	"github.com/peridotreel/peridotreel/internal/tasks/teams"
	"github.com/peridotreel/peridotreel/internal/upstream"
)

// tasks are the tasks of a host.
type tasks struct {
	client   *fleet.Client
	server   *fleet.Server
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

// seedOf derives the seed of a host's random choices from its identity, so
// that hosts started at the same instant differ.
func seedOf(self core.HostRef) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(self.String()))
	return digest.Sum64()
}

func newTasks(options Options, opened listeners) (*tasks, error) {
	chosen := options.Settings
	self := core.HostRef{Host: chosen.Host, Incarnation: options.Incarnation}
	seed := seedOf(self)
	store := platform.NewClient(chosen.Platform)
	t := &tasks{
		client:   fleet.NewClient(fleet.ClientConfig{}),
		server:   fleet.NewServer(fleet.ServerConfig{Listener: opened.peers, Log: options.Log}),
		upstream: upstream.NewClient(),
	}
	t.teams = teams.New(teams.Config{Table: store, Now: options.Now, Seed: seed, Log: options.Log})
	t.shares = shares.New(shares.Config{Table: store, Self: self, Zone: chosen.Zone, Now: options.Now, Log: options.Log})
	t.bills = bills.New(bills.Config{Self: self, Zone: chosen.Zone, Table: store, Objects: store.Objects(), Now: options.Now, Log: options.Log})
	t.claimant = claimant.New(claimant.Config{Self: self, Table: store, Objects: store.Objects(), Now: options.Now, Log: options.Log})
	t.admitter = admitter.New(admitter.Config{Now: options.Now, Log: options.Log})
	t.balancer = balancer.New(balancer.Config{
		Directory: store, Reporter: reporter{t.upstream}, Capacities: t.admitter,
		Self: chosen.Host, Zone: chosen.Zone, Now: options.Now, Seed: seed, Log: options.Log,
	})
	t.calls = calls.New(calls.Config{Self: self, Zone: chosen.Zone, Now: options.Now})
	return t, t.register()
}

// register makes the tasks reachable by peers.
func (t *tasks) register() error {
	return errors.Join(t.bills.Register(t.server), t.calls.Register(t.server))
}

// start runs the tasks; a task relies on those started before it.
func (t *tasks) start(group *task.Group) {
	group.Start(t.client)
	group.Start(t.teams)
	group.Start(t.shares)
	group.Start(t.bills)
	group.Start(t.claimant)
	group.Start(t.calls)
	group.Start(t.admitter)
	group.Start(t.balancer)
	group.Start(t.server)
}

// leave tells peers that this host is leaving.
func (t *tasks) leave(context.Context) {}

// handBack returns what this host holds, bills first, as they are paid from
// the shares.
func (t *tasks) handBack(ctx context.Context) error {
	return errors.Join(t.bills.Drain(ctx), t.claimant.Drain(ctx), t.shares.Drain(ctx))
}
