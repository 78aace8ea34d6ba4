// Package operate is what operators do to the table. The command line and the
// operators' page use it alike.
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

// commitTimeout bounds the wait for the platform to say whether a save took
// effect.
const commitTimeout = 10 * time.Second

// ErrNotFound means that the table has no such row.
var ErrNotFound = errors.New("the table has no such row; check the name")

// ErrNotOffered means that this operator was built without budgets.
var ErrNotOffered = errors.New("budgets are not available here; use a host or command that has them")

// Config describes an Operator.
type Config struct {
	Table platform.Table
	// View lets saves refuse a key that another team holds; nil skips that.
	View teamtable.Source
	// Peers lets the page show on how many hosts a version is in force; nil
	// shows none.
	Peers core.PeerSource
	// Budgets shows and tops up budgets; nil offers neither.
	Budgets Budgets
	// Now is the clock; nil takes time.Now.
	Now func() time.Time
}

// Budget is what operators see of a prepaid budget.
type Budget struct {
	Budget  core.BudgetID
	Prepaid core.Tokens
	// Left is not drawn by any share.
	Left core.Tokens
	// Spent is billed.
	Spent core.Tokens
	// Held is in open shares that are renewed, Stranded in those that are not.
	Held     core.Tokens
	Stranded core.Tokens
}

// Budgets is implemented by the package that writes budget and share rows.
type Budgets interface {
	// List returns all budgets ordered by name.
	List(ctx context.Context) ([]Budget, error)
	// TopUp adds to a budget. A repeated token adds nothing.
	TopUp(ctx context.Context, budget core.BudgetID, amount core.Tokens, token, by string) error
	// Release returns the shares of a process that the operator states to be
	// terminated, and tells how many tokens came back.
	Release(ctx context.Context, process core.HostRef, by string) (core.Tokens, error)
}

// Operator carries out what operators ask for.
type Operator struct {
	config Config
}

// New returns an operator.
func New(config Config) *Operator {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Operator{config: config}
}

// Team is a team's row and the revision that wrote it.
type Team struct {
	Row      *core.TeamRow
	Revision int64
	// Invalid says why this binary can't read the row; Row is nil then.
	Invalid error
	Team    core.TeamName
	Version int64
	Deleted bool
}

// Saved tells the version and revision of a saved row.
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
	return readTeams(found), nil
}

// Changes returns the teams that changed after a revision, deleted ones
// included, and the revision up to which the answer is complete.
func (o *Operator) Changes(ctx context.Context, since int64) ([]Team, int64, error) {
	set, err := o.config.Table.Changes(ctx, platform.Revision(since), []string{rows.TeamPrefix})
	if err != nil {
		return nil, 0, fmt.Errorf("read the changes: %w", err)
	}
	return readTeams(set.Rows), int64(set.Through), nil
}

func readTeams(found []platform.Row) []Team {
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
	return readTeams(found)[0], nil
}

// Save writes a team's row, or deletes it, if it still has the expected
// version. It returns *teamtable.ConflictError with the other operator's row,
// or *teamtable.InvalidError with field and remedy.
func (o *Operator) Save(ctx context.Context, edit teamtable.Edit) (Saved, error) {
	current, err := o.current(ctx, edit.Team)
	if err != nil {
		return Saved{}, err
	}
	edit.At = o.config.Now()
	plan, err := teamtable.PlanEdit(edit, current, o.view())
	if err != nil {
		return Saved{}, err
	}
	return o.commit(ctx, plan)
}

// Undo brings back, as a new version, the content that a row had before its
// current version. It takes Team, Expected and By from the edit.
func (o *Operator) Undo(ctx context.Context, edit teamtable.Edit) (Saved, error) {
	current, err := o.current(ctx, edit.Team)
	if err != nil {
		return Saved{}, err
	}
	history, err := o.History(ctx, edit.Team)
	if err != nil {
		return Saved{}, err
	}
	edit.At = o.config.Now()
	plan, err := teamtable.PlanUndo(edit, current, before(current, history), o.view())
	if err != nil {
		return Saved{}, err
	}
	return o.commit(ctx, plan)
}

// before returns what a team's row was before its current version, nil if it
// did not exist. The history is ordered by version, the latest first.
func before(current *core.TeamRow, history []rows.TeamHistory) *core.TeamRow {
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

// History returns the replaced versions of a team's row, the latest first.
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

func (o *Operator) current(ctx context.Context, team core.TeamName) (*core.TeamRow, error) {
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

func (o *Operator) view() *teamtable.Snapshot {
	if o.config.View == nil {
		return nil
	}
	return o.config.View.Current()
}

// commit writes the row and its history in one transaction.
func (o *Operator) commit(ctx context.Context, plan teamtable.Plan) (Saved, error) {
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
	revision, err := o.write(ctx, platform.Condition{Key: write.Key, Version: edit.Expected}, write,
		platform.Write{Key: rows.HistoryKey(edit.Team, edit.Expected), Value: history})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		current, readErr := o.current(ctx, edit.Team)
		if readErr != nil {
			return Saved{}, readErr
		}
		return Saved{}, &teamtable.ConflictError{Team: edit.Team, Expected: edit.Expected, Current: current}
	}
	if err != nil {
		return Saved{}, fmt.Errorf("save team %s: %w", edit.Team, err)
	}
	return o.saved(ctx, write.Key, edit.Expected, revision), nil
}

// saved finds out the version that a commit wrote: after a deletion the next
// version isn't 1.
func (o *Operator) saved(ctx context.Context, key string, expected int64, revision platform.Revision) Saved {
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

func (o *Operator) write(ctx context.Context, condition platform.Condition, writes ...platform.Write) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return platform.CommitUntilKnown(ctx, o.config.Table, platform.Commit{
		Token: ulid.Make().String(), Conditions: []platform.Condition{condition}, Writes: writes})
}
