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

// Ledger carries out decisions in the platform's table. It has no state of
// its own, so that any worker may use it.
type Ledger struct {
	table platform.Table
	now   func() time.Time
}

// NewLedger returns a ledger over a table.
func NewLedger(table platform.Table, now func() time.Time) Ledger {
	return Ledger{table, now}
}

// transact reads rows, lets decide change them and commits the change. A row
// that was changed by others is read and decided again at once; a commit
// whose reply was lost is repeated under the same token until ctx ends.
func (l Ledger) transact(ctx context.Context, keys []string, decide func(*budget.Ledger) error) error {
	for {
		err := l.attempt(ctx, keys, decide)
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) || ctx.Err() != nil {
			return err
		}
	}
}

// attempt runs a transaction once; a conflict is returned.
func (l Ledger) attempt(ctx context.Context, keys []string, decide func(*budget.Ledger) error) error {
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
	return err
}

// result is the end of one request to the ledger.
type result struct {
	budget.Answer
	err error
}

// exchange serves requests of any budgets in one transaction. If that fails
// for another reason than an outage, each budget gets a transaction of its
// own, so that neither a contended row nor an invalid one holds up the others.
func (l Ledger) exchange(ctx context.Context, fleet budget.Fleet, requests []budget.Request) []result {
	results := make([]result, len(requests))
	all := make([]int, len(requests))
	groups := make(map[core.BudgetID][]int)
	for i, request := range requests {
		all[i] = i
		groups[request.Share.Budget] = append(groups[request.Share.Budget], i)
	}
	if len(groups) > 1 {
		err := l.serve(ctx, fleet, requests, all, results, l.attempt)
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

// serve carries out the requests with the given indexes in one transaction
// and sets their results.
func (l Ledger) serve(ctx context.Context, fleet budget.Fleet, requests []budget.Request, indexes []int, results []result,
	carryOut func(context.Context, []string, func(*budget.Ledger) error) error,
) error {
	err := carryOut(ctx, requestKeys(requests, indexes), func(state *budget.Ledger) error {
		for _, i := range indexes {
			results[i].Answer = state.Serve(requests[i], fleet)
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

// transfer carries out a transfer between holders.
func (l Ledger) transfer(ctx context.Context, transfer budget.Transfer) (budget.TransferOutcome, error) {
	var outcome budget.TransferOutcome
	keys := []string{rows.ShareKey(transfer.From), rows.ShareKey(transfer.To)}
	err := l.transact(ctx, keys, func(state *budget.Ledger) error {
		outcome = state.Transfer(transfer.From, transfer.To, transfer.Moved)
		return nil
	})
	return outcome, err
}

// Shares returns the shares of a budget.
func (l Ledger) Shares(ctx context.Context, id core.BudgetID) ([]budget.Share, error) {
	read, err := l.table.List(ctx, rows.BudgetSharesPrefix(id))
	if err != nil {
		return nil, err
	}
	found, err := rows.DecodeBudgetRows(read)
	return found.Shares, err
}

// TopUp adds a payment to a budget; a token that was counted adds nothing.
func (l Ledger) TopUp(ctx context.Context, payment budget.TopUp) error {
	keys := []string{rows.BudgetKey(payment.Budget), rows.TopUpKey(payment.Budget, payment.Token)}
	return l.transact(ctx, keys, func(state *budget.Ledger) error { return state.TopUp(payment) })
}

// Settle raises the billed total of a share whose holder is gone. Total is
// the sum of all its bills, so a repeated call adds nothing. It returns what
// was written off because the budget is spent.
func (l Ledger) Settle(ctx context.Context, id core.ShareID, total core.Tokens) (writtenOff core.Tokens, err error) {
	keys := []string{rows.BudgetKey(id.Budget), rows.ShareKey(id)}
	err = l.transact(ctx, keys, func(state *budget.Ledger) error {
		writtenOff, _ = state.Settle(id, total)
		return nil
	})
	return writtenOff, err
}

// Release closes the shares of a process that an operator states is
// terminated, and returns how many tokens went back to the budgets. Bills
// that peers hold for the process should be applied first; later ones are
// paid from what remains of the budget or written off.
func (l Ledger) Release(ctx context.Context, holder core.HostRef) (core.Tokens, error) {
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

func (l Ledger) release(ctx context.Context, id core.ShareID) (returned core.Tokens, err error) {
	keys := []string{rows.BudgetKey(id.Budget), rows.ShareKey(id)}
	err = l.transact(ctx, keys, func(state *budget.Ledger) error {
		returned = state.Release(id)
		return nil
	})
	return returned, err
}
