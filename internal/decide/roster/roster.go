// Package roster keeps the platform's list of upstreams, including entries that
// lapsed because the store of the list was unreachable.
package roster

import (
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

// RecoveryGrace is how long after the end of a store outage an entry that
// lapsed during the outage may still be listed again. The platform specifies
// about two seconds.
const RecoveryGrace = 2 * time.Second

// minOutage is the shortest outage that may have removed an entry. An entry expires
// after three intervals of 1.2 s without a heartbeat, the first of which may lie before
// the outage. A call that gets no answer fails sooner.
const minOutage = 2400 * time.Millisecond

// outageMemory is the time over which outages add up, that of an entry without heartbeats:
// one may miss each short time in which the store answers.
const outageMemory = 3600 * time.Millisecond

// departureRetention is how long the removal of an entry is remembered. The store
// may come back from a copy that is some seconds old and still has the entry.
const departureRetention = time.Minute

// Roster is the list of upstreams as this host knows it.
type Roster struct {
	entries map[core.UpstreamID]*entry
	// departures are the entries that were removed lately.
	departures map[core.UpstreamID]*departure
	// outageSince is when the store stopped answering; zero while it answers.
	outageSince time.Time
	// outages are the earlier ones that ended within outageMemory, oldest first.
	outages []span
	// graceUntil is when the grace after outages of at least minOutage ends.
	graceUntil time.Time
}

// span is a time without answers of the store.
type span struct{ from, to time.Time }

type entry struct {
	upstream gateway.Upstream
	// revision is that of the row in the store.
	revision core.Revision
	// lapsed is true if the entry is no longer listed but may be listed again.
	lapsed bool
}

// departure records the removal of an entry.
type departure struct {
	upstream gateway.Upstream
	// revision is the newest that is known not to list the upstream, unless the
	// store has come back from a copy since.
	revision core.Revision
	at       time.Time
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: make(map[core.UpstreamID]*entry), departures: make(map[core.UpstreamID]*departure)}
}

// StoreLost records that the store has not answered a call that began at the given time.
func (r *Roster) StoreLost(began time.Time) {
	if r.outageSince.IsZero() {
		r.outageSince = began
	}
}

// StoreRegained records that the store answers again.
func (r *Roster) StoreRegained(now time.Time) {
	if r.outageSince.IsZero() {
		return
	}
	r.outages = slices.DeleteFunc(r.outages, func(s span) bool { return now.Sub(s.to) > outageMemory })
	if r.outage(now) {
		r.graceUntil, r.outages = now.Add(RecoveryGrace), nil
	} else {
		r.outages = append(r.outages, span{r.outageSince, now})
	}
	r.outageSince = time.Time{}
}

// outage reports whether the store does not answer, and has not for long enough that
// entries may have expired for that. A single failed call says nothing about the entries.
func (r *Roster) outage(now time.Time) bool {
	if r.outageSince.IsZero() {
		return false
	}
	begin := now.Add(-outageMemory)
	total := now.Sub(r.outageSince)
	for _, s := range r.outages {
		if s.to.After(begin) {
			total += s.to.Sub(later(s.from, begin))
		}
	}
	return total >= minOutage
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// StoreReturned records that the store has come back from an older copy. Entries
// that the copy lacks are written again by their upstreams, as after an outage.
func (r *Roster) StoreReturned(now time.Time) {
	r.outageSince, r.outages = time.Time{}, nil
	r.graceUntil = now.Add(RecoveryGrace)
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

// Put adds or updates a listed entry. It reports false if nothing changed: the
// entry is the same or older, or the copy that the store has come back from lists
// as ready what this host knows to have left.
func (r *Roster) Put(upstream gateway.Upstream, revision core.Revision) (Change, bool) {
	known, found := r.entries[upstream.ID]
	if found && known.revision.Newer(revision) {
		return Change{}, false
	}
	if found && known.upstream.Leaving && !upstream.Leaving && sameProcess(known.upstream, upstream) {
		known.revision = revision
		return Change{}, false
	}
	if found && known.superseded(upstream, revision) {
		known.revision = revision
		return Change{}, false
	}
	if !found && r.revived(upstream, revision) {
		return Change{}, false
	}
	delete(r.departures, upstream.ID)
	r.entries[upstream.ID] = &entry{upstream: upstream, revision: revision}
	if found && !known.lapsed && known.upstream == upstream {
		return Change{}, false
	}
	kind := Listed
	if upstream.Leaving {
		kind = Leaving
	}
	return Change{Upstream: upstream, Kind: kind}, true
}

// sameProcess reports whether two entries are of one process of an upstream. One
// that starts again under its id has another start time.
func sameProcess(a, b gateway.Upstream) bool { return a.StartMillis == b.StartMillis }

// superseded reports whether a row is of an earlier process of the upstream, and listed
// only because the store has come back from an older copy. As for revived, a later
// revision was written by the upstream itself.
func (e *entry) superseded(upstream gateway.Upstream, revision core.Revision) bool {
	return upstream.StartMillis < e.upstream.StartMillis && (revision.Era > e.revision.Era || revision == e.revision)
}

// revived reports whether an entry that was removed is back only because the store
// has come back from an older copy. The first revision in a later era may be that
// of the copy; a later one was written by the upstream itself.
func (r *Roster) revived(upstream gateway.Upstream, revision core.Revision) bool {
	departed, found := r.departures[upstream.ID]
	if !found || upstream.StartMillis > departed.upstream.StartMillis {
		return false
	}
	if revision.Era > departed.revision.Era {
		departed.revision = revision
		return true
	}
	return !revision.Newer(departed.revision)
}

// Remove removes an entry, or marks it as lapsed if a store outage may be the
// reason for its removal. It reports false if nothing changed.
func (r *Roster) Remove(id core.UpstreamID, revision core.Revision, now time.Time) (Change, bool) {
	known, found := r.entries[id]
	if !found || known.lapsed || known.revision.Newer(revision) {
		return Change{}, false
	}
	if r.inOutageWindow(now) && !known.upstream.Leaving {
		known.lapsed = true
		return Change{Upstream: known.upstream, Kind: Lapsed}, true
	}
	r.depart(known.upstream, revision, now)
	return Change{Upstream: known.upstream, Kind: Removed}, true
}

// depart removes an entry and remembers that for departureRetention.
func (r *Roster) depart(upstream gateway.Upstream, revision core.Revision, now time.Time) {
	for id, departed := range r.departures {
		if now.Sub(departed.at) > departureRetention {
			delete(r.departures, id)
		}
	}
	r.departures[upstream.ID] = &departure{upstream, revision, now}
	delete(r.entries, upstream.ID)
}

// inOutageWindow reports whether entries that vanish now may have lapsed
// because of a store outage.
func (r *Roster) inOutageWindow(now time.Time) bool {
	return r.outage(now) || now.Before(r.graceUntil)
}

// RetainOnly applies a full read of the list: it removes all entries that are
// not listed.
func (r *Roster) RetainOnly(listed map[core.UpstreamID]bool, revision core.Revision, now time.Time) []Change {
	var changes []Change
	for id := range r.entries {
		if !listed[id] {
			if change, changed := r.Remove(id, revision, now); changed {
				changes = append(changes, change)
			}
		}
	}
	return changes
}

// Lapsed reports whether an entry has lapsed.
func (r *Roster) Lapsed(id core.UpstreamID) bool {
	known, found := r.entries[id]
	return found && known.lapsed
}

// ExpireUnlisted removes lapsed entries that the newer list of a peer lacks. A peer lists
// its own lapsed entries too, so that it knows these to be gone.
func (r *Roster) ExpireUnlisted(listed map[core.UpstreamID]bool, revision core.Revision, now time.Time) []Change {
	var changes []Change
	for id, known := range r.entries {
		if known.lapsed && !listed[id] && !known.revision.Newer(revision) {
			r.depart(known.upstream, revision, now)
			changes = append(changes, Change{Upstream: known.upstream, Kind: Expired})
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
	for _, known := range r.entries {
		if known.lapsed {
			r.depart(known.upstream, known.revision, now)
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
