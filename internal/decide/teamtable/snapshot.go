// Package teamtable decides which version of each row of the operators' table
// is in force. It does no I/O.
package teamtable

import "github.com/peridotreel/peridotreel/internal/core"

// Snapshot is an immutable view of the rows in force. Readers must not modify
// it or anything that it points to.
type Snapshot struct {
	// Revision is the revision of the platform's table up to which the snapshot
	// is complete.
	Revision int64
	Teams    map[core.TeamName]*core.TeamRow
	// ByKeyDigest maps the SHA-256 digest of a bearer key to the row of its team.
	ByKeyDigest map[string]*core.TeamRow
	Services    map[core.ServiceName]*core.ServiceRow
}

// Source provides the current snapshot, or nil before the first one is loaded.
type Source interface {
	Current() *Snapshot
}
