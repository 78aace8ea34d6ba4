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
	// billedWriteInterval bounds how long the billed total in the table lags
	// behind while it changes.
	billedWriteInterval = 5 * time.Second
	// flushBatchSize bounds the shares of one commit, and with them the chance
	// that a row changed by another writer makes the commit run again.
	flushBatchSize = 50
	// flushTimeout bounds the writes of one flush. What is not written by then
	// is part of the next flush, as totals are cumulative.
	flushTimeout = 4 * time.Second
)

// recallRequest asks this host to transfer tokens to another holder.
type recallRequest struct {
	to    core.ShareID
	need  core.Tokens
	reply chan<- core.Tokens
}

// transferResult is the result of a transfer.
type transferResult struct {
	transfer budget.Transfer
	outcome  budget.TransferOutcome
	err      error
}

// flushResult is the result of a flush.
type flushResult struct {
	answers []budget.Answer
	err     error
}

func (m *recallRequest) apply(t *Task) {
	account, found := t.accounts[m.to.Budget]
	if !found || t.drain != nil || !budget.GrantsRecall(len(account.waiting) > 0, t.config.Self, m.to.Holder) {
		m.reply <- 0
		return
	}
	if _, given := account.holder.StartTransfer(m.to, m.need); !given {
		m.reply <- 0
		return
	}
	account.recallReply = m.reply
	t.startTransfer(account)
}

// startTransfer starts to commit the pending transfer, or retries it after an
// outage.
func (t *Task) startTransfer(account *budgetAccount) {
	transfer, pending := account.holder.PendingTransfer()
	if !pending || account.transferInFlight {
		return
	}
	account.transferInFlight = true
	t.startWorker(serveTimeout, func(ctx context.Context) message {
		outcome, err := t.ledger.transfer(ctx, transfer)
		return &transferResult{transfer, outcome, err}
	})
}

func (m *transferResult) apply(t *Task) {
	account := t.accounts[m.transfer.From.Budget]
	account.transferInFlight = false
	var given core.Tokens
	if m.err == nil {
		account.holder.FinishTransfer(m.transfer, m.outcome)
		if m.outcome == budget.TransferDone {
			given = m.transfer.Amount
		}
	}
	if account.recallReply != nil {
		account.recallReply <- given
		account.recallReply = nil
	}
	t.continueDrain()
}

// flush writes changed totals, renews shares and returns the tokens of idle
// ones.
func (t *Task) flush() {
	now := t.config.Now()
	var reports, returns []budget.Request
	for _, account := range t.accounts {
		t.startTransfer(account)
		account.holder.ReturnIdle(now)
		report := account.holder.Report()
		age := now.Sub(account.lastWritten)
		billed := age >= billedWriteInterval &&
			(report.Billed > account.lastRow.Billed+account.lastRow.WrittenOff || report.Credited > account.lastRow.Credited)
		returned := report.Returned > account.lastRow.Returned && !account.holder.Closed()
		renew := account.lastRow.Unspent() > 0 && age >= budget.RenewInterval && !account.holder.Closed()
		switch {
		case returned:
			returns = append(returns, report)
		case billed || renew:
			reports = append(reports, report)
		}
	}
	if t.flushInFlight || t.drain != nil || len(reports)+len(returns) == 0 {
		return
	}
	t.flushInFlight = true
	_, fleetSize := t.rankOwners("")
	t.startWorker(flushTimeout, func(ctx context.Context) message {
		var answers []budget.Answer
		for _, request := range returns {
			answer, err := t.returnToOwner(ctx, request)
			if err != nil {
				reports = append(reports, request)
				continue
			}
			answers = append(answers, answer)
		}
		direct, err := t.report(ctx, fleetSize, reports)
		return &flushResult{append(answers, direct...), err}
	})
}

// report serves requests in batches and returns the last error. It runs in a
// worker.
func (t *Task) report(ctx context.Context, fleetSize budget.FleetSize, requests []budget.Request) ([]budget.Answer, error) {
	var answers []budget.Answer
	var failed error
	for batch := range slices.Chunk(requests, flushBatchSize) {
		for _, result := range t.ledger.serveRequests(ctx, fleetSize, batch) {
			if result.err != nil {
				failed = result.err
				continue
			}
			answers = append(answers, result.Answer)
		}
	}
	return answers, failed
}

func (m *flushResult) apply(t *Task) {
	t.flushInFlight = false
	for _, answer := range m.answers {
		if account, found := t.accounts[answer.Share.ID.Budget]; found {
			t.applyRow(account, answer.Share)
		}
	}
	if m.err != nil {
		t.config.Log.Debug("could not write the totals of all shares; the next flush includes them", zap.Error(m.err))
	}
	t.continueDrain()
}

// drainRequest starts a graceful stop and holds its progress.
type drainRequest struct {
	reply           chan<- error
	releaseInFlight bool
}

// releaseResult is the result of releasing all shares.
type releaseResult struct {
	answers []budget.Answer
	err     error
}

// Drain refuses new reservations, waits until all reservations are settled and
// releases all shares. If ctx ends first, the shares stay deducted until an
// operator releases them, and the error says so.
func (t *Task) Drain(ctx context.Context) error {
	result, err := task.Ask(ctx, t.inbox, func(replies chan<- error) message { return &drainRequest{reply: replies} })
	if err != nil {
		return fmt.Errorf("the host's shares were not released; release them with `peridotreel table release --host %s --incarnation %d` once the process has ended: %w",
			t.config.Self.Host, t.config.Self.Incarnation, err)
	}
	return result
}

func (m *drainRequest) apply(t *Task) {
	t.drain = m
	for _, account := range t.accounts {
		t.refuseWaiting(account, func(waitingRequest) *fault.Error { return drainingFault() })
	}
	t.continueDrain()
}

// continueDrain releases the shares once nothing is in flight.
func (t *Task) continueDrain() {
	if t.drain == nil || t.drain.releaseInFlight || t.flushInFlight {
		return
	}
	for _, account := range t.accounts {
		_, pending := account.holder.PendingTransfer()
		if pending || account.drawInFlight || account.holder.Reserved() > 0 {
			return
		}
	}
	t.drain.releaseInFlight = true
	requests := make([]budget.Request, 0, len(t.accounts))
	for _, account := range t.accounts {
		requests = append(requests, account.holder.Release())
	}
	_, fleetSize := t.rankOwners("")
	t.startWorker(flushTimeout, func(ctx context.Context) message {
		answers, err := t.report(ctx, fleetSize, requests)
		return &releaseResult{answers, err}
	})
}

func (m *releaseResult) apply(t *Task) {
	if m.err != nil {
		t.drain.releaseInFlight = false
		t.sendAfter(tickInterval, &drainRetryDue{})
		return
	}
	t.drain.reply <- nil
}

// drainRetryDue retries the release of the shares after an outage.
type drainRetryDue struct{}

func (*drainRetryDue) apply(t *Task) {
	t.continueDrain()
}

// ShareStatus describes this host's share of one budget to operators.
type ShareStatus struct {
	Budget    core.BudgetID
	Available core.Tokens
	Reserved  core.Tokens
	Billed    core.Tokens
	Waiting   int
	// Closed is true if the share must not be spent any more.
	Closed bool
}

type statusRequest struct {
	reply chan<- []ShareStatus
}

// Status returns the status of this host's shares, ordered by budget.
func (t *Task) Status(ctx context.Context) ([]ShareStatus, error) {
	return task.Ask(ctx, t.inbox, func(replies chan<- []ShareStatus) message { return &statusRequest{replies} })
}

func (m *statusRequest) apply(t *Task) {
	list := make([]ShareStatus, 0, len(t.accounts))
	for _, account := range t.accounts {
		list = append(list, ShareStatus{
			Budget: account.id, Available: account.holder.Available(), Reserved: account.holder.Reserved(),
			Billed: account.holder.Billed() - account.holder.Credited(), Waiting: len(account.waiting), Closed: account.holder.Closed(),
		})
	}
	slices.SortFunc(list, func(a, b ShareStatus) int { return cmp.Compare(a.Budget, b.Budget) })
	m.reply <- list
}
