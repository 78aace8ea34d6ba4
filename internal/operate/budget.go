package operate

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/budgetstore"
	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/budget"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
)

// releaseBatch bounds the shares released in one transaction; each takes a
// share row and its budget's row.
const releaseBatch = 50

// Budgets are the operators' actions on prepaid budgets.
type Budgets struct {
	Table platform.Table
	Now   func() time.Time
}

// BudgetStatus says where a budget's tokens are.
type BudgetStatus struct {
	Budget  core.BudgetID
	Prepaid core.Tokens
	// Left is not drawn by any host.
	Left core.Tokens
	// Spent is billed.
	Spent core.Tokens
	// Held is drawn by hosts and neither billed nor returned.
	Held core.Tokens
	// Stranded is the part of Held whose holder has not renewed it for 30 s.
	Stranded core.Tokens
	// WrittenOff was billed late on a released share and not charged.
	WrittenOff core.Tokens
}

// TopUp adds a payment to a budget, which is created by its first one. A
// repeated call with the same token adds nothing.
func (b Budgets) TopUp(ctx context.Context, id core.BudgetID, amount core.Tokens, token string) error {
	keys := []string{rows.BudgetKey(id), rows.TopUpKey(id, token)}
	return b.store().Transact(ctx, keys, func(ledger *budget.Ledger) error {
		return ledger.TopUp(budget.TopUp{Budget: id, Token: token, Amount: amount})
	})
}

// Release returns the unspent shares of a host process that the operator
// states is terminated. It returns how many shares were open.
func (b Budgets) Release(ctx context.Context, holder core.HostRef) (int, error) {
	shares, err := b.shares(ctx, rows.SharePrefix)
	if err != nil {
		return 0, err
	}
	shares = slices.DeleteFunc(shares, func(share budget.Share) bool {
		return share.ID.Holder != holder || share.State == budget.Released
	})
	released := 0
	for batch := range slices.Chunk(shares, releaseBatch) {
		if err := b.releaseBatch(ctx, batch); err != nil {
			return released, fmt.Errorf("released %d of %d shares, repeat the command for the rest: %w", released, len(shares), err)
		}
		released += len(batch)
	}
	return released, nil
}

func (b Budgets) releaseBatch(ctx context.Context, batch []budget.Share) error {
	var keys []string
	for _, share := range batch {
		keys = append(keys, rows.ShareKey(share.ID), rows.BudgetKey(share.ID.Budget))
	}
	return b.store().Transact(ctx, keys, func(ledger *budget.Ledger) error {
		for _, share := range batch {
			ledger.Release(share.ID)
		}
		return nil
	})
}

// Status returns where the tokens of all budgets are.
func (b Budgets) Status(ctx context.Context) ([]BudgetStatus, error) {
	read, err := b.Table.List(ctx, rows.BudgetPrefix)
	if err != nil {
		return nil, err
	}
	decoded, err := rows.DecodeBudgetRows(read)
	if err != nil {
		return nil, err
	}
	shares, err := b.shares(ctx, rows.SharePrefix)
	if err != nil {
		return nil, err
	}
	statuses := make([]BudgetStatus, len(decoded.Budgets))
	index := make(map[core.BudgetID]*BudgetStatus, len(decoded.Budgets))
	for i, row := range decoded.Budgets {
		statuses[i] = BudgetStatus{Budget: row.ID, Prepaid: row.Prepaid, Left: row.Remaining()}
		index[row.ID] = &statuses[i]
	}
	now := b.Now()
	for _, share := range shares {
		if status, found := index[share.ID.Budget]; found {
			status.add(share, now)
		}
	}
	return statuses, nil
}

func (s *BudgetStatus) add(share budget.Share, now time.Time) {
	s.Spent += share.Billed
	s.WrittenOff += share.WrittenOff
	if share.State == budget.Released {
		return
	}
	s.Held += share.Unspent()
	if share.Stranded(now) {
		s.Stranded += share.Unspent()
	}
}

func (b Budgets) shares(ctx context.Context, prefix string) ([]budget.Share, error) {
	read, err := b.Table.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	decoded, err := rows.DecodeBudgetRows(read)
	return decoded.Shares, err
}

func (b Budgets) store() budgetstore.Store {
	return budgetstore.Store{Table: b.Table, Now: b.Now}
}
