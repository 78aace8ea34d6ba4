package shares

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/budget"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// writeEvery bounds how long the table's billed total lags behind while
	// it changes.
	writeEvery = 5 * time.Second
	// flushBatch bounds the shares of one commit, and with them the chance
	// that a row changed by others makes the commit run again.
	flushBatch = 50
	// flushTimeout bounds the writes of one flush. What is not written then
	// is part of the next one, as totals are cumulative.
	flushTimeout = 4 * time.Second
)

// recall asks this host to hand tokens to another holder.
type recall struct {
	to    core.ShareID
	need  core.Tokens
	reply chan<- core.Tokens
}

// transferred is the result of a transfer.
type transferred struct {
	transfer budget.Transfer
	outcome  budget.TransferOutcome
	err      error
}

// flushed is the result of a flush.
type flushed struct {
	answers []budget.Answer
	err     error
}

func (m *recall) apply(t *Task) {
	entry, found := t.accounts[m.to.Budget]
	if !found || t.drain != nil || !budget.GrantsRecall(len(entry.waiting) > 0, t.config.Self, m.to.Holder) {
		m.reply <- 0
		return
	}
	if _, given := entry.holder.Give(m.to, m.need); !given {
		m.reply <- 0
		return
	}
	entry.recalled = m.reply
	t.carryOut(entry)
}

// carryOut starts the pending transfer, or repeats it after an outage.
func (t *Task) carryOut(entry *account) {
	transfer, pending := entry.holder.PendingTransfer()
	if !pending || entry.transferring {
		return
	}
	entry.transferring = true
	t.start(serveTimeout, func(ctx context.Context) message {
		outcome, err := t.ledger.transfer(ctx, transfer)
		return &transferred{transfer, outcome, err}
	})
}

func (m *transferred) apply(t *Task) {
	entry := t.accounts[m.transfer.From.Budget]
	entry.transferring = false
	var given core.Tokens
	if m.err == nil {
		entry.holder.Finish(m.transfer, m.outcome)
		if m.outcome == budget.TransferDone {
			given = m.transfer.Amount
		}
	}
	if entry.recalled != nil {
		entry.recalled <- given
		entry.recalled = nil
	}
	t.continueDrain()
}

// flush writes totals that changed, renews shares and returns idle ones.
func (t *Task) flush() {
	now := t.config.Now()
	var reports, returns []budget.Request
	for _, entry := range t.accounts {
		t.carryOut(entry)
		entry.holder.GiveBack(now)
		report := entry.holder.Report()
		age := now.Sub(entry.written)
		billed := age >= writeEvery &&
			(report.Billed > entry.row.Billed+entry.row.WrittenOff || report.Credited > entry.row.Credited)
		returned := report.Returned > entry.row.Returned && !entry.holder.Closed()
		renew := entry.row.Unspent() > 0 && age >= budget.RenewInterval && !entry.holder.Closed()
		switch {
		case returned:
			returns = append(returns, report)
		case billed || renew:
			reports = append(reports, report)
		}
	}
	if t.flushing || t.drain != nil || len(reports)+len(returns) == 0 {
		return
	}
	t.flushing = true
	_, size := t.zoneView("")
	t.start(flushTimeout, func(ctx context.Context) message {
		var answers []budget.Answer
		for _, request := range returns {
			answer, err := t.returnToOwner(ctx, request)
			if err != nil {
				reports = append(reports, request)
				continue
			}
			answers = append(answers, answer)
		}
		direct, err := t.report(ctx, size, reports)
		return &flushed{append(answers, direct...), err}
	})
}

// report carries out requests in batches. It runs in a worker.
func (t *Task) report(ctx context.Context, size budget.Fleet, requests []budget.Request) ([]budget.Answer, error) {
	var answers []budget.Answer
	var failed error
	for batch := range slices.Chunk(requests, flushBatch) {
		for _, part := range t.ledger.exchange(ctx, size, batch) {
			if part.err != nil {
				failed = part.err
				continue
			}
			answers = append(answers, part.Answer)
		}
	}
	return answers, failed
}

func (m *flushed) apply(t *Task) {
	t.flushing = false
	for _, answer := range m.answers {
		if entry, found := t.accounts[answer.Share.ID.Budget]; found {
			t.learn(entry, answer.Share)
		}
	}
	if m.err != nil {
		t.config.Log.Debug("totals of shares are not written yet", zap.Error(m.err))
	}
	t.continueDrain()
}

// drain is a graceful stop under way.
type drain struct {
	reply   chan<- error
	closing bool
}

// closedAll is the result of closing all shares.
type closedAll struct {
	answers []budget.Answer
	err     error
}

// Drain refuses new reservations, waits until all holds are settled and
// hands all shares back to their budgets. When ctx ends first, the shares
// stay deducted until an operator releases them, and the error says so.
func (t *Task) Drain(ctx context.Context) error {
	result, err := task.Ask(ctx, t.inbox, func(replies chan<- error) message { return &drain{reply: replies} })
	if err != nil {
		return fmt.Errorf("the host's shares were not handed back; release them with `peridotreel table release --host %s --incarnation %d` once the process has ended: %w",
			t.config.Self.Host, t.config.Self.Incarnation, err)
	}
	return result
}

func (m *drain) apply(t *Task) {
	t.drain = m
	for _, entry := range t.accounts {
		t.refuseWaiting(entry, func(waiter) *fault.Error { return drainingFault() })
	}
	t.continueDrain()
}

// continueDrain closes the shares once nothing is in flight.
func (t *Task) continueDrain() {
	if t.drain == nil || t.drain.closing || t.flushing {
		return
	}
	for _, entry := range t.accounts {
		_, pending := entry.holder.PendingTransfer()
		if pending || entry.drawing || entry.holder.Reserved() > 0 {
			return
		}
	}
	t.drain.closing = true
	requests := make([]budget.Request, 0, len(t.accounts))
	for _, entry := range t.accounts {
		requests = append(requests, entry.holder.Release())
	}
	_, size := t.zoneView("")
	t.start(flushTimeout, func(ctx context.Context) message {
		answers, err := t.report(ctx, size, requests)
		return &closedAll{answers, err}
	})
}

func (m *closedAll) apply(t *Task) {
	if m.err != nil {
		t.drain.closing = false
		t.after(tickEvery, &retryDrain{})
		return
	}
	t.drain.reply <- nil
}

// retryDrain repeats the closing of shares after an outage.
type retryDrain struct{}

func (*retryDrain) apply(t *Task) {
	t.continueDrain()
}

// ShareStatus describes this host's share of one budget to operators.
type ShareStatus struct {
	Budget    core.BudgetID
	Available core.Tokens
	Held      core.Tokens
	Billed    core.Tokens
	Waiting   int
	// Closed is true when the share is released and must not be spent.
	Closed bool
}

type status struct {
	reply chan<- []ShareStatus
}

// Status describes this host's shares, ordered by budget.
func (t *Task) Status(ctx context.Context) ([]ShareStatus, error) {
	return task.Ask(ctx, t.inbox, func(replies chan<- []ShareStatus) message { return &status{replies} })
}

func (m *status) apply(t *Task) {
	list := make([]ShareStatus, 0, len(t.accounts))
	for _, entry := range t.accounts {
		list = append(list, ShareStatus{
			Budget: entry.id, Available: entry.holder.Available(), Held: entry.holder.Reserved(),
			Billed: entry.holder.Billed() - entry.holder.Credited(), Waiting: len(entry.waiting), Closed: entry.holder.Closed(),
		})
	}
	slices.SortFunc(list, func(a, b ShareStatus) int { return cmp.Compare(a.Budget, b.Budget) })
	m.reply <- list
}
