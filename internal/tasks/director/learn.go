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

func (d *Director) learn(update follower.Update) {
	switch update.Table {
	case d.config.ConfigTable:
		for _, row := range update.Rows {
			if row.Key == d.config.ConfigKey && !row.Deleted {
				d.decodeConfig(row)
			}
		}
		d.confirmed = update.At
	case d.config.ServersTable:
		d.serversAt = update.At
		d.learnServers(update.Rows, update.Full, update.Version, update.At)
	}
}

func (d *Director) decodeConfig(row rowstore.Row) {
	decoded, err := d.config.DecodeConfig(row.Value)
	if err != nil {
		d.config.Log.Error("the configuration can't be read; the one in force stays",
			zap.String("event", "config_malformed"), zap.Int64("row_version", row.Version), zap.Error(err))
		return
	}
	d.adopt(decoded, "store")
}

// adopt puts a configuration in force if it is newer than the present one.
func (d *Director) adopt(config *gateway.Config, source string) {
	if d.current != nil && config.Version <= d.current.Version {
		return
	}
	d.current = config
	d.config.Log.Info("configuration in force", zap.String("event", "config_applied"),
		zap.Int64("config_version", config.Version), zap.String("source", source),
		zap.Int("routes", len(config.Routes)), zap.Int("services", len(config.Services)), zap.Int("teams", len(config.Teams)))
	d.config.Changed(config)
}

// confirm records that a version was known to be the newest at a time.
func (d *Director) confirm(version int64, at time.Time) {
	if d.current != nil && version == d.current.Version && at.After(d.confirmed) {
		d.confirmed = at
	}
}

func (d *Director) learnServers(rows []rowstore.Row, full bool, version int64, now time.Time) {
	listed := make(map[core.UpstreamID]bool, len(rows))
	var changes []roster.Change
	note := func(change roster.Change, changed bool) {
		if changed {
			changes = append(changes, change)
		}
	}
	for _, row := range rows {
		id := core.UpstreamID(row.Key)
		if row.Deleted {
			delete(d.rawServer, row.Key)
			note(d.roster.Remove(id, row.Version, now))
			continue
		}
		upstream, err := d.config.DecodeUpstream(row.Key, row.Value)
		if err != nil {
			if known, found := d.rawServer[row.Key]; !found || known.Version != row.Version {
				d.config.Log.Warn("entry of the upstream list skipped", zap.String("event", "upstream_malformed"),
					zap.String("upstream", row.Key), zap.Int64("row_version", row.Version), zap.Error(err))
			}
			d.rawServer[row.Key] = row
			note(d.roster.Remove(id, row.Version, now))
			continue
		}
		d.rawServer[row.Key] = row
		listed[id] = true
		note(d.roster.Put(upstream, row.Version))
	}
	if full {
		for key := range d.rawServer {
			if !listed[core.UpstreamID(key)] {
				delete(d.rawServer, key)
			}
		}
		changes = append(changes, d.roster.RetainOnly(listed, version, now)...)
	}
	if full || len(rows) > 0 {
		d.serverRows = slices.Collect(maps.Values(d.rawServer))
	}
	d.serverRev = max(d.serverRev, version)
	d.applyRoster(changes, version)
	d.expire()
}

// adoptServers takes a peer's list, which is newer than the one that this host
// has from the store.
func (d *Director) adoptServers(offer offeredServers, now time.Time) {
	if offer.version > d.serverRev {
		d.learnServers(offer.rows, true, offer.version, now)
	}
}

func (d *Director) applyRoster(changes []roster.Change, version int64) {
	if len(changes) == 0 {
		return
	}
	for _, change := range changes {
		d.config.Log.Info("upstream "+string(change.Kind), zap.String("event", "upstream_"+string(change.Kind)),
			zap.String("upstream", string(change.Upstream.ID)), zap.String("service", string(change.Upstream.Service)),
			zap.String("address", change.Upstream.Address), zap.String("zone", string(change.Upstream.Zone)),
			zap.Int64("list_version", version))
	}
	if closed := d.fleet.SetUpstreams(d.roster.Upstreams()); len(closed) > 0 {
		d.config.Forget(closed)
	}
}

func (d *Director) health(health follower.Health) {
	if health.Table != d.config.ServersTable {
		return
	}
	if health.Answers {
		d.roster.StoreBack(health.Since)
	} else {
		d.roster.StoreAway(health.LastSeen)
	}
	d.expire()
}

func (d *Director) expire() {
	now := d.config.Now()
	changes, next := d.roster.Expire(now)
	d.applyRoster(changes, d.serverRev)
	if !next.IsZero() {
		d.expiry.Reset(max(next.Sub(now), time.Millisecond))
	}
}
