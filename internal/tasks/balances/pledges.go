package balances

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/rowstore"
)

const (
	// PledgeTable has one row per host, each in a part of its own.
	PledgeTable = "pledges"
	// pledgeKey is the key of a host's row in its part.
	pledgeKey = "record"
	// minPledgeInterval is the minimum time between pledges that no request
	// waits for.
	minPledgeInterval = 150 * time.Millisecond
	// maxPledgeInterval is the time after which a pledge is renewed in any case,
	// because its age counts as time without the store.
	maxPledgeInterval = 800 * time.Millisecond
	// probeTimeout bounds a write while the store is away. It is short so that
	// the store's return is noticed soon, because calls during a network
	// partition are never answered.
	probeTimeout = 600 * time.Millisecond
)

// pledgeState is the state of the host's record of pledges.
type pledgeState struct {
	// started is when this process started; earlier processes had ended by then.
	started time.Time
	// read is true once the record of the earlier process is known.
	read    bool
	reading bool
	// earlierRecord is the record of the earlier process, and earlierEnd a time
	// of the store's clock by which that process had ended.
	earlierRecord allowance.PledgeRecord
	earlierEnd    time.Duration
	// earlierEra is the era of the store when the record was read.
	earlierEra int64

	version int64
	busy    bool
	// pendingRecord is a record whose write has no certain outcome yet. The write
	// is repeated until it has one.
	pendingRecord *allowance.PledgeRecord
	// clock is the newest reading of the store's clock and clockAt its arrival.
	clock     time.Duration
	clockAt   time.Time
	lastWrite time.Time
	retryAt   time.Time
}

type recordResult struct {
	rows       []rowstore.Row
	stamp      rowstore.Stamp
	sentAt     time.Time
	receivedAt time.Time
	err        error
}

type pledgeResult struct{ writeResult }

// readRecord reads the record of pledges of this host's earlier process.
func (b *Balances) readRecord(ctx context.Context) {
	if b.pledges.read || b.pledges.reading {
		return
	}
	b.pledges.reading = true
	go func() {
		result := recordResult{sentAt: b.config.Now()}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		result.rows, result.stamp, result.err = b.config.Store.Get(callCtx, PledgeTable, string(b.config.Process.Host))
		result.receivedAt = b.config.Now()
		_ = b.inbox.Send(context.WithoutCancel(ctx), result)
	}()
}

func (b *Balances) handleRecordResult(ctx context.Context, m recordResult) {
	b.pledges.reading = false
	if m.err != nil {
		b.config.Log.Warn("reading the record of pledges failed; retrying", zap.String("event", "pledge_read_failed"), zap.Error(m.err))
		time.AfterFunc(retryDelay, func() { _ = b.inbox.Send(context.WithoutCancel(ctx), retryRecordRead{}) })
		return
	}
	b.pledges.read = true
	b.noticeEra(ctx, m.stamp.Revision.Era)
	b.updateClock(m.stamp, m.receivedAt)
	// The earlier process had ended when this one started. The call was sent
	// before the store read its clock, so that this time is not too early.
	b.pledges.earlierEra = m.stamp.Revision.Era
	b.pledges.earlierEnd = m.stamp.Clock - m.sentAt.Sub(b.pledges.started)
	for _, row := range m.rows {
		if row.Key != pledgeKey {
			continue
		}
		b.pledges.version = row.Revision.Number
		record, err := allowance.DecodePledgeRecord(row.Value)
		if err != nil {
			b.config.Log.Error("ignoring a malformed record of pledges", zap.String("event", "pledge_malformed"), zap.Error(err))
			continue
		}
		b.pledges.earlierRecord = record
	}
	for _, a := range b.teams {
		b.boundEarlierProcess(ctx, a)
		b.startCommit(ctx, a)
	}
	b.writePledges(ctx)
}

// boundEarlierProcess tells the holder the most that the earlier process can have
// spent, and reads the ledger so that the rest of that process's grant is returned.
func (b *Balances) boundEarlierProcess(ctx context.Context, a *account) {
	if record := b.pledges.earlierRecord; record.Process != "" {
		bound, certain := record.MaxSpent(a.name, b.pledges.earlierEnd, b.pledges.earlierEra)
		if certain {
			a.holder.SetEarlierBound(record.Process, bound)
		}
		b.config.Log.Info("computed the most that the earlier process can have spent", zap.String("event", "earlier_process_bounded"),
			zap.String("team", string(a.name)), zap.String("process", record.Process), zap.Int64("bound", int64(bound)), zap.Bool("outdated", !certain),
			zap.Int64("elapsed_ms", b.pledges.earlierEnd.Milliseconds()-record.Clock))
		b.readUnknownLedger(ctx, a)
	}
}

func (b *Balances) updateClock(stamp rowstore.Stamp, at time.Time) {
	if stamp.Clock > b.pledges.clock {
		b.pledges.clock, b.pledges.clockAt = stamp.Clock, at
	}
}

// writePledges writes the record of pledges if it is due, or repeats a write
// whose outcome is not certain.
func (b *Balances) writePledges(ctx context.Context) {
	now := b.config.Now()
	p := &b.pledges
	if !p.read || p.busy || b.closeReply != nil || now.Before(p.retryAt) {
		return
	}
	if p.pendingRecord == nil {
		if !b.pledgeDue(now) {
			return
		}
		p.pendingRecord = b.newRecord(now)
		for name, pledge := range p.pendingRecord.Pledges {
			b.teams[name].holder.BeginPledge(pledge, now)
		}
	}
	p.busy, p.lastWrite = true, now
	timeout := callTimeout
	if now.Before(b.storeAwayUntil) {
		timeout = probeTimeout
	}
	go b.commitRecord(ctx, p.pendingRecord, p.version, timeout)
}

func (b *Balances) pledgeDue(now time.Time) bool {
	elapsed, active := now.Sub(b.pledges.lastWrite), b.pledges.lastWrite.IsZero()
	for _, a := range b.teams {
		if a.holder.PledgeExceeded(now) || (elapsed >= minPledgeInterval && a.holder.PledgeLow(now)) {
			return true
		}
		active = active || a.holder.Active()
	}
	return active && elapsed >= maxPledgeInterval
}

// maxClockDrift is subtracted from the time since the store's clock was read, as
// a share of it, so that a fast local clock does not run ahead of the store's.
const maxClockDrift = 0.01

// storeClock returns a time that the store's clock has passed, computed from its
// latest reading and the local time since.
func (p *pledgeState) storeClock(now time.Time) time.Duration {
	return p.clock + time.Duration((1-maxClockDrift)*float64(now.Sub(p.clockAt)))
}

func (b *Balances) newRecord(now time.Time) *allowance.PledgeRecord {
	record := &allowance.PledgeRecord{
		Era: b.era, Process: b.config.Process.String(), Clock: b.pledges.storeClock(now).Milliseconds(),
		Pledges: make(map[core.TeamName]allowance.Pledge, len(b.teams)),
	}
	for name, a := range b.teams {
		if a.holder.Active() {
			record.Pledges[name] = a.holder.NewPledge(now)
		}
	}
	return record
}

// commitRecord writes a record and sends the result to the task.
func (b *Balances) commitRecord(ctx context.Context, record *allowance.PledgeRecord, version int64, timeout time.Duration) {
	var result writeResult
	if value, err := record.Encode(); err != nil {
		result = writeResult{err: err, certain: true}
	} else {
		row := rowstore.Row{Table: PledgeTable, Part: string(b.config.Process.Host), Key: pledgeKey, Revision: core.Revision{Number: version}}
		result = b.write(ctx, replaceRow(row, value), timeout)
	}
	_ = b.inbox.Send(context.WithoutCancel(ctx), pledgeResult{result})
}

func (b *Balances) handlePledgeResult(ctx context.Context, m pledgeResult, now time.Time) {
	p := &b.pledges
	p.busy = false
	b.noticeEra(ctx, m.stamp.Revision.Era)
	switch {
	case m.conflict != nil:
		b.resolveRecordConflict(m)
	case m.err != nil:
		p.retryAt = now.Add(retryDelay)
		b.storeAwayUntil = now.Add(storeAwayTime)
		b.config.Log.Warn("writing the record of pledges failed", zap.String("event", "pledge_failed"), zap.Bool("certain", m.certain), zap.Error(m.err))
		if m.certain {
			b.endPledges(false)
		}
	default:
		b.storeAwayUntil = time.Time{}
		p.version = m.stamp.Revision.Number
		b.updateClock(m.stamp, m.receivedAt)
		b.endPledges(true)
	}
	for _, a := range b.teams {
		b.grantWaiters(a)
		if m.err == nil {
			b.startCommit(ctx, a)
		}
		if len(a.waiting) > 0 {
			if m.err == nil && a.holder.PledgeExceeded(now) {
				b.writePledges(ctx)
			}
			b.refuseUnservable(a)
		}
	}
}

// resolveRecordConflict handles a record with an unexpected version: an earlier
// write without an answer was applied after all.
func (b *Balances) resolveRecordConflict(m pledgeResult) {
	b.updateClock(m.stamp, m.receivedAt)
	b.pledges.version = 0
	for _, row := range m.conflict.Rows {
		if row.Key == pledgeKey && !row.Deleted {
			b.pledges.version = row.Revision.Number
		}
	}
	// It does not matter whether the stored record is the one without an answer:
	// the stricter of both pledges applies until the next is acknowledged.
	b.pledges.pendingRecord = nil
}

func (b *Balances) endPledges(applied bool) {
	for name := range b.pledges.pendingRecord.Pledges {
		b.teams[name].holder.EndPledge(applied)
	}
	b.pledges.pendingRecord = nil
}

// retryRecordRead repeats a read of the record that failed.
type retryRecordRead struct{}
