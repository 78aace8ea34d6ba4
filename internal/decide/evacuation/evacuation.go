// Package evacuation decides which zones get no new requests, from what the host has read
// in the store and what its peers have read there. It answers the load that is to leave a
// zone within seconds of an operator's write, while some hosts are turned away by the store
// and others have an older view of it.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

const (
	// ReturnGrace is how long an evacuation is kept that the store lacks after it has come
	// back from an older copy. Operators rewrite what was lost within that time.
	ReturnGrace = 4 * time.Second
	// restorationRetention is how long the end of an evacuation is remembered. Upstreams
	// are cold for a few seconds after it.
	restorationRetention = time.Minute
)

// Row is a row of the operator's table that names a zone.
type Row struct {
	Zone     core.ZoneName
	Revision core.Revision
	// Deleted is true for a row that was removed, or that names its zone no more.
	Deleted bool
}

// Read is the result of one read of the table.
type Read struct {
	// Rows holds all rows if Full is true, else those that changed, in order.
	Rows []Row
	Full bool
	// Revision is that of the store at the time of the read.
	Revision core.Revision
}

// Change is the begin or the end of an evacuation.
type Change struct {
	Zone      core.ZoneName
	Evacuated bool
	// Revision is that of the row that began the evacuation, or the one at which the
	// store was read without it.
	Revision core.Revision
}

// Table is the evacuated zones as one host knows them. Its callers pass in the current
// time.
type Table struct {
	// read is the highest revision of the store that this host or a peer that it heard
	// has read. What is older changes nothing.
	read core.Revision
	// rows has the revision of each zone's row in the store.
	rows map[core.ZoneName]core.Revision
	// kept has until when an evacuation is kept that the store lacks after a return. The
	// zero time stands for a zone that the store has named since, so that no peer brings
	// its evacuation back.
	kept map[core.ZoneName]time.Time
	// restored has when the latest evacuation of a zone has ended.
	restored map[core.ZoneName]time.Time
	// current are the evacuated zones, in order. The slice is never modified.
	current []core.ZoneName
	// zones are the zones of each service's upstreams.
	zones map[core.ServiceName][]core.ZoneName
}

// New returns a table without evacuations.
func New() *Table {
	return &Table{
		rows: make(map[core.ZoneName]core.Revision), kept: make(map[core.ZoneName]time.Time),
		restored: make(map[core.ZoneName]time.Time),
	}
}

// Evacuated reports whether the upstreams of a zone are to get no new requests.
func (t *Table) Evacuated(zone core.ZoneName) bool { return slices.Contains(t.current, zone) }

// Zones returns the evacuated zones in order. The slice must not be modified.
func (t *Table) Zones() []core.ZoneName { return t.current }

// RestoredAt returns when the evacuation of a zone has ended, and false if none has within
// the last minute. It is the time at which this host or one of its peers learned of it.
func (t *Table) RestoredAt(zone core.ZoneName) (time.Time, bool) {
	at, found := t.restored[zone]
	return at, found && !t.Evacuated(zone)
}

// SetUpstreams sets the list by which AllEvacuated decides.
func (t *Table) SetUpstreams(list []gateway.Upstream) {
	t.zones = make(map[core.ServiceName][]core.ZoneName)
	for _, upstream := range list {
		if !upstream.Leaving && !slices.Contains(t.zones[upstream.Service], upstream.Zone) {
			t.zones[upstream.Service] = append(t.zones[upstream.Service], upstream.Zone)
		}
	}
}

// AllEvacuated reports whether a service has upstreams, and all of them are in evacuated
// zones. Those that leave do not count.
func (t *Table) AllEvacuated(service core.ServiceName) bool {
	zones := t.zones[service]
	return len(t.current) > 0 && len(zones) > 0 && !slices.ContainsFunc(zones, func(zone core.ZoneName) bool { return !t.Evacuated(zone) })
}

// Apply applies a read of the store and returns what has changed.
func (t *Table) Apply(read Read, now time.Time) []Change {
	if t.read.Newer(read.Revision) {
		// The read was under way while a peer told what came after it.
		return nil
	}
	if read.Full {
		t.advance(read.Revision, now)
		rows := make(map[core.ZoneName]core.Revision)
		for _, row := range read.Rows {
			if !row.Deleted {
				rows[row.Zone] = row.Revision
			}
		}
		t.replace(rows, read.Revision)
		return t.refresh(now)
	}
	known := t.read
	t.advance(read.Revision, now)
	for _, row := range read.Rows {
		if row.Revision.Newer(known) && !t.rows[row.Zone].Newer(row.Revision) {
			t.put(row)
		}
	}
	return t.refresh(now)
}

// put applies a changed row.
func (t *Table) put(row Row) {
	t.kept[row.Zone] = time.Time{}
	if row.Deleted {
		delete(t.rows, row.Zone)
		return
	}
	t.rows[row.Zone] = row.Revision
}

// advance records that a revision was read. If the store has come back from an older copy
// since the last one, all evacuations are kept for ReturnGrace.
func (t *Table) advance(revision core.Revision, now time.Time) {
	if revision.Era > t.read.Era && t.read.Number > 0 {
		kept := make(map[core.ZoneName]time.Time)
		for _, zone := range t.current {
			kept[zone] = now.Add(ReturnGrace)
		}
		t.kept, t.rows = kept, make(map[core.ZoneName]core.Revision)
	}
	t.read = revision
}

// replace sets all rows to those of a revision. A row of a later revision stays: the pages
// of a long read are of different revisions.
func (t *Table) replace(rows map[core.ZoneName]core.Revision, revision core.Revision) {
	for zone, written := range t.rows {
		if _, found := rows[zone]; !found && written.Newer(revision) {
			rows[zone] = written
		}
	}
	t.rows = rows
	for zone := range rows {
		t.kept[zone] = time.Time{}
	}
}

// Expire ends the evacuations that were kept for long enough. It returns when it has to be
// called next, zero for never.
func (t *Table) Expire(now time.Time) ([]Change, time.Time) {
	changes := t.refresh(now)
	for zone, at := range t.restored {
		if now.Sub(at) > restorationRetention {
			delete(t.restored, zone)
		}
	}
	var next time.Time
	for _, until := range t.kept {
		if until.After(now) && (next.IsZero() || until.Before(next)) {
			next = until
		}
	}
	return changes, next
}

// refresh updates the evacuated zones and returns how they have changed.
func (t *Table) refresh(now time.Time) []Change {
	before := t.current
	after := slices.Collect(maps.Keys(t.rows))
	for zone, until := range t.kept {
		if until.After(now) {
			after = append(after, zone)
		}
	}
	slices.Sort(after)
	after = slices.Compact(after)
	if slices.Equal(before, after) {
		return nil
	}
	t.current = after
	var changes []Change
	for _, zone := range before {
		if !slices.Contains(after, zone) {
			t.restored[zone] = now
			changes = append(changes, Change{Zone: zone, Revision: t.read})
		}
	}
	for _, zone := range after {
		if !slices.Contains(before, zone) {
			revision, stored := t.rows[zone]
			if !stored {
				revision = t.read
			}
			changes = append(changes, Change{Zone: zone, Evacuated: true, Revision: revision})
		}
	}
	return changes
}
