package director

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
	"github.com/peridotreel/peridotreel/internal/decide/requestlimit"
)

// loggedLimitChange is the relative change of an upstream's limit from which the
// change is logged.
const loggedLimitChange = 0.2

// observeHead records what the head of an answer tells about its upstream.
func (d *Director) observeHead(m Observation, now time.Time) {
	head := m.Head
	if head.Load != nil {
		d.balancer.ObserveLoad(m.Upstream, *head.Load, now)
	}
	if head.WrongInstance {
		return
	}
	d.observeNotice(m, now)
	d.observeBrittle(m, now)
	d.observeColdAnswer(m, now)
	zone, listed := d.zoneOf(m.Upstream)
	if !listed {
		return
	}
	if change, changed := d.limits.Named(m.Upstream, zone, head.RequestLimit, now); changed {
		d.logLimit(change, "own answer")
	}
}

// observeNotice records whether the upstream says that it leaves, or that it wants
// nothing for a time.
func (d *Director) observeNotice(m Observation, now time.Time) {
	if m.Head.Leaving && d.notices.Leaves(m.Upstream, m.StartMillis, now) {
		d.config.Log.Info("upstream says that it leaves", zap.String("event", "upstream_leaving"),
			zap.String("upstream", string(m.Upstream)), zap.Int64("start", m.StartMillis), zap.String("source", "own answer"))
		if upstream, listed := d.roster.Upstream(m.Upstream); listed && d.notices.Leaving(upstream) {
			d.config.Forget([]core.UpstreamID{m.Upstream})
		}
	}
	if m.Head.Quiet <= 0 {
		if m.Signal == placement.Started && !m.Head.NotRun {
			d.notices.Took(m.Upstream, now)
		}
		return
	}
	if d.notices.Quiet(m.Upstream, m.StartMillis, m.Head.Quiet, now) {
		d.config.Log.Info("upstream wants no requests for a time", zap.String("event", "upstream_quiet"),
			zap.String("upstream", string(m.Upstream)), zap.Int64("quiet_ms", m.Head.Quiet.Milliseconds()))
	}
}

// observeLaterStart records that a later start of an upstream leaves, which may be listed
// by now.
func (d *Director) observeLaterStart(m laterStartLeaves, now time.Time) {
	d.notices.LaterLeaves(m.upstream, m.startMillis, now)
	if upstream, listed := d.roster.Upstream(m.upstream); listed {
		d.notices.Listed(upstream, now)
	}
	d.config.Log.Info("a later start of an upstream says that it leaves", zap.String("event", "upstream_leaving"),
		zap.String("upstream", string(m.upstream)), zap.Int64("later_than", m.startMillis), zap.String("source", "own answer"))
}

// wait returns how long an upstream is to get no request from this host, 0 if it may
// get one now, and a negative time if that is not known. It reports false if it gets
// none any more.
func (d *Director) wait(id core.UpstreamID, now time.Time) (time.Duration, bool) {
	upstream, listed := d.roster.Upstream(id)
	if !listed || d.notices.Leaving(upstream) {
		return 0, false
	}
	limited, cold := d.limits.Wait(id, now), d.cold.Wait(id, now)
	if limited < 0 || cold < 0 {
		return min(limited, cold), true
	}
	return max(limited, cold, d.notices.Wait(upstream, now)), true
}

func (d *Director) zoneOf(id core.UpstreamID) (core.ZoneName, bool) {
	upstream, listed := d.roster.Upstream(id)
	return upstream.Zone, listed
}

func (d *Director) logLimit(change requestlimit.Change, source string) {
	switch {
	case change.After < 0:
		d.config.Log.Info("upstream names no request limit any more", zap.String("event", "limit_ended"),
			zap.String("upstream", string(change.Upstream)), zap.Float64("earlier_per_second", change.Before), zap.String("source", source))
	case change.Before < 0 || math.Abs(change.After-change.Before) > loggedLimitChange*change.Before:
		d.config.Log.Info("upstream names a request limit", zap.String("event", "limit_named"),
			zap.String("upstream", string(change.Upstream)), zap.Float64("per_second", change.After), zap.String("source", source))
	}
}

// limitedFor reports whether upstreams are left for a query that only their limits, or
// the time for which they want nothing, keep this host from using, and when the first
// of them may be used, 0 if that is not known.
func (d *Director) limitedFor(query placement.Query, now time.Time) (time.Duration, bool) {
	limited := false
	var earliest time.Duration
	for _, upstream := range d.roster.Upstreams() {
		if upstream.Service != query.Service || upstream.Leaving || slices.Contains(query.Excluded, upstream.ID) || d.evacuations.Evacuated(upstream.Zone) {
			continue
		}
		if query.Software != nil && upstream.Software != *query.Software {
			continue
		}
		wait, usable := d.wait(upstream.ID, now)
		if !usable {
			continue
		}
		limited = true
		if wait > 0 && (earliest == 0 || wait < earliest) {
			earliest = wait
		}
	}
	return earliest, limited
}

func (d *Director) forgetLimits() {
	d.notices.Forget(func(id core.UpstreamID) bool {
		_, listed := d.roster.Upstream(id)
		return listed
	}, d.config.Now())
	d.reach.Retain(func(service core.ServiceName) bool { return len(d.usable(service)) > 0 })
	d.limits.Forget(func(id core.UpstreamID) bool {
		_, listed := d.roster.Upstream(id)
		return !listed
	}, d.config.Now())
}
