// Package localfleet runs a small fleet in one process over loopback sockets:
// stand-ins for the platform and the upstreams, and hosts in several zones. The
// demo, the benchmarks and the end-to-end tests use it.
package localfleet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/host"
	"github.com/peridotreel/peridotreel/internal/operate"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/settings"
	platformstandin "github.com/peridotreel/peridotreel/internal/standin/platform"
	upstreamstandin "github.com/peridotreel/peridotreel/internal/standin/upstream"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/upstream"
)

const (
	anyPort = "127.0.0.1:0"
	// readyTimeout bounds the start of all hosts.
	readyTimeout = 10 * time.Second
	readyPoll    = 20 * time.Millisecond
	// readyPolls is readyTimeout in polls. Polls are counted and not time, because
	// hosts of a process that gets no processor time cannot become ready.
	readyPolls = int(readyTimeout / readyPoll)
	// defaultBalancerWait is short, because a local fleet has no load balancer.
	defaultBalancerWait = 200 * time.Millisecond
	drainLimit          = time.Minute
)

// Engine describes a model engine to start.
type Engine struct {
	Zone     core.ZoneName
	Models   []core.ModelName
	Settings upstreamstandin.EngineSettings
}

// Service describes a plain service to start.
type Service struct {
	Zone     core.ZoneName
	Settings upstreamstandin.ServiceSettings
}

// Config describes a fleet.
type Config struct {
	Zones        []core.ZoneName
	HostsPerZone int
	Engines      []Engine
	Services     []Service
	// MembersLag is the lag of the platform's list of machines.
	MembersLag time.Duration
	// Operators may use the admin interface of each host.
	Operators []settings.Operator
	// BalancerWait is how long a host that is drained still takes requests; 0 takes a
	// short time.
	BalancerWait time.Duration
	// DialUpstream returns the function by which a host opens connections to upstreams, nil
	// for TCP. It may be nil.
	DialUpstream func(host core.HostID) upstream.DialFunc
	Log          *zap.Logger
}

// RunningEngine is a started engine.
type RunningEngine struct {
	*upstreamstandin.Engine
	ID      core.UpstreamID
	Zone    core.ZoneName
	Address string
	// Server silences or cuts the engine's connections.
	Server *upstreamstandin.Server
	member platform.Member
}

// RunningService is a started plain service.
type RunningService struct {
	*upstreamstandin.Service
	// Server silences or cuts the service's connections.
	Server *upstreamstandin.Server
	member platform.Member
}

// RunningHost is a started host. It stays in the fleet's list after it has
// stopped.
type RunningHost struct {
	*host.Host
	Zone    core.ZoneName
	Name    core.HostID
	stopped bool
}

// Stopped reports whether the host was killed or drained.
func (h *RunningHost) Stopped() bool { return h.stopped }

// Fleet is a running fleet. Its methods are called from one goroutine.
type Fleet struct {
	config      Config
	Platform    *platformstandin.Service
	PlatformURL string
	Store       *platform.Client
	Engines     []*RunningEngine
	Services    []*RunningService
	Hosts       []*RunningHost
	group       task.Group
	platform    *http.Server
	// forwarders relay each zone's connections to the platform.
	forwarders  map[core.ZoneName]*forwarder
	network     *network
	incarnation core.Incarnation
}

// Start starts the stand-ins. StartHosts starts the hosts, after CreateRows has
// written the table's first rows.
func Start(config Config) (*Fleet, error) {
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	limits := platformstandin.DefaultSettings()
	limits.MembersLag = config.MembersLag
	f := &Fleet{
		config: config, Platform: platformstandin.NewServiceWithSettings(limits), network: newNetwork(config.Zones),
		forwarders: make(map[core.ZoneName]*forwarder), incarnation: core.Incarnation(time.Now().UnixMilli()),
	}
	f.group.Start(f.Platform)
	if err := f.servePlatform(); err != nil {
		return nil, errors.Join(err, f.Stop())
	}
	for _, engine := range config.Engines {
		if err := f.startEngine(engine); err != nil {
			return nil, errors.Join(err, f.Stop())
		}
	}
	for _, service := range config.Services {
		if err := f.startService(service); err != nil {
			return nil, errors.Join(err, f.Stop())
		}
	}
	f.PublishMembers()
	return f, nil
}

// servePlatform serves the platform on a free loopback port and starts a
// forwarder to it for each zone.
func (f *Fleet) servePlatform() error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", anyPort)
	if err != nil {
		return err
	}
	f.platform = &http.Server{Handler: f.Platform.Handler(), ReadHeaderTimeout: readyTimeout}
	go func() { _ = f.platform.Serve(listener) }()
	address := listener.Addr().String()
	f.PlatformURL = "http://" + address
	f.Store = platform.NewClient(f.PlatformURL)
	for _, zone := range f.config.Zones {
		started, err := newForwarder(address)
		if err != nil {
			return err
		}
		f.forwarders[zone] = started
		f.group.Start(started)
	}
	return nil
}

func (f *Fleet) startEngine(engine Engine) error {
	engine.Settings.Incarnation = f.nextIncarnation()
	started := upstreamstandin.NewEngine(engine.Settings)
	f.group.Start(started)
	server, err := upstreamstandin.Listen(anyPort, started.Handler())
	if err != nil {
		return err
	}
	f.group.Start(server)
	f.Engines = append(f.Engines, &RunningEngine{
		Engine: started, ID: engine.Settings.ID, Zone: engine.Zone, Address: server.Address(), Server: server,
		member: platform.Member{
			Role: platform.RoleEngine, ID: string(engine.Settings.ID), Incarnation: engine.Settings.Incarnation,
			Zone: engine.Zone, Address: server.Address(), Models: engine.Models, ChecksFencing: engine.Settings.ChecksFencing,
		},
	})
	return nil
}

func (f *Fleet) startService(service Service) error {
	service.Settings.Incarnation = f.nextIncarnation()
	started := upstreamstandin.NewService(service.Settings)
	f.group.Start(started)
	server, err := upstreamstandin.Listen(anyPort, started.Handler())
	if err != nil {
		return err
	}
	f.group.Start(server)
	f.Services = append(f.Services, &RunningService{
		Service: started, Server: server,
		member: platform.Member{
			Role: platform.RoleService, ID: string(service.Settings.ID), Incarnation: service.Settings.Incarnation,
			Zone: service.Zone, Address: server.Address(), Service: service.Settings.Name,
		},
	})
	return nil
}

func (f *Fleet) nextIncarnation() core.Incarnation {
	f.incarnation++
	return f.incarnation
}

// StartHosts starts the hosts of all zones and waits until they are ready.
func (f *Fleet) StartHosts(ctx context.Context) error {
	for i := range f.config.HostsPerZone {
		for _, zone := range f.config.Zones {
			name := core.HostID(fmt.Sprintf("%s-%d", zone, i+1))
			if _, err := f.StartHost(name, zone); err != nil {
				return err
			}
		}
	}
	return f.WaitReady(ctx)
}

// StartHost starts one host and adds it to the platform's list. A host that
// reuses a name gets a higher incarnation.
func (f *Fleet) StartHost(name core.HostID, zone core.ZoneName) (*RunningHost, error) {
	var dialUpstream upstream.DialFunc
	if f.config.DialUpstream != nil {
		dialUpstream = f.config.DialUpstream(name)
	}
	started, err := host.New(host.Options{
		Settings: &settings.Settings{
			Host: name, Zone: zone, Platform: "http://" + f.forwarders[zone].Address(),
			Listen:    settings.Listen{Callers: anyPort, Peers: anyPort, Admin: anyPort},
			Drain:     settings.Drain{BalancerWait: settings.Duration(cmp.Or(f.config.BalancerWait, defaultBalancerWait)), Limit: settings.Duration(drainLimit)},
			Operators: f.config.Operators,
		},
		Dial:         f.network.dialer(zone),
		DialUpstream: dialUpstream,
		Incarnation:  f.nextIncarnation(),
		Log:          f.config.Log.With(zap.String("host", string(name))),
	})
	if err != nil {
		return nil, err
	}
	running := &RunningHost{Host: started, Zone: zone, Name: name}
	f.network.register(started.PeerAddress(), zone)
	f.Hosts = append(f.Hosts, running)
	f.PublishMembers()
	started.Start()
	return running, nil
}

// WaitReady waits until all running hosts are ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for polls := 0; ; polls++ {
		waiting := ""
		for _, running := range f.Hosts {
			if !running.stopped && running.Ready() != nil {
				waiting = string(running.Name)
			}
		}
		if waiting == "" {
			return nil
		}
		if polls == readyPolls {
			return fmt.Errorf("host %s was not ready within %d polls of %s", waiting, readyPolls, readyPoll)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("host %s was not ready: %w", waiting, ctx.Err())
		}
	}
}

// KillHost stops a host abruptly, like a crash of its process.
func (f *Fleet) KillHost(running *RunningHost) {
	running.stopped = true
	running.Kill()
	f.PublishMembers()
}

// DrainHost stops a host gracefully.
func (f *Fleet) DrainHost(ctx context.Context, running *RunningHost) error {
	running.stopped = true
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	err := running.Drain(ctx)
	f.PublishMembers()
	return err
}

// DrainAll stops all running hosts gracefully and concurrently.
func (f *Fleet) DrainAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	results := make(chan error, len(f.Hosts))
	started := 0
	for _, running := range f.Hosts {
		if running.stopped {
			continue
		}
		running.stopped = true
		started++
		go func() { results <- running.Drain(ctx) }()
	}
	var errs []error
	for range started {
		errs = append(errs, <-results)
	}
	f.PublishMembers()
	return errors.Join(errs...)
}

// PublishMembers updates the platform's list of machines. The change becomes
// visible after the list's lag.
func (f *Fleet) PublishMembers() {
	var members []platform.Member
	for _, engine := range f.Engines {
		members = append(members, engine.member)
	}
	for _, service := range f.Services {
		members = append(members, service.member)
	}
	for _, running := range f.Hosts {
		if !running.stopped {
			members = append(members, platform.Member{
				Role: platform.RoleHost, ID: string(running.Name), Incarnation: running.Ref().Incarnation,
				Zone: running.Zone, Address: running.PeerAddress(),
			})
		}
	}
	f.Platform.SetMembers(members)
}

// Budgets returns the operators' actions on budgets.
func (f *Fleet) Budgets() operate.Budgets {
	return operate.NewTableBudgets(f.Store, f.Store.Objects(), time.Now)
}

// Stop stops the hosts and the stand-ins without draining.
func (f *Fleet) Stop() error {
	for _, running := range f.Hosts {
		if !running.stopped {
			running.stopped = true
			running.Kill()
		}
	}
	var err error
	if f.platform != nil {
		err = f.platform.Close()
	}
	f.group.Stop()
	return err
}
