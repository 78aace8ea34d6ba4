// Package platform implements an in-memory stand-in for the platform's
// services, for tests and for running a fleet locally.
package platform

import (
	"cmp"
	"slices"
	"strings"

	"github.com/peridotreel/peridotreel/internal/platform"
)

// Store holds the table's rows and the results of commits. It is not safe for
// concurrent use; Service is.
type Store struct {
	revision platform.Revision
	rows     map[string]platform.Row
	results  map[string]commitResult
}

type commitResult struct {
	revision platform.Revision
	err      error
}

// NewStore returns an empty table.
func NewStore() *Store {
	return &Store{rows: make(map[string]platform.Row), results: make(map[string]commitResult)}
}

// Commit applies a transaction. A repeated commit, recognized by its token,
// returns the first result.
func (s *Store) Commit(commit platform.Commit) (platform.Revision, error) {
	if earlier, found := s.results[commit.Token]; found && commit.Token != "" {
		return earlier.revision, earlier.err
	}
	revision, err := s.apply(commit)
	if commit.Token != "" {
		s.results[commit.Token] = commitResult{revision, err}
	}
	return revision, err
}

func (s *Store) apply(commit platform.Commit) (platform.Revision, error) {
	var failed []platform.Row
	for _, condition := range commit.Conditions {
		row := s.rows[condition.Key]
		if row.Deleted {
			row = platform.Row{}
		}
		if row.Version != condition.Version {
			row.Key = condition.Key
			failed = append(failed, row)
		}
	}
	if len(failed) > 0 {
		return 0, &platform.ConflictError{Rows: failed}
	}
	s.revision++
	for _, write := range commit.Writes {
		s.rows[write.Key] = platform.Row{
			Key: write.Key, Version: s.rows[write.Key].Version + 1,
			Revision: s.revision, Value: slices.Clone(write.Value), Deleted: write.Delete,
		}
	}
	return s.revision, nil
}

// Get returns the rows with the given keys; absent rows are left out.
func (s *Store) Get(keys ...string) []platform.Row {
	var rows []platform.Row
	for _, key := range keys {
		if row, found := s.rows[key]; found && !row.Deleted {
			rows = append(rows, row)
		}
	}
	return rows
}

// List returns the rows whose key begins with prefix, ordered by key.
func (s *Store) List(prefix string) []platform.Row {
	var rows []platform.Row
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && !row.Deleted {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows
}

// Changes returns the latest version of rows written after since whose key
// begins with one of the prefixes, ordered by revision.
func (s *Store) Changes(since platform.Revision, prefixes []string) platform.ChangeSet {
	set := platform.ChangeSet{Through: s.revision}
	for key, row := range s.rows {
		if row.Revision > since && hasAnyPrefix(key, prefixes) {
			set.Rows = append(set.Rows, row)
		}
	}
	slices.SortFunc(set.Rows, func(a, b platform.Row) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return set
}

func hasAnyPrefix(key string, prefixes []string) bool {
	return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}
