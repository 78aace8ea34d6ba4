package balances

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/rowstore"
)

// ledgerResult is the result of a read of a ledger or a commit to it.
type ledgerResult struct {
	team core.TeamName
	// ledger, revision, clock and key are what the store has; they are set if known is true.
	ledger   allowance.Ledger
	revision core.Revision
	clock    time.Duration
	key      string
	known    bool
	// certain is false if the commit may still be applied.
	certain bool
	read    bool
	// reopened is true if the commit wrote the first ledger of an era after the first.
	reopened bool
	// conflict is true if the row had another version than the commit expected.
	conflict bool
	// malformed is true if the store has a ledger that cannot be used; the other
	// teams' ledgers are not affected.
	malformed bool
	err       error
}

// malformedRetryDelay is the time after which a malformed ledger is read again.
const malformedRetryDelay = 5 * time.Second

// handleMalformedLedger refuses the team's requests until its ledger is repaired. It
// logs each version of the row once.
func (b *Balances) handleMalformedLedger(ctx context.Context, a *account, m ledgerResult, now time.Time) {
	if a.malformed != m.revision {
		a.malformed = m.revision
		b.config.Log.Error("a team's ledger is malformed; no tokens are granted until it is repaired", zap.String("event", "ledger_malformed"),
			zap.String("team", string(a.name)), zap.String("ledger_version", m.revision.String()), zap.Error(m.err))
	}
	a.retryAt = now.Add(malformedRetryDelay)
	b.grantWaiters(a)
	b.refuseUnservable(a)
	if m.read {
		time.AfterFunc(malformedRetryDelay, func() { _ = b.inbox.Send(context.WithoutCancel(ctx), retryLedgerRead{a.name}) })
	}
}

// startCommit starts the commit that the holder needs, if no call is in progress.
func (b *Balances) startCommit(ctx context.Context, a *account) {
	now := b.config.Now()
	// While the store is away, only the record of pledges is written: that one
	// call shows for all teams when the store is back.
	away := now.Before(b.storeAwayUntil) && b.closeReply == nil
	if a.busy || a.closed || away || !b.pledges.read || now.Before(a.retryAt) {
		return
	}
	proposal, wanted := a.holder.Propose(now)
	if b.closeReply != nil {
		if proposal, wanted = a.holder.ProposeClose(now); !wanted {
			a.closed = true
			return
		}
	}
	if !wanted {
		return
	}
	a.holder.BeginCommit(proposal, now)
	a.busy = true
	go b.commit(ctx, a.name, a.rowKey, proposal)
}

// commit commits a proposal and sends the result to the task. It runs in its own
// goroutine and does not access the task's state.
func (b *Balances) commit(ctx context.Context, team core.TeamName, key string, proposal allowance.Proposal) {
	result := ledgerResult{team: team}
	defer func() { _ = b.inbox.Send(context.WithoutCancel(ctx), result) }()
	value, err := proposal.Ledger.Encode()
	if err != nil {
		result.err, result.certain = err, true
		return
	}
	row := rowstore.Row{Table: Table, Part: string(team), Key: key, Revision: proposal.Revision}
	commit := replaceRow(row, value)
	if proposal.Reopens {
		commit, key = reopenRow(row, value, proposal.Ledger.Mark.Era)
	}
	w := b.write(ctx, commit, callTimeout)
	result.certain, result.err = w.certain, w.err
	switch {
	case w.conflict != nil:
		b.resolveConflict(ctx, &result)
	case w.err == nil:
		result.ledger, result.revision, result.clock, result.key, result.known = proposal.Ledger, w.stamp.Revision, w.stamp.Clock, key, true
		result.reopened = proposal.Reopens
	}
}

// writeResult is the result of writing a row.
type writeResult struct {
	stamp      rowstore.Stamp
	receivedAt time.Time
	// conflict has the rows of the store if the row had another version.
	conflict *rowstore.ConflictError
	// certain is false if the write may still be applied.
	certain bool
	err     error
}

// resolveConflict reads the ledger after a commit that found another version. The
// ledger may have been reopened under another key. Without an answer, the outcome
// of an earlier commit stays unknown.
func (b *Balances) resolveConflict(ctx context.Context, result *ledgerResult) {
	result.conflict = true
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, stamp, err := b.config.Store.Get(ctx, Table, string(result.team))
	if err != nil {
		result.err, result.certain = err, false
		return
	}
	result.setLedger(rows, stamp)
}

// replaceRow returns the commit that replaces the value of a row that must have the
// revision in row.
func replaceRow(row rowstore.Row, value []byte) rowstore.Commit {
	put := row
	put.Value = value
	return rowstore.Commit{Expect: []rowstore.Row{row}, Puts: []rowstore.Row{put}}
}

// reopenRow returns the commit that writes the first ledger of an era under a key of its
// own in place of one of an earlier era, if there is one, and that key. A write of the
// earlier era that is applied late then finds no row, whatever versions the store gives
// out again.
func reopenRow(row rowstore.Row, value []byte, era int64) (rowstore.Commit, string) {
	reopened := rowstore.Row{Table: row.Table, Part: row.Part, Key: ledgerKeyOf(era)}
	commit := replaceRow(reopened, value)
	commit.Expect = append(commit.Expect, row)
	if row.Revision.Number > 0 {
		commit.Removes = []rowstore.Row{row}
	}
	return commit, reopened.Key
}

// write performs a commit. It does not access the task's state.
func (b *Balances) write(ctx context.Context, commit rowstore.Commit, timeout time.Duration) writeResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var w writeResult
	var err error
	w.stamp, err = b.config.Store.Commit(ctx, commit)
	w.receivedAt = b.config.Now()
	var unavailable *rowstore.UnavailableError
	switch {
	case err == nil, errors.As(err, &w.conflict):
		w.certain = true
	case errors.As(err, &unavailable):
		w.err, w.certain = err, !unavailable.MayApply
	default:
		w.err = err
	}
	return w
}

// reopenedPrefix precedes the era in the key of a ledger that was reopened or begun
// after a return of the store.
const reopenedPrefix = ledgerKey + "."

// ledgerKeyOf returns the key of the ledgers of an era after the first.
func ledgerKeyOf(era int64) string { return reopenedPrefix + strconv.FormatInt(era, 10) }

// eraOfKey returns the era in a key, 0 for that of the first era. It
// reports false for the key of another row.
func eraOfKey(key string) (int64, bool) {
	if key == ledgerKey {
		return 0, true
	}
	text, found := strings.CutPrefix(key, reopenedPrefix)
	if !found {
		return 0, false
	}
	era, err := strconv.ParseInt(text, 10, 64)
	return era, err == nil
}

// setLedger decodes the ledger from all rows of the team's part. Of several, the one
// that was reopened last counts.
func (r *ledgerResult) setLedger(rows []rowstore.Row, stamp rowstore.Stamp) {
	r.known, r.key, r.clock, r.revision = true, ledgerKey, stamp.Clock, core.Revision{Era: stamp.Revision.Era}
	latest := int64(-1)
	for _, row := range rows {
		era, isLedger := eraOfKey(row.Key)
		if !isLedger || row.Deleted || era <= latest {
			continue
		}
		latest = era
		r.ledger, r.err = allowance.DecodeLedger(row.Value)
		r.revision, r.key, r.known, r.malformed = row.Revision, row.Key, r.err == nil, r.err != nil
	}
}

// readLedger starts a read of a ledger.
func (b *Balances) readLedger(ctx context.Context, a *account) {
	a.busy = true
	team := a.name
	go func() {
		result := ledgerResult{team: team, certain: true, read: true}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		rows, stamp, err := b.config.Store.Get(ctx, Table, string(team))
		if err != nil {
			result.err = err
		} else {
			result.setLedger(rows, stamp)
		}
		_ = b.inbox.Send(context.WithoutCancel(ctx), result)
	}()
}

// readUnknownLedger reads a ledger that has not been read yet.
func (b *Balances) readUnknownLedger(ctx context.Context, a *account) {
	if !a.busy && !a.holder.LedgerKnown() && !b.config.Now().Before(a.retryAt) {
		b.readLedger(ctx, a)
	}
}

// rereadStaleLedger reads a ledger again if the store has come back from a copy
// since, or if this host lacks tokens that other hosts may have returned.
func (b *Balances) rereadStaleLedger(ctx context.Context, a *account) {
	now := b.config.Now()
	if a.busy || a.closed || now.Before(b.storeAwayUntil) || now.Before(a.retryAt) {
		return
	}
	if a.holder.LedgerOutdated() || (now.Sub(a.ledgerAt) >= ledgerStaleAfter && a.holder.BelowTarget(now)) {
		b.readLedger(ctx, a)
	}
}

func (b *Balances) handleLedgerResult(ctx context.Context, m ledgerResult, now time.Time) {
	a, found := b.teams[m.team]
	if !found {
		return
	}
	a.busy = false
	if m.conflict {
		b.config.Log.Info("a ledger had another version than expected", zap.String("event", "ledger_conflict"), zap.String("team", string(m.team)),
			zap.String("ledger_version", a.holder.Revision().String()), zap.String("stored_version", m.revision.String()),
			zap.Int64("allocated", int64(m.ledger.Allocated())), zap.Int64("prepaid", int64(a.holder.Prepaid())))
	}
	if m.reopened {
		b.config.Log.Info("wrote the first ledger of an era after a return of the store", zap.String("event", "ledger_reopened"), zap.String("team", string(m.team)),
			zap.String("ledger_version", m.revision.String()), zap.Int64("allocated", int64(m.ledger.Allocated())), zap.Int64("lost", int64(m.ledger.Lost)),
			zap.Int64("withheld", int64(m.ledger.WithheldAt(m.clock))), zap.Int64("prepaid", int64(a.holder.Prepaid())))
	}
	if m.known {
		b.noticeEra(ctx, m.revision.Era)
		a.holder.SetLedger(m.ledger, m.revision, m.clock, now)
		a.rowKey, a.ledgerAt = m.key, now
	}
	if !m.read {
		a.holder.EndCommit(m.certain)
		b.replyToReturn(a, m.err == nil && m.certain && !m.conflict)
	}
	if m.err == nil || m.malformed {
		b.storeAwayUntil = time.Time{}
	}
	if m.malformed {
		b.handleMalformedLedger(ctx, a, m, now)
		return
	}
	if m.err != nil {
		a.retryAt = now.Add(retryDelay)
		b.storeAwayUntil = now.Add(storeAwayTime)
		b.config.Log.Warn("call to the store for a balance ledger failed", zap.String("event", "balance_commit_failed"), zap.String("team", string(m.team)),
			zap.String("ledger_version", a.holder.Revision().String()), zap.Bool("certain", m.certain), zap.Error(m.err))
		b.grantWaiters(a)
		b.refuseUnservable(a)
		if m.read {
			time.AfterFunc(retryDelay, func() { _ = b.inbox.Send(context.WithoutCancel(ctx), retryLedgerRead{a.name}) })
		}
		return
	}
	if b.closeReply != nil && !m.read && m.known && m.certain {
		b.startCommit(ctx, a)
		b.finishClose()
		return
	}
	b.grantWaiters(a)
	b.rereadStaleLedger(ctx, a)
	b.startCommit(ctx, a)
	if a.holder.PledgeExceeded(now) {
		b.writePledges(ctx)
	}
	b.refuseUnservable(a)
}

// ledgerStaleAfter is the age at which a host that lacks tokens reads a ledger
// again. It bounds the reads of a team whose balance is nearly spent.
const ledgerStaleAfter = 500 * time.Millisecond

// retryLedgerRead repeats a read of a ledger that failed.
type retryLedgerRead struct{ team core.TeamName }
