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

// The outcomes.
const (
	// Granted means that the draw got at least what it needs, or that it had
	// been granted before.
	Granted Outcome = iota + 1
	// Exhausted means that less than the need remained. What remained was
	// granted.
	Exhausted
	// Closed means that the share is released and gets nothing any more.
	Closed
	// Unknown means that there is no such budget.
	Unknown
)

// Request is what a holder asks of the ledger. A request without need and
// want only reports totals.
type Request struct {
	Share core.ShareID
	// Sequence numbers the holder's draws from 1. A draw whose number was
	// granted before grants nothing more.
	Sequence uint64
	// Need is what waits at the holder; Want would cover its demand.
	Need core.Tokens
	Want core.Tokens
	// Billed, Credited and Returned are the holder's cumulative totals.
	Billed   core.Tokens
	Credited core.Tokens
	Returned core.Tokens
	// Close releases the share; the holder keeps nothing unspent.
	Close bool
}

// Answer is the state after a request.
type Answer struct {
	Outcome Outcome
	// Drawn is what this request added to the share.
	Drawn     core.Tokens
	Share     Share
	Remaining core.Tokens
}

// Ledger applies transitions to rows that were read and collects the change.
type Ledger struct {
	now     time.Time
	budgets map[core.BudgetID]*Budget
	shares  map[core.ShareID]*Share
	topUps  map[string]*TopUp

	budgetsChanged map[core.BudgetID]bool
	sharesChanged  map[core.ShareID]bool
	topUpAdded     *TopUp
}

// NewLedger returns a ledger over copies of rows that were read.
func NewLedger(now time.Time, budgets []Budget, shares []Share, topUps ...TopUp) *Ledger {
	ledger := &Ledger{
		now:     now,
		budgets: make(map[core.BudgetID]*Budget, len(budgets)), shares: make(map[core.ShareID]*Share, len(shares)),
		topUps:         make(map[string]*TopUp, len(topUps)),
		budgetsChanged: make(map[core.BudgetID]bool), sharesChanged: make(map[core.ShareID]bool),
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
	for _, id := range slices.Sorted(maps.Keys(l.budgetsChanged)) {
		change.Budgets = append(change.Budgets, *l.budgets[id])
	}
	change.Shares = slices.DeleteFunc(l.Shares(), func(share Share) bool { return !l.sharesChanged[share.ID] })
	if l.topUpAdded != nil {
		change.TopUps = append(change.TopUps, *l.topUpAdded)
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

// Serve settles the holder's totals and grants its draw.
func (l *Ledger) Serve(request Request, fleet Fleet) Answer {
	budget, found := l.budgets[request.Share.Budget]
	if !found {
		return Answer{Outcome: Unknown}
	}
	share := l.share(request.Share)
	// The credit comes first, as the holder may have spent it again.
	if request.Credited > share.Credited {
		share.Credited = request.Credited
		l.sharesChanged[share.ID] = true
	}
	l.settle(budget, share, request.Billed)
	if share.State == Released {
		l.takeBack(budget, share, share.Returned+share.Unspent())
		return Answer{Outcome: Closed, Share: *share, Remaining: budget.Remaining()}
	}
	l.takeBack(budget, share, request.Returned)
	amount, outcome := l.draw(budget, share, request, fleet)
	if request.Close {
		l.release(budget, share)
	}
	if l.now.Sub(share.Renewed) >= RenewEvery || l.sharesChanged[share.ID] {
		share.Renewed = l.now
		l.sharesChanged[share.ID] = true
	}
	return Answer{Outcome: outcome, Drawn: amount, Share: *share, Remaining: budget.Remaining()}
}

// share returns the row, or a new one that is not written until it changes.
func (l *Ledger) share(id core.ShareID) *Share {
	row, found := l.shares[id]
	if !found {
		row = &Share{ID: id, State: Open, Renewed: l.now}
		l.shares[id] = row
	}
	return row
}

func (l *Ledger) draw(budget *Budget, share *Share, request Request, fleet Fleet) (core.Tokens, Outcome) {
	if request.Sequence <= share.Sequence {
		return 0, Granted
	}
	amount := Size(request.Need, request.Want, budget.Remaining(), fleet)
	if amount > 0 {
		budget.Drawn += amount
		share.Granted += amount
		share.Sequence = request.Sequence
		l.budgetsChanged[budget.ID] = true
		l.sharesChanged[share.ID] = true
	}
	if amount < request.Need {
		// Other holders can transfer tokens only to a row that exists.
		l.sharesChanged[share.ID] = l.sharesChanged[share.ID] || share.Version == 0
		return amount, Exhausted
	}
	return amount, Granted
}

// settle raises the billed total. What a released share can't cover is paid
// from what remains of the budget and otherwise written off.
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
	l.sharesChanged[share.ID] = true
	if paid > 0 {
		budget.Drawn += paid
		l.budgetsChanged[budget.ID] = true
	}
}

func (l *Ledger) takeBack(budget *Budget, share *Share, returned core.Tokens) {
	amount := min(returned-share.Returned, share.Unspent())
	if amount <= 0 {
		return
	}
	share.Returned += amount
	budget.Drawn -= amount
	l.budgetsChanged[budget.ID] = true
	l.sharesChanged[share.ID] = true
}

func (l *Ledger) release(budget *Budget, share *Share) {
	l.takeBack(budget, share, share.Returned+share.Unspent())
	share.State = Released
	l.sharesChanged[share.ID] = true
}

// Release closes the share of a process that an operator states is
// terminated. It returns how much went back to the budget.
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

// Settle raises the billed total of a share that another process held, such
// as one whose bills a peer applies. The total is cumulative, so it does not
// matter how much of it the holder had written itself.
// It returns what was written off in addition.
func (l *Ledger) Settle(id core.ShareID, billed core.Tokens) (writtenOff core.Tokens, found bool) {
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
	// earlier commit had moved it.
	TransferDone TransferOutcome = iota + 1
	// TransferImpossible means that the receiver can't take the amount. The
	// row of the receiver has changed since any earlier try, so no such try
	// can take effect later, and the giver may spend the amount again.
	TransferImpossible
	// TransferClosed means that the giver's share is released.
	TransferClosed
)

// Transfer moves an amount from one holder's share to another's. Moved is
// the giver's cumulative total, this transfer included.
func (l *Ledger) Transfer(from, to core.ShareID, moved core.Tokens) TransferOutcome {
	giver, receiver := l.shares[from], l.shares[to]
	if giver == nil || giver.State == Released {
		return TransferClosed
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
	l.sharesChanged[from] = true
	l.sharesChanged[to] = true
	return TransferDone
}

// TopUp adds a payment to a budget, which is created by its first one. A
// token that was counted before adds nothing.
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
	l.budgetsChanged[budget.ID] = true
	payment.Version = 0
	l.topUpAdded = &payment
	l.topUps[payment.Token] = &payment
	return nil
}
