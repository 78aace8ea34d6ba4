// Package edge wires up a gateway host: its listeners, its tasks, the pipeline
// for opaque requests, and the order in which they start and stop.
package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/connpool"
	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/decide/coldstart"
	"github.com/peridotreel/peridotreel/internal/decide/requestlimit"
	"github.com/peridotreel/peridotreel/internal/decide/retrybudget"
	"github.com/peridotreel/peridotreel/internal/front"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/linkmeter"
	"github.com/peridotreel/peridotreel/internal/opaque"
	"github.com/peridotreel/peridotreel/internal/opaque/attempt"
	"github.com/peridotreel/peridotreel/internal/opaque/match"
	"github.com/peridotreel/peridotreel/internal/opaque/reserve"
	"github.com/peridotreel/peridotreel/internal/opaque/resume"
	"github.com/peridotreel/peridotreel/internal/opaque/shed"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/settings"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/balances"
	"github.com/peridotreel/peridotreel/internal/tasks/buffers"
	"github.com/peridotreel/peridotreel/internal/tasks/director"
	"github.com/peridotreel/peridotreel/internal/tasks/endings"
	"github.com/peridotreel/peridotreel/internal/tasks/follower"
	"github.com/peridotreel/peridotreel/internal/tasks/holds"
	"github.com/peridotreel/peridotreel/internal/tasks/origins"
	"github.com/peridotreel/peridotreel/internal/tasks/owners"
	"github.com/peridotreel/peridotreel/internal/tasks/peers"
	"github.com/peridotreel/peridotreel/internal/tasks/selfload"
	"github.com/peridotreel/peridotreel/internal/tasks/tunnels"
	"github.com/peridotreel/peridotreel/internal/telemetry"
)

const (
	// initialHostCount is the number of hosts among which the connections to upstreams are
	// divided until the number is known, from the table of hosts or from a peer.
	initialHostCount = 12
	// memoryLimitFraction is the part of the process's memory that the garbage
	// collector keeps to; the rest is for stacks of the kernel's buffers.
	memoryLimitFraction = 0.6
	// bodyFraction and answerFraction are the parts of the process's memory for bodies of
	// requests that are buffered, and for answers that are buffered or wait for callers, so
	// that callers who do not read cost others no request. They leave the garbage collector
	// room for as much again.
	bodyFraction   = 0.15
	answerFraction = 0.1
	// reservedDescriptors is the number of file descriptors kept for connections
	// to upstreams, the store and peers.
	reservedDescriptors = 1200
	// upstreamsPollInterval is the minimum time between two calls for the list of
	// upstreams, each of which writes its row about once a second. A leaving
	// upstream must get no new requests within seconds.
	upstreamsPollInterval = 250 * time.Millisecond
	// hostsPollInterval is the minimum time between two calls for the table of
	// hosts.
	hostsPollInterval = time.Second
	// hostsLongPoll is how long the store holds a call for the table of hosts if
	// there are no changes, which are not urgent.
	hostsLongPoll = 5 * time.Second
)

// Platform holds the store, the table names and the functions that translate
// between the platform's formats and the types of this process.
type Platform struct {
	Store          rowstore.Store
	Codec          front.Codec
	Encode         attempt.Encode
	DecodeHead     connpool.DecodeHead
	VerifyStart    attempt.VerifyStart
	DecodeConfig   func(raw []byte) (*gateway.Config, error)
	DecodeUpstream func(id string, raw []byte) (gateway.Upstream, error)
	// DecodeEvacuation is director.Config.DecodeEvacuation.
	DecodeEvacuation func(row rowstore.Row) (zone core.ZoneName, matches bool, err error)
	ConfigTable      string
	ConfigKey        string
	UpstreamTable    string
	// ReadyPath is the path of the balancer's readiness checks.
	ReadyPath string
}

// Options configure a host.
type Options struct {
	Settings *settings.Gateway
	Platform Platform
	Log      *zap.Logger
	Now      func() time.Time
	// Dial connects to upstreams. nil is connpool.Dial.
	Dial connpool.DialFunc
}

// Edge is the running process of a gateway host.
type Edge struct {
	options   Options
	group     task.Group
	callers   net.Listener
	front     *front.Server
	director  *director.Director
	balances  *balances.Balances
	owners    *owners.Owners
	origins   *origins.Origins
	holds     *holds.Holds
	load      *selfload.Monitor
	peers     *peers.Peers
	tunnels   *tunnels.Server
	helpers   *tunnels.Client
	readiness *readiness
	ready     *http.Server
	metrics   *http.Server
	telemetry *telemetry.Telemetry
	endings   *endings.Endings
}

// New opens the listeners and builds the tasks.
func New(options Options) (*Edge, error) {
	e := &Edge{options: options, endings: endings.New()}
	s := options.Settings
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryLimitFraction * (1 << 20)))
	var err error
	if e.telemetry, err = telemetry.New(); err != nil {
		return nil, err
	}
	requests, err := telemetry.NewRequestHistograms(e.telemetry.Meter())
	if err != nil {
		return nil, err
	}
	refusals, err := telemetry.NewRefusalCounter(e.telemetry.Meter())
	if err != nil {
		return nil, err
	}
	if err = telemetry.RegisterEndings(e.telemetry.Meter(), e.endings.Totals); err != nil {
		return nil, err
	}
	callers, err := settings.OpenListener("listen.callers", s.Listen.Callers)
	if err != nil {
		return nil, err
	}
	e.callers = callers
	peerListener, err := settings.OpenListener("listen.peers", s.Listen.Peers)
	if err != nil {
		return nil, err
	}
	link := &linkmeter.Meter{}
	pool := connpool.NewPool(options.Platform.DecodeHead, options.Dial, link)
	bodies := buffers.New(int64(float64(s.MemoryMB) * bodyFraction * (1 << 20)))
	answers := buffers.New(int64(float64(s.MemoryMB) * answerFraction * (1 << 20)))
	process := allowance.Process{Host: s.Host, Start: strconv.FormatInt(time.Now().UnixNano(), 36)}
	e.balances = balances.New(balances.Config{
		Store: options.Platform.Store, Process: process, Zone: s.Zone, Log: options.Log, Now: options.Now,
		Recall: func(host core.HostID, team core.TeamName, amount core.Tokens, done func(returned core.Tokens, answered bool)) {
			e.peers.Recall(host, team, amount, done)
		},
	})
	e.load = selfload.New(selfload.Config{Zone: s.Zone, Link: link, LinkMbps: s.LinkMbps, Log: options.Log, Now: options.Now})
	if err = telemetry.RegisterHostLoad(e.telemetry.Meter(), e.load.Load); err != nil {
		return nil, err
	}
	e.readiness = newReadiness(e.away, options.Log)
	e.director = director.New(director.Config{
		Host: s.Host, Zone: s.Zone, DecodeConfig: options.Platform.DecodeConfig, DecodeUpstream: options.Platform.DecodeUpstream,
		ConfigTable: options.Platform.ConfigTable, ConfigKey: options.Platform.ConfigKey, UpstreamTable: options.Platform.UpstreamTable,
		DecodeEvacuation: options.Platform.DecodeEvacuation,
		RetryBound:       retrybudget.Bound{Window: time.Duration(s.Retry.Window), Ratio: s.Retry.Ratio, Slack: s.Retry.Slack},
		Hosts:            initialHostCount, Log: options.Log, Now: options.Now,
		ColdBound: coldstart.Bound{Overage: s.Cold.Overage, Slack: s.Cold.Slack},
		Changed: func(config *gateway.Config, before time.Time) {
			e.balances.Configure(config, before)
			e.owners.TotalsChanged()
		},
		Serving:  func() { e.readiness.markServing() },
		LinkFull: e.load.LinkFull,
		Forget:   pool.Drain, LimitConnections: pool.SetLimit, Dial: pool.Probe, DialThrough: e.probeThrough,
		Listed:            func(listed map[core.ServiceName][]string) { e.origins.SetListed(listed) },
		SuspicionsChanged: func(repeated bool) { e.holds.Changed(repeated) },
	})
	if err = telemetry.RegisterEvacuations(e.telemetry.Meter(), e.evacuationTotals); err != nil {
		return nil, err
	}
	if err = telemetry.RegisterColdUpstreams(e.telemetry.Meter(), e.director.ColdUpstreams); err != nil {
		return nil, err
	}
	client := peerrpc.NewClient(peerrpc.ClientConfig{})
	e.origins = origins.New(origins.Config{
		Host: s.Host, Store: options.Platform.Store, Caller: client, Log: options.Log, Now: options.Now,
		Confirmed: e.director.ConfirmSoftware,
	})
	e.holds = holds.New(holds.Config{Host: s.Host, Store: options.Platform.Store, Registry: e.director, Log: options.Log, Now: options.Now})
	e.tunnels = tunnels.NewServer(tunnels.ServerConfig{
		Gate: tunnelGate{e.director}, Dial: pool.Dial, DecodeHead: options.Platform.DecodeHead, Log: options.Log,
	})
	e.helpers = tunnels.NewClient(tunnels.ClientConfig{Host: s.Host, Zone: s.Zone, Log: options.Log, Now: options.Now})
	totals := func(ctx context.Context) (telemetry.TunnelTotals, error) {
		return tunnels.Totals(ctx, e.helpers, e.tunnels)
	}
	if err = telemetry.RegisterTunnels(e.telemetry.Meter(), totals); err != nil {
		return nil, err
	}
	if err = telemetry.RegisterConnections(e.telemetry.Meter(), func(ctx context.Context) (lent, borrowed int, err error) {
		totals, err := e.director.ConnectionTotals(ctx)
		return totals.Lent, totals.Borrowed, err
	}); err != nil {
		return nil, err
	}
	if err = telemetry.RegisterRoom(e.telemetry.Meter(), func(ctx context.Context) (telemetry.RoomTotals, error) {
		return roomTotals(ctx, e.director)
	}); err != nil {
		return nil, err
	}
	if err = telemetry.RegisterRetries(e.telemetry.Meter(), e.retryTotals); err != nil {
		return nil, err
	}
	server := peerrpc.NewServer(peerrpc.ServerConfig{Listener: peerListener, Log: options.Log, Tunnels: e.tunnels.Serve})
	e.peers = peers.New(peers.Config{
		Host: s.Host, Address: peerListener.Addr().String(), Zone: s.Zone, Seeds: s.Peers, Store: options.Platform.Store, Caller: client,
		Director: e.director, DecodeConfig: options.Platform.DecodeConfig, Log: options.Log, Now: options.Now,
		ReturnTokens: e.balances.Return,
		HostsChanged: func(hosts int, members []allowance.Member) {
			active := make([]requestlimit.Member, len(members))
			for i, member := range members {
				active[i] = requestlimit.Member{Host: member.Host, Zone: member.Zone}
			}
			e.director.SetHosts(hosts, active)
			e.owners.SetMembers(members)
			e.origins.SetMembers(members)
			e.holds.SetMembers(members)
			e.load.SetMembers(members)
			e.helpers.SetMembers(members)
		},
	})
	e.owners = owners.New(owners.Config{
		Process: process, Zone: s.Zone, Balances: e.balances, Caller: client, Log: options.Log, Now: options.Now,
		LinkFull: e.load.LinkFull,
	})
	if err := e.owners.Register(server); err != nil {
		return nil, fmt.Errorf("register the RPC methods of balance owners: %w", err)
	}
	if err := e.origins.Register(server); err != nil {
		return nil, fmt.Errorf("register the RPC methods of stream origins: %w", err)
	}
	if err := e.peers.Register(server); err != nil {
		return nil, fmt.Errorf("register the RPC methods of peers: %w", err)
	}
	pipeline := &opaque.Pipeline{
		Match:   &match.Filter{ConfigSource: e.director},
		Shed:    &shed.Filter{Load: e.load},
		Resume:  &resume.Filter{Origins: e.origins},
		Reserve: &reserve.Filter{Balances: e.owners, Now: options.Now},
		Attempt: &attempt.Filter{Director: e.director, Connections: pool, Encode: options.Platform.Encode, VerifyStart: options.Platform.VerifyStart, Tunnels: e.helpers, Now: options.Now},
		Log:     options.Log, Now: options.Now, Recorder: recorder{requests, refusals}, Began: e.origins.Began, Buffers: answers,
	}
	e.front = front.NewServer(front.Config{
		Listener: callers, Codec: options.Platform.Codec, Handler: pipeline, Limits: e.director, Log: options.Log, Now: options.Now,
		Buffers: bodies, Answers: answers, Away: e.away, MaxConnections: max(s.Descriptors-reservedDescriptors, 100), Endings: e.endings, Link: link,
	})
	if err = telemetry.RegisterReaders(e.telemetry.Meter(), e.front.Readers); err != nil {
		return nil, err
	}
	e.start(bodies, answers, pool, e.helpers, e.tunnels, client, server)
	return e, e.serveHTTP()
}

// away reports whether callers are to move to other hosts.
func (e *Edge) away() bool { return e.load.Away() || e.director.Away() }

// evacuationTotals returns the counts for the metrics.
func (e *Edge) evacuationTotals(ctx context.Context) (telemetry.EvacuationTotals, error) {
	totals, err := e.director.EvacuationTotals(ctx)
	return telemetry.EvacuationTotals(totals), err
}

// retryTotals returns the decisions on retries for the metrics.
func (e *Edge) retryTotals(ctx context.Context) (map[core.ServiceName]telemetry.RetryTotals, error) {
	current, err := e.director.RetryTotals(ctx)
	totals := make(map[core.ServiceName]telemetry.RetryTotals, len(current))
	for service, counts := range current {
		totals[service] = telemetry.RetryTotals(counts)
	}
	return totals, err
}

// CallersAddress returns the address on which the host listens for callers.
func (e *Edge) CallersAddress() string { return e.callers.Addr().String() }

// start starts the tasks in order; each may depend on those before it.
func (e *Edge) start(tasks ...task.Task) {
	e.group.Start(e.endings)
	e.group.Start(endingsReporter{e.endings, e.options.Log})
	for _, t := range tasks {
		e.group.Start(t)
	}
	e.group.Start(e.load)
	e.group.Start(e.balances)
	e.group.Start(e.owners)
	e.group.Start(e.origins)
	e.group.Start(e.director)
	e.group.Start(e.holds)
	e.group.Start(e.peers)
	e.startFollower(follower.Follower{Table: e.options.Platform.ConfigTable, Update: e.updateConfig, Health: e.director.Health})
	e.startFollower(follower.Follower{Table: e.options.Platform.UpstreamTable, MinInterval: upstreamsPollInterval, Update: e.director.Update, Health: e.director.Health})
	e.startFollower(follower.Follower{Table: peers.Table, MinInterval: hostsPollInterval, FeedWait: hostsLongPoll, Update: e.peers.Update, Health: ignoreHealth})
	e.group.Start(e.front)
}

// updateConfig passes on the configuration's row, and with it the store's era, which
// the follower of this table learns within a second.
func (e *Edge) updateConfig(update follower.Update) {
	e.balances.SetStoreEra(update.Revision.Era)
	e.origins.SetStoreEra(update.Revision.Era)
	e.holds.SetStoreEra(update.Revision.Era)
	e.director.Update(update)
}

// ignoreHealth is for tables whose outages have no effect: the followers of the
// other tables report the store's health.
func ignoreHealth(follower.Health) {}

func (e *Edge) startFollower(f follower.Follower) {
	f.Store, f.Now, f.Log = e.options.Platform.Store, e.options.Now, e.options.Log
	e.group.Start(&f)
}

func (e *Edge) serveHTTP() error {
	router := mux.NewRouter()
	router.HandleFunc(e.options.Platform.ReadyPath, e.readiness.serve)
	listener, err := settings.OpenListener("listen.ready", e.options.Settings.Listen.Ready)
	if err != nil {
		return err
	}
	e.ready = serveListener(listener, router, e.options.Log)
	if e.options.Settings.Listen.Metrics == "" {
		return nil
	}
	if listener, err = settings.OpenListener("listen.metrics", e.options.Settings.Listen.Metrics); err != nil {
		return err
	}
	router = mux.NewRouter()
	router.Handle("/metrics", e.telemetry.Handler())
	e.metrics = serveListener(listener, router, e.options.Log)
	return nil
}

// headerTimeout limits the time for reading a request's header on the ready and
// metrics addresses.
const headerTimeout = 3 * time.Second

func serveListener(listener net.Listener, handler http.Handler, log *zap.Logger) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := server.Serve(listener); err != nil && err != http.ErrServerClosed {
			log.Error("HTTP listener failed", zap.String("event", "listener_ended"), zap.String("address", listener.Addr().String()), zap.Error(err))
		}
	}()
	return server
}

// recorder records the summaries of requests as metrics, with the route as the
// class.
type recorder struct {
	requests *telemetry.RequestHistograms
	refusals *telemetry.RefusalCounter
}

// Done implements opaque.Recorder.
func (r recorder) Done(ctx context.Context, summary opaque.Summary) {
	if summary.RefusalCause != "" {
		r.refusals.Count(ctx, string(summary.RefusalCause))
	}
	r.requests.Record(summary.Team, core.ClassName(summary.Route), summary.Outcome, summary.FirstEvent, summary.Total)
}
