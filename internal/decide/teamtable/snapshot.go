// Package teamtable decides which version of each row of the operators' table
// is in force. It does no input or output.
package teamtable

import "github.com/peridotreel/peridotreel/internal/core"

// Snapshot is an immutable view of the rows in force. Readers must not change
// it or what it points to.
type Snapshot struct {
	// Revision of the platform's table up to which the view is complete.
	Revision int64
	Teams    map[core.TeamName]*core.TeamRow
	// ByKeyDigest finds a team by the SHA-256 digest of a bearer key.
	ByKeyDigest map[string]*core.TeamRow
	Services    map[core.ServiceName]*core.ServiceRow
}

// Source gives the snapshot in force, or nil before the first one is loaded.
type Source interface {
	Current() *Snapshot
}
