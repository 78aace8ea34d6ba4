// Package roster keeps the platform's list of upstreams, including entries that
// lapsed because the store of the list was unreachable.
package roster

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

// RecoveryGrace is how long after the end of a store outage an entry that
// lapsed during the outage may still be listed again. The platform specifies
// about two seconds.
const RecoveryGrace = 2 * time.Second

// Roster is the list of upstreams as this host knows it.
type Roster struct {
	entries map[core.UpstreamID]*entry
	// outageSince is when the store stopped answering; zero while it answers.
	outageSince time.Time
	// graceUntil is when the grace after an outage ends.
	graceUntil time.Time
}

type entry struct {
	upstream gateway.Upstream
	// version is the version of the row in the store.
	version int64
	// lapsed is true if the entry is no longer listed but may be listed again.
	lapsed bool
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: make(map[core.UpstreamID]*entry)}
}

// StoreLost records that the store has not answered since about the given time.
func (r *Roster) StoreLost(now time.Time) {
	if r.outageSince.IsZero() {
		r.outageSince = now
	}
}

// StoreRegained records that the store answers again.
func (r *Roster) StoreRegained(now time.Time) {
	if !r.outageSince.IsZero() {
		r.outageSince = time.Time{}
		r.graceUntil = now.Add(RecoveryGrace)
	}
}

// Upstream returns an upstream of the list, and false if it is not listed.
func (r *Roster) Upstream(id core.UpstreamID) (gateway.Upstream, bool) {
	known, found := r.entries[id]
	if !found {
		return gateway.Upstream{}, false
	}
	return known.upstream, true
}

// Change describes a change of an entry.
type Change struct {
	Upstream gateway.Upstream
	Kind     ChangeKind
}

// ChangeKind is the kind of a change.
type ChangeKind string

// The kinds of change.
const (
	Listed  ChangeKind = "listed"
	Leaving ChangeKind = "leaving"
	Removed ChangeKind = "removed"
	// Lapsed entries vanished from the list during or just after a store outage.
	// They are used until they expire.
	Lapsed ChangeKind = "lapsed"
	// Expired entries lapsed and were not listed again before the grace ended.
	Expired ChangeKind = "expired"
)

// Put adds or updates a listed entry. It reports false if nothing changed.
func (r *Roster) Put(upstream gateway.Upstream, version int64) (Change, bool) {
	known, found := r.entries[upstream.ID]
	if found && known.version > version {
		return Change{}, false
	}
	r.entries[upstream.ID] = &entry{upstream: upstream, version: version}
	if found && !known.lapsed && known.upstream == upstream {
		return Change{}, false
	}
	kind := Listed
	if upstream.Leaving {
		kind = Leaving
	}
	return Change{Upstream: upstream, Kind: kind}, true
}

// Remove removes an entry, or marks it as lapsed if a store outage may be the
// reason for its removal. It reports false if nothing changed.
func (r *Roster) Remove(id core.UpstreamID, version int64, now time.Time) (Change, bool) {
	known, found := r.entries[id]
	if !found || known.lapsed || known.version > version {
		return Change{}, false
	}
	if r.inOutageWindow(now) && !known.upstream.Leaving {
		known.lapsed = true
		return Change{Upstream: known.upstream, Kind: Lapsed}, true
	}
	delete(r.entries, id)
	return Change{Upstream: known.upstream, Kind: Removed}, true
}

// inOutageWindow reports whether entries that vanish now may have lapsed
// because of a store outage.
func (r *Roster) inOutageWindow(now time.Time) bool {
	return !r.outageSince.IsZero() || now.Before(r.graceUntil)
}

// RetainOnly applies a full read of the list: it removes all entries that are
// not listed.
func (r *Roster) RetainOnly(listed map[core.UpstreamID]bool, version int64, now time.Time) []Change {
	var changes []Change
	for id := range r.entries {
		if !listed[id] {
			if change, changed := r.Remove(id, version, now); changed {
				changes = append(changes, change)
			}
		}
	}
	return changes
}

// Expire removes lapsed entries that were not listed again within the grace
// after an outage. It returns when it has to be called next, zero for never.
func (r *Roster) Expire(now time.Time) ([]Change, time.Time) {
	if !r.outageSince.IsZero() {
		return nil, time.Time{}
	}
	if now.Before(r.graceUntil) {
		return nil, r.graceUntil
	}
	var changes []Change
	for id, known := range r.entries {
		if known.lapsed {
			delete(r.entries, id)
			changes = append(changes, Change{Upstream: known.upstream, Kind: Expired})
		}
	}
	return changes, time.Time{}
}

// Upstreams returns all upstreams, including those that lapsed.
func (r *Roster) Upstreams() []gateway.Upstream {
	list := make([]gateway.Upstream, 0, len(r.entries))
	for _, known := range r.entries {
		list = append(list, known.upstream)
	}
	return list
}
