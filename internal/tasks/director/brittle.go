package director

import (
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/brittle"
	"github.com/peridotreel/peridotreel/internal/decide/notice"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
)

// hasRoom reports whether an upstream, if it is brittle, is expected to have room for a
// request.
func (d *Director) hasRoom(id core.UpstreamID, repeat bool, now time.Time) bool {
	upstream, listed := d.roster.Upstream(id)
	if !listed || !d.brittle.Brittle(upstream, now) {
		return true
	}
	occupancy, known := d.balancer.Occupancy(id, now)
	return known && d.brittle.MaySend(upstream, occupancy, repeat, now)
}

// returnDelay returns after which time a caller may return whose request no upstream
// may get now. wait is the time until the first of them may be used, as far as request
// limits and notices tell.
func (d *Director) returnDelay(service core.ServiceName, wait time.Duration, now time.Time) time.Duration {
	coldDelay, cold := d.cold.ReturnDelay(service, d.refused, now)
	if delay, brittle := d.brittle.ReturnDelay(service, now); brittle {
		return max(delay, wait, coldDelay)
	}
	if cold {
		return coldDelay
	}
	return notice.SpreadDelay(wait, d.refused)
}

// observeBrittle records whether an answer says that its upstream is brittle.
func (d *Director) observeBrittle(m Observation, now time.Time) {
	upstream, listed := d.roster.Upstream(m.Upstream)
	if !listed {
		return
	}
	began := d.brittle.Answered(brittle.Answer{
		Upstream: m.Upstream, Service: upstream.Service, StartMillis: m.StartMillis,
		Tolerance: m.Head.MaxRejections, TurnedAway: m.Signal == placement.Full && m.Head.NotRun,
	}, now)
	if began {
		d.logBrittle(upstream.Service, "own answer")
	}
}

// observeEnd records that an attempt has ended, which frees a slot of its upstream.
func (d *Director) observeEnd(m Observation, now time.Time) {
	upstream, listed := d.roster.Upstream(m.Upstream)
	if !listed || m.Unconnected || m.Helpless {
		return
	}
	switch m.Signal {
	case placement.Succeeded, placement.Failed:
		d.brittle.Freed(upstream.Service, now)
	case placement.Silent, placement.Abandoned, placement.Broke:
		d.brittle.GivenUp(m.Upstream, now)
	default:
		// The attempt goes on, or did not run.
	}
}

// mergeBrittle adds the services whose upstreams are brittle as a peer reports.
func (d *Director) mergeBrittle(peer PeerState, now time.Time) {
	if len(peer.Brittle) == 0 {
		return
	}
	services := d.listedSoftware()
	listed := func(name core.ServiceName) bool {
		_, found := services[name]
		return found
	}
	for _, service := range d.brittle.Merge(peer.Brittle, listed, now) {
		d.logBrittle(service, "peer "+string(peer.Host))
	}
}

func (d *Director) forgetBrittle() {
	d.brittle.Forget(func(id core.UpstreamID) bool {
		_, listed := d.roster.Upstream(id)
		return listed
	}, d.config.Now())
}

func (d *Director) logBrittle(service core.ServiceName, source string) {
	d.config.Log.Info("upstreams of the service say that they are brittle", zap.String("event", "service_brittle"),
		zap.String("service", string(service)), zap.String("source", source))
}
