package operate

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/budget"
	"github.com/peridotreel/peridotreel/internal/journal"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
	"github.com/peridotreel/peridotreel/internal/tasks/shares"
)

// TableBudgets implements Budgets with the budget and share rows of the
// platform's table.
type TableBudgets struct {
	table   platform.Table
	journal journal.Reader
	ledger  shares.TableLedger
	now     func() time.Time
}

// NewTableBudgets returns the budgets of a table. Release reads the journals of
// bills from the object store.
func NewTableBudgets(table platform.Table, objects platform.Objects, now func() time.Time) *TableBudgets {
	return &TableBudgets{
		table: table, journal: journal.Reader{Table: table, Objects: objects},
		ledger: shares.NewTableLedger(table, now), now: now,
	}
}

// TopUp implements Budgets. The first payment creates the budget.
func (b *TableBudgets) TopUp(ctx context.Context, id core.BudgetID, amount core.Tokens, token, _ string) error {
	return b.ledger.TopUp(ctx, budget.TopUp{Budget: id, Token: token, Amount: amount})
}

// Release implements Budgets. It first settles the bills in the journal of the
// process, which may have ended before it wrote their sums to its shares.
func (b *TableBudgets) Release(ctx context.Context, process core.HostRef, _ string) (core.Tokens, error) {
	if err := b.journal.SettleShares(ctx, b.settleShare, process); err != nil {
		return 0, err
	}
	return b.ledger.Release(ctx, process)
}

func (b *TableBudgets) settleShare(ctx context.Context, share core.ShareID, total core.Tokens) error {
	_, err := b.ledger.SettleShare(ctx, share, total)
	return err
}

// List implements Budgets.
func (b *TableBudgets) List(ctx context.Context) ([]Budget, error) {
	var found rows.BudgetRows
	for _, prefix := range []string{rows.BudgetPrefix, rows.SharePrefix} {
		read, err := b.table.List(ctx, prefix)
		if err != nil {
			return nil, err
		}
		decoded, err := rows.DecodeBudgetRows(read)
		if err != nil {
			return nil, err
		}
		found.Budgets = append(found.Budgets, decoded.Budgets...)
		found.Shares = append(found.Shares, decoded.Shares...)
	}
	return summarizeBudgets(found, b.now()), nil
}

func summarizeBudgets(found rows.BudgetRows, now time.Time) []Budget {
	budgets := make([]Budget, len(found.Budgets))
	byID := make(map[core.BudgetID]*Budget, len(found.Budgets))
	for i, row := range found.Budgets {
		budgets[i] = Budget{Budget: row.ID, Prepaid: row.Prepaid, Left: row.Remaining()}
		byID[row.ID] = &budgets[i]
	}
	for _, share := range found.Shares {
		summary, known := byID[share.ID.Budget]
		if !known {
			continue
		}
		summary.Spent += share.Billed
		switch {
		case share.State == budget.Released:
		case share.Stranded(now):
			summary.Stranded += share.Unspent()
		default:
			summary.Held += share.Unspent()
		}
	}
	return budgets
}
