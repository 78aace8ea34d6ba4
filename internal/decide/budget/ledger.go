package budget

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Outcome says how a request to the ledger ended.
type Outcome uint8

// The outcomes of a request.
const (
	// Granted means that the draw got at least its need or was granted
	// earlier, or that the request draws nothing.
	Granted Outcome = iota + 1
	// Exhausted means that less than the need remained in the budget. What
	// remained was granted.
	Exhausted
	// ShareReleased means that the share is released and can't draw any more.
	ShareReleased
	// BudgetNotFound means that the table has no such budget.
	BudgetNotFound
)

// Request reports a holder's totals to the ledger and draws tokens. A request
// without need and want draws nothing.
type Request struct {
	Share core.ShareID
	// Sequence numbers the holder's draws from 1. A draw whose number was
	// already granted is granted nothing more.
	Sequence uint64
	// Need covers the reservations that wait at the holder; Want also covers
	// its estimated demand.
	Need core.Tokens
	Want core.Tokens
	// Billed, Credited and Returned are the holder's cumulative totals.
	Billed   core.Tokens
	Credited core.Tokens
	Returned core.Tokens
	// Release closes the share and returns what is unspent to the budget.
	Release bool
}

// Answer is the result of a request.
type Answer struct {
	Outcome Outcome
	// Drawn is the amount that this request added to the share.
	Drawn     core.Tokens
	Share     Share
	Remaining core.Tokens
}

// Ledger applies operations to rows read from the table and collects the rows
// to write.
type Ledger struct {
	now     time.Time
	budgets map[core.BudgetID]*Budget
	shares  map[core.ShareID]*Share
	topUps  map[string]*TopUp

	changedBudgets map[core.BudgetID]bool
	changedShares  map[core.ShareID]bool
	addedTopUp     *TopUp
}

// NewLedger returns a ledger over copies of the given rows.
func NewLedger(now time.Time, budgets []Budget, shares []Share, topUps ...TopUp) *Ledger {
	ledger := &Ledger{
		now:     now,
		budgets: make(map[core.BudgetID]*Budget, len(budgets)), shares: make(map[core.ShareID]*Share, len(shares)),
		topUps:         make(map[string]*TopUp, len(topUps)),
		changedBudgets: make(map[core.BudgetID]bool), changedShares: make(map[core.ShareID]bool),
	}
	for _, row := range budgets {
		ledger.budgets[row.ID] = &row
	}
	for _, row := range shares {
		ledger.shares[row.ID] = &row
	}
	for _, row := range topUps {
		ledger.topUps[row.Token] = &row
	}
	return ledger
}

// Change returns the rows to write, in a stable order.
func (l *Ledger) Change() Change {
	var change Change
	for _, id := range slices.Sorted(maps.Keys(l.changedBudgets)) {
		change.Budgets = append(change.Budgets, *l.budgets[id])
	}
	change.Shares = slices.DeleteFunc(l.Shares(), func(share Share) bool { return !l.changedShares[share.ID] })
	if l.addedTopUp != nil {
		change.TopUps = append(change.TopUps, *l.addedTopUp)
	}
	return change
}

// Shares returns all shares, ordered by their identities.
func (l *Ledger) Shares() []Share {
	shares := make([]Share, 0, len(l.shares))
	for _, share := range l.shares {
		shares = append(shares, *share)
	}
	slices.SortFunc(shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.ID.Budget, b.ID.Budget), cmp.Compare(a.ID.Holder.Host, b.ID.Holder.Host),
			cmp.Compare(a.ID.Holder.Incarnation, b.ID.Holder.Incarnation))
	})
	return shares
}

// Serve applies the holder's totals and grants its draw.
func (l *Ledger) Serve(request Request, fleet FleetSize) Answer {
	budget, found := l.budgets[request.Share.Budget]
	if !found {
		return Answer{Outcome: BudgetNotFound}
	}
	share := l.shareOrNew(request.Share)
	// Credits are applied before bills, as the holder may have spent the
	// credited tokens again.
	if request.Credited > share.Credited {
		share.Credited = request.Credited
		l.changedShares[share.ID] = true
	}
	l.settle(budget, share, request.Billed)
	if share.State == Released {
		l.returnTokens(budget, share, share.Returned+share.Unspent())
		return Answer{Outcome: ShareReleased, Share: *share, Remaining: budget.Remaining()}
	}
	l.returnTokens(budget, share, request.Returned)
	amount, outcome := l.draw(budget, share, request, fleet)
	if request.Release {
		l.release(budget, share)
	}
	if l.now.Sub(share.Renewed) >= RenewInterval || l.changedShares[share.ID] {
		share.Renewed = l.now
		l.changedShares[share.ID] = true
	}
	return Answer{Outcome: outcome, Drawn: amount, Share: *share, Remaining: budget.Remaining()}
}

// shareOrNew returns the share's row, or a new one that is not written until
// it changes.
func (l *Ledger) shareOrNew(id core.ShareID) *Share {
	row, found := l.shares[id]
	if !found {
		row = &Share{ID: id, State: Open, Renewed: l.now}
		l.shares[id] = row
	}
	return row
}

func (l *Ledger) draw(budget *Budget, share *Share, request Request, fleet FleetSize) (core.Tokens, Outcome) {
	if request.Sequence <= share.Sequence {
		return 0, Granted
	}
	amount := DrawSize(request.Need, request.Want, budget.Remaining(), fleet)
	if amount > 0 {
		budget.Drawn += amount
		share.Granted += amount
		share.Sequence = request.Sequence
		l.changedBudgets[budget.ID] = true
		l.changedShares[share.ID] = true
	}
	if amount < request.Need {
		// The row is written even if nothing was granted: other holders can
		// transfer tokens only to an existing row.
		l.changedShares[share.ID] = l.changedShares[share.ID] || share.Version == 0
		return amount, Exhausted
	}
	return amount, Granted
}

// settle raises the billed total of a share. What a released share can't
// cover is paid from what remains of the budget; the rest is written off.
func (l *Ledger) settle(budget *Budget, share *Share, billed core.Tokens) {
	excess := billed - share.Billed - share.WrittenOff
	if excess <= 0 {
		return
	}
	covered := min(excess, share.Unspent())
	paid := min(excess-covered, budget.Remaining())
	share.Billed += covered + paid
	share.Granted += paid
	share.WrittenOff += excess - covered - paid
	l.changedShares[share.ID] = true
	if paid > 0 {
		budget.Drawn += paid
		l.changedBudgets[budget.ID] = true
	}
}

func (l *Ledger) returnTokens(budget *Budget, share *Share, returned core.Tokens) {
	amount := min(returned-share.Returned, share.Unspent())
	if amount <= 0 {
		return
	}
	share.Returned += amount
	budget.Drawn -= amount
	l.changedBudgets[budget.ID] = true
	l.changedShares[share.ID] = true
}

func (l *Ledger) release(budget *Budget, share *Share) {
	l.returnTokens(budget, share, share.Returned+share.Unspent())
	share.State = Released
	l.changedShares[share.ID] = true
}

// Release closes the share of a process that has terminated according to an
// operator. It returns the amount returned to the budget.
func (l *Ledger) Release(id core.ShareID) core.Tokens {
	share, found := l.shares[id]
	budget, known := l.budgets[id.Budget]
	if !found || !known || share.State == Released {
		return 0
	}
	before := share.Returned
	l.release(budget, share)
	return share.Returned - before
}

// SettleShare raises the billed total of another process's share, such as one
// whose bills are applied by a peer. The total is cumulative, so it does not
// matter how much of it the holder had written itself. It returns the amount
// that this call wrote off, and whether the share and its budget exist.
func (l *Ledger) SettleShare(id core.ShareID, billed core.Tokens) (writtenOff core.Tokens, found bool) {
	share, found := l.shares[id]
	budget, known := l.budgets[id.Budget]
	if !found || !known {
		return 0, false
	}
	before := share.WrittenOff
	l.settle(budget, share, billed)
	return share.WrittenOff - before, true
}

// TransferOutcome says how a transfer between holders ended.
type TransferOutcome uint8

// The outcomes of a transfer.
const (
	// TransferDone means that the change moves the amount, or that an
	// earlier commit moved it.
	TransferDone TransferOutcome = iota + 1
	// TransferImpossible means that the receiver can't take the amount. The
	// receiver's row has changed since any earlier attempt, so no such
	// attempt can commit later, and the giver may spend the amount again.
	TransferImpossible
	// TransferGiverReleased means that the giver's share is released.
	TransferGiverReleased
)

// Transfer moves an amount from one holder's share to another's. Moved is
// the giver's cumulative total including this transfer.
func (l *Ledger) Transfer(from, to core.ShareID, moved core.Tokens) TransferOutcome {
	giver, receiver := l.shares[from], l.shares[to]
	if giver == nil || giver.State == Released {
		return TransferGiverReleased
	}
	amount := moved - giver.Moved
	if amount <= 0 {
		return TransferDone
	}
	if receiver == nil || receiver.State == Released || amount > giver.Unspent() {
		return TransferImpossible
	}
	giver.Moved += amount
	receiver.Granted += amount
	l.changedShares[from] = true
	l.changedShares[to] = true
	return TransferDone
}

// TopUp adds a payment to a budget; the first payment creates the budget. A
// token that was already counted adds nothing.
func (l *Ledger) TopUp(payment TopUp) error {
	if err := payment.Validate(); err != nil {
		return err
	}
	if earlier, found := l.topUps[payment.Token]; found {
		if earlier.Amount != payment.Amount {
			return fmt.Errorf("token: %q was used for a top-up of %d tokens; use a new token for another payment",
				payment.Token, earlier.Amount)
		}
		return nil
	}
	budget, found := l.budgets[payment.Budget]
	if !found {
		budget = &Budget{ID: payment.Budget}
		l.budgets[payment.Budget] = budget
	}
	budget.Prepaid += payment.Amount
	l.changedBudgets[budget.ID] = true
	payment.Version = 0
	l.addedTopUp = &payment
	l.topUps[payment.Token] = &payment
	return nil
}
