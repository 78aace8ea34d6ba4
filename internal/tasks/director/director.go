// Package director is the task that owns what a host believes about the
// configuration and the upstreams, and chooses the upstream of each attempt.
package director

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
	"github.com/peridotreel/peridotreel/internal/decide/retrybudget"
	"github.com/peridotreel/peridotreel/internal/decide/roster"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/follower"
)

// inboxSize holds the messages of some hundred requests in flight.
const inboxSize = 1024

// Config describes a director.
type Config struct {
	Zone core.ZoneName
	// DecodeConfig and DecodeUpstream translate rows.
	DecodeConfig   func(raw []byte) (*gateway.Config, error)
	DecodeUpstream func(id string, raw []byte) (gateway.Upstream, error)
	// ConfigTable and ConfigKey name the row of the configuration, ServersTable
	// the table of upstreams.
	ConfigTable  string
	ConfigKey    string
	ServersTable string
	RetryBound   retrybudget.Bound
	// Hosts is the number of hosts that is assumed to share the retry budget
	// until peers are known.
	Hosts int
	Log   *zap.Logger
	Now   func() time.Time
	// Changed is called with each configuration that comes into force.
	Changed func(*gateway.Config)
	// Forget is called with upstreams that get no new work.
	Forget func([]core.UpstreamID)
}

// Director is the task.
type Director struct {
	config  Config
	inbox   *task.Inbox[any]
	current *gateway.Config
	// confirmed is when the configuration was last known to be the newest.
	confirmed time.Time
	rawServer map[string]rowstore.Row
	// serverRows are the rows for peers, made anew with each change; they are
	// shared and never changed.
	serverRows []rowstore.Row
	serverRev  int64
	// serversAt is when the store last answered about the upstreams.
	serversAt time.Time
	roster    *roster.Roster
	fleet     *placement.Fleet
	budgets   map[core.ServiceName]*retrybudget.Budget
	hosts     int
	attempts  uint64
	leaves    time.Time
	expiry    *time.Timer
}

// New returns a director.
func New(config Config) *Director {
	return &Director{
		config: config, inbox: task.NewInbox[any](inboxSize), rawServer: make(map[string]rowstore.Row),
		roster: roster.New(), fleet: placement.NewFleet(config.Zone), hosts: config.Hosts,
		budgets: make(map[core.ServiceName]*retrybudget.Budget),
	}
}

// Belief is the configuration that a host holds for the newest.
type Belief struct {
	// Config is nil before any is known.
	Config *gateway.Config
	// Age is how long ago the configuration was known to be the newest.
	Age time.Duration
	// Leaves is when the process ends at the latest, zero if it stays.
	Leaves time.Time
}

type leave struct{ at time.Time }

type current struct{ reply chan<- Belief }

type place struct {
	query Placement
	reply chan<- Placed
}

type observe struct {
	upstream core.UpstreamID
	attempt  uint64
	signal   placement.Signal
	load     *gateway.Load
}

type offered struct {
	version int64
	config  *gateway.Config
	age     time.Duration
	source  string
}

type exchangeLoads struct {
	host  core.HostID
	loads []placement.PeerLoad
	reply chan<- Known
}

type hostCount int

type offeredServers struct {
	rows    []rowstore.Row
	version int64
}

// storeSilence is the time without an answer of the store after which a host
// takes lists and configurations from its peers. It exceeds the time for which
// the store holds a call. Both are large, so that a host with the store takes
// them from there only.
const storeSilence = 1100 * time.Millisecond

// Known is what this host tells its peers.
type Known struct {
	Config *gateway.Config
	// ConfigAge is how long ago Config was known to be the newest.
	ConfigAge     time.Duration
	ServerRows    []rowstore.Row
	ServerVersion int64
	Loads         []placement.PeerLoad
	// LacksConfig and LacksServers are true if the store has not told this host
	// lately of configurations and upstreams.
	LacksConfig  bool
	LacksServers bool
}

// Placement asks for the upstream of an attempt.
type Placement struct {
	placement.Query
	// Repeat is true if the request has arrived at an upstream before.
	Repeat bool
	// First is true for the first placement of a request.
	First bool
}

// Placed is the answer to a placement.
type Placed struct {
	placement.Choice
	// Attempt numbers the attempt, for Observe.
	Attempt uint64
	// Found is false if no upstream is left.
	Found bool
	// OverBudget is true if the retry budget allows no repeat.
	OverBudget bool
	// MaxConnections bounds this host's connections to the upstream.
	MaxConnections int
}

// Current returns the configuration in force.
func (d *Director) Current(ctx context.Context) (Belief, error) {
	return task.Ask(ctx, d.inbox, func(reply chan<- Belief) any { return current{reply} })
}

// Limits implements front.LimitSource.
func (d *Director) Limits(ctx context.Context) gateway.Limits {
	belief, err := d.Current(ctx)
	if err != nil || belief.Config == nil {
		return gateway.Limits{}
	}
	return belief.Config.Limits
}

// Place chooses the upstream of an attempt and counts the attempt there.
func (d *Director) Place(ctx context.Context, query Placement) (Placed, error) {
	return task.Ask(ctx, d.inbox, func(reply chan<- Placed) any { return place{query, reply} })
}

// Observe records a signal of an attempt, with the load that came with it.
func (d *Director) Observe(upstream core.UpstreamID, attempt uint64, signal placement.Signal, load *gateway.Load) {
	_ = d.inbox.Send(context.Background(), observe{upstream, attempt, signal, load})
}

// Update takes what a follower learned.
func (d *Director) Update(update follower.Update) {
	_ = d.inbox.Send(context.Background(), update)
}

// Health takes whether the store answers.
func (d *Director) Health(health follower.Health) {
	_ = d.inbox.Send(context.Background(), health)
}

// Offer takes a peer's configuration: its version, its content if that is newer
// than this host's, and how long ago the peer knew it to be the newest.
func (d *Director) Offer(version int64, config *gateway.Config, age time.Duration, source string) {
	_ = d.inbox.Send(context.Background(), offered{version, config, age, source})
}

// OfferServers takes the newer server list of a peer.
func (d *Director) OfferServers(rows []rowstore.Row, version int64) {
	_ = d.inbox.Send(context.Background(), offeredServers{rows, version})
}

// Leave takes when the process ends at the latest.
func (d *Director) Leave(at time.Time) { _ = d.inbox.Send(context.Background(), leave{at}) }

// SetHosts takes the number of hosts that serve.
func (d *Director) SetHosts(count int) { _ = d.inbox.Send(context.Background(), hostCount(count)) }

// Exchange takes a peer's loads and returns what this host knows. The loads
// are ignored if host is empty.
func (d *Director) Exchange(ctx context.Context, host core.HostID, loads []placement.PeerLoad) (Known, error) {
	return task.Ask(ctx, d.inbox, func(reply chan<- Known) any { return exchangeLoads{host, loads, reply} })
}

// Run handles messages until ctx ends.
func (d *Director) Run(ctx context.Context) {
	defer d.inbox.Close()
	d.expiry = time.NewTimer(time.Hour)
	defer d.expiry.Stop()
	for {
		select {
		case message := <-d.inbox.Messages():
			d.handle(message)
		case <-d.expiry.C:
			d.expire()
		case <-ctx.Done():
			return
		}
	}
}

func (d *Director) handle(message any) {
	now := d.config.Now()
	switch m := message.(type) {
	case current:
		m.reply <- Belief{Config: d.current, Age: now.Sub(d.confirmed), Leaves: d.leaves}
	case leave:
		d.leaves = m.at
	case place:
		m.reply <- d.place(m.query, now)
	case observe:
		if m.load != nil {
			d.fleet.ObserveLoad(m.upstream, *m.load, now)
		}
		d.fleet.Observe(m.upstream, m.attempt, m.signal, now)
	case follower.Update:
		d.learn(m)
	case follower.Health:
		d.health(m)
	case offered:
		if m.config != nil {
			d.adopt(m.config, m.source)
		}
		d.confirm(m.version, now.Add(-m.age))
	case offeredServers:
		d.adoptServers(m, now)
	case hostCount:
		d.hosts = max(int(m), 1)
	case exchangeLoads:
		if m.host != "" {
			d.fleet.SetPeer(m.host, m.loads, now)
		}
		m.reply <- d.known(now)
	}
}

func (d *Director) known(now time.Time) Known {
	return Known{
		Config: d.current, ConfigAge: now.Sub(d.confirmed), ServerRows: d.serverRows, ServerVersion: d.serverRev,
		Loads:       d.fleet.OwnLoads(),
		LacksConfig: d.current == nil || now.Sub(d.confirmed) > storeSilence, LacksServers: now.Sub(d.serversAt) > storeSilence,
	}
}

func (d *Director) place(query Placement, now time.Time) Placed {
	budget := d.budget(query.Service)
	if query.First {
		budget.RecordRequest(d.config.RetryBound, now)
	}
	choice, found := d.fleet.Choose(query.Query, now)
	if !found {
		return Placed{}
	}
	if query.Repeat && !budget.AllowRetry(d.config.RetryBound, d.hosts, now) {
		return Placed{OverBudget: true}
	}
	d.attempts++
	placed := Placed{Choice: choice, Attempt: d.attempts, Found: true, MaxConnections: d.maxConnections(query.Service)}
	d.fleet.Begin(choice.Upstream.ID, d.attempts, query.Prompt, now)
	return placed
}

// connectionReserve is the part of an upstream's connections that hosts leave
// unused, for probes and for hosts that were added meanwhile.
const connectionReserve = 0.15

// leastConnections is what each host may use however many hosts there are.
const leastConnections = 2

func (d *Director) maxConnections(name core.ServiceName) int {
	most := 0
	if d.current != nil {
		most = d.current.Services[name].MaxConnections
	}
	return max(int(float64(most)*(1-connectionReserve))/d.hosts, leastConnections)
}

func (d *Director) budget(name core.ServiceName) *retrybudget.Budget {
	budget, found := d.budgets[name]
	if !found {
		budget = &retrybudget.Budget{}
		d.budgets[name] = budget
	}
	return budget
}
