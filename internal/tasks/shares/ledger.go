package shares

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/budget"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
)

// ledger carries out decisions in the platform's table. It has no state of
// its own, so that any worker may use it.
type ledger struct {
	table platform.Table
	now   func() time.Time
}

// transact reads rows, lets decide change them and commits the change. A row
// that was changed by others is read and decided again at once; a commit
// whose reply was lost is repeated under the same token until ctx ends.
func (l ledger) transact(ctx context.Context, keys []string, decide func(*budget.Ledger) error) error {
	for {
		read, err := l.table.Get(ctx, keys...)
		if err != nil {
			return err
		}
		found, err := rows.DecodeBudgetRows(read)
		if err != nil {
			return err
		}
		state := budget.NewLedger(l.now(), found.Budgets, found.Shares, found.TopUps...)
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
		_, err = platform.CommitUntilKnown(ctx, l.table, commit)
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) || ctx.Err() != nil {
			return err
		}
	}
}

// exchange serves requests of any budgets in one transaction.
func (l ledger) exchange(ctx context.Context, fleet budget.Fleet, requests []budget.Request) ([]budget.Answer, error) {
	answers := make([]budget.Answer, len(requests))
	err := l.transact(ctx, requestKeys(requests), func(state *budget.Ledger) error {
		for i, request := range requests {
			answers[i] = state.Serve(request, fleet)
		}
		return nil
	})
	return answers, err
}

func requestKeys(requests []budget.Request) []string {
	keys := make([]string, 0, 2*len(requests))
	budgets := make(map[core.BudgetID]bool, len(requests))
	shares := make(map[core.ShareID]bool, len(requests))
	for _, request := range requests {
		if !budgets[request.Share.Budget] {
			budgets[request.Share.Budget] = true
			keys = append(keys, rows.BudgetKey(request.Share.Budget))
		}
		if !shares[request.Share] {
			shares[request.Share] = true
			keys = append(keys, rows.ShareKey(request.Share))
		}
	}
	return keys
}

// transfer carries out a transfer between holders.
func (l ledger) transfer(ctx context.Context, transfer budget.Transfer) (budget.TransferOutcome, error) {
	var outcome budget.TransferOutcome
	keys := []string{rows.ShareKey(transfer.From), rows.ShareKey(transfer.To)}
	err := l.transact(ctx, keys, func(state *budget.Ledger) error {
		outcome = state.Transfer(transfer.From, transfer.To, transfer.Moved)
		return nil
	})
	return outcome, err
}

// holders returns the shares of a budget.
func (l ledger) holders(ctx context.Context, id core.BudgetID) ([]budget.Share, error) {
	read, err := l.table.List(ctx, rows.BudgetSharesPrefix(id))
	if err != nil {
		return nil, err
	}
	found, err := rows.DecodeBudgetRows(read)
	return found.Shares, err
}
