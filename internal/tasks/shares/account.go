package shares

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/budget"
	"github.com/peridotreel/peridotreel/internal/fault"
)

const (
	// drawTimeout bounds a draw over all hosts that are tried.
	drawTimeout = 2 * time.Second
	// maxRecallWait is how long a request waits for tokens recalled from other
	// holders before it is refused.
	maxRecallWait = 250 * time.Millisecond
	// redrawDelay gives requests in flight time to settle before the next draw
	// on an exhausted budget.
	redrawDelay = 50 * time.Millisecond
	// exhaustedRefusalPeriod is how long further requests on an exhausted
	// budget are refused immediately. It limits the draws and recalls for a
	// spent budget to two per second and host, and bounds the delay until a
	// top-up takes effect.
	exhaustedRefusalPeriod = 500 * time.Millisecond
	// unavailableRefusalPeriod is how long draws pause after the platform did
	// not answer, so that not every request waits for the same timeout.
	unavailableRefusalPeriod = 500 * time.Millisecond
	// drawAheadInterval limits the draws ahead of need on a budget that is
	// nearly exhausted, where each draw is granted little.
	drawAheadInterval = time.Second
	// unavailableRetryAfter is the retry delay sent to callers in an outage.
	unavailableRetryAfter = 2 * time.Second
)

// budgetAccount is the state of this host for one budget.
type budgetAccount struct {
	id              core.BudgetID
	holder          *budget.Holder
	waiting         []waitingRequest
	drawInFlight    bool
	redrawScheduled bool
	// transferInFlight is true while a worker commits the pending transfer.
	transferInFlight bool
	// recallReply receives the amount of the pending transfer.
	recallReply chan<- core.Tokens
	// lastRow merges the versions of the share row seen so far.
	lastRow     budget.Share
	lastWritten time.Time
	// Until pausedUntil, what doesn't fit is refused with pauseRefusal.
	pauseRefusal *fault.Error
	pausedUntil  time.Time
	// exhausted is true if the last draw was granted less than its need.
	exhausted     bool
	nextDrawAhead time.Time
}

// pause makes later reservations that don't fit fail immediately, without a
// draw.
func (a *budgetAccount) pause(refusal *fault.Error, until time.Time) {
	a.pauseRefusal, a.pausedUntil = refusal, until
}

// waitingRequest is a reservation that waits for a draw.
type waitingRequest struct {
	reserveRequest
	since time.Time
	// includedInDraw is true once the need of a draw included the amount.
	includedInDraw bool
}

type reserveResult struct {
	reservation core.Reservation
	err         error
}

type reserveRequest struct {
	budget core.BudgetID
	amount core.Tokens
	serial uint64
	reply  chan<- reserveResult
}

type settleRequest struct {
	reservation core.Reservation
	cost        core.Tokens
}

type creditRequest struct {
	share  core.ShareID
	amount core.Tokens
}

// drawResult is the result of a draw.
type drawResult struct {
	budget core.BudgetID
	answer budget.Answer
	err    error
}

type redrawDue struct {
	budget core.BudgetID
}

// recallWaitExpired ends the wait of requests on an exhausted budget, even if
// a recall is still in progress.
type recallWaitExpired struct {
	budget core.BudgetID
}

func (t *Task) account(id core.BudgetID) *budgetAccount {
	account, found := t.accounts[id]
	if !found {
		account = &budgetAccount{id: id, holder: budget.NewHolder(t.shareID(id), t.config.Now()), lastWritten: t.config.Now()}
		t.accounts[id] = account
	}
	return account
}

func (m *reserveRequest) apply(t *Task) {
	if t.drain != nil {
		m.refuse(t, drainingFault())
		return
	}
	now := t.config.Now()
	account := t.account(m.budget)
	account.holder.RecordDemand(m.amount, now)
	if len(account.waiting) == 0 && m.grant(t, account) {
		t.drawAhead(account, now)
		return
	}
	switch {
	case account.holder.Closed():
		m.refuse(t, closedFault(m.budget))
	case now.Before(account.pausedUntil):
		m.refuse(t, account.pauseRefusal)
	default:
		account.waiting = append(account.waiting, waitingRequest{reserveRequest: *m, since: now})
		t.draw(account)
	}
}

func (m *reserveRequest) grant(t *Task, account *budgetAccount) bool {
	if !account.holder.Reserve(m.serial, m.amount) {
		return false
	}
	m.reply <- reserveResult{reservation: core.Reservation{Share: t.shareID(m.budget), Amount: m.amount, Serial: m.serial}}
	return true
}

func (m *reserveRequest) refuse(t *Task, refusal *fault.Error) {
	t.metrics.countRefusal(t.ctx, refusal.Code)
	m.reply <- reserveResult{err: refusal}
}

func drainingFault() *fault.Error {
	return fault.Refuse(fault.HostDraining, "the host is stopping; retry at another host").WithRetryAfter(time.Second)
}

func closedFault(id core.BudgetID) *fault.Error {
	return fault.Refuse(fault.BudgetUnavailable,
		"this host's share of budget %s was released; retry at another host, and restart this one if it was released by an operator", id).
		WithRetryAfter(unavailableRetryAfter)
}

func exhaustedFault(id core.BudgetID) *fault.Error {
	return fault.Refuse(fault.InsufficientQuota, "budget %s is spent; top it up or lower max_tokens", id)
}

func unavailableFault(id core.BudgetID, cause error) *fault.Error {
	refusal := fault.Refuse(fault.BudgetUnavailable,
		"this host has no tokens of budget %s left and can't reach the platform; retry after the delay", id).WithRetryAfter(unavailableRetryAfter)
	return refusal.WithCause(cause)
}

func unknownFault(id core.BudgetID) *fault.Error {
	return fault.Refuse(fault.InsufficientQuota,
		"budget %s is not in the table; top it up to create it, or correct the budget in the team's row", id)
}

func (m *settleRequest) apply(t *Task) {
	account, found := t.accounts[m.reservation.Share.Budget]
	if !found {
		return
	}
	if _, ended := account.holder.Settle(m.reservation.Serial, m.cost, t.config.Now()); !ended {
		account.waiting = slices.DeleteFunc(account.waiting, func(w waitingRequest) bool { return w.serial == m.reservation.Serial })
	}
	t.grantWaiting(account)
	t.continueDrain()
}

func (m *creditRequest) apply(t *Task) {
	account, found := t.accounts[m.share.Budget]
	if !found || m.share != t.shareID(account.id) {
		return
	}
	account.holder.Credit(m.amount)
	t.grantWaiting(account)
}

// draw starts a draw for the waiting reservations, unless one is in flight:
// concurrent reservations on one budget share one draw.
func (t *Task) draw(account *budgetAccount) {
	if account.drawInFlight || account.redrawScheduled || account.holder.Closed() {
		return
	}
	var need core.Tokens
	for i := range account.waiting {
		need += account.waiting[i].amount
		account.waiting[i].includedInDraw = true
	}
	need -= account.holder.Available()
	account.drawInFlight = true
	request := account.holder.Draw(need, t.config.Now())
	t.metrics.draws.Add(t.ctx, 1)
	t.startWorker(drawTimeout, func(ctx context.Context) message {
		answer, err := t.drawFromZone(ctx, request)
		return &drawResult{account.id, answer, err}
	})
}

// drawAhead starts a draw when the share falls below the low watermark.
func (t *Task) drawAhead(account *budgetAccount, now time.Time) {
	paused := now.Before(account.nextDrawAhead) || now.Before(account.pausedUntil)
	if paused || account.drawInFlight || !account.holder.BelowLowWatermark(now) {
		return
	}
	account.nextDrawAhead = now.Add(drawAheadInterval)
	t.draw(account)
}

func (m *drawResult) apply(t *Task) {
	account := t.accounts[m.budget]
	account.drawInFlight = false
	now := t.config.Now()
	if m.err != nil {
		refusal := unavailableFault(m.budget, m.err)
		account.pause(refusal, now.Add(unavailableRefusalPeriod))
		t.config.Log.Debug("could not draw tokens; the waiting reservations are refused", zap.String("budget", string(m.budget)), zap.Error(m.err))
		t.refuseWaiting(account, func(waitingRequest) *fault.Error { return refusal })
		t.continueDrain()
		return
	}
	t.applyRow(account, m.answer.Share)
	account.exhausted = m.answer.Outcome == budget.Exhausted
	switch m.answer.Outcome {
	case budget.BudgetNotFound:
		refusal := unknownFault(m.budget)
		account.pause(refusal, now.Add(exhaustedRefusalPeriod))
		t.refuseWaiting(account, func(waitingRequest) *fault.Error { return refusal })
	case budget.Exhausted:
		t.handleExhausted(account)
	default:
		t.grantWaiting(account)
	}
	if account.holder.Closed() {
		t.refuseWaiting(account, func(waitingRequest) *fault.Error { return closedFault(m.budget) })
	}
	if len(account.waiting) > 0 {
		t.draw(account)
	}
	t.continueDrain()
}

// handleExhausted grants the reservations that fit, refuses those that have
// waited as long as a recall may take, and schedules a draw for the rest.
func (t *Task) handleExhausted(account *budgetAccount) {
	account.waiting = slices.DeleteFunc(account.waiting, func(w waitingRequest) bool { return w.grant(t, account) })
	t.refuseExpired(account)
	if len(account.waiting) == 0 {
		return
	}
	account.redrawScheduled = true
	t.sendAfter(redrawDelay, &redrawDue{account.id})
	oldest := account.waiting[0].since
	t.sendAfter(maxRecallWait-t.config.Now().Sub(oldest), &recallWaitExpired{account.id})
}

// refuseExpired refuses the reservations that have waited as long as a recall
// may take, if the budget is exhausted.
func (t *Task) refuseExpired(account *budgetAccount) {
	now := t.config.Now()
	t.refuseWaiting(account, func(w waitingRequest) *fault.Error {
		if !account.exhausted || !w.includedInDraw || now.Sub(w.since) < maxRecallWait {
			return nil
		}
		refusal := exhaustedFault(account.id)
		account.pause(refusal, now.Add(exhaustedRefusalPeriod))
		return refusal
	})
}

func (m *recallWaitExpired) apply(t *Task) {
	t.refuseExpired(t.accounts[m.budget])
}

func (m *redrawDue) apply(t *Task) {
	account := t.accounts[m.budget]
	account.redrawScheduled = false
	t.grantWaiting(account)
	if len(account.waiting) > 0 {
		t.draw(account)
	}
	t.continueDrain()
}

// grantWaiting grants waiting reservations in order of arrival, so that small
// ones don't starve a large one.
func (t *Task) grantWaiting(account *budgetAccount) {
	granted := 0
	for granted < len(account.waiting) && account.waiting[granted].grant(t, account) {
		granted++
	}
	account.waiting = slices.Delete(account.waiting, 0, granted)
}

// refuseWaiting refuses the waiting reservations for which refusalFor returns a
// fault.
func (t *Task) refuseWaiting(account *budgetAccount, refusalFor func(waitingRequest) *fault.Error) {
	account.waiting = slices.DeleteFunc(account.waiting, func(w waitingRequest) bool {
		refusal := refusalFor(w)
		if refusal != nil {
			w.refuse(t, refusal)
		}
		return refusal != nil
	})
}

// applyRow updates the account from a share row returned by the ledger.
func (t *Task) applyRow(account *budgetAccount, row budget.Share) {
	if row.ID != t.shareID(account.id) {
		return
	}
	wasClosed := account.holder.Closed()
	account.holder.ApplyRow(row)
	if account.holder.Closed() && !wasClosed && t.drain == nil {
		t.config.Log.Error("a share of this running host was released or written by another process; it is not spent any more, restart the host",
			zap.String("budget", string(account.id)))
	}
	if lost := row.WrittenOff - account.lastRow.WrittenOff; lost > 0 {
		t.logWrittenOff(row.ID, lost)
	}
	account.lastRow = account.lastRow.MergeTotals(row)
	account.lastWritten = t.config.Now()
}
