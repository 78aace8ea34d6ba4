package budget

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Holder is the state of one host process for one budget: what its share
// allows, what is reserved, and the transfer under way.
type Holder struct {
	id       core.ShareID
	granted  core.Tokens
	billed   core.Tokens
	credited core.Tokens
	returned core.Tokens
	moved    core.Tokens
	held     core.Tokens
	holds    map[uint64]core.Tokens
	// sequence is the last draw known to be granted.
	sequence uint64
	closed   bool
	demand   demand
	used     time.Time
	transfer *Transfer
}

// Transfer is an amount that a holder has set aside for another holder. It
// is carried out in the table, and retried until its outcome is known.
type Transfer struct {
	From core.ShareID
	To   core.ShareID
	// Amount is part of Moved, the giver's cumulative total.
	Amount core.Tokens
	Moved  core.Tokens
}

// NewHolder returns a holder without tokens.
func NewHolder(id core.ShareID, now time.Time) *Holder {
	return &Holder{id: id, holds: make(map[uint64]core.Tokens), used: now}
}

// Available is what may be reserved.
func (h *Holder) Available() core.Tokens {
	return h.granted - h.returned - h.moved - h.billed + h.credited - h.held
}

// Held is the sum of the reservations.
func (h *Holder) Held() core.Tokens {
	return h.held
}

// Billed is the cumulative total spent.
func (h *Holder) Billed() core.Tokens {
	return h.billed
}

// Credited is the cumulative total that was taken back from what was billed.
func (h *Holder) Credited() core.Tokens {
	return h.credited
}

// Credit takes back a cost that was settled, because another process had
// billed the same request. The caller credits each request once.
func (h *Holder) Credit(amount core.Tokens) {
	h.credited += min(max(amount, 0), h.billed-h.credited)
}

// Closed reports whether the share is released and must not be spent.
func (h *Holder) Closed() bool {
	return h.closed
}

// Demand notes that amount was asked for, whether or not it was available.
func (h *Holder) Demand(amount core.Tokens, now time.Time) {
	h.demand.add(amount, now)
	h.used = now
}

// Reserve sets amount aside under a serial number that is not in use.
func (h *Holder) Reserve(serial uint64, amount core.Tokens) bool {
	if h.closed || amount < 0 || amount > h.Available() {
		return false
	}
	h.holds[serial] = amount
	h.held += amount
	return true
}

// Settle ends a hold: cost is spent and the rest may be reserved again. A
// hold that was settled before changes nothing, so a repeated refund gives
// no tokens. It returns the cost counted, which is at most the hold.
func (h *Holder) Settle(serial uint64, cost core.Tokens, now time.Time) (core.Tokens, bool) {
	amount, found := h.holds[serial]
	if !found {
		return 0, false
	}
	delete(h.holds, serial)
	cost = min(max(cost, 0), amount)
	h.held -= amount
	h.billed += cost
	h.used = now
	return cost, true
}

// Draw returns the request for need and for what covers the demand. Until
// its outcome is known, each call has the same sequence number, so that a
// repeated draw is granted once.
func (h *Holder) Draw(need core.Tokens, now time.Time) Request {
	request := h.Report()
	request.Sequence = h.sequence + 1
	request.Need = max(need, 0)
	request.Want = max(request.Need, h.demand.covered(now)-max(h.Available(), 0))
	return request
}

// Low reports whether the share covers less than a quarter of what it should,
// so that a draw now spares later requests the wait for one.
func (h *Holder) Low(now time.Time) bool {
	return !h.closed && h.Available() < h.demand.covered(now)/lowPart
}

// Report returns a request that only reports the cumulative totals.
func (h *Holder) Report() Request {
	return Request{Share: h.id, Sequence: h.sequence, Billed: h.billed, Credited: h.credited, Returned: h.returned}
}

// Learn takes over the row as the table shows it. Rows that arrive late or
// twice change nothing, as all amounts only grow.
func (h *Holder) Learn(row Share) {
	if row.ID != h.id {
		return
	}
	// Totals above this process's own were written by another process with
	// the same host and incarnation, so the row can't be trusted.
	foreign := row.Billed > h.billed || row.Credited > h.credited || row.Returned > h.returned || row.Moved > h.moved
	if row.State == Released || foreign {
		h.closed = true
		return
	}
	h.granted = max(h.granted, row.Granted)
	h.sequence = max(h.sequence, row.Sequence)
}

// GiveBack marks everything that is available as returned if the share was
// idle for a minute. The table learns of it by the next report.
func (h *Holder) GiveBack(now time.Time) bool {
	if h.closed || now.Sub(h.used) < IdleAfter || h.held > 0 || h.Available() <= 0 {
		return false
	}
	h.returned += h.Available()
	return true
}

// Close ends the share and returns the request that hands the rest back.
func (h *Holder) Close() Request {
	h.closed = true
	request := h.Report()
	request.Close = true
	return request
}

// Give sets aside up to need for a holder that recalls tokens. It gives
// nothing while an earlier transfer is under way.
func (h *Holder) Give(to core.ShareID, need core.Tokens) (Transfer, bool) {
	amount := min(need, h.Available())
	if h.closed || h.transfer != nil || amount <= 0 || to == h.id || to.Budget != h.id.Budget {
		return Transfer{}, false
	}
	h.moved += amount
	h.transfer = &Transfer{From: h.id, To: to, Amount: amount, Moved: h.moved}
	return *h.transfer, true
}

// Pending returns the transfer whose outcome is not known.
func (h *Holder) Pending() (Transfer, bool) {
	if h.transfer == nil {
		return Transfer{}, false
	}
	return *h.transfer, true
}

// Finish ends the transfer under way. A transfer that can't take effect any
// more makes its amount available again.
func (h *Holder) Finish(transfer Transfer, outcome TransferOutcome) {
	if h.transfer == nil || *h.transfer != transfer {
		return
	}
	h.transfer = nil
	switch outcome {
	case TransferImpossible:
		h.moved -= transfer.Amount
	case TransferClosed:
		h.closed = true
	default:
	}
}
