package balances

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/rowstore"
)

type called struct {
	team core.TeamName
	// ledger and version are what the store has, if known.
	ledger  allowance.Ledger
	version int64
	learned bool
	// certain is false if a commit may still be applied.
	certain bool
	read    bool
	err     error
}

// work starts the commit that the holder wants, if none is under way.
func (b *Balances) work(ctx context.Context, a *account) {
	now := b.config.Now()
	// While the store is away, the record of pledges alone is written: it tells
	// when the store is back, for all teams.
	away := now.Before(b.awayUntil) && b.closing == nil
	if a.busy || a.closed || away || !b.pledge.read || now.Before(a.pausedUntil) {
		return
	}
	proposal, wanted := a.holder.Propose(now)
	if b.closing != nil {
		if proposal, wanted = a.holder.ProposeClose(); !wanted {
			a.closed = true
			return
		}
	}
	if !wanted {
		return
	}
	a.holder.BeginCommit(proposal, now)
	a.busy = true
	go b.commit(ctx, a.name, proposal)
}

// commit performs one commit and reports what became of it. It touches no
// state of the task.
func (b *Balances) commit(ctx context.Context, team core.TeamName, proposal allowance.Proposal) {
	result := called{team: team}
	defer func() { _ = b.inbox.Send(context.WithoutCancel(ctx), result) }()
	value, err := proposal.Ledger.Encode()
	if err != nil {
		result.err, result.certain = err, true
		return
	}
	w := b.write(ctx, rowstore.Row{Table: Table, Part: string(team), Key: ledgerKey, Version: proposal.Version}, value, callTimeout)
	result.certain, result.err = w.certain, w.err
	switch {
	case w.conflict != nil:
		result.setRows(w.conflict.Rows)
	case w.err == nil:
		result.ledger, result.version, result.learned = proposal.Ledger, w.stamp.Version, true
	}
}

// written tells what became of the write of a row.
type written struct {
	stamp rowstore.Stamp
	gotAt time.Time
	// conflict holds the rows if another version was there.
	conflict *rowstore.ConflictError
	// certain is false if the write may still be applied.
	certain bool
	err     error
}

// write replaces the value of a row that has the version in row. It touches no
// state of the task.
func (b *Balances) write(ctx context.Context, row rowstore.Row, value []byte, timeout time.Duration) written {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	put := row
	put.Value = value
	var w written
	var err error
	w.stamp, err = b.config.Store.Commit(ctx, rowstore.Commit{Expect: []rowstore.Row{row}, Puts: []rowstore.Row{put}})
	w.gotAt = b.config.Now()
	var away *rowstore.UnavailableError
	switch {
	case err == nil, errors.As(err, &w.conflict):
		w.certain = true
	case errors.As(err, &away):
		w.err, w.certain = err, !away.MayApply
	default:
		w.err = err
	}
	return w
}

// setRows takes the ledger from rows of the store.
func (r *called) setRows(rows []rowstore.Row) {
	r.learned = true
	for _, row := range rows {
		if row.Key != ledgerKey || row.Version == 0 || row.Deleted {
			continue
		}
		r.ledger, r.err = allowance.DecodeLedger(row.Value)
		r.version, r.learned = row.Version, r.err == nil
	}
}

// read fetches a ledger that is not known yet.
func (b *Balances) read(ctx context.Context, a *account) {
	a.busy = true
	team := a.name
	go func() {
		result := called{team: team, certain: true, read: true}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		rows, _, err := b.config.Store.Get(ctx, Table, string(team))
		if err != nil {
			result.err = err
		} else {
			result.setRows(rows)
		}
		_ = b.inbox.Send(context.WithoutCancel(ctx), result)
	}()
}

// readUnknown fetches a ledger that was never read.
func (b *Balances) readUnknown(ctx context.Context, a *account) {
	if !a.busy && !a.holder.LedgerKnown() && !b.config.Now().Before(a.pausedUntil) {
		b.read(ctx, a)
	}
}

// refreshStale fetches a ledger anew if this host lacks tokens and others may
// have returned some since it was read.
func (b *Balances) refreshStale(ctx context.Context, a *account) {
	now := b.config.Now()
	if a.busy || a.closed || now.Before(b.awayUntil) || now.Before(a.pausedUntil) || now.Sub(a.learnedAt) < staleAfter || !a.holder.BelowTarget(now) {
		return
	}
	b.read(ctx, a)
}

func (b *Balances) called(ctx context.Context, m called, now time.Time) {
	a, found := b.teams[m.team]
	if !found {
		return
	}
	a.busy = false
	if m.learned {
		a.holder.SetLedger(m.ledger, m.version)
		a.learnedAt = now
	}
	if !m.read {
		a.holder.EndCommit(m.certain)
		b.answerReturn(a, m.err == nil && m.certain)
	}
	if m.err == nil {
		b.awayUntil = time.Time{}
	}
	if m.err != nil {
		a.pausedUntil = now.Add(failurePause)
		b.awayUntil = now.Add(awayMemory)
		b.config.Log.Warn("balance not updated", zap.String("event", "balance_commit_failed"), zap.String("team", string(m.team)),
			zap.Int64("ledger_version", a.holder.Version()), zap.Bool("certain", m.certain), zap.Error(m.err))
		b.serveWaiters(a)
		b.refuseHopeless(a)
		if m.read {
			time.AfterFunc(failurePause, func() { _ = b.inbox.Send(context.WithoutCancel(ctx), retryRead{a.name}) })
		}
		return
	}
	if b.closing != nil && !m.read && m.learned && m.certain {
		b.work(ctx, a)
		b.finishClose()
		return
	}
	b.serveWaiters(a)
	b.work(ctx, a)
	if a.holder.PledgeExceeded(now) {
		b.writePledges(ctx)
	}
	b.refuseHopeless(a)
}

// staleAfter is the age from which a ledger is read again by a host that lacks
// tokens. It bounds the reads of a team whose balance is nearly spent.
const staleAfter = 500 * time.Millisecond

// retryRead repeats the read of a ledger.
type retryRead struct{ team core.TeamName }
