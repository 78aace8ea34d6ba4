package director

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/evacuation"
	"github.com/peridotreel/peridotreel/internal/decide/notice"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/follower"
)

// evacuatedRetryAfter is the delay sent while all zones of a service are evacuated. An
// operator's change takes up to 5 s to be in force, so that a shorter delay only repeats
// the refusal.
const evacuatedRetryAfter = time.Second

// evacuations is what the host knows of evacuated zones.
type evacuations struct {
	*evacuation.Table
	// published are the evacuated zones. Attempts read them just before they are sent.
	published atomic.Pointer[[]core.ZoneName]
	// malformed has the revision of each row that could not be decoded, by key, so that
	// each version is logged once.
	malformed map[string]core.Revision
	// expiry fires when evacuations are no longer kept after a return of the store.
	expiry *time.Timer
}

func newEvacuations() evacuations {
	expiry := time.NewTimer(time.Hour)
	expiry.Stop()
	return evacuations{Table: evacuation.New(), malformed: make(map[string]core.Revision), expiry: expiry}
}

// EvacuationTotals are counts of evacuations on this host.
type EvacuationTotals struct {
	// Zones are evacuated, and Attempts of this host are in progress in them.
	Zones, Attempts int64
}

type evacuationTotals struct{ reply chan<- EvacuationTotals }

type offeredEvacuations struct {
	report evacuation.Report
	host   core.HostID
}

// Evacuated reports whether a zone is evacuated. It may be called from any goroutine.
func (d *Director) Evacuated(zone core.ZoneName) bool {
	zones := d.evacuations.published.Load()
	return zones != nil && slices.Contains(*zones, zone)
}

// OfferEvacuations passes on what a peer tells of evacuations. It precedes OfferConfig, so
// that a host that starts does not serve before it knows of them.
func (d *Director) OfferEvacuations(report evacuation.Report, host core.HostID) {
	_ = d.inbox.Send(context.Background(), offeredEvacuations{report, host})
}

// EvacuationTotals returns the current counts.
func (d *Director) EvacuationTotals(ctx context.Context) (EvacuationTotals, error) {
	return task.Ask(ctx, d.inbox, func(reply chan<- EvacuationTotals) any { return evacuationTotals{reply} })
}

// applyEvacuationRows applies the rows of zones in a read of the operator's table.
func (d *Director) applyEvacuationRows(update follower.Update) {
	if d.config.DecodeEvacuation == nil {
		return
	}
	read := evacuation.Read{Full: update.Full, Revision: update.Revision}
	present := make(map[string]bool)
	for _, row := range update.Rows {
		zone, matches, err := d.config.DecodeEvacuation(row)
		if !matches {
			continue
		}
		present[row.Key] = true
		if err != nil && d.evacuations.malformed[row.Key] != row.Revision {
			d.evacuations.malformed[row.Key] = row.Revision
			d.config.Log.Warn("ignored a malformed row of an evacuation", zap.String("event", "evacuation_malformed"), zap.String("key", row.Key),
				zap.String("row_version", row.Revision.String()), zap.Error(err))
		}
		if err == nil {
			delete(d.evacuations.malformed, row.Key)
		}
		if zone != "" {
			read.Rows = append(read.Rows, evacuation.Row{Zone: zone, Revision: row.Revision, Deleted: row.Deleted || err != nil})
		}
	}
	if update.Full {
		for key := range d.evacuations.malformed {
			if !present[key] {
				delete(d.evacuations.malformed, key)
			}
		}
	}
	d.applyEvacuationChanges(d.evacuations.Apply(read, d.config.Now()), "store")
}

func (d *Director) mergeEvacuations(report evacuation.Report, host core.HostID, now time.Time) {
	known := make(map[core.ZoneName]bool, len(report.Restored))
	for _, restored := range report.Restored {
		_, known[restored.Zone] = d.evacuations.RestoredAt(restored.Zone)
	}
	d.applyEvacuationChanges(d.evacuations.Merge(report, now), "peer "+string(host))
	for zone, before := range known {
		// A host that has just started did not know that the zone was evacuated.
		if at, restored := d.evacuations.RestoredAt(zone); restored && !before {
			d.markZoneCold(zone, at, now)
		}
	}
}

// applyEvacuationChanges lets placements and attempts know which zones are evacuated, and
// expires what is kept after a return of the store.
func (d *Director) applyEvacuationChanges(changes []evacuation.Change, source string) {
	now := d.config.Now()
	expired, next := d.evacuations.Expire(now)
	if !next.IsZero() {
		d.evacuations.expiry.Reset(max(next.Sub(now), time.Millisecond))
	}
	if len(changes)+len(expired) == 0 {
		return
	}
	zones := d.evacuations.Zones()
	d.evacuations.published.Store(&zones)
	d.balancer.SetEvacuated(zones)
	d.logEvacuations(changes, source)
	d.logEvacuations(expired, "expiry")
	// The upstreams of a restored zone may have become cold meanwhile, and all hosts turn to
	// them at once. Failures of those of an evacuated zone tell nothing about the others.
	for _, change := range slices.Concat(changes, expired) {
		if !change.Evacuated {
			d.markZoneCold(change.Zone, now, now)
			continue
		}
		for _, upstream := range d.roster.Upstreams() {
			if upstream.Zone == change.Zone {
				d.reach.Drop(upstream.Service, upstream.ID)
			}
		}
	}
}

// expireEvacuations ends what was kept for long enough after a return of the store.
func (d *Director) expireEvacuations() { d.applyEvacuationChanges(nil, "expiry") }

func (d *Director) logEvacuations(changes []evacuation.Change, source string) {
	for _, change := range changes {
		event, text := "zone_restored", "a zone is restored; its upstreams may get requests again"
		if change.Evacuated {
			event, text = "zone_evacuated", "a zone is evacuated; its upstreams get no new requests"
		}
		d.config.Log.Info(text, zap.String("event", event), zap.String("zone", string(change.Zone)),
			zap.String("source", source), zap.String("revision", change.Revision.String()))
	}
}

// refuseEvacuated refuses a request of which all upstreams are in evacuated zones.
func (d *Director) refuseEvacuated() Placed {
	d.refused++
	return Placed{Outcome: Evacuated, RetryAfter: notice.SpreadDelay(evacuatedRetryAfter, d.refused)}
}

// countEvacuations counts the evacuated zones and this host's attempts there.
func (d *Director) countEvacuations() EvacuationTotals {
	totals := EvacuationTotals{Zones: int64(len(d.evacuations.Zones()))}
	for _, load := range d.balancer.OwnLoads() {
		if zone, listed := d.zoneOf(load.Upstream); listed && d.evacuations.Evacuated(zone) {
			totals.Attempts += int64(load.Running)
		}
	}
	return totals
}
