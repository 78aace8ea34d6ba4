// Package budget decides how prepaid budgets are divided into shares, spent
// and settled. It has no clock, sockets, goroutines or encoding: it takes rows
// as typed values and returns the changes to them as typed values.
//
// Every amount that a process reports about itself (billed, credited,
// returned, moved) is a cumulative total. A repeated, late or reordered message
// therefore neither counts twice nor undoes a newer one.
package budget

import (
	"fmt"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// State says whether a share may be spent.
type State string

// The states of a share.
const (
	// Open shares may be spent by their holder.
	Open State = "open"
	// Released shares were closed by their holder at a graceful stop, or by
	// an operator after the holder has terminated.
	Released State = "released"
)

// Budget is the row of a prepaid budget.
type Budget struct {
	ID core.BudgetID
	// Prepaid is the sum of all top-ups.
	Prepaid core.Tokens
	// Drawn is the sum of what shares hold or have spent.
	Drawn core.Tokens
	// Version is the row's version as read; 0 means absent.
	Version int64
}

// Remaining returns the tokens that can still be drawn.
func (b *Budget) Remaining() core.Tokens {
	return b.Prepaid - b.Drawn
}

// Validate returns an error if the row violates an invariant of the ledger.
func (b *Budget) Validate() error {
	if b.Prepaid < 0 || b.Drawn < 0 || b.Drawn > b.Prepaid {
		return fmt.Errorf("budget %s: drawn is %d of %d prepaid; repair the row so that 0 <= drawn <= prepaid",
			b.ID, b.Drawn, b.Prepaid)
	}
	return nil
}

// Share is the row of the part of a budget that one host process holds. All
// amounts are cumulative totals that never decrease.
type Share struct {
	ID core.ShareID
	// Granted was drawn from the budget or received from other holders.
	Granted core.Tokens
	// Billed was spent.
	Billed core.Tokens
	// Credited is the part of Billed that was refunded because the same
	// keyed request had already been billed.
	Credited core.Tokens
	// Returned went back to the budget.
	Returned core.Tokens
	// Moved went to other holders.
	Moved core.Tokens
	// WrittenOff was spent but billed after the release, when nothing
	// remained in the budget to pay for it.
	WrittenOff core.Tokens
	// Sequence is the number of the holder's last granted draw.
	Sequence uint64
	// Renewed is when the holder last wrote the row.
	Renewed time.Time
	State   State
	// Version is the row's version as read; 0 means absent.
	Version int64
}

// NetGranted returns the part of the budget's Drawn that belongs to this share.
func (s *Share) NetGranted() core.Tokens {
	return s.Granted - s.Returned - s.Moved
}

// Unspent returns the tokens that the holder may still spend.
func (s *Share) Unspent() core.Tokens {
	return s.NetGranted() - s.Billed + s.Credited
}

// MergeTotals merges the totals of two versions of one row. Totals only grow,
// so the newer value of each is the larger one.
func (s Share) MergeTotals(other Share) Share {
	s.ID = other.ID
	s.Granted = max(s.Granted, other.Granted)
	s.Billed = max(s.Billed, other.Billed)
	s.Credited = max(s.Credited, other.Credited)
	s.Returned = max(s.Returned, other.Returned)
	s.Moved = max(s.Moved, other.Moved)
	s.WrittenOff = max(s.WrittenOff, other.WrittenOff)
	s.Sequence = max(s.Sequence, other.Sequence)
	return s
}

// Stranded reports whether the holder has stopped renewing an open share. It
// is only shown to operators: a share is never reclaimed by timeout, because
// its holder may be paused between the check of the share and the dispatch of
// a request.
func (s *Share) Stranded(now time.Time) bool {
	return s.State == Open && s.Unspent() > 0 && now.Sub(s.Renewed) > StrandedAfter
}

// Validate returns an error if the row violates an invariant of the ledger.
func (s *Share) Validate() error {
	lowest := min(s.Granted, s.Billed, s.Credited, s.Returned, s.Moved, s.WrittenOff)
	if lowest < 0 || s.Returned > s.Granted || s.Moved > s.Granted-s.Returned ||
		s.Credited > s.Billed || s.Billed-s.Credited > s.NetGranted() {
		return fmt.Errorf("share of %s at %s: granted %d, returned %d, moved %d, billed %d, credited %d; repair the row so that 0 <= billed - credited <= granted - returned - moved",
			s.ID.Budget, s.ID.Holder, s.Granted, s.Returned, s.Moved, s.Billed, s.Credited)
	}
	if s.State != Open && s.State != Released {
		return fmt.Errorf("share of %s at %s: state is %q; use open or released", s.ID.Budget, s.ID.Holder, s.State)
	}
	return nil
}

// TopUp is the row of a payment. Its token makes the payment count once.
type TopUp struct {
	Budget core.BudgetID
	// Token identifies the payment.
	Token  string
	Amount core.Tokens
	// Version is the row's version as read; 0 means absent.
	Version int64
}

// Validate returns an error that names the invalid field and a valid value.
func (t *TopUp) Validate() error {
	switch {
	case t.Budget == "":
		return fmt.Errorf("budget: must not be empty; name the budget to top up")
	case t.Token == "":
		return fmt.Errorf("token: must not be empty; use the identifier of the payment")
	case t.Amount <= 0:
		return fmt.Errorf("amount: is %d; set it to 1 token or more", t.Amount)
	}
	return nil
}

// Change is a set of rows to write in one transaction. Each row is written on
// condition that the stored row still has the version in its Version field.
type Change struct {
	Budgets []Budget
	Shares  []Share
	TopUps  []TopUp
}

// Empty reports whether nothing is written.
func (c *Change) Empty() bool {
	return len(c.Budgets) == 0 && len(c.Shares) == 0 && len(c.TopUps) == 0
}
