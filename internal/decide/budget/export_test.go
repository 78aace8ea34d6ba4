package budget

import "github.com/peridotreel/peridotreel/internal/core"

// RefundAgain is the fault of a refund that is applied twice.
func (h *Holder) RefundAgain(amount core.Tokens) {
	h.granted += amount
}
