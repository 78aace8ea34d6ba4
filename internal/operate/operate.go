// Package operate implements what operators can do with the table. The command
// line and the admin API both use it.
package operate

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/teamtable"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
)

// commitTimeout limits how long a save tries to find out whether the platform
// applied it.
const commitTimeout = 10 * time.Second

// ErrNotFound means that the table has no such row.
var ErrNotFound = errors.New("the table has no such row; check the name")

// ErrNoBudgets means that the Operator was created without Budgets.
var ErrNoBudgets = errors.New("budgets are not available here; use a host or command that has them")

// Config configures an Operator.
type Config struct {
	Table platform.Table
	// Snapshots provides the snapshot of all teams, with which a save checks that
	// no other team has the same API key; nil skips the check.
	Snapshots teamtable.Source
	// Peers provides the hosts of the fleet and the revision that each applies;
	// nil means that there is no list of hosts.
	Peers core.PeerSource
	// Budgets gives access to the budgets; nil means that there is none.
	Budgets Budgets
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Budget says where the tokens of a prepaid budget are.
type Budget struct {
	Budget  core.BudgetID
	Prepaid core.Tokens
	// Left is what no share has drawn.
	Left core.Tokens
	// Spent is what has been billed.
	Spent core.Tokens
	// Held is the unspent part of open shares that their holders renew, Stranded
	// that of open shares that are no longer renewed.
	Held     core.Tokens
	Stranded core.Tokens
}

// Budgets reads and changes the budgets. TableBudgets implements it.
type Budgets interface {
	// List returns all budgets ordered by name.
	List(ctx context.Context) ([]Budget, error)
	// TopUp adds tokens to a budget. The token identifies the payment: a repeated
	// one adds nothing.
	TopUp(ctx context.Context, budget core.BudgetID, amount core.Tokens, token, by string) error
	// Release returns the tokens in the shares of a process to their budgets, and
	// reports how many they were. The operator must know that the process is
	// terminated.
	Release(ctx context.Context, process core.HostRef, by string) (core.Tokens, error)
}

// Operator carries out the requests of operators.
type Operator struct {
	config Config
}

// New returns an Operator.
func New(config Config) *Operator {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Operator{config: config}
}

// Team is a team's row with the revision of the table that wrote it.
type Team struct {
	Row      *core.TeamRow
	Revision int64
	// Invalid says why this binary can't decode the row, in which case Row is nil.
	Invalid error
	Team    core.TeamName
	Version int64
	Deleted bool
}

// Saved is the version of a saved row and the revision of the table that wrote
// it.
type Saved struct {
	Version  int64
	Revision int64
}

// Teams returns all teams ordered by name.
func (o *Operator) Teams(ctx context.Context) ([]Team, error) {
	found, err := o.config.Table.List(ctx, rows.TeamPrefix)
	if err != nil {
		return nil, fmt.Errorf("list the teams: %w", err)
	}
	return decodeTeams(found), nil
}

// Changes returns the teams that changed after a revision, including deleted
// ones, and the revision up to which the answer is complete.
func (o *Operator) Changes(ctx context.Context, since int64) ([]Team, int64, error) {
	set, err := o.config.Table.Changes(ctx, platform.Revision(since), []string{rows.TeamPrefix})
	if err != nil {
		return nil, 0, fmt.Errorf("read the changes: %w", err)
	}
	return decodeTeams(set.Rows), int64(set.Through), nil
}

func decodeTeams(found []platform.Row) []Team {
	teams := make([]Team, 0, len(found))
	for _, row := range found {
		name, known := rows.ParseTeamKey(row.Key)
		if !known {
			continue
		}
		team := Team{Team: name, Version: row.Version, Revision: int64(row.Revision), Deleted: row.Deleted}
		if !row.Deleted {
			if team.Row, team.Invalid = rows.DecodeTeam(name, row.Version, row.Value); team.Invalid != nil {
				team.Row = nil
			}
		}
		teams = append(teams, team)
	}
	return teams
}

// Team returns one team's row, or ErrNotFound.
func (o *Operator) Team(ctx context.Context, name core.TeamName) (Team, error) {
	found, err := o.config.Table.Get(ctx, rows.TeamKey(name))
	if err != nil {
		return Team{}, fmt.Errorf("get team %s: %w", name, err)
	}
	if len(found) == 0 {
		return Team{}, fmt.Errorf("team %s: %w", name, ErrNotFound)
	}
	return decodeTeams(found)[0], nil
}

// Save writes or deletes a team's row if it still has the expected version. Its
// error is a *teamtable.ConflictError with the current row if it hasn't, and a
// *teamtable.InvalidError with field and remedy if the edit is invalid.
func (o *Operator) Save(ctx context.Context, edit teamtable.Edit) (Saved, error) {
	current, err := o.currentRow(ctx, edit.Team)
	if err != nil {
		return Saved{}, err
	}
	edit.At = o.config.Now()
	plan, err := teamtable.PlanEdit(edit, current, o.snapshot())
	if err != nil {
		return Saved{}, err
	}
	return o.commitEdit(ctx, plan)
}

// Undo restores the content that a row had before its current version, as a new
// version. It uses only Team, Expected and By of the edit.
func (o *Operator) Undo(ctx context.Context, edit teamtable.Edit) (Saved, error) {
	current, err := o.currentRow(ctx, edit.Team)
	if err != nil {
		return Saved{}, err
	}
	history, err := o.History(ctx, edit.Team)
	if err != nil {
		return Saved{}, err
	}
	edit.At = o.config.Now()
	plan, err := teamtable.PlanUndo(edit, current, previousRow(current, history), o.snapshot())
	if err != nil {
		return Saved{}, err
	}
	return o.commitEdit(ctx, plan)
}

// previousRow returns a team's row as it was before its current version, or nil
// if it did not exist then. The history must be ordered by version, latest first.
func previousRow(current *core.TeamRow, history []rows.TeamHistory) *core.TeamRow {
	for _, replaced := range history {
		switch {
		case current == nil:
			return replaced.Row
		case replaced.Version >= current.Version:
		case replaced.Deleted:
			return nil
		default:
			return replaced.Row
		}
	}
	return nil
}

// History returns the replaced versions of a team's row, latest first.
func (o *Operator) History(ctx context.Context, team core.TeamName) ([]rows.TeamHistory, error) {
	found, err := o.config.Table.List(ctx, rows.HistoryTeamPrefix(team))
	if err != nil {
		return nil, fmt.Errorf("list the history of team %s: %w", team, err)
	}
	history := make([]rows.TeamHistory, 0, len(found))
	for _, row := range found {
		replaced, err := rows.DecodeHistory(row.Key, row.Value)
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", row.Key, err)
		}
		history = append(history, *replaced)
	}
	slices.SortFunc(history, func(a, b rows.TeamHistory) int { return cmp.Compare(b.Version, a.Version) })
	return history, nil
}

func (o *Operator) currentRow(ctx context.Context, team core.TeamName) (*core.TeamRow, error) {
	found, err := o.Team(ctx, team)
	switch {
	case errors.Is(err, ErrNotFound):
		return nil, nil
	case err != nil:
		return nil, err
	case found.Invalid != nil:
		return nil, fmt.Errorf("team %s: this binary can't read version %d; use the newer binary that wrote it: %w",
			team, found.Version, found.Invalid)
	}
	return found.Row, nil
}

func (o *Operator) snapshot() *teamtable.Snapshot {
	if o.config.Snapshots == nil {
		return nil
	}
	return o.config.Snapshots.Current()
}

// commitEdit writes the row and the history of the replaced one in one
// transaction.
func (o *Operator) commitEdit(ctx context.Context, plan teamtable.Plan) (Saved, error) {
	edit := plan.Edit
	history, err := rows.EncodeHistory(&rows.TeamHistory{
		Row: plan.Replaced, By: edit.By, At: edit.At, Deleted: edit.Row == nil})
	if err != nil {
		return Saved{}, err
	}
	write := platform.Write{Key: rows.TeamKey(edit.Team), Delete: edit.Row == nil}
	if edit.Row != nil {
		if write.Value, err = rows.EncodeTeam(edit.Row); err != nil {
			return Saved{}, err
		}
	}
	revision, err := o.commitWrites(ctx, platform.Condition{Key: write.Key, Version: edit.Expected}, write,
		platform.Write{Key: rows.HistoryKey(edit.Team, edit.Expected), Value: history})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		current, readErr := o.currentRow(ctx, edit.Team)
		if readErr != nil {
			return Saved{}, readErr
		}
		return Saved{}, &teamtable.ConflictError{Team: edit.Team, Expected: edit.Expected, Current: current}
	}
	if err != nil {
		return Saved{}, fmt.Errorf("save team %s: %w", edit.Team, err)
	}
	return o.savedVersion(ctx, write.Key, edit.Expected, revision), nil
}

// savedVersion returns the version and revision that a commit wrote. It reads the
// version of a new row, which isn't 1 if the row was deleted before.
func (o *Operator) savedVersion(ctx context.Context, key string, expected int64, revision platform.Revision) Saved {
	result := Saved{Version: expected + 1, Revision: int64(revision)}
	if expected > 0 {
		return result
	}
	found, err := o.config.Table.Get(ctx, key)
	if err == nil && len(found) == 1 && found[0].Revision == revision {
		result.Version = found[0].Version
	}
	return result
}

func (o *Operator) commitWrites(ctx context.Context, condition platform.Condition, writes ...platform.Write) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return platform.CommitUntilKnown(ctx, o.config.Table, platform.Commit{
		Token: ulid.Make().String(), Conditions: []platform.Condition{condition}, Writes: writes})
}
