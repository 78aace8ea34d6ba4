// Package director is the task that owns a host's copy of the configuration and
// of the upstream list, and chooses the upstream for each attempt.
package director

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/brittle"
	"github.com/peridotreel/peridotreel/internal/decide/coldstart"
	"github.com/peridotreel/peridotreel/internal/decide/connshare"
	"github.com/peridotreel/peridotreel/internal/decide/notice"
	"github.com/peridotreel/peridotreel/internal/decide/origin"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
	"github.com/peridotreel/peridotreel/internal/decide/quarantine"
	"github.com/peridotreel/peridotreel/internal/decide/reach"
	"github.com/peridotreel/peridotreel/internal/decide/readers"
	"github.com/peridotreel/peridotreel/internal/decide/requestlimit"
	"github.com/peridotreel/peridotreel/internal/decide/retrybudget"
	"github.com/peridotreel/peridotreel/internal/decide/room"
	"github.com/peridotreel/peridotreel/internal/decide/roster"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/follower"
)

// inboxCapacity is enough for the messages of a few hundred requests in flight.
const inboxCapacity = 1024

// Config holds the settings and callbacks of a Director.
type Config struct {
	Host core.HostID
	Zone core.ZoneName
	// DecodeConfig and DecodeUpstream decode the values of rows.
	DecodeConfig   func(raw []byte) (*gateway.Config, error)
	DecodeUpstream func(id string, raw []byte) (gateway.Upstream, error)
	// ConfigTable and ConfigKey identify the row of the configuration;
	// UpstreamTable is the table of upstreams.
	ConfigTable   string
	ConfigKey     string
	UpstreamTable string
	// DecodeEvacuation returns the zone of a row of ConfigTable, and whether the row is one
	// that evacuates a zone. The zone is empty if an error leaves it unknown. nil leaves
	// the host without evacuations.
	DecodeEvacuation func(row rowstore.Row) (zone core.ZoneName, matches bool, err error)
	RetryBound       retrybudget.Bound
	// ColdBound bounds what a cold upstream gets from all hosts together.
	ColdBound coldstart.Bound
	// Hosts is the number of hosts assumed to share the connections to upstreams until it
	// is known. The retry budget has no slack until then.
	Hosts int
	Log   *zap.Logger
	Now   func() time.Time
	// Changed is called with each configuration that is applied, and the time at which the
	// one before it was last known to be the latest, zero if that does not tell what the
	// store had.
	Changed func(config *gateway.Config, before time.Time)
	// Serving is called once, when requests are matched from then on.
	Serving func()
	// Forget is called with the upstreams that must get no new work.
	Forget func([]core.UpstreamID)
	// LimitConnections is called with how many connections this host may have to an
	// upstream, several times a second while that is not its equal part.
	LimitConnections func(upstream core.UpstreamID, limit int)
	// Listed is called with the software versions of the listed upstreams of each
	// service when the list changes.
	Listed func(map[core.ServiceName][]string)
	// SuspicionsChanged is called when what is known of crashes of upstreams changes.
	// repeated is true if a trait of requests was in flight at crashes of several upstreams.
	SuspicionsChanged func(repeated bool)
	// LinkFull reports whether calls may fail for want of room in this host's link. nil means
	// that they never do.
	LinkFull func() bool
	// Dial connects to the address of an upstream and closes the connection. It
	// tells whether an upstream that closed a connection has crashed, and whether this host
	// reaches upstreams.
	Dial func(ctx context.Context, address string) error
	// DialThrough does the same through another host, for attempts that went through one.
	DialThrough func(ctx context.Context, upstream gateway.Upstream) error
}

// Director is the task. Run must be called once; other methods send messages to
// it.
type Director struct {
	config       Config
	inbox        *task.Inbox[any]
	activeConfig *gateway.Config
	// peerConfigVersion is the newest version that a peer has named. The store may have
	// an older one after it has come back from a copy.
	peerConfigVersion int64
	// configConfirmed is when the configuration was last known to be the latest.
	configConfirmed time.Time
	// configMalformed is true if the latest row of the configuration was not decoded.
	configMalformed bool
	rowsByID        map[string]rowstore.Row
	// upstreamRows is the upstream list that is sent to peers. It is rebuilt with
	// each change, because the slice is shared and must not be modified.
	upstreamRows []rowstore.Row
	listRevision core.Revision
	// listConfirmed is when the store last answered a read of the upstream list.
	listConfirmed time.Time
	// listSince is since when it has answered all of them, zero if it does not.
	listSince time.Time
	roster    *roster.Roster
	balancer  *placement.LoadBalancer
	retries   map[core.ServiceName]*serviceRetries
	// retryShare is this host's part of the slack of the retry budgets.
	retryShare *retrybudget.Share
	hosts      int
	// hostsListed is false until the table of hosts has been read.
	hostsListed bool
	// hostsHeard is the largest number of hosts that a peer has told before.
	hostsHeard  int
	limits      *requestlimit.Table
	notices     *notice.Notices
	brittle     *brittle.Table
	connections *connshare.Table
	room        *room.Table
	// roomLogged are the decisions that the latest log line told.
	roomLogged room.Counts
	// borrows is true while this host borrows connections from its peers.
	borrows bool
	cold    *coldstart.Table
	// unanswered is what upstreams hold of this host's requests.
	unanswered *readers.Upstreams
	// reach tells which services this host is cut off from.
	reach *reach.Table
	// confirmed tells at which software versions streams may begin that callers resume.
	confirmed  *origin.Confirmed
	quarantine *quarantine.Registry
	// crashChecks are the checks in progress whether an upstream has crashed.
	crashChecks map[core.UpstreamID]*crashCheck
	evacuations evacuations
	// members are the hosts of the fleet, in no particular order.
	members     []string
	lastAttempt uint64
	// refused counts requests that were told when to return.
	refused uint64
	// awayUntil is when callers need no longer move to other hosts, in Unix nanoseconds. It
	// is published, as it is read with each answer.
	awayUntil       atomic.Int64
	shutdownAt      time.Time
	shutdownNoticed time.Time
	expiry          *time.Timer
	startup         startup
}

// New returns a director.
func New(config Config) *Director {
	return &Director{
		config: config, inbox: task.NewInbox[any](inboxCapacity), rowsByID: make(map[string]rowstore.Row),
		roster: roster.New(), balancer: placement.NewLoadBalancer(config.Zone), hosts: config.Hosts,
		retries: make(map[core.ServiceName]*serviceRetries), retryShare: retrybudget.NewShare(config.Now()),
		limits: requestlimit.New(config.Host), notices: notice.New(config.Host), brittle: brittle.New(config.Host), unanswered: readers.NewUpstreams(config.Hosts), cold: coldstart.New(config.Host, config.ColdBound), connections: connshare.New(), room: room.New(), reach: reach.New(), confirmed: origin.NewConfirmed(), quarantine: quarantine.New(config.Host), crashChecks: make(map[core.UpstreamID]*crashCheck),
		evacuations: newEvacuations(),
		startup:     startup{began: config.Now()},
	}
}

// ConfigState is the latest configuration that a host knows, and its age.
type ConfigState struct {
	// Config is nil until the host has received one and knows the saved crashes, or has
	// waited for them for savedCrashesWait.
	Config *gateway.Config
	// Age is the time since the configuration was last known to be the latest.
	Age time.Duration
	// ShutdownAt is the latest time at which the process exits, zero if it is not
	// shutting down. From ShutdownNoticed on, callers find other hosts.
	ShutdownAt      time.Time
	ShutdownNoticed time.Time
	// Holds are the traits of requests that crash upstreams.
	Holds quarantine.Holds
}

type confirmedSoftware struct {
	service  core.ServiceName
	versions []string
}

type savedCrashes struct {
	crashes []quarantine.CrashReport
	reply   chan<- []quarantine.CrashReport
}

type setShutdown struct{ at, noticed time.Time }

type checkStart struct {
	upstream    core.UpstreamID
	startMillis int64
	reply       chan<- bool
}

type laterStartLeaves struct {
	upstream    core.UpstreamID
	startMillis int64
}

type getConfig struct{ reply chan<- ConfigState }

type placeAttempt struct {
	request PlacementRequest
	reply   chan<- Placed
}

// Observation is what an attempt observed about its upstream.
type Observation struct {
	Upstream core.UpstreamID
	// StartMillis tells the starts of the upstream apart, from Placed.
	StartMillis int64
	// Attempt is the number of the attempt, from Placed.
	Attempt uint64
	Signal  placement.Signal
	// Head is the head of the upstream's answer, nil if the signal does not come
	// with one.
	Head *gateway.AnswerHead
	// Traits are those of the request.
	Traits []quarantine.Trait
	// Repeat is that of Placed.
	Repeat bool
	// Tunnelled is true for an attempt through another host.
	Tunnelled bool
	// Helpless is true for an attempt that was not sent because no other host could set up
	// the connection.
	Helpless bool
	// Unconnected is true for an attempt that ended before it had a connection, though none
	// had failed. Unverified is true for one whose connection led to another process.
	Unconnected bool
	Unverified  bool
}

// Current returns the active configuration.
func (d *Director) Current(ctx context.Context) (ConfigState, error) {
	return task.Ask(ctx, d.inbox, func(reply chan<- ConfigState) any { return getConfig{reply} })
}

// Limits implements front.LimitSource.
func (d *Director) Limits(ctx context.Context) gateway.Limits {
	state, err := d.Current(ctx)
	if err != nil || state.Config == nil {
		return gateway.Limits{}
	}
	return state.Config.Limits
}

// Observe records what an attempt observed.
func (d *Director) Observe(observation Observation) {
	_ = d.inbox.Send(context.Background(), observation)
}

// CheckStart reports whether the caller is to find out which start of an upstream says
// that it leaves. It is true for one caller for each start.
func (d *Director) CheckStart(ctx context.Context, upstream core.UpstreamID, startMillis int64) (bool, error) {
	return task.Ask(ctx, d.inbox, func(reply chan<- bool) any { return checkStart{upstream, startMillis, reply} })
}

// LaterStartLeaves records that a later start of an upstream than the given one leaves.
func (d *Director) LaterStartLeaves(upstream core.UpstreamID, startMillis int64) {
	_ = d.inbox.Send(context.Background(), laterStartLeaves{upstream, startMillis})
}

// Update passes on rows that a follower read.
func (d *Director) Update(update follower.Update) {
	_ = d.inbox.Send(context.Background(), update)
}

// Health passes on whether the store answers.
func (d *Director) Health(health follower.Health) {
	_ = d.inbox.Send(context.Background(), health)
}

// SetShutdown sets the latest time at which the process exits, and the time at which
// the balancer has noticed that it does.
func (d *Director) SetShutdown(at, noticed time.Time) {
	_ = d.inbox.Send(context.Background(), setShutdown{at, noticed})
}

// MergeCrashes adds crashes that the store keeps, and returns those that it should
// keep.
func (d *Director) MergeCrashes(ctx context.Context, saved []quarantine.CrashReport) ([]quarantine.CrashReport, error) {
	return task.Ask(ctx, d.inbox, func(reply chan<- []quarantine.CrashReport) any { return savedCrashes{saved, reply} })
}

// ConfirmSoftware tells which versions the history of a service in the store has.
func (d *Director) ConfirmSoftware(service core.ServiceName, versions []string) {
	_ = d.inbox.Send(context.Background(), confirmedSoftware{service, versions})
}

// Run handles messages until ctx ends.
func (d *Director) Run(ctx context.Context) {
	defer d.inbox.Close()
	d.expiry = time.NewTimer(time.Hour)
	defer d.expiry.Stop()
	defer d.evacuations.expiry.Stop()
	forget := time.NewTicker(forgetInterval)
	defer forget.Stop()
	connections := time.NewTicker(connectionsInterval)
	defer connections.Stop()
	startup := time.NewTimer(savedCrashesWait)
	defer startup.Stop()
	for {
		select {
		case message := <-d.inbox.Messages():
			d.handle(ctx, message)
		case <-startup.C:
			d.announceServing(d.config.Now())
		case <-d.expiry.C:
			d.expireLapsed()
		case <-d.evacuations.expiry.C:
			d.expireEvacuations()
		case <-forget.C:
			d.expireQuarantine()
			d.forgetLimits()
			d.forgetBrittle()
			d.forgetConnections()
			d.logRegainedRetries()
		case <-connections.C:
			d.announceConnections(d.config.Now())
			d.tickRoom(d.config.Now())
			d.expireEvacuations()
			d.forgetCold()
		case <-ctx.Done():
			return
		}
	}
}

func (d *Director) handle(ctx context.Context, message any) {
	now := d.config.Now()
	switch m := message.(type) {
	case getConfig:
		m.reply <- d.configState(now)
	case setShutdown:
		d.shutdownAt, d.shutdownNoticed = m.at, m.noticed
	case countCold:
		m.reply <- d.cold.Count(now)
	case placeAttempt:
		m.reply <- d.place(ctx, m.request, now)
	case Observation:
		if m.Head != nil {
			d.observeHead(m, now)
		}
		d.balancer.Observe(m.Upstream, m.Attempt, d.healthSignal(m.Signal), now)
		if m.Signal != placement.Connected && m.Signal != placement.Stalled {
			d.unanswered.Ended(m.Upstream, m.Attempt)
		}
		d.observeEnd(m, now)
		d.observeRoom(m, now)
		d.observeCold(m, now)
		d.observeTraits(ctx, m, now)
		d.observeReach(ctx, m, now)
	case reachProbed:
		d.finishProbe(ctx, m, now)
	case getRoomTotals:
		m.reply <- RoomTotals{d.room.Counts(), d.room.State(now)}
	case getRetryTotals:
		m.reply <- d.retryTotals()
	case getConnectionTotals:
		lent, borrowed := d.connections.Totals(now)
		m.reply <- ConnectionTotals{lent, borrowed}
	case admitTunnel:
		m.reply <- d.admitTunnel(m.request, now)
	case checkStart:
		zone, _ := d.zoneOf(m.upstream)
		m.reply <- !d.evacuations.Evacuated(zone) && d.notices.CheckStart(m.upstream, m.startMillis, now)
	case laterStartLeaves:
		d.observeLaterStart(m, now)
	case crashChecked:
		d.finishCrashCheck(m, now)
	case confirmedSoftware:
		d.confirmed.Confirm(m.service, m.versions)
	case savedCrashes:
		before := d.quarantine.Holds()
		if d.quarantine.MergeSaved(m.crashes, now) {
			d.logHolds(before, "store")
		}
		d.startup.crashesRead = true
		d.announceServing(now)
		m.reply <- d.quarantine.Suspicions(now)
	case follower.Update:
		d.applyUpdate(m)
	case follower.Health:
		d.applyStoreHealth(m)
	case offeredConfig:
		if m.config != nil {
			d.applyConfig(m.config, m.source, time.Time{})
		}
		d.peerConfigVersion = max(d.peerConfigVersion, m.version)
		d.confirmConfig(m.version, now.Add(-m.age))
	case offeredEvacuations:
		d.mergeEvacuations(m.report, m.host, now)
	case evacuationTotals:
		m.reply <- d.countEvacuations()
	case offeredUpstreams:
		d.applyPeerUpstreams(m, now)
	case hostList:
		d.setHosts(m)
	case receivedState:
		d.receive(m.peer, now)
	case exchangeState:
		var digest *uint64
		if m.peer != nil {
			d.receive(*m.peer, now)
			digest = &m.peer.Quarantine.Digest
		}
		state := d.localState(now)
		if m.peer != nil {
			state.ConnectionGrants = d.lendConnections(m.peer.ConnectionWants, now)
		} else {
			state.ConnectionWants = d.connections.Wants(d.connectionPart, now)
		}
		state.Evacuations = d.evacuations.Report(now)
		state.Quarantine, state.Limits, state.Brittle = d.quarantine.Report(digest, now), d.limits.Report(now), d.brittle.Report(now)
		m.reply <- state
	}
}
