// Package budget decides how prepaid budgets are divided, spent and settled.
// It holds no clock, socket, goroutine or codec: rows come in as typed values
// and changes to them go out as typed values.
//
// Every amount that one process reports about itself (billed, returned,
// moved) is a cumulative total. A repeated, late or reordered message thus
// has the effect of the newest one, and nothing is counted twice.
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
	// Open shares are spent by their holder.
	Open State = "open"
	// Released shares were closed by their holder at a graceful stop, or by
	// an operator who states that the holder is terminated.
	Released State = "released"
)

// Budget is the row of a prepaid budget.
type Budget struct {
	ID core.BudgetID
	// Prepaid is the sum of all top-ups.
	Prepaid core.Tokens
	// Drawn is the sum held or spent through shares.
	Drawn core.Tokens
	// Version is the row's version as read; 0 means absent.
	Version int64
}

// Remaining is what no share holds.
func (b *Budget) Remaining() core.Tokens {
	return b.Prepaid - b.Drawn
}

// Validate returns an error if the row breaks a rule of the ledger.
func (b *Budget) Validate() error {
	if b.Prepaid < 0 || b.Drawn < 0 || b.Drawn > b.Prepaid {
		return fmt.Errorf("budget %s: drawn is %d of %d prepaid; repair the row so that 0 <= drawn <= prepaid",
			b.ID, b.Drawn, b.Prepaid)
	}
	return nil
}

// Share is the row of the part of a budget that one host process holds. All
// amounts are cumulative and never fall.
type Share struct {
	ID core.ShareID
	// Granted was drawn from the budget or came from other holders.
	Granted core.Tokens
	// Billed was spent.
	Billed core.Tokens
	// Credited is the part of Billed that was taken back, because the same
	// keyed request had been billed before.
	Credited core.Tokens
	// Returned went back to the budget.
	Returned core.Tokens
	// Moved went to other holders.
	Moved core.Tokens
	// WrittenOff was spent after the release, when the budget had nothing
	// left to pay it from.
	WrittenOff core.Tokens
	// Sequence is the last draw of the holder that was granted.
	Sequence uint64
	// Renewed is when the holder last wrote the row.
	Renewed time.Time
	State   State
	// Version is the row's version as read; 0 means absent.
	Version int64
}

// Net is what the budget's drawn sum contains for this share.
func (s *Share) Net() core.Tokens {
	return s.Granted - s.Returned - s.Moved
}

// Unspent is what the holder may still spend.
func (s *Share) Unspent() core.Tokens {
	return s.Net() - s.Billed + s.Credited
}

// Newest returns the totals of two views of one row. All of them only grow,
// so the newest view of each is its maximum.
func (s Share) Newest(other Share) Share {
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
// is shown to operators only: a share is never reclaimed by timeout, because
// its holder may be paused between the check and the dispatch of a request.
func (s *Share) Stranded(now time.Time) bool {
	return s.State == Open && s.Unspent() > 0 && now.Sub(s.Renewed) > StrandedAfter
}

// Validate returns an error if the row breaks a rule of the ledger.
func (s *Share) Validate() error {
	lowest := min(s.Granted, s.Billed, s.Credited, s.Returned, s.Moved, s.WrittenOff)
	if lowest < 0 || s.Returned > s.Granted || s.Moved > s.Granted-s.Returned ||
		s.Credited > s.Billed || s.Billed-s.Credited > s.Net() {
		return fmt.Errorf("share of %s at %s: granted %d, returned %d, moved %d, billed %d, credited %d; repair the row so that 0 <= billed - credited <= granted - returned - moved",
			s.ID.Budget, s.ID.Holder, s.Granted, s.Returned, s.Moved, s.Billed, s.Credited)
	}
	if s.State != Open && s.State != Released {
		return fmt.Errorf("share of %s at %s: state is %q; use open or released", s.ID.Budget, s.ID.Holder, s.State)
	}
	return nil
}

// TopUp is the row that makes a top-up count once.
type TopUp struct {
	Budget core.BudgetID
	// Token identifies the payment.
	Token  string
	Amount core.Tokens
	// Version is the row's version as read; 0 means absent.
	Version int64
}

// Validate returns an error that names the bad field and its remedy.
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

// Change is a transaction over rows. Each row is written on the condition
// that it still has the version in its Version field.
type Change struct {
	Budgets []Budget
	Shares  []Share
	TopUps  []TopUp
}

// Empty reports whether nothing is written.
func (c *Change) Empty() bool {
	return len(c.Budgets) == 0 && len(c.Shares) == 0 && len(c.TopUps) == 0
}
