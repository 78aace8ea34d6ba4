package teamtable

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// maxNameBytes is the maximum length of a name. It keeps the keys of the
// platform's table short.
const maxNameBytes = 128

// digestLength is the length of a SHA-256 digest in hexadecimal.
const digestLength = 64

// Edit is a change to one team's row that an operator requests.
type Edit struct {
	Team core.TeamName
	// Expected is the version that the operator edited; 0 means that there was no
	// row.
	Expected int64
	// Row is the new content, or nil to delete the row.
	Row *core.TeamRow
	By  string
	At  time.Time
}

// ConflictError reports that a row changed after the operator read it.
type ConflictError struct {
	Team     core.TeamName
	Expected int64
	// Current is the row that the other operator saved, or nil if it was deleted.
	Current *core.TeamRow
}

// Error returns the versions and the remedy.
func (e *ConflictError) Error() string {
	if e.Current == nil {
		return fmt.Sprintf("team %s: version %d was deleted by someone else; reload it before editing", e.Team, e.Expected)
	}
	return fmt.Sprintf("team %s: version %d was replaced by version %d; compare with the row saved by the other operator and edit that one",
		e.Team, e.Expected, e.Current.Version)
}

// InvalidError reports which field of an edit is invalid and how to correct it.
type InvalidError struct {
	Team core.TeamName
	// Reason has the form "field: what is wrong; remedy".
	Reason string
}

// Error returns the team and the reason.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("team %s: %s", e.Team, e.Reason)
}

// Plan is what a save writes in one commit, on condition that the row still has
// version Edit.Expected.
type Plan struct {
	Edit Edit
	// Replaced is the row that is moved to the history, or nil if the row is new.
	Replaced *core.TeamRow
}

// PlanEdit returns the plan for an edit. The current row is the one in the
// platform's table, or nil if there is none. The snapshot is used to reject a key
// that another team holds. It may be stale, so two concurrent saves can still
// assign one key to two teams; Table resolves this in the same way on each host.
func PlanEdit(edit Edit, current *core.TeamRow, snapshot *Snapshot) (Plan, error) {
	var version int64
	if current != nil {
		version = current.Version
	}
	if version != edit.Expected {
		return Plan{}, &ConflictError{Team: edit.Team, Expected: edit.Expected, Current: current}
	}
	if edit.Row == nil && current == nil {
		return Plan{}, &InvalidError{edit.Team, "team: has no row; there is nothing to delete"}
	}
	if edit.Row != nil {
		if err := validate(edit.Team, edit.Row, snapshot); err != nil {
			return Plan{}, err
		}
	}
	return Plan{Edit: edit, Replaced: current}, nil
}

// PlanUndo returns the plan that restores the previous content of a row as a
// new version. The previous row is nil if there was none.
func PlanUndo(edit Edit, current, previous *core.TeamRow, snapshot *Snapshot) (Plan, error) {
	if current == nil && previous == nil {
		return Plan{}, &InvalidError{edit.Team, "team: has no earlier version; there is nothing to undo"}
	}
	edit.Row = nil
	if previous != nil {
		restored := *previous
		restored.Version = 0
		edit.Row = &restored
	}
	return PlanEdit(edit, current, snapshot)
}

func validate(team core.TeamName, row *core.TeamRow, snapshot *Snapshot) error {
	if err := ValidateName("team", string(team)); err != nil {
		return &InvalidError{team, err.Error()}
	}
	if row.Team != team {
		return &InvalidError{team, fmt.Sprintf("team: is %q in the row of %q; a row can't be renamed, create a new one", row.Team, team)}
	}
	if err := row.Validate(); err != nil {
		return &InvalidError{team, err.Error()}
	}
	for i, digest := range row.KeyDigests {
		if _, err := hex.DecodeString(digest); err != nil || len(digest) != digestLength || digest != strings.ToLower(digest) {
			return &InvalidError{team, fmt.Sprintf("key_digests[%d]: is not a SHA-256 digest; give %d lower-case hexadecimal digits", i, digestLength)}
		}
		if snapshot == nil {
			continue
		}
		if holder, found := snapshot.ByKeyDigest[digest]; found && holder.Team != team {
			return &InvalidError{team, fmt.Sprintf("key_digests[%d]: belongs to team %s already; issue a new key", i, holder.Team)}
		}
	}
	return nil
}

// ValidateName checks a name that becomes part of a key. A slash would make
// keys ambiguous, and control characters can't be displayed.
func ValidateName(field, name string) error {
	switch {
	case name == "":
		return fmt.Errorf("%s: must not be empty; give a name", field)
	case len(name) > maxNameBytes:
		return fmt.Errorf("%s: has %d bytes; use %d at most", field, len(name), maxNameBytes)
	case strings.ContainsFunc(name, func(r rune) bool { return r == '/' || r <= ' ' || r == 0x7f }):
		return fmt.Errorf("%s: %q has a slash, a space or a control character; remove it", field, name)
	}
	return nil
}
