package budget

import "github.com/peridotreel/peridotreel/internal/core"

// RefundAgain refunds a settled reservation a second time, for the mutation
// test.
func (h *Holder) RefundAgain(amount core.Tokens) {
	h.granted += amount
}
