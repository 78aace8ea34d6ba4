package teamtable

import (
	"maps"
	"slices"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Change is one row of a change set, decoded. Exactly one of Team and Service
// is set.
type Change struct {
	Team    core.TeamName
	Service core.ServiceName
	Version int64
	// Deleted is true when the row was removed.
	Deleted bool
	// TeamRow or ServiceRow is the content unless Deleted or Invalid is set.
	TeamRow    *core.TeamRow
	ServiceRow *core.ServiceRow
	// Invalid says why the content could not be read or validated.
	Invalid error
}

// Result counts what became of the rows of a change set.
type Result struct {
	Accepted int
	// Stale rows had a version that was seen before or was overtaken.
	Stale int
	// Invalid rows were newer but failed validation, so the last valid version
	// stays in force.
	Invalid int
}

// slot is the state of one row.
type slot[R any] struct {
	// valid is the highest valid version or deletion seen.
	valid int64
	// invalid is the highest version seen that failed validation.
	invalid int64
	// inForce is the content of version valid, nil after a deletion.
	inForce *R
}

// Table merges change sets. Whatever their order and origin, and however often
// they are repeated, the version of a row never goes back. The zero value is
// not ready for use; call NewTable.
type Table struct {
	teams    map[core.TeamName]slot[core.TeamRow]
	services map[core.ServiceName]slot[core.ServiceRow]
	// claimants lists, in order, the teams whose rows hold a key digest. The
	// first one owns it, so that hosts agree when two rows hold the same.
	claimants map[string][]core.TeamName
	snapshot  *Snapshot
}

// NewTable returns an empty table at revision 0.
func NewTable() *Table {
	return &Table{
		teams:     make(map[core.TeamName]slot[core.TeamRow]),
		services:  make(map[core.ServiceName]slot[core.ServiceRow]),
		claimants: make(map[string][]core.TeamName),
		snapshot: &Snapshot{
			Teams:       make(map[core.TeamName]*core.TeamRow),
			ByKeyDigest: make(map[string]*core.TeamRow),
			Services:    make(map[core.ServiceName]*core.ServiceRow),
		},
	}
}

// Snapshot returns the view of the rows in force.
func (t *Table) Snapshot() *Snapshot {
	return t.snapshot
}

// Apply merges a change set that is complete through a revision. A lower
// revision than the table's is ignored; the rows are merged all the same.
// Earlier snapshots stay as they were. A map of the snapshot is copied at most
// once in a change set, and only if it changes; rows are never copied.
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

// draft is a snapshot under construction, which shares the maps of the
// earlier one until they change.
type draft struct {
	Snapshot
	ownsTeams, ownsKeys, ownsServices bool
}

func (d *draft) teams() map[core.TeamName]*core.TeamRow {
	if !d.ownsTeams {
		d.Teams, d.ownsTeams = maps.Clone(d.Teams), true
	}
	return d.Teams
}

func (d *draft) keys() map[string]*core.TeamRow {
	if !d.ownsKeys {
		d.ByKeyDigest, d.ownsKeys = maps.Clone(d.ByKeyDigest), true
	}
	return d.ByKeyDigest
}

func (d *draft) services() map[core.ServiceName]*core.ServiceRow {
	if !d.ownsServices {
		d.Services, d.ownsServices = maps.Clone(d.Services), true
	}
	return d.Services
}

func (t *Table) applyTeam(change *Change, next *draft, result *Result) {
	entry := t.teams[change.Team]
	if !entry.admit(change, change.TeamRow, result) {
		t.teams[change.Team] = entry
		return
	}
	earlier := next.Teams[change.Team]
	t.teams[change.Team] = entry
	if entry.inForce == nil {
		delete(next.teams(), change.Team)
	} else {
		next.teams()[change.Team] = entry.inForce
	}
	t.moveKeys(change.Team, earlier, entry.inForce, next)
}

func (t *Table) applyService(change *Change, next *draft, result *Result) {
	entry := t.services[change.Service]
	replaced := entry.admit(change, change.ServiceRow, result)
	t.services[change.Service] = entry
	switch {
	case !replaced:
	case entry.inForce == nil:
		delete(next.services(), change.Service)
	default:
		next.services()[change.Service] = entry.inForce
	}
}

// admit takes over a newer version and reports whether the row in force was
// replaced or removed.
func (s *slot[R]) admit(change *Change, row *R, result *Result) bool {
	switch {
	case change.Version <= s.valid:
		result.Stale++
		return false
	case change.Invalid != nil || (row == nil && !change.Deleted):
		if change.Version <= s.invalid {
			result.Stale++
			return false
		}
		s.invalid = change.Version
		result.Invalid++
		return false
	}
	s.valid = change.Version
	result.Accepted++
	s.inForce = row
	if change.Deleted {
		s.inForce = nil
	}
	return true
}

// moveKeys updates the owners of the key digests of a replaced row.
func (t *Table) moveKeys(team core.TeamName, earlier, later *core.TeamRow, next *draft) {
	if earlier != nil {
		for _, digest := range earlier.KeyDigests {
			t.claimants[digest] = slices.DeleteFunc(t.claimants[digest],
				func(claimant core.TeamName) bool { return claimant == team })
			t.assignKey(digest, next)
		}
	}
	if later != nil {
		for _, digest := range later.KeyDigests {
			if at, found := slices.BinarySearch(t.claimants[digest], team); !found {
				t.claimants[digest] = slices.Insert(t.claimants[digest], at, team)
			}
			t.assignKey(digest, next)
		}
	}
}

func (t *Table) assignKey(digest string, next *draft) {
	claimants := t.claimants[digest]
	if len(claimants) == 0 {
		delete(t.claimants, digest)
		delete(next.keys(), digest)
		return
	}
	next.keys()[digest] = t.teams[claimants[0]].inForce
}
