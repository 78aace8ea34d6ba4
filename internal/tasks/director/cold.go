package director

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/coldstart"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
	"github.com/peridotreel/peridotreel/internal/decide/requestlimit"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/task"
)

type countCold struct{ reply chan<- int }

// ColdUpstreams returns the number of upstreams that count as cold.
func (d *Director) ColdUpstreams(ctx context.Context) (int, error) {
	return task.Ask(ctx, d.inbox, func(reply chan<- int) any { return countCold{reply} })
}

// chooseWarmFirst chooses among the upstreams that are warm. It chooses a cold one only if
// the request would not be sent to a warm one, or not be served there now.
func (d *Director) chooseWarmFirst(request PlacementRequest, now time.Time) (placement.Choice, bool) {
	if !d.cold.Any(request.Service) {
		return d.balancer.Choose(request.Query, now)
	}
	usable := request.Usable
	only := func(cold bool) (placement.Choice, bool) {
		query := request.Query
		query.Usable = func(id core.UpstreamID) bool { return d.cold.Cold(id, now) == cold && usable(id) }
		return d.balancer.Choose(query, now)
	}
	warm, foundWarm := only(false)
	saturated := request.MaxWait > 0 && !request.Retry && warm.Wait > request.MaxWait
	if foundWarm && !saturated && !warm.InCooldown {
		return warm, true
	}
	cold, foundCold := only(true)
	if foundCold && (!foundWarm || !cold.InCooldown) {
		return cold, true
	}
	return warm, foundWarm
}

// listCold records what a row of the list says of its upstream, if the upstream has
// written it since the last one. The rows of a copy from which the store has come back
// were written earlier.
func (d *Director) listCold(upstream gateway.Upstream, row rowstore.Row, now time.Time) {
	listed, isListed := d.roster.Upstream(upstream.ID)
	// No copy has a later start than the list.
	first := !isListed || listed.StartMillis < upstream.StartMillis
	if known, found := d.rowsByID[row.Key]; found && !first && (row.Revision.Era != known.Revision.Era || !row.Revision.Newer(known.Revision)) {
		return
	}
	d.cold.Listed(upstream, first, now)
	if restored, lately := d.evacuations.RestoredAt(upstream.Zone); lately && !isListed {
		d.cold.Mark(upstream, restored, now)
	}
}

// observeColdAnswer records what an answer says of its upstream.
func (d *Director) observeColdAnswer(m Observation, now time.Time) {
	if upstream, listed := d.roster.Upstream(m.Upstream); listed && !ofEarlierStart(m, upstream) {
		d.cold.Answered(upstream, m.Head.ColdLeft, now)
	}
}

// ofEarlierStart reports whether an observation is of an earlier start than the listed one.
func ofEarlierStart(m Observation, upstream gateway.Upstream) bool {
	return m.StartMillis != 0 && m.StartMillis < upstream.StartMillis
}

// observeCold records that a connection to an upstream failed, after which it may have been
// restarted. Failures through another host, or on a full link of this one, tell nothing of
// the upstream.
func (d *Director) observeCold(m Observation, now time.Time) {
	if m.Signal != placement.Unreachable && m.Signal != placement.ClosedEarly {
		return
	}
	if m.Tunnelled || m.Helpless || m.Unconnected || d.linkFull() {
		return
	}
	if upstream, listed := d.roster.Upstream(m.Upstream); listed && !ofEarlierStart(m, upstream) {
		d.cold.Lost(upstream, now)
	}
}

// markZoneCold lets the upstreams of a zone count as cold for their service's time from a
// moment on.
func (d *Director) markZoneCold(zone core.ZoneName, from, now time.Time) {
	for _, upstream := range d.roster.Upstreams() {
		if upstream.Zone == zone {
			d.cold.Mark(upstream, from, now)
		}
	}
	d.logCold(now)
}

func (d *Director) setColdMembers(members []requestlimit.Member) {
	hosts := make([]coldstart.Member, len(members))
	for i, member := range members {
		hosts[i] = coldstart.Member{Host: member.Host, Zone: member.Zone}
	}
	d.cold.SetMembers(hosts, d.config.Now())
}

func (d *Director) forgetCold() {
	now := d.config.Now()
	d.logCold(now)
	d.cold.Forget(now)
}

// logCold logs which upstreams have become cold, or warm again, in one line for each
// service and zone.
func (d *Director) logCold(now time.Time) {
	for _, change := range d.cold.Changes(now) {
		message, event := "upstreams are cold and get few requests", "upstream_cold"
		if !change.Cold {
			message, event = "upstreams are warm", "upstream_warm"
		}
		fields := []zap.Field{
			zap.String("event", event), zap.String("service", string(change.Service)),
			zap.String("zone", string(change.Zone)), zap.Int("upstreams", len(change.Upstreams)),
		}
		if len(change.Upstreams) == 1 {
			fields = append(fields, zap.String("upstream", string(change.Upstreams[0])))
		}
		d.config.Log.Info(message, fields...)
	}
}
