package director

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/roster"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/tasks/follower"
)

func (d *Director) applyUpdate(update follower.Update) {
	switch update.Table {
	case d.config.ConfigTable:
		// Before the configuration, with which a host that starts begins to serve.
		d.applyEvacuationRows(update)
		for _, row := range update.Rows {
			if row.Key == d.config.ConfigKey && !row.Deleted {
				d.applyConfigRow(row)
			}
		}
		d.configConfirmed = update.At
	case d.config.UpstreamTable:
		d.listConfirmed = update.At
		if d.listSince.IsZero() {
			d.listSince = update.At
		}
		d.applyUpstreamRows(update.Rows, update.Full, update.Revision, update.At)
		d.expireLapsed()
	}
}

func (d *Director) applyConfigRow(row rowstore.Row) {
	decoded, err := d.config.DecodeConfig(row.Value)
	before := d.configConfirmed
	if d.activeConfig == nil || d.configMalformed {
		before = time.Time{}
	}
	d.configMalformed = err != nil
	if err != nil {
		d.config.Log.Error("failed to decode the configuration; keeping the active one",
			zap.String("event", "config_malformed"), zap.String("row_version", row.Revision.String()), zap.Error(err))
		return
	}
	d.applyConfig(decoded, "store", before)
}

// applyConfig activates a configuration if it is newer than the active one. before is
// when the store last confirmed the active one; it is zero for one of a peer, which may be
// from before a return of the store.
func (d *Director) applyConfig(config *gateway.Config, source string, before time.Time) {
	if d.activeConfig != nil && config.Version <= d.activeConfig.Version {
		return
	}
	d.activeConfig = config
	d.configureRoom(config)
	d.cold.Configure(config.Services)
	d.config.Log.Info("configuration applied", zap.String("event", "config_applied"),
		zap.Int64("config_version", config.Version), zap.String("source", source),
		zap.Int("routes", len(config.Routes)), zap.Int("services", len(config.Services)), zap.Int("teams", len(config.Teams)))
	d.config.Changed(config, before)
	d.announceServing(d.config.Now())
}

// confirmConfig records that a version was known to be the latest at a time.
func (d *Director) confirmConfig(version int64, at time.Time) {
	if d.activeConfig != nil && version == d.activeConfig.Version && at.After(d.configConfirmed) {
		d.configConfirmed = at
	}
}

// applyUpstreamRows applies rows of the list and returns the upstreams among them.
func (d *Director) applyUpstreamRows(rows []rowstore.Row, full bool, revision core.Revision, now time.Time) map[core.UpstreamID]bool {
	if revision.Era > d.listRevision.Era && d.listRevision.Number > 0 {
		d.roster.StoreReturned(now)
	}
	listed, present := make(map[core.UpstreamID]bool, len(rows)), make(map[string]bool, len(rows))
	var changes []roster.Change
	record := func(change roster.Change, changed bool) {
		if changed {
			changes = append(changes, change)
		}
	}
	for _, row := range rows {
		id := core.UpstreamID(row.Key)
		if row.Deleted {
			record(d.roster.Remove(id, row.Revision, now))
			d.forgetRow(row.Key)
			continue
		}
		present[row.Key] = true
		upstream, err := d.config.DecodeUpstream(row.Key, row.Value)
		if err != nil {
			if known, found := d.rowsByID[row.Key]; !found || known.Revision != row.Revision {
				d.config.Log.Warn("skipped a malformed entry of the upstream list", zap.String("event", "upstream_malformed"),
					zap.String("upstream", row.Key), zap.String("row_version", row.Revision.String()), zap.Error(err))
			}
			d.rowsByID[row.Key] = row
			record(d.roster.Remove(id, row.Revision, now))
			continue
		}
		d.listCold(upstream, row, now)
		d.rowsByID[row.Key] = row
		listed[id] = true
		upstream.ColdLeft = 0 // changes with each row, which is no change of the list
		record(d.roster.Put(upstream, row.Revision))
	}
	if full {
		changes = append(changes, d.roster.RetainOnly(listed, revision, now)...)
		for key := range d.rowsByID {
			// Malformed rows stay known, so that each version is logged once.
			if !present[key] {
				d.forgetRow(key)
			}
		}
	}
	if full || len(rows) > 0 {
		d.upstreamRows = slices.Collect(maps.Values(d.rowsByID))
	}
	if revision.Newer(d.listRevision) {
		d.listRevision = revision
	}
	d.applyRosterChanges(changes, revision)
	d.logCold(now)
	return listed
}

// forgetRow drops the row of an upstream that is gone. Those of lapsed ones are kept, so
// that peers do not take them as gone.
func (d *Director) forgetRow(key string) {
	if !d.roster.Lapsed(core.UpstreamID(key)) {
		delete(d.rowsByID, key)
	}
}

// applyPeerUpstreams applies a peer's upstream list if it is newer than this
// host's.
func (d *Director) applyPeerUpstreams(offer offeredUpstreams, now time.Time) {
	if !offer.revision.Newer(d.listRevision) {
		return
	}
	listed := d.applyUpstreamRows(offer.rows, true, offer.revision, now)
	if offer.settled {
		d.expire(d.roster.ExpireUnlisted(listed, offer.revision, now))
	}
	d.expireLapsed()
}

// expire applies that lapsed entries have expired.
func (d *Director) expire(changes []roster.Change) {
	if len(changes) == 0 {
		return
	}
	for _, change := range changes {
		delete(d.rowsByID, string(change.Upstream.ID))
	}
	d.upstreamRows = slices.Collect(maps.Values(d.rowsByID))
	d.applyRosterChanges(changes, d.listRevision)
}

func (d *Director) applyRosterChanges(changes []roster.Change, revision core.Revision) {
	if len(changes) == 0 {
		return
	}
	for _, change := range changes {
		d.notices.Listed(change.Upstream, d.config.Now())
		if change.Kind == roster.Removed || change.Kind == roster.Expired {
			d.cold.Remove(change.Upstream.ID)
		}
		d.config.Log.Info("upstream "+string(change.Kind), zap.String("event", "upstream_"+string(change.Kind)),
			zap.String("upstream", string(change.Upstream.ID)), zap.String("service", string(change.Upstream.Service)),
			zap.String("address", change.Upstream.Address), zap.String("zone", string(change.Upstream.Zone)), zap.String("software", change.Upstream.Software),
			zap.Int64("start", change.Upstream.StartMillis), zap.String("list_version", revision.String()))
	}
	listed := d.listedSoftware()
	d.confirmed.Listed(listed, d.config.Now())
	d.config.Listed(listed)
	upstreams := d.roster.Upstreams()
	d.evacuations.SetUpstreams(upstreams)
	if retired := d.balancer.SetUpstreams(upstreams); len(retired) > 0 {
		d.config.Forget(retired)
	}
}

// listedSoftware returns the software versions of the listed upstreams by service,
// those that are leaving included: their streams may be resumed.
func (d *Director) listedSoftware() map[core.ServiceName][]string {
	listed := make(map[core.ServiceName][]string)
	for _, upstream := range d.roster.Upstreams() {
		if !slices.Contains(listed[upstream.Service], upstream.Software) {
			listed[upstream.Service] = append(listed[upstream.Service], upstream.Software)
		}
	}
	return listed
}

func (d *Director) applyStoreHealth(health follower.Health) {
	if health.Table != d.config.UpstreamTable {
		return
	}
	if health.Reachable {
		d.roster.StoreRegained(health.Since)
		d.listSince = health.Since
	} else {
		d.listSince = time.Time{}
		d.roster.StoreLost(health.Since)
	}
	d.expireLapsed()
}

func (d *Director) expireLapsed() {
	now := d.config.Now()
	changes, next := d.roster.Expire(now)
	d.expire(changes)
	if !next.IsZero() {
		d.expiry.Reset(max(next.Sub(now), time.Millisecond))
	}
}
