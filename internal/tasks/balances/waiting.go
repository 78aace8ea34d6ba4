package balances

import (
	"context"
	"slices"
	"time"
)

func (b *Balances) reserve(ctx context.Context, m reserve, now time.Time) {
	a, found := b.teams[m.Team]
	switch {
	case !found && m.FromPeer:
		m.reply <- Grant{Outcome: Away}
		return
	case !found:
		// A team without a prepaid total needs no reservation.
		m.reply <- Grant{Outcome: Granted}
		return
	}
	a.holder.AddDemand(m.Amount, now)
	if a.holder.Reserve(m.Amount, now) {
		m.reply <- b.newGrant(a, Granted)
		b.startCommit(ctx, a)
		return
	}
	if !a.holder.BalanceCovers(m.Amount) {
		m.reply <- b.newGrant(a, Spent)
		return
	}
	allowed, ever := a.holder.AllowedAt(m.Amount, now)
	soon := m.Patient && ever && allowed.Sub(now) <= maxOutageWait
	if soon && allowed.After(m.Deadline) {
		m.Deadline = allowed.Add(refreshInterval)
	}
	if !soon && (now.Before(a.retryAt) || now.Before(b.storeAwayUntil)) {
		m.reply <- b.newGrant(a, Away)
		return
	}
	a.holder.AddWaiting(m.Amount)
	a.waiting = append(a.waiting, waiter{m.Amount, m.Deadline, m.Patient, m.reply})
	b.readUnknownLedger(ctx, a)
	b.startCommit(ctx, a)
	if a.holder.PledgeExceeded(now) {
		b.writePledges(ctx)
	}
	b.refuseUnservable(a)
}

// refuseUnservable refuses waiting requests that neither a call in progress nor
// the pledges can help: what they lack is granted to other hosts.
func (b *Balances) refuseUnservable(a *account) {
	if len(a.waiting) == 0 {
		return
	}
	now := b.config.Now()
	if a.busy || a.pendingRecalls > 0 || (b.pledges.busy && a.holder.PledgeExceeded(now)) {
		return
	}
	patient := slices.ContainsFunc(a.waiting, func(w waiter) bool { return w.patient })
	if patient && b.recall(a) {
		return
	}
	b.refuseIf(a, Away, func(w waiter) bool {
		allowed, ever := a.holder.AllowedAt(w.amount, now)
		return !ever || allowed.After(w.deadline)
	})
}

func (b *Balances) newGrant(a *account, outcome Outcome) Grant {
	now := b.config.Now()
	grant := Grant{
		Outcome: outcome, Available: a.holder.Available(now), Unallocated: a.holder.Unallocated(),
		Elsewhere: a.holder.Elsewhere(), Prepaid: a.holder.Prepaid(), Unsure: a.holder.Unsure(),
		StoreAway: now.Before(b.storeAwayUntil), Version: a.holder.Revision().Number,
	}
	if outcome != Granted {
		grant.Shortage = b.shortage(a, now)
	}
	return grant
}

// grantWaiters grants what is available in order of arrival. A smaller amount may
// be granted before a larger one.
func (b *Balances) grantWaiters(a *account) {
	now := b.config.Now()
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		if !a.holder.Reserve(w.amount, now) {
			kept = append(kept, w)
			continue
		}
		a.holder.RemoveWaiting(w.amount)
		w.reply <- b.newGrant(a, Granted)
	}
	a.waiting = kept
}

func (b *Balances) expireWaiters(a *account) {
	now := b.config.Now()
	b.refuseIf(a, Away, func(w waiter) bool { return !now.Before(w.deadline) })
}

// refuseIf refuses the waiting requests for which a condition holds.
func (b *Balances) refuseIf(a *account, outcome Outcome, refused func(waiter) bool) {
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		if !refused(w) {
			kept = append(kept, w)
			continue
		}
		a.holder.RemoveWaiting(w.amount)
		answer := outcome
		if !a.holder.BalanceCovers(w.amount) {
			answer = Spent
		}
		w.reply <- b.newGrant(a, answer)
	}
	a.waiting = kept
}
