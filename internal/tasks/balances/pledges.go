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
	// PledgeTable holds one row for each host, in a part of its own.
	PledgeTable = "pledges"
	// pledgeKey is the key of a host's row in its part.
	pledgeKey = "record"
	// pledgeEvery is the least time between pledges that no request waits for.
	pledgeEvery = 150 * time.Millisecond
	// pledgeAtLeast is the time after which a pledge is renewed without need, as
	// its age counts as time without the store.
	pledgeAtLeast = 800 * time.Millisecond
	// probeTimeout bounds a write while the store is away, so that its return is
	// noticed soon: a call into a partition is never answered.
	probeTimeout = 600 * time.Millisecond
)

// pledging is the state of the host's record of pledges.
type pledging struct {
	// started is when the process started; earlier ones had ended.
	started time.Time
	// read is true once the record of the earlier process is known.
	read    bool
	reading bool
	earlier allowance.PledgeRecord
	end     time.Duration

	version int64
	busy    bool
	// unsure is a write without an answer, which is repeated until its fate is
	// certain.
	unsure *allowance.PledgeRecord
	// clock is the newest reading of the store's clock and clockAt its arrival.
	clock       time.Duration
	clockAt     time.Time
	last        time.Time
	pausedUntil time.Time
}

type recordRead struct {
	rows   []rowstore.Row
	stamp  rowstore.Stamp
	sentAt time.Time
	gotAt  time.Time
	err    error
}

type pledged struct{ written }

// readRecord reads the record that an earlier process of this host left.
func (b *Balances) readRecord(ctx context.Context) {
	if b.pledge.read || b.pledge.reading {
		return
	}
	b.pledge.reading = true
	go func() {
		result := recordRead{sentAt: b.config.Now()}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		result.rows, result.stamp, result.err = b.config.Store.Get(callCtx, PledgeTable, string(b.config.Process.Host))
		result.gotAt = b.config.Now()
		_ = b.inbox.Send(context.WithoutCancel(ctx), result)
	}()
}

func (b *Balances) recordRead(ctx context.Context, m recordRead) {
	b.pledge.reading = false
	if m.err != nil {
		b.config.Log.Warn("record of pledges not read; trying again", zap.String("event", "pledge_read_failed"), zap.Error(m.err))
		time.AfterFunc(failurePause, func() { _ = b.inbox.Send(context.WithoutCancel(ctx), retryRecord{}) })
		return
	}
	b.pledge.read = true
	b.noteClock(m.stamp, m.gotAt)
	// The earlier process had ended when this one started. The call was sent
	// before the store read its clock, so that this is not too early.
	b.pledge.end = m.stamp.Clock - m.sentAt.Sub(b.pledge.started)
	for _, row := range m.rows {
		if row.Key != pledgeKey {
			continue
		}
		b.pledge.version = row.Version
		record, err := allowance.DecodePledgeRecord(row.Value)
		if err != nil {
			b.config.Log.Error("record of pledges skipped", zap.String("event", "pledge_malformed"), zap.Error(err))
			continue
		}
		b.pledge.earlier = record
	}
	for _, a := range b.teams {
		b.boundEarlier(ctx, a)
		b.work(ctx, a)
	}
	b.writePledges(ctx)
}

// boundEarlier tells the holder what the earlier process can have spent, and
// reads the ledger, so that what that process held returns.
func (b *Balances) boundEarlier(ctx context.Context, a *account) {
	if record := b.pledge.earlier; record.Process != "" {
		bound := record.MaxSpent(a.name, b.pledge.end)
		a.holder.SetEarlierBound(record.Process, bound)
		b.config.Log.Info("spending of the earlier process bounded", zap.String("event", "earlier_process_bounded"),
			zap.String("team", string(a.name)), zap.String("process", record.Process), zap.Int64("bound", int64(bound)),
			zap.Int64("elapsed_ms", b.pledge.end.Milliseconds()-record.Clock))
		b.readUnknown(ctx, a)
	}
}

func (b *Balances) noteClock(stamp rowstore.Stamp, at time.Time) {
	if stamp.Clock > b.pledge.clock {
		b.pledge.clock, b.pledge.clockAt = stamp.Clock, at
	}
}

// writePledges writes the record if it is due or a request waits for it.
func (b *Balances) writePledges(ctx context.Context) {
	now := b.config.Now()
	p := &b.pledge
	if !p.read || p.busy || b.closing != nil || now.Before(p.pausedUntil) {
		return
	}
	if p.unsure == nil {
		if !b.pledgeDue(now) {
			return
		}
		p.unsure = b.record(now)
		for name, pledge := range p.unsure.Pledges {
			b.teams[name].holder.BeginPledge(pledge, now)
		}
	}
	p.busy, p.last = true, now
	timeout := callTimeout
	if now.Before(b.awayUntil) {
		timeout = probeTimeout
	}
	go b.commitRecord(ctx, p.unsure, p.version, timeout)
}

func (b *Balances) pledgeDue(now time.Time) bool {
	rest, engaged := now.Sub(b.pledge.last), b.pledge.last.IsZero()
	for _, a := range b.teams {
		if a.holder.PledgeExceeded(now) || (rest >= pledgeEvery && a.holder.PledgeLow(now)) {
			return true
		}
		engaged = engaged || a.holder.Active()
	}
	return engaged && rest >= pledgeAtLeast
}

// clockSlack is the part of the time since the store's clock was read that is
// left out, so that a local clock that runs fast does not run ahead of it.
const clockSlack = 0.01

// storeClock returns a time that the store's clock has passed: its latest
// reading and the local time since it arrived.
func (p *pledging) storeClock(now time.Time) time.Duration {
	return p.clock + time.Duration((1-clockSlack)*float64(now.Sub(p.clockAt)))
}

func (b *Balances) record(now time.Time) *allowance.PledgeRecord {
	record := &allowance.PledgeRecord{
		Process: b.config.Process.String(), Clock: b.pledge.storeClock(now).Milliseconds(),
		Pledges: make(map[core.TeamName]allowance.Pledge, len(b.teams)),
	}
	for name, a := range b.teams {
		if a.holder.Active() {
			record.Pledges[name] = a.holder.NewPledge(now)
		}
	}
	return record
}

// commitRecord performs one write and reports what became of it.
func (b *Balances) commitRecord(ctx context.Context, record *allowance.PledgeRecord, version int64, timeout time.Duration) {
	var result written
	if value, err := record.Encode(); err != nil {
		result = written{err: err, certain: true}
	} else {
		row := rowstore.Row{Table: PledgeTable, Part: string(b.config.Process.Host), Key: pledgeKey, Version: version}
		result = b.write(ctx, row, value, timeout)
	}
	_ = b.inbox.Send(context.WithoutCancel(ctx), pledged{result})
}

func (b *Balances) pledged(ctx context.Context, m pledged, now time.Time) {
	p := &b.pledge
	p.busy = false
	switch {
	case m.conflict != nil:
		b.resolveRecord(m)
	case m.err != nil:
		p.pausedUntil = now.Add(failurePause)
		b.awayUntil = now.Add(awayMemory)
		b.config.Log.Warn("pledges not written", zap.String("event", "pledge_failed"), zap.Bool("certain", m.certain), zap.Error(m.err))
		if m.certain {
			b.endPledges(false)
		}
	default:
		b.awayUntil = time.Time{}
		p.version = m.stamp.Version
		b.noteClock(m.stamp, m.gotAt)
		b.endPledges(true)
	}
	for _, a := range b.teams {
		b.serveWaiters(a)
		if m.err == nil {
			b.work(ctx, a)
		}
		if len(a.waiting) > 0 {
			if m.err == nil && a.holder.PledgeExceeded(now) {
				b.writePledges(ctx)
			}
			b.refuseHopeless(a)
		}
	}
}

// resolveRecord handles a row at another version than was expected: a write
// without an answer was applied after all.
func (b *Balances) resolveRecord(m pledged) {
	b.noteClock(m.stamp, m.gotAt)
	b.pledge.version = 0
	for _, row := range m.conflict.Rows {
		if row.Key == pledgeKey && !row.Deleted {
			b.pledge.version = row.Version
		}
	}
	// Whether the record there is the one without an answer does not matter:
	// the stricter of both pledges holds until the next is acknowledged.
	b.pledge.unsure = nil
}

func (b *Balances) endPledges(applied bool) {
	for name := range b.pledge.unsure.Pledges {
		b.teams[name].holder.EndPledge(applied)
	}
	b.pledge.unsure = nil
}

// retryRecord repeats the read of the record.
type retryRecord struct{}
