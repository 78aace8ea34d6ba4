package director

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
	"github.com/peridotreel/peridotreel/internal/decide/reach"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/task"
)

// reachProbed is the result of a probe of an upstream.
type reachProbed struct {
	service  core.ServiceName
	upstream core.UpstreamID
	err      error
}

// usable returns the upstreams of a service that are listed, not leaving and not in
// evacuated zones, in random order.
func (d *Director) usable(service core.ServiceName) []core.UpstreamID {
	var ids []core.UpstreamID
	for _, upstream := range d.roster.Upstreams() {
		if upstream.Service == service && !upstream.Leaving && !d.evacuations.Evacuated(upstream.Zone) {
			ids = append(ids, upstream.ID)
		}
	}
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// observeReach records what an attempt tells about this host's own links. Those of
// attempts through other hosts tell nothing about them.
func (d *Director) observeReach(ctx context.Context, m Observation, now time.Time) {
	upstream, listed := d.roster.Upstream(m.Upstream)
	if !listed {
		return
	}
	if m.Tunnelled {
		d.observeHelp(upstream.Service, m, now)
		return
	}
	switch {
	case m.Signal == placement.Connected, m.Unverified:
		d.reached(upstream.Service)
	case m.Signal == placement.Unreachable:
		d.unreachable(upstream.Service, m.Upstream, now)
		d.probe(ctx, upstream.Service, m.Upstream, now)
	case m.Signal == placement.Stalled, m.Signal == placement.Silent, m.Signal == placement.Broke, m.Signal == placement.ClosedEarly:
		d.dropSilent(upstream.Service, now)
		d.probe(ctx, upstream.Service, m.Upstream, now)
	case m.Unconnected:
		d.probe(ctx, upstream.Service, m.Upstream, now)
	case m.Signal == placement.Started, m.Signal == placement.Progressed, m.Signal == placement.Succeeded:
		d.reach.Answered(upstream.Service, now)
	default:
	}
}

// dropSilent closes the idle connections to a service that is cut off, unless an upstream
// has answered over one lately: where only new connections are refused, they live on.
func (d *Director) dropSilent(service core.ServiceName, now time.Time) {
	if d.reach.CutOff(service, now) && !d.reach.AnsweredLately(service, now) {
		d.config.Forget(d.usable(service))
	}
}

// observeHelp records whether another host has set up a connection for an attempt. If none
// could for some time, callers are to move to other hosts.
func (d *Director) observeHelp(service core.ServiceName, m Observation, now time.Time) {
	switch {
	case m.Signal == placement.Connected:
		d.reach.Helped(service)
	case m.Helpless:
		if until := d.reach.Helpless(service, now); !until.IsZero() && d.reachesNone(now) {
			d.awayUntil.Store(until.UnixNano())
		}
	}
}

// reachesNone reports whether this host is cut off from all services. One that serves some
// keeps its callers: a service may be down as a whole.
func (d *Director) reachesNone(now time.Time) bool {
	return !slices.ContainsFunc(d.roster.Upstreams(), func(upstream gateway.Upstream) bool {
		return !upstream.Leaving && !d.reach.CutOff(upstream.Service, now)
	})
}

// Away reports whether callers are to move to other hosts, because this one reaches no
// upstream and no other host can help it.
func (d *Director) Away() bool { return d.config.Now().UnixNano() < d.awayUntil.Load() }

func (d *Director) reached(service core.ServiceName) {
	if d.reach.Connected(service) != reach.Regained {
		return
	}
	d.awayUntil.Store(0)
	d.balancer.ClearCooldowns(service)
	d.config.Log.Info("this host reaches the upstreams of a service again", zap.String("event", "service_regained"), zap.String("service", string(service)))
}

// unreachable records that an upstream could not be reached.
func (d *Director) unreachable(service core.ServiceName, id core.UpstreamID, now time.Time) {
	upstream, _ := d.roster.Upstream(id)
	if d.linkFull() || d.evacuations.Evacuated(upstream.Zone) {
		// Another host's tunnel would pass the same full link, and the upstreams that are
		// left in use are those of other zones.
		return
	}
	ids := d.usable(service)
	if d.reach.Unreachable(service, id, len(ids), now) != reach.Lost {
		return
	}
	d.balancer.ClearCooldowns(service)
	d.dropSilent(service, now)
	d.config.Log.Warn("this host reaches no upstream of a service; it goes through other hosts until it does",
		zap.String("event", "service_lost"), zap.String("service", string(service)), zap.Int("upstreams", len(ids)))
}

// linkFull reports whether calls may fail for want of room in this host's link.
func (d *Director) linkFull() bool { return d.config.LinkFull != nil && d.config.LinkFull() }

// healthSignal returns a signal as it counts for the health of its upstream: a connection
// that could not be set up over a full link says nothing about it.
func (d *Director) healthSignal(signal placement.Signal) placement.Signal {
	if signal == placement.Unreachable && d.linkFull() {
		return placement.Abandoned
	}
	return signal
}

// probe connects to upstreams of a service, if a round of probes is due, in goroutines of
// their own.
func (d *Director) probe(ctx context.Context, service core.ServiceName, suspect core.UpstreamID, now time.Time) {
	for _, id := range d.reach.TakeProbes(service, suspect, d.usable(service), now) {
		upstream, _ := d.roster.Upstream(id)
		go func() {
			ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
			defer cancel()
			err := d.config.Dial(ctx, upstream.Address)
			_ = d.inbox.Send(context.Background(), reachProbed{service, id, err})
		}()
	}
}

func (d *Director) finishProbe(ctx context.Context, m reachProbed, now time.Time) {
	switch {
	case ctx.Err() != nil, errors.Is(m.err, syscall.EMFILE), errors.Is(m.err, syscall.ENFILE):
		// The host itself is why no connection was set up.
	case m.err == nil:
		d.reached(m.service)
	default:
		if _, listed := d.roster.Upstream(m.upstream); !listed {
			return
		}
		d.unreachable(m.service, m.upstream, now)
		if !d.reach.CutOff(m.service, now) {
			d.probe(ctx, m.service, m.upstream, now)
		}
	}
}

// TunnelVerdict tells whether a connection to an upstream may be set up for another host.
type TunnelVerdict uint8

// The verdicts.
const (
	// TunnelAllowed means that it may.
	TunnelAllowed TunnelVerdict = iota + 1
	// TunnelUnknown means that no such upstream is listed.
	TunnelUnknown
	// TunnelNotNow means that the upstream leaves, wants nothing for a time, or is in an
	// evacuated zone.
	TunnelNotNow
	// TunnelCutOff means that this host does not reach the service itself.
	TunnelCutOff
)

// TunnelRequest names the upstream to which another host wants a connection.
type TunnelRequest struct {
	Upstream    core.UpstreamID
	StartMillis int64
}

// TunnelAdmission is the answer to a TunnelRequest.
type TunnelAdmission struct {
	Verdict TunnelVerdict
	// Address is that of the upstream, IP:PORT, if it is allowed.
	Address string
	// RetryAfter is when it may be asked for again if it is not now, 0 for never.
	RetryAfter time.Duration
}

type admitTunnel struct {
	request TunnelRequest
	reply   chan<- TunnelAdmission
}

// AdmitTunnel tells whether a connection to an upstream may be set up for another host.
// Only addresses of listed upstreams are given out, and none that this host would need
// another host for itself, so that no connection goes in circles.
func (d *Director) AdmitTunnel(ctx context.Context, request TunnelRequest) (TunnelAdmission, error) {
	return task.Ask(ctx, d.inbox, func(reply chan<- TunnelAdmission) any { return admitTunnel{request, reply} })
}

func (d *Director) admitTunnel(request TunnelRequest, now time.Time) TunnelAdmission {
	upstream, listed := d.roster.Upstream(request.Upstream)
	if !listed || upstream.StartMillis != request.StartMillis {
		return TunnelAdmission{Verdict: TunnelUnknown}
	}
	if d.reach.CutOff(upstream.Service, now) {
		return TunnelAdmission{Verdict: TunnelCutOff}
	}
	if upstream.Leaving || d.notices.Leaving(upstream) || d.evacuations.Evacuated(upstream.Zone) {
		return TunnelAdmission{Verdict: TunnelNotNow}
	}
	if wait := d.notices.Wait(upstream, now); wait > 0 {
		return TunnelAdmission{Verdict: TunnelNotNow, RetryAfter: wait}
	}
	return TunnelAdmission{Verdict: TunnelAllowed, Address: upstream.Address}
}

// TunnelDialed records whether a connection was set up for another host.
func (d *Director) TunnelDialed(request TunnelRequest, err error) {
	signal := placement.Connected
	if err != nil {
		signal = placement.Unreachable
	}
	d.Observe(Observation{Upstream: request.Upstream, StartMillis: request.StartMillis, Signal: signal})
}

// TunnelObserved records the head of an answer that passed through this host to another.
func (d *Director) TunnelObserved(request TunnelRequest, head gateway.AnswerHead) {
	d.Observe(Observation{Upstream: request.Upstream, StartMillis: request.StartMillis, Head: &head, Signal: placement.Started, Tunnelled: true})
}
