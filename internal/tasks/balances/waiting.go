package balances

import (
	"context"
	"slices"
	"time"
)

func (b *Balances) reserve(ctx context.Context, m reserve, now time.Time) {
	a, found := b.teams[m.Team]
	switch {
	case !found && m.Foreign:
		m.reply <- Grant{Outcome: Away}
		return
	case !found:
		// A team without a prepaid total spends without a reservation.
		m.reply <- Grant{Outcome: Granted}
		return
	}
	a.holder.AddDemand(m.Amount, now)
	if a.holder.Reserve(m.Amount, now) {
		m.reply <- b.grant(a, Granted)
		b.work(ctx, a)
		return
	}
	if !a.holder.BalanceCovers(m.Amount) {
		m.reply <- b.grant(a, Spent)
		return
	}
	allowed, ever := a.holder.AllowedAt(m.Amount, now)
	soon := m.Patient && ever && allowed.Sub(now) <= outageWait
	if soon && allowed.After(m.Until) {
		m.Until = allowed.Add(refreshEvery)
	}
	if !soon && (now.Before(a.pausedUntil) || now.Before(b.awayUntil)) {
		m.reply <- b.grant(a, Away)
		return
	}
	a.holder.AddWaiting(m.Amount)
	a.waiting = append(a.waiting, waiter{m.Amount, m.Until, m.Patient, m.reply})
	b.readUnknown(ctx, a)
	b.work(ctx, a)
	if a.holder.PledgeExceeded(now) {
		b.writePledges(ctx)
	}
	b.refuseHopeless(a)
}

// refuseHopeless ends waits that neither a call under way nor the pledge can
// end: what is left is granted to other hosts.
func (b *Balances) refuseHopeless(a *account) {
	if len(a.waiting) == 0 {
		return
	}
	now := b.config.Now()
	if a.busy || a.recalls > 0 || (b.pledge.busy && a.holder.PledgeExceeded(now)) {
		return
	}
	patient := slices.ContainsFunc(a.waiting, func(w waiter) bool { return w.patient })
	if patient && b.recall(a) {
		return
	}
	b.refuseIf(a, Away, func(w waiter) bool {
		allowed, ever := a.holder.AllowedAt(w.amount, now)
		return !ever || allowed.After(w.until)
	})
}

func (b *Balances) grant(a *account, outcome Outcome) Grant {
	return Grant{
		Outcome: outcome, Available: a.holder.Available(b.config.Now()), Unallocated: a.holder.Unallocated(),
		Elsewhere: a.holder.Elsewhere(), Prepaid: a.holder.Prepaid(), Unsure: a.holder.Unsure(),
		StoreAway: b.config.Now().Before(b.awayUntil), Version: a.holder.Version(),
	}
}

// serveWaiters grants what is available, in order; a smaller amount may pass a
// larger one.
func (b *Balances) serveWaiters(a *account) {
	now := b.config.Now()
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		if !a.holder.Reserve(w.amount, now) {
			kept = append(kept, w)
			continue
		}
		a.holder.RemoveWaiting(w.amount)
		w.reply <- b.grant(a, Granted)
	}
	a.waiting = kept
}

func (b *Balances) expireWaiters(a *account) {
	now := b.config.Now()
	b.refuseIf(a, Away, func(w waiter) bool { return !now.Before(w.until) })
}

// refuseIf ends the waits of those that a condition names.
func (b *Balances) refuseIf(a *account, outcome Outcome, condition func(waiter) bool) {
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		if !condition(w) {
			kept = append(kept, w)
			continue
		}
		a.holder.RemoveWaiting(w.amount)
		answer := outcome
		if !a.holder.BalanceCovers(w.amount) {
			answer = Spent
		}
		w.reply <- b.grant(a, answer)
	}
	a.waiting = kept
}
