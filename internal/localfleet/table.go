package localfleet

import (
	"context"

	"github.com/google/uuid"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
)

// CreateRows writes the first rows of the table, which must not exist yet.
func (f *Fleet) CreateRows(ctx context.Context, teams []core.TeamRow, services []core.ServiceRow) error {
	commit := platform.Commit{Token: uuid.NewString()}
	add := func(key string, value []byte) {
		commit.Conditions = append(commit.Conditions, platform.Condition{Key: key})
		commit.Writes = append(commit.Writes, platform.Write{Key: key, Value: value})
	}
	for i := range teams {
		value, err := rows.EncodeTeam(&teams[i])
		if err != nil {
			return err
		}
		add(rows.TeamKey(teams[i].Team), value)
	}
	for i := range services {
		value, err := rows.EncodeService(&services[i])
		if err != nil {
			return err
		}
		add(rows.ServiceKey(services[i].Service), value)
	}
	_, err := platform.CommitUntilKnown(ctx, f.Store, commit)
	return err
}

// SaveTeam writes a team's row and returns its version.
func (f *Fleet) SaveTeam(ctx context.Context, row *core.TeamRow) (int64, error) {
	key := rows.TeamKey(row.Team)
	current, err := f.Store.Get(ctx, key)
	if err != nil {
		return 0, err
	}
	var version int64
	if len(current) > 0 {
		version = current[0].Version
	}
	value, err := rows.EncodeTeam(row)
	if err != nil {
		return 0, err
	}
	_, err = platform.CommitUntilKnown(ctx, f.Store, platform.Commit{
		Token:      uuid.NewString(),
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	})
	return version + 1, err
}
