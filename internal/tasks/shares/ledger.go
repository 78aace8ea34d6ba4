package shares

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/budget"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
)

// TableLedger runs the operations of budget.Ledger as transactions on the
// platform's table. It is stateless, so any worker may use it.
type TableLedger struct {
	table platform.Table
	now   func() time.Time
}

// NewTableLedger returns a ledger over a table.
func NewTableLedger(table platform.Table, now func() time.Time) TableLedger {
	return TableLedger{table, now}
}

// transact reads rows, lets decide change them and commits the change. If
// another writer has changed a row, it reads and decides again immediately; a
// commit whose reply is lost is retried with the same token until ctx ends.
func (l TableLedger) transact(ctx context.Context, keys []string, decide func(*budget.Ledger) error) error {
	for {
		err := l.transactOnce(ctx, keys, decide)
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) || ctx.Err() != nil {
			return err
		}
	}
}

// transactOnce runs a transaction once and returns a conflict as an error.
func (l TableLedger) transactOnce(ctx context.Context, keys []string, decide func(*budget.Ledger) error) error {
	read, err := l.table.Get(ctx, keys...)
	if err != nil {
		return err
	}
	found, err := rows.DecodeBudgetRows(read)
	if err != nil {
		return err
	}
	ledger := budget.NewLedger(l.now(), found.Budgets, found.Shares, found.TopUps...)
	if err := decide(ledger); err != nil {
		return err
	}
	change := ledger.Change()
	if change.Empty() {
		return nil
	}
	commit, err := rows.BudgetCommit(uuid.NewString(), change)
	if err != nil {
		return err
	}
	_, err = platform.CommitUntilKnown(ctx, l.table, commit)
	return err
}

// requestResult is the outcome of one request to the ledger.
type requestResult struct {
	budget.Answer
	err error
}

// serveRequests serves requests on any budgets in one transaction. If that
// fails for any reason but an outage, each budget gets a transaction of its own,
// so that neither a contended row nor an invalid one delays the other budgets.
func (l TableLedger) serveRequests(ctx context.Context, fleet budget.FleetSize, requests []budget.Request) []requestResult {
	results := make([]requestResult, len(requests))
	all := make([]int, len(requests))
	groups := make(map[core.BudgetID][]int)
	for i, request := range requests {
		all[i] = i
		groups[request.Share.Budget] = append(groups[request.Share.Budget], i)
	}
	if len(groups) > 1 {
		err := l.serve(ctx, fleet, requests, all, results, l.transactOnce)
		if err == nil || errors.Is(err, platform.ErrUnavailable) {
			return results
		}
	}
	var transactions sync.WaitGroup
	for _, group := range groups {
		transactions.Go(func() { _ = l.serve(ctx, fleet, requests, group, results, l.transact) })
	}
	transactions.Wait()
	return results
}

// serve serves the requests with the given indexes in one transaction and sets
// their results.
func (l TableLedger) serve(ctx context.Context, fleet budget.FleetSize, requests []budget.Request, indexes []int, results []requestResult,
	transact func(context.Context, []string, func(*budget.Ledger) error) error,
) error {
	err := transact(ctx, requestKeys(requests, indexes), func(ledger *budget.Ledger) error {
		for _, i := range indexes {
			results[i].Answer = ledger.Serve(requests[i], fleet)
		}
		return nil
	})
	for _, i := range indexes {
		results[i].err = err
	}
	return err
}

func requestKeys(requests []budget.Request, indexes []int) []string {
	keys := make([]string, 0, 2*len(indexes))
	budgets := make(map[core.BudgetID]bool, len(indexes))
	shares := make(map[core.ShareID]bool, len(indexes))
	for _, i := range indexes {
		request := requests[i]
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

// transfer commits a transfer between holders.
func (l TableLedger) transfer(ctx context.Context, transfer budget.Transfer) (budget.TransferOutcome, error) {
	var outcome budget.TransferOutcome
	keys := []string{rows.ShareKey(transfer.From), rows.ShareKey(transfer.To)}
	err := l.transact(ctx, keys, func(ledger *budget.Ledger) error {
		outcome = ledger.Transfer(transfer.From, transfer.To, transfer.Moved)
		return nil
	})
	return outcome, err
}

// Shares returns the shares of a budget.
func (l TableLedger) Shares(ctx context.Context, id core.BudgetID) ([]budget.Share, error) {
	read, err := l.table.List(ctx, rows.BudgetSharesPrefix(id))
	if err != nil {
		return nil, err
	}
	found, err := rows.DecodeBudgetRows(read)
	return found.Shares, err
}

// TopUp adds a payment to a budget; a token that was already counted adds
// nothing.
func (l TableLedger) TopUp(ctx context.Context, payment budget.TopUp) error {
	keys := []string{rows.BudgetKey(payment.Budget), rows.TopUpKey(payment.Budget, payment.Token)}
	return l.transact(ctx, keys, func(ledger *budget.Ledger) error { return ledger.TopUp(payment) })
}

// SettleShare raises the billed total of a share whose holder has terminated.
// Total is the sum of all its bills, so a repeated call adds nothing. It returns
// the amount that was written off because the budget is spent.
func (l TableLedger) SettleShare(ctx context.Context, id core.ShareID, total core.Tokens) (writtenOff core.Tokens, err error) {
	keys := []string{rows.BudgetKey(id.Budget), rows.ShareKey(id)}
	err = l.transact(ctx, keys, func(ledger *budget.Ledger) error {
		writtenOff, _ = ledger.SettleShare(id, total)
		return nil
	})
	return writtenOff, err
}

// Release closes the shares of a process that has terminated according to an
// operator, and returns how many tokens were returned to the budgets. Bills that
// peers hold for the process should be settled first; later ones are paid from
// what remains of the budget or written off.
func (l TableLedger) Release(ctx context.Context, holder core.HostRef) (core.Tokens, error) {
	read, err := l.table.List(ctx, rows.SharePrefix)
	if err != nil {
		return 0, err
	}
	found, err := rows.DecodeBudgetRows(read)
	if err != nil {
		return 0, err
	}
	var total core.Tokens
	for _, share := range found.Shares {
		if share.ID.Holder != holder || share.State == budget.Released {
			continue
		}
		returned, err := l.release(ctx, share.ID)
		if err != nil {
			return total, err
		}
		total += returned
	}
	return total, nil
}

func (l TableLedger) release(ctx context.Context, id core.ShareID) (returned core.Tokens, err error) {
	keys := []string{rows.BudgetKey(id.Budget), rows.ShareKey(id)}
	err = l.transact(ctx, keys, func(ledger *budget.Ledger) error {
		returned = ledger.Release(id)
		return nil
	})
	return returned, err
}
