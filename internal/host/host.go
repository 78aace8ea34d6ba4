// Package host wires up one host of the fleet: its listeners, its tasks and
// the request pipeline, and the order in which they start and stop.
package host

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/settings"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/telemetry"
	"github.com/peridotreel/peridotreel/internal/upstream"
)

// untoldCallersTimeout bounds how long idle connections stay open for callers that were not
// told of the stop, while others keep the host busy with new requests.
const untoldCallersTimeout = 5 * time.Second

// headerTimeout limits the time to read a request's headers, so that slow or
// broken clients don't hold connections open.
const headerTimeout = 10 * time.Second

// Options configure a host.
type Options struct {
	Settings *settings.Settings
	// Incarnation identifies this process; each later process of the same host
	// has a higher one.
	Incarnation core.Incarnation
	Log         *zap.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Dial opens connections to peers; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialUpstream opens connections to upstreams; nil means TCP.
	DialUpstream upstream.DialFunc
}

// Host is one process of the fleet.
type Host struct {
	options   Options
	log       *zap.Logger
	listeners listeners
	telemetry *telemetry.Telemetry
	requests  *telemetry.RequestHistograms
	tasks     *tasks
	group     task.Group
	// accounts has the account of endings, which stops after all that report to it.
	accounts task.Group
	// callersEnded is closed before the callers' connections are.
	callersEnded chan struct{}
	endCallers   sync.Once
	// endRequests ends the contexts of all callers' requests.
	endRequests context.CancelCauseFunc
	callers     *http.Server
	admin       *http.Server
	draining    atomic.Bool
	stopsAt     atomic.Pointer[time.Time]
	serveErrors chan error
}

// listeners are the sockets of a host. They are opened before anything starts,
// so that an address in use is reported at once.
type listeners struct {
	callers, peers, admin net.Listener
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func listen(addresses settings.Listen) (listeners, error) {
	var opened listeners
	for _, entry := range []struct {
		field   string
		address string
		target  *net.Listener
	}{
		{"listen.callers", addresses.Callers, &opened.callers},
		{"listen.peers", addresses.Peers, &opened.peers},
		{"listen.admin", addresses.Admin, &opened.admin},
	} {
		listener, err := settings.OpenListener(entry.field, entry.address)
		if err != nil {
			opened.close()
			return listeners{}, err
		}
		*entry.target = listener
	}
	return opened, nil
}

// New opens the host's listeners and creates its tasks. Nothing runs before
// Start.
func New(options Options) (*Host, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	opened, err := listen(options.Settings.Listen)
	if err != nil {
		return nil, err
	}
	h := &Host{options: options, log: options.Log, listeners: opened, serveErrors: make(chan error, 2), callersEnded: make(chan struct{})}
	if err := h.compose(); err != nil {
		opened.close()
		return nil, err
	}
	return h, nil
}

// compose creates the tasks and the HTTP servers without starting them.
func (h *Host) compose() (err error) {
	if h.telemetry, err = telemetry.New(); err != nil {
		return err
	}
	if h.requests, err = telemetry.NewRequestHistograms(h.telemetry.Meter()); err != nil {
		return err
	}
	if h.tasks, err = newTasks(h.options, h.listeners, h.telemetry.Meter()); err != nil {
		return err
	}
	adminHandler, err := h.adminHandler()
	if err != nil {
		return err
	}
	h.callers = h.newServer(h.closeAfterAnswer(h.callerHandler()))
	h.tasks.connections.Follow(h.callers)
	requests, end := context.WithCancelCause(context.Background())
	h.callers.BaseContext, h.endRequests = func(net.Listener) context.Context { return requests }, end
	h.admin = h.newServer(adminHandler)
	return nil
}

func (h *Host) newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(h.log)}
}

// CallerAddress returns the address on which callers are served.
func (h *Host) CallerAddress() string { return h.listeners.callers.Addr().String() }

// PeerAddress returns the address on which peers are served.
func (h *Host) PeerAddress() string { return h.listeners.peers.Addr().String() }

// AdminAddress returns the address of the admin interface.
func (h *Host) AdminAddress() string { return h.listeners.admin.Addr().String() }

// Ref returns the identity of this process.
func (h *Host) Ref() core.HostRef {
	return core.HostRef{Host: h.options.Settings.Host, Incarnation: h.options.Incarnation}
}

// Start starts the tasks and serves callers, peers and operators. It doesn't
// block.
func (h *Host) Start() {
	h.accounts.Start(h.tasks.endings)
	h.accounts.Start(h.tasks.connections)
	h.tasks.start(&h.group)
	h.serve(h.callers, h.tasks.connections.Listener(h.listeners.callers))
	h.serve(h.admin, h.listeners.admin)
	h.log.Info("host started", zap.String("host", string(h.options.Settings.Host)),
		zap.Uint64("incarnation", uint64(h.options.Incarnation)), zap.String("callers", h.CallerAddress()),
		zap.String("peers", h.PeerAddress()), zap.String("admin", h.AdminAddress()))
}

func (h *Host) serve(server *http.Server, listener net.Listener) {
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			h.serveErrors <- err
		}
	}()
}

// Failed returns a channel that receives the error of an HTTP server that
// stopped without being asked to.
func (h *Host) Failed() <-chan error { return h.serveErrors }

// Reasons why a host is not ready.
var (
	errDraining        = errors.New("the host is draining; send new requests to another host")
	errNoConfiguration = errors.New("the host has not loaded the operators' table; check that it reaches the platform or a peer")
	errNoUpstreams     = errors.New("the host knows no upstream yet; check that it reaches the platform's list of machines")
)

// Ready returns nil if the host can take new requests, otherwise the reason why
// it must not get any.
func (h *Host) Ready() error {
	switch {
	case h.draining.Load():
		return errDraining
	case h.tasks.teams.Current() == nil:
		return errNoConfiguration
	case !h.tasks.balancer.Loaded():
		return errNoUpstreams
	}
	return nil
}

// TeamVersion returns the version of a team's row that this host applies, or 0
// if it has none.
func (h *Host) TeamVersion(name core.TeamName) int64 {
	snapshot := h.tasks.teams.Current()
	if snapshot == nil || snapshot.Teams[name] == nil {
		return 0
	}
	return snapshot.Teams[name].Version
}

// StopsAt implements lifetime.Host.
func (h *Host) StopsAt() time.Time {
	if at := h.stopsAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

const (
	// exitMargin is the part of the time to stop that is kept for the last answers, for
	// storing bills and outcomes and for returning shares, unless that is more than
	// exitFraction of it.
	exitMargin   = 3 * time.Second
	exitFraction = 0.25
	// lastAnswersTimeout limits the time for answering requests that are unfinished
	// when the time to serve is over.
	lastAnswersTimeout = time.Second
)

// servingContext returns a context that ends when a host that must stop by the end of
// ctx can no longer serve.
func (h *Host) servingContext(ctx context.Context) (context.Context, context.CancelFunc) {
	end, limited := ctx.Deadline()
	if !limited {
		return context.WithCancel(ctx)
	}
	left := time.Until(end)
	left -= min(exitMargin, time.Duration(float64(left)*exitFraction))
	stopsAt := h.options.Now().Add(left)
	h.stopsAt.Store(&stopsAt)
	return context.WithTimeout(ctx, left)
}

// Drain stops the host gracefully. It reports not ready, refuses work that may
// outlast it, waits until the load balancer has noticed, finishes every request
// in flight, stores the pending bills and the outcomes of calls, returns the
// budget shares, and stops. An error says what could not be finished, stored or
// returned.
func (h *Host) Drain(ctx context.Context) error {
	serving, cancel := h.servingContext(ctx)
	defer cancel()
	h.draining.Store(true)
	h.tasks.connections.Drain()
	h.log.Info("host is draining and reports not ready")
	if err := h.tasks.leave(ctx); err != nil {
		h.log.Warn("could not announce to peers that this host is leaving; they learn it from the platform's list of machines", zap.Error(err))
	}
	// If only serving ends first, Shutdown reports it.
	_ = task.Sleep(serving, time.Duration(h.options.Settings.Drain.BalancerWait))
	h.awaitUntoldCallers(serving)
	if ctx.Err() != nil {
		return h.abort(ctx.Err())
	}
	unfinished := h.callers.Shutdown(serving)
	if unfinished != nil {
		unfinished = fmt.Errorf("requests in flight were not finished in time: %w", unfinished)
		if err := h.answerUnfinished(ctx); err != nil {
			return h.abort(errors.Join(unfinished, err))
		}
	}
	// If only serving ends first, the tunnels of other hosts end with the host.
	_ = h.tasks.tunnels.Drain(serving)
	err := errors.Join(unfinished, h.tasks.drain(ctx))
	_ = h.admin.Close()
	h.group.Stop()
	h.listeners.close()
	h.stopAccounts()
	if err == nil {
		h.log.Info("host drained")
	}
	return err
}

// answerUnfinished ends the requests in flight, so that their callers get an answer.
// Engines go on with them, since callers may resume answers through other hosts.
func (h *Host) answerUnfinished(ctx context.Context) error {
	h.log.Warn("the time to serve is over before all requests finished; ending them")
	h.tasks.upstream.DisableCancellation()
	ctx, cancel := context.WithTimeout(ctx, lastAnswersTimeout)
	defer cancel()
	h.endRequests(fault.ErrHostStopping)
	if err := h.callers.Shutdown(ctx); err != nil {
		return fmt.Errorf("some callers did not take their last answer in time: %w", err)
	}
	return nil
}

func (h *Host) abort(err error) error {
	h.Kill()
	return err
}

// Kill stops the host at once, with the same effect as a crash of its process.
func (h *Host) Kill() {
	h.draining.Store(true)
	h.tasks.upstream.DisableCancellation()
	h.tasks.connections.EndHost()
	h.endCallers.Do(func() { close(h.callersEnded) })
	h.listeners.close()
	_ = h.callers.Close()
	_ = h.admin.Close()
	h.group.Stop()
	h.stopAccounts()
}

// awaitUntoldCallers waits until no request is in progress: Shutdown closes idle
// connections, whose callers were not told and may still send.
func (h *Host) awaitUntoldCallers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, untoldCallersTimeout)
	defer cancel()
	_ = h.tasks.connections.AwaitIdle(ctx)
}
