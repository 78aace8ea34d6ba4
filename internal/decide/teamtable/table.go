package teamtable

import (
	"maps"
	"slices"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Change is one decoded row of a change set. Exactly one of Team and Service is
// set.
type Change struct {
	Team    core.TeamName
	Service core.ServiceName
	Version int64
	// Deleted is true if the row was deleted.
	Deleted bool
	// TeamRow or ServiceRow is the content, unless Deleted or Invalid is set.
	TeamRow    *core.TeamRow
	ServiceRow *core.ServiceRow
	// Invalid is the error in decoding or validating the content, or nil.
	Invalid error
}

// Result counts the rows of a change set by outcome.
type Result struct {
	Accepted int
	// Stale rows had a version that is not newer than one already seen.
	Stale int
	// Invalid rows were newer but failed validation; the last valid version stays
	// in force.
	Invalid int
}

// rowState is the merged state of one row.
type rowState[R any] struct {
	// validVersion is the highest version seen that was valid or a deletion.
	validVersion int64
	// invalidVersion is the highest version seen that failed validation.
	invalidVersion int64
	// inForce is the content of validVersion, or nil after a deletion.
	inForce *R
}

// Table merges change sets. The version of a row never decreases, whatever the
// order and origin of the sets and however often they are repeated. The zero value
// is not usable; call NewTable.
type Table struct {
	teams    map[core.TeamName]rowState[core.TeamRow]
	services map[core.ServiceName]rowState[core.ServiceRow]
	// keyHolders lists, in order of name, the teams whose rows hold a key digest.
	// The first one owns it, so that all hosts agree if two rows hold the same
	// digest.
	keyHolders map[string][]core.TeamName
	snapshot   *Snapshot
}

// NewTable returns an empty table at revision 0.
func NewTable() *Table {
	return &Table{
		teams:      make(map[core.TeamName]rowState[core.TeamRow]),
		services:   make(map[core.ServiceName]rowState[core.ServiceRow]),
		keyHolders: make(map[string][]core.TeamName),
		snapshot: &Snapshot{
			Teams:       make(map[core.TeamName]*core.TeamRow),
			ByKeyDigest: make(map[string]*core.TeamRow),
			Services:    make(map[core.ServiceName]*core.ServiceRow),
		},
	}
}

// Snapshot returns the current snapshot.
func (t *Table) Snapshot() *Snapshot {
	return t.snapshot
}

// Apply merges a change set that is complete through a revision. A revision lower
// than the table's is ignored, but the rows are still merged. Earlier snapshots
// are not modified: each map is copied on its first write in a change set, and
// rows are never copied.
func (t *Table) Apply(changes []Change, through int64) Result {
	next := draft{Snapshot: *t.snapshot}
	next.Revision = max(next.Revision, through)
	var result Result
	for i := range changes {
		change := &changes[i]
		switch {
		case change.Team != "":
			t.applyTeam(change, &next, &result)
		case change.Service != "":
			t.applyService(change, &next, &result)
		}
	}
	if next.Revision != t.snapshot.Revision || result.Accepted > 0 {
		t.snapshot = &next.Snapshot
	}
	return result
}

// draft is the next snapshot under construction. It shares the maps of the
// current snapshot and copies each of them on its first write.
type draft struct {
	Snapshot
	teamsCloned, keysCloned, servicesCloned bool
}

func (d *draft) writableTeams() map[core.TeamName]*core.TeamRow {
	if !d.teamsCloned {
		d.Teams, d.teamsCloned = maps.Clone(d.Teams), true
	}
	return d.Teams
}

func (d *draft) writableKeys() map[string]*core.TeamRow {
	if !d.keysCloned {
		d.ByKeyDigest, d.keysCloned = maps.Clone(d.ByKeyDigest), true
	}
	return d.ByKeyDigest
}

func (d *draft) writableServices() map[core.ServiceName]*core.ServiceRow {
	if !d.servicesCloned {
		d.Services, d.servicesCloned = maps.Clone(d.Services), true
	}
	return d.Services
}

func (t *Table) applyTeam(change *Change, next *draft, result *Result) {
	state := t.teams[change.Team]
	if !state.update(change, change.TeamRow, result) {
		t.teams[change.Team] = state
		return
	}
	before := next.Teams[change.Team]
	t.teams[change.Team] = state
	if state.inForce == nil {
		delete(next.writableTeams(), change.Team)
	} else {
		next.writableTeams()[change.Team] = state.inForce
	}
	t.reassignKeys(change.Team, before, state.inForce, next)
}

func (t *Table) applyService(change *Change, next *draft, result *Result) {
	state := t.services[change.Service]
	replaced := state.update(change, change.ServiceRow, result)
	t.services[change.Service] = state
	switch {
	case !replaced:
	case state.inForce == nil:
		delete(next.writableServices(), change.Service)
	default:
		next.writableServices()[change.Service] = state.inForce
	}
}

// update merges a version of the row and reports whether it replaced or deleted
// the content in force.
func (s *rowState[R]) update(change *Change, row *R, result *Result) bool {
	switch {
	case change.Version <= s.validVersion:
		result.Stale++
		return false
	case change.Invalid != nil || (row == nil && !change.Deleted):
		if change.Version <= s.invalidVersion {
			result.Stale++
			return false
		}
		s.invalidVersion = change.Version
		result.Invalid++
		return false
	}
	s.validVersion = change.Version
	result.Accepted++
	s.inForce = row
	if change.Deleted {
		s.inForce = nil
	}
	return true
}

// reassignKeys updates the owners of the key digests of a row that changed.
func (t *Table) reassignKeys(team core.TeamName, before, after *core.TeamRow, next *draft) {
	if before != nil {
		for _, digest := range before.KeyDigests {
			t.keyHolders[digest] = slices.DeleteFunc(t.keyHolders[digest],
				func(holder core.TeamName) bool { return holder == team })
			t.assignKey(digest, next)
		}
	}
	if after != nil {
		for _, digest := range after.KeyDigests {
			if at, found := slices.BinarySearch(t.keyHolders[digest], team); !found {
				t.keyHolders[digest] = slices.Insert(t.keyHolders[digest], at, team)
			}
			t.assignKey(digest, next)
		}
	}
}

func (t *Table) assignKey(digest string, next *draft) {
	holders := t.keyHolders[digest]
	if len(holders) == 0 {
		delete(t.keyHolders, digest)
		delete(next.writableKeys(), digest)
		return
	}
	next.writableKeys()[digest] = t.teams[holders[0]].inForce
}
