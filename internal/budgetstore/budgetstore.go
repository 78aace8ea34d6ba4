// Package budgetstore carries out budget decisions as transactions in the
// platform's table.
package budgetstore

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/peridotreel/peridotreel/internal/decide/budget"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
)

// Store has no state of its own, so any goroutine may use it.
type Store struct {
	Table platform.Table
	Now   func() time.Time
}

// Transact reads rows, lets decide change them and commits the change. A row
// that was changed by others is read and decided again at once; a commit
// whose reply was lost is repeated under the same token until ctx ends.
func (s Store) Transact(ctx context.Context, keys []string, decide func(*budget.Ledger) error) error {
	for {
		read, err := s.Table.Get(ctx, keys...)
		if err != nil {
			return err
		}
		found, err := rows.DecodeBudgetRows(read)
		if err != nil {
			return err
		}
		state := budget.NewLedger(s.Now(), found.Budgets, found.Shares, found.TopUps...)
		if err := decide(state); err != nil {
			return err
		}
		change := state.Change()
		if change.Empty() {
			return nil
		}
		commit, err := rows.BudgetCommit(uuid.NewString(), change)
		if err != nil {
			return err
		}
		_, err = platform.CommitUntilKnown(ctx, s.Table, commit)
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) || ctx.Err() != nil {
			return err
		}
	}
}
