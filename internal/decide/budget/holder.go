package budget

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Holder is the state of one host process for one budget: its share, the
// open reservations and the pending transfer to another holder.
type Holder struct {
	id           core.ShareID
	granted      core.Tokens
	billed       core.Tokens
	credited     core.Tokens
	returned     core.Tokens
	moved        core.Tokens
	reserved     core.Tokens
	reservations map[uint64]core.Tokens
	// sequence is the number of the last draw known to be granted.
	sequence uint64
	closed   bool
	demand   demandEstimate
	lastUsed time.Time
	transfer *Transfer
}

// Transfer is an amount that one holder has set aside for another. It is
// committed to the table and retried until its outcome is known.
type Transfer struct {
	From core.ShareID
	To   core.ShareID
	// Amount is included in Moved, the giver's cumulative total.
	Amount core.Tokens
	Moved  core.Tokens
}

// NewHolder returns a holder without tokens.
func NewHolder(id core.ShareID, now time.Time) *Holder {
	return &Holder{id: id, reservations: make(map[uint64]core.Tokens), lastUsed: now}
}

// Available returns the tokens that can be reserved.
func (h *Holder) Available() core.Tokens {
	return h.granted - h.returned - h.moved - h.billed + h.credited - h.reserved
}

// Reserved returns the sum of the open reservations.
func (h *Holder) Reserved() core.Tokens {
	return h.reserved
}

// Billed returns the cumulative total of settled costs.
func (h *Holder) Billed() core.Tokens {
	return h.billed
}

// Credited returns the cumulative total refunded from what was billed.
func (h *Holder) Credited() core.Tokens {
	return h.credited
}

// Credit refunds a settled cost because another process had already billed
// the same request. It is not idempotent: the caller credits each request
// once.
func (h *Holder) Credit(amount core.Tokens) {
	h.credited += min(max(amount, 0), h.billed-h.credited)
}

// Closed reports whether the share must not be spent any more, because it is
// released or because another process has written its row.
func (h *Holder) Closed() bool {
	return h.closed
}

// RecordDemand adds amount to the demand estimate, whether or not it is
// available.
func (h *Holder) RecordDemand(amount core.Tokens, now time.Time) {
	h.demand.add(amount, now)
	h.lastUsed = now
}

// Reserve reserves amount under a serial number that is not in use. It
// returns false if less than amount is available.
func (h *Holder) Reserve(serial uint64, amount core.Tokens) bool {
	if h.closed || amount < 0 || amount > h.Available() {
		return false
	}
	h.reservations[serial] = amount
	h.reserved += amount
	return true
}

// Settle ends a reservation: cost is billed and the rest becomes available
// again. Settling a reservation twice has no effect, so a repeated refund
// creates no tokens. It returns the billed cost, which is at most the
// reserved amount, and whether the reservation was open.
func (h *Holder) Settle(serial uint64, cost core.Tokens, now time.Time) (core.Tokens, bool) {
	amount, found := h.reservations[serial]
	if !found {
		return 0, false
	}
	delete(h.reservations, serial)
	cost = min(max(cost, 0), amount)
	h.reserved -= amount
	h.billed += cost
	h.lastUsed = now
	return cost, true
}

// Draw returns a request for at least need and at best the estimated demand.
// Until a draw is known to be granted, each call returns the same sequence
// number, so that a repeated draw is granted once.
func (h *Holder) Draw(need core.Tokens, now time.Time) Request {
	request := h.Report()
	request.Sequence = h.sequence + 1
	request.Need = max(need, 0)
	request.Want = max(request.Need, h.demand.targetTokens(now)-max(h.Available(), 0))
	return request
}

// BelowLowWatermark reports whether less than a quarter of the target is
// available. A draw at this point saves later requests from waiting for one.
func (h *Holder) BelowLowWatermark(now time.Time) bool {
	return !h.closed && h.Available() < h.demand.targetTokens(now)/lowWatermarkDivisor
}

// Report returns a request that reports the cumulative totals and draws
// nothing.
func (h *Holder) Report() Request {
	return Request{Share: h.id, Sequence: h.sequence, Billed: h.billed, Credited: h.credited, Returned: h.returned}
}

// ApplyRow updates the holder from its row in the table. Late and repeated rows
// have no effect, as all amounts only grow.
func (h *Holder) ApplyRow(row Share) {
	if row.ID != h.id {
		return
	}
	// Totals above this process's own were written by another process with
	// the same host and incarnation, so the share must not be spent.
	foreign := row.Billed > h.billed || row.Credited > h.credited || row.Returned > h.returned || row.Moved > h.moved
	if row.State == Released || foreign {
		h.closed = true
		return
	}
	h.granted = max(h.granted, row.Granted)
	h.sequence = max(h.sequence, row.Sequence)
}

// ReturnIdle marks all available tokens as returned if the share was idle for
// IdleAfter and has no open reservation. The next report writes it to the
// table.
func (h *Holder) ReturnIdle(now time.Time) bool {
	if h.closed || now.Sub(h.lastUsed) < IdleAfter || h.reserved > 0 || h.Available() <= 0 {
		return false
	}
	h.returned += h.Available()
	return true
}

// Release closes the share and returns the request that releases it in the
// table, which returns what is unspent to the budget.
func (h *Holder) Release() Request {
	h.closed = true
	request := h.Report()
	request.Release = true
	return request
}

// StartTransfer starts a transfer of up to need to another holder. It returns
// false if nothing is available or an earlier transfer is still pending.
func (h *Holder) StartTransfer(to core.ShareID, need core.Tokens) (Transfer, bool) {
	amount := min(need, h.Available())
	if h.closed || h.transfer != nil || amount <= 0 || to == h.id || to.Budget != h.id.Budget {
		return Transfer{}, false
	}
	h.moved += amount
	h.transfer = &Transfer{From: h.id, To: to, Amount: amount, Moved: h.moved}
	return *h.transfer, true
}

// PendingTransfer returns the transfer whose outcome is not known yet.
func (h *Holder) PendingTransfer() (Transfer, bool) {
	if h.transfer == nil {
		return Transfer{}, false
	}
	return *h.transfer, true
}

// FinishTransfer ends the pending transfer. If it can no longer take effect,
// its amount becomes available again.
func (h *Holder) FinishTransfer(transfer Transfer, outcome TransferOutcome) {
	if h.transfer == nil || *h.transfer != transfer {
		return
	}
	h.transfer = nil
	switch outcome {
	case TransferImpossible:
		h.moved -= transfer.Amount
	case TransferGiverReleased:
		h.closed = true
	default:
	}
}
