// Package roster keeps the upstreams that the platform's list names, and those
// whose entries lapsed because the list's store was away.
package roster

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

// ReturnGrace is how long after the store's return an entry that lapsed
// meanwhile may still come back. The platform states about two seconds.
const ReturnGrace = 2 * time.Second

// Roster is the list as this host believes it.
type Roster struct {
	entries map[core.UpstreamID]*entry
	// away is since when the store has not answered; zero if it answers.
	away time.Time
	// graceUntil is until when lapsed entries are kept after the store's return.
	graceUntil time.Time
}

type entry struct {
	upstream gateway.Upstream
	// version is that of the row.
	version int64
	// missing is true if the entry is no longer listed and may come back.
	missing bool
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: make(map[core.UpstreamID]*entry)}
}

// StoreAway records that the store does not answer since about a time.
func (r *Roster) StoreAway(now time.Time) {
	if r.away.IsZero() {
		r.away = now
	}
}

// StoreBack records that the store answers again.
func (r *Roster) StoreBack(now time.Time) {
	if !r.away.IsZero() {
		r.away = time.Time{}
		r.graceUntil = now.Add(ReturnGrace)
	}
}

// Change is what became of an entry.
type Change struct {
	Upstream gateway.Upstream
	// Kind is listed, leaving, removed, lapsed or expired.
	Kind ChangeKind
}

// ChangeKind tells changes apart.
type ChangeKind string

// The kinds of change.
const (
	Listed  ChangeKind = "listed"
	Leaving ChangeKind = "leaving"
	Removed ChangeKind = "removed"
	// Lapsed entries are gone from the list around an outage of its store, and
	// are used until they expire.
	Lapsed  ChangeKind = "lapsed"
	Expired ChangeKind = "expired"
)

// Put takes a listed entry. It reports false if nothing changed.
func (r *Roster) Put(upstream gateway.Upstream, version int64) (Change, bool) {
	known, found := r.entries[upstream.ID]
	if found && known.version > version {
		return Change{}, false
	}
	r.entries[upstream.ID] = &entry{upstream: upstream, version: version}
	if found && !known.missing && known.upstream == upstream {
		return Change{}, false
	}
	kind := Listed
	if upstream.Leaving {
		kind = Leaving
	}
	return Change{Upstream: upstream, Kind: kind}, true
}

// Remove takes the removal of an entry.
func (r *Roster) Remove(id core.UpstreamID, version int64, now time.Time) (Change, bool) {
	known, found := r.entries[id]
	if !found || known.missing || known.version > version {
		return Change{}, false
	}
	if r.mayReturn(now) && !known.upstream.Leaving {
		known.missing = true
		return Change{Upstream: known.upstream, Kind: Lapsed}, true
	}
	delete(r.entries, id)
	return Change{Upstream: known.upstream, Kind: Removed}, true
}

// mayReturn reports whether entries that vanish now may have lapsed because
// the store was away.
func (r *Roster) mayReturn(now time.Time) bool {
	return !r.away.IsZero() || now.Before(r.graceUntil)
}

// RetainOnly takes a full read of the list: all entries that it lacks are
// removed.
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

// Expire drops entries that did not come back after the store's return. It
// returns the next time at which it has to be called, zero for none.
func (r *Roster) Expire(now time.Time) ([]Change, time.Time) {
	if !r.away.IsZero() {
		return nil, time.Time{}
	}
	if now.Before(r.graceUntil) {
		return nil, r.graceUntil
	}
	var changes []Change
	for id, known := range r.entries {
		if known.missing {
			delete(r.entries, id)
			changes = append(changes, Change{Upstream: known.upstream, Kind: Expired})
		}
	}
	return changes, time.Time{}
}

// Upstreams returns the upstreams known.
func (r *Roster) Upstreams() []gateway.Upstream {
	list := make([]gateway.Upstream, 0, len(r.entries))
	for _, known := range r.entries {
		list = append(list, known.upstream)
	}
	return list
}
