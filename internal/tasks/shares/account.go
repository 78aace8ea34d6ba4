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
	// recallLimit is how long a request waits for tokens that other holders
	// hand over before it is refused.
	recallLimit = 250 * time.Millisecond
	// redrawDelay lets requests in flight settle before the next draw on an
	// exhausted budget.
	redrawDelay = 50 * time.Millisecond
	// exhaustedFor is how long further requests on an exhausted budget are
	// refused at once. It bounds the draws and recalls that a spent budget
	// causes to two a second and host, and the delay after a top-up.
	exhaustedFor = 500 * time.Millisecond
	// unavailableFor is how long draws pause after the platform gave no
	// answer, so that each request does not wait for the same time-out.
	unavailableFor = 500 * time.Millisecond
	// aheadEvery bounds the draws ahead of need on a budget that is nearly
	// exhausted and grants little each time.
	aheadEvery = time.Second
	// unavailableRetry is the delay told to callers in an outage.
	unavailableRetry = 2 * time.Second
)

// account is this host's state for one budget.
type account struct {
	id      core.BudgetID
	holder  *budget.Holder
	waiting []waiter
	drawing bool
	redraw  bool
	// transferring is true while a worker carries out the pending transfer.
	transferring bool
	// recalled gets the amount of the pending transfer.
	recalled chan<- core.Tokens
	// row is the share row as last seen.
	row     budget.Share
	written time.Time
	// refusal is given at once until pausedTill.
	refusal    *fault.Error
	pausedTill time.Time
	// exhausted is true when the last draw got less than its need.
	exhausted bool
	aheadFrom time.Time
}

// pause refuses what does not fit at once, without asking the table again.
func (a *account) pause(refusal *fault.Error, until time.Time) {
	a.refusal, a.pausedTill = refusal, until
}

// waiter is a reservation that waits for a draw.
type waiter struct {
	reserve
	since time.Time
	// covered is true once a draw that includes the amount was answered.
	covered bool
}

type reserved struct {
	hold core.Hold
	err  error
}

type reserve struct {
	budget core.BudgetID
	amount core.Tokens
	serial uint64
	reply  chan<- reserved
}

type settle struct {
	hold core.Hold
	cost core.Tokens
}

type credit struct {
	share  core.ShareID
	amount core.Tokens
}

// drawn is the result of a draw.
type drawn struct {
	budget core.BudgetID
	answer budget.Answer
	err    error
}

type redraw struct {
	budget core.BudgetID
}

// expire ends the wait of requests on an exhausted budget, even if a recall
// is still under way.
type expire struct {
	budget core.BudgetID
}

func (t *Task) account(id core.BudgetID) *account {
	entry, found := t.accounts[id]
	if !found {
		entry = &account{id: id, holder: budget.NewHolder(t.share(id), t.config.Now()), written: t.config.Now()}
		t.accounts[id] = entry
	}
	return entry
}

func (m *reserve) apply(t *Task) {
	if t.drain != nil {
		m.refuse(t, drainingFault())
		return
	}
	now := t.config.Now()
	entry := t.account(m.budget)
	entry.holder.Demand(m.amount, now)
	if len(entry.waiting) == 0 && m.grant(t, entry) {
		t.drawAhead(entry, now)
		return
	}
	switch {
	case entry.holder.Closed():
		m.refuse(t, closedFault(m.budget))
	case now.Before(entry.pausedTill):
		m.refuse(t, entry.refusal)
	default:
		entry.waiting = append(entry.waiting, waiter{reserve: *m, since: now})
		t.draw(entry)
	}
}

func (m *reserve) grant(t *Task, entry *account) bool {
	if !entry.holder.Reserve(m.serial, m.amount) {
		return false
	}
	m.reply <- reserved{hold: core.Hold{Share: t.share(m.budget), Amount: m.amount, Serial: m.serial}}
	return true
}

func (m *reserve) refuse(t *Task, refusal *fault.Error) {
	t.metrics.refused(t.ctx, refusal.Code)
	m.reply <- reserved{err: refusal}
}

func drainingFault() *fault.Error {
	return fault.Refuse(fault.HostDraining, "the host is stopping; retry at another host").WithRetryAfter(time.Second)
}

func closedFault(id core.BudgetID) *fault.Error {
	return fault.Refuse(fault.BudgetUnavailable,
		"this host's share of budget %s was released; retry at another host, and restart this one if it was released by an operator", id).
		WithRetryAfter(unavailableRetry)
}

func exhaustedFault(id core.BudgetID) *fault.Error {
	return fault.Refuse(fault.InsufficientQuota, "budget %s is spent; top it up or lower max_tokens", id)
}

func unavailableFault(id core.BudgetID, cause error) *fault.Error {
	refusal := fault.Refuse(fault.BudgetUnavailable,
		"this host has no tokens of budget %s left and can't reach the platform; retry after the delay", id).WithRetryAfter(unavailableRetry)
	return refusal.WithCause(cause)
}

func unknownFault(id core.BudgetID) *fault.Error {
	return fault.Refuse(fault.InsufficientQuota,
		"budget %s is not in the table; top it up to create it, or correct the budget in the team's row", id)
}

func (m *settle) apply(t *Task) {
	entry, found := t.accounts[m.hold.Share.Budget]
	if !found {
		return
	}
	if _, ended := entry.holder.Settle(m.hold.Serial, m.cost, t.config.Now()); !ended {
		entry.waiting = slices.DeleteFunc(entry.waiting, func(w waiter) bool { return w.serial == m.hold.Serial })
	}
	t.grantWaiting(entry)
	t.continueDrain()
}

func (m *credit) apply(t *Task) {
	entry, found := t.accounts[m.share.Budget]
	if !found || m.share != t.share(entry.id) {
		return
	}
	entry.holder.Credit(m.amount)
	t.grantWaiting(entry)
}

// draw starts a draw for what waits, unless one is in flight: concurrent
// reservations on one budget share one draw.
func (t *Task) draw(entry *account) {
	if entry.drawing || entry.redraw || entry.holder.Closed() {
		return
	}
	var need core.Tokens
	for i := range entry.waiting {
		need += entry.waiting[i].amount
		entry.waiting[i].covered = true
	}
	need -= entry.holder.Available()
	entry.drawing = true
	request := entry.holder.Draw(need, t.config.Now())
	t.metrics.draws.Add(t.ctx, 1)
	t.start(drawTimeout, func(ctx context.Context) message {
		answer, err := t.drawFromZone(ctx, request)
		return &drawn{entry.id, answer, err}
	})
}

// drawAhead starts a draw before the share is used up.
func (t *Task) drawAhead(entry *account, now time.Time) {
	paused := now.Before(entry.aheadFrom) || now.Before(entry.pausedTill)
	if paused || entry.drawing || !entry.holder.Low(now) {
		return
	}
	entry.aheadFrom = now.Add(aheadEvery)
	t.draw(entry)
}

func (m *drawn) apply(t *Task) {
	entry := t.accounts[m.budget]
	entry.drawing = false
	now := t.config.Now()
	if m.err != nil {
		refusal := unavailableFault(m.budget, m.err)
		entry.pause(refusal, now.Add(unavailableFor))
		t.config.Log.Debug("no share could be drawn", zap.String("budget", string(m.budget)), zap.Error(m.err))
		t.refuseWaiting(entry, func(waiter) *fault.Error { return refusal })
		t.continueDrain()
		return
	}
	t.learn(entry, m.answer.Share)
	entry.exhausted = m.answer.Outcome == budget.Exhausted
	switch m.answer.Outcome {
	case budget.Unknown:
		refusal := unknownFault(m.budget)
		entry.pause(refusal, now.Add(exhaustedFor))
		t.refuseWaiting(entry, func(waiter) *fault.Error { return refusal })
	case budget.Exhausted:
		t.handleExhausted(entry)
	default:
		t.grantWaiting(entry)
	}
	if entry.holder.Closed() {
		t.refuseWaiting(entry, func(waiter) *fault.Error { return closedFault(m.budget) })
	}
	if len(entry.waiting) > 0 {
		t.draw(entry)
	}
	t.continueDrain()
}

// handleExhausted grants what fits, refuses what has waited for the time
// that a recall may take, and draws again for the rest.
func (t *Task) handleExhausted(entry *account) {
	entry.waiting = slices.DeleteFunc(entry.waiting, func(w waiter) bool { return w.grant(t, entry) })
	t.refuseExpired(entry)
	if len(entry.waiting) == 0 {
		return
	}
	entry.redraw = true
	t.after(redrawDelay, &redraw{entry.id})
	oldest := entry.waiting[0].since
	t.after(recallLimit-t.config.Now().Sub(oldest), &expire{entry.id})
}

// refuseExpired refuses what has waited for the time that a recall may take
// since the budget was found exhausted.
func (t *Task) refuseExpired(entry *account) {
	now := t.config.Now()
	t.refuseWaiting(entry, func(w waiter) *fault.Error {
		if !entry.exhausted || !w.covered || now.Sub(w.since) < recallLimit {
			return nil
		}
		refusal := exhaustedFault(entry.id)
		entry.pause(refusal, now.Add(exhaustedFor))
		return refusal
	})
}

func (m *expire) apply(t *Task) {
	t.refuseExpired(t.accounts[m.budget])
}

func (m *redraw) apply(t *Task) {
	entry := t.accounts[m.budget]
	entry.redraw = false
	t.grantWaiting(entry)
	if len(entry.waiting) > 0 {
		t.draw(entry)
	}
	t.continueDrain()
}

// grantWaiting grants waiting reservations in their order, so that a large
// one is not starved by small ones.
func (t *Task) grantWaiting(entry *account) {
	granted := 0
	for granted < len(entry.waiting) && entry.waiting[granted].grant(t, entry) {
		granted++
	}
	entry.waiting = slices.Delete(entry.waiting, 0, granted)
}

// refuseWaiting refuses the waiting reservations for which a fault is given.
func (t *Task) refuseWaiting(entry *account, choose func(waiter) *fault.Error) {
	entry.waiting = slices.DeleteFunc(entry.waiting, func(w waiter) bool {
		refusal := choose(w)
		if refusal != nil {
			w.refuse(t, refusal)
		}
		return refusal != nil
	})
}

// learn takes over the share row as an answer shows it.
func (t *Task) learn(entry *account, row budget.Share) {
	if row.ID != t.share(entry.id) {
		return
	}
	wasClosed := entry.holder.Closed()
	entry.holder.Learn(row)
	if entry.holder.Closed() && !wasClosed && t.drain == nil {
		t.config.Log.Error("a share of this running host is released; it is not spent any further, restart the host",
			zap.String("budget", string(entry.id)))
	}
	if lost := row.WrittenOff - entry.row.WrittenOff; lost > 0 {
		t.logWrittenOff(row.ID, lost)
	}
	entry.row = entry.row.Newest(row)
	entry.written = t.config.Now()
}
