// Package host composes one host of the fleet: its listeners, its tasks and
// the pipeline, and the order in which they start and stop.
package host

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/settings"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/telemetry"
)

// headerTimeout bounds the wait for a request's headers, so that idle or
// broken clients don't hold connections.
const headerTimeout = 10 * time.Second

// Options describe a host.
type Options struct {
	Settings *settings.Settings
	// Incarnation of this process; a later process of the host has a higher one.
	Incarnation core.Incarnation
	Log         *zap.Logger
	// Now is the clock; nil takes time.Now.
	Now func() time.Time
	// Dial opens connections to peers; nil dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Host is one process of the fleet.
type Host struct {
	options   Options
	log       *zap.Logger
	listeners listeners
	telemetry *telemetry.Telemetry
	requests  *telemetry.Requests
	tasks     *tasks
	group     task.Group
	callers   *http.Server
	admin     *http.Server
	draining  atomic.Bool
	served    chan error
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

// New opens the host's listeners and composes its tasks.
func New(options Options) (*Host, error) {
	if options.Now == nil {
		options.Now = time.Now
	}
	opened, err := listen(options.Settings.Listen)
	if err != nil {
		return nil, err
	}
	h := &Host{options: options, log: options.Log, listeners: opened, served: make(chan error, 2)}
	if err := h.compose(); err != nil {
		opened.close()
		return nil, err
	}
	return h, nil
}

// compose builds tasks and front ends; nothing runs yet.
func (h *Host) compose() (err error) {
	if h.telemetry, err = telemetry.New(); err != nil {
		return err
	}
	if h.requests, err = telemetry.NewRequests(h.telemetry.Meter()); err != nil {
		return err
	}
	if h.tasks, err = newTasks(h.options, h.listeners, h.telemetry.Meter()); err != nil {
		return err
	}
	adminHandler, err := h.adminHandler()
	if err != nil {
		return err
	}
	h.callers = h.newServer(h.callersHandler())
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

// Ref names this process.
func (h *Host) Ref() core.HostRef {
	return core.HostRef{Host: h.options.Settings.Host, Incarnation: h.options.Incarnation}
}

// Start runs the tasks and serves callers, peers and operators.
func (h *Host) Start() {
	h.tasks.start(&h.group)
	h.serve(h.callers, h.listeners.callers)
	h.serve(h.admin, h.listeners.admin)
	h.log.Info("host started", zap.String("host", string(h.options.Settings.Host)),
		zap.Uint64("incarnation", uint64(h.options.Incarnation)), zap.String("callers", h.CallerAddress()),
		zap.String("peers", h.PeerAddress()), zap.String("admin", h.AdminAddress()))
}

func (h *Host) serve(server *http.Server, listener net.Listener) {
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			h.served <- err
		}
	}()
}

// Failed returns a channel that receives the error of a listener that ended
// by itself.
func (h *Host) Failed() <-chan error { return h.served }

// The reasons for which a host is not ready.
var (
	errDraining        = errors.New("the host is draining; send new requests to another host")
	errNoConfiguration = errors.New("the host has not loaded the operators' table; check that it reaches the platform or a peer")
	errNoUpstreams     = errors.New("the host knows no upstream yet; check that it reaches the platform's list of machines")
)

// Ready returns why the host must get no new requests, nil if it may.
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

// TeamVersion returns the version of a team's row in force on this host; 0
// if there is none.
func (h *Host) TeamVersion(name core.TeamName) int64 {
	snapshot := h.tasks.teams.Current()
	if snapshot == nil || snapshot.Teams[name] == nil {
		return 0
	}
	return snapshot.Teams[name].Version
}

// Drain stops the host gracefully: it stops being ready, gives the balancer
// time to see it, finishes every request in flight, hands back shares and
// unsent bills, and ends. An error says what could not be handed back.
func (h *Host) Drain(ctx context.Context) error {
	h.draining.Store(true)
	h.callers.SetKeepAlivesEnabled(false)
	h.log.Info("host is draining; it reports not ready")
	if err := h.tasks.leave(ctx); err != nil {
		h.log.Warn("peers could not be told that this host leaves; they will find out", zap.Error(err))
	}
	if err := task.Sleep(ctx, time.Duration(h.options.Settings.Drain.BalancerWait)); err != nil {
		return h.abort(err)
	}
	if err := h.callers.Shutdown(ctx); err != nil {
		return h.abort(fmt.Errorf("requests in flight were cut off: %w", err))
	}
	err := h.tasks.handBack(ctx)
	_ = h.admin.Close()
	h.group.Stop()
	h.listeners.close()
	if err == nil {
		h.log.Info("host drained")
	}
	return err
}

func (h *Host) abort(err error) error {
	h.Kill()
	return err
}

// Kill ends the host at once, as the death of its process would.
func (h *Host) Kill() {
	h.draining.Store(true)
	h.tasks.upstream.DisableCancellation()
	h.listeners.close()
	_ = h.callers.Close()
	_ = h.admin.Close()
	h.group.Stop()
}
