package claims

import (
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Due returns when the next batch is to be committed, or false if there is
// none to wait for.
func (r *Register) Due() (time.Time, bool) {
	return r.since.Add(GroupFor), len(r.queue) > 0 && r.inFlight == nil
}

// NextBatch returns the next commit, or nil if none is due or one is in
// flight.
func (r *Register) NextBatch(now time.Time) *Batch {
	due, waiting := r.Due()
	if !waiting || now.Before(due) {
		return nil
	}
	group := r.queue[:min(len(r.queue), groupSize)]
	r.queue = slices.Clone(r.queue[len(group):])
	r.serial++
	r.inFlight = &Batch{Serial: r.serial}
	for _, member := range group {
		record := member.outcome
		if member.phase == queued {
			member.phase = writing
			record = Record{State: Claimed, Holder: r.self, Attempt: member.attempt, Fingerprint: member.fingerprint}
		}
		r.inFlight.Ops = append(r.inFlight.Ops, Op{Key: member.key, Version: member.version, Record: record})
	}
	return r.inFlight
}

// Committed ends a batch that took effect.
func (r *Register) Committed(batch *Batch, now time.Time) {
	r.inFlight = nil
	for i := range batch.Ops {
		r.applied(r.calls[batch.Ops[i].Key], batch.Ops[i].Version+1, now)
	}
}

// applied handles a write that took effect.
func (r *Register) applied(written *call, version int64, now time.Time) {
	written.version = version
	if written.phase == ending {
		r.closed(written, now)
		return
	}
	if written.claimant == 0 {
		written.claimant = written.takeOther()
	}
	if written.claimant == 0 {
		r.end(written, Record{State: NotRun}, now)
		return
	}
	r.win(written)
}

// closed handles an outcome that is in the table.
func (r *Register) closed(ended *call, now time.Time) {
	r.endWaiter(ended)
	switch {
	case ended.outcome.State == NotRun && len(ended.others) > 0:
		ended.claimant = ended.takeOther()
		r.enqueueClaim(ended, now)
	case ended.outcome.State == Done:
		r.dismiss(ended, Reply{Kind: Recorded, Answer: ended.outcome.Answer})
	default:
		r.dismiss(ended, Reply{Kind: Unknown})
	}
}

// dismiss gives all waiters the same reply and forgets the call.
func (r *Register) dismiss(ended *call, reply Reply) {
	waiters := ended.others
	if ended.claimant != 0 {
		waiters = append([]WaiterID{ended.claimant}, waiters...)
	}
	for _, waiter := range waiters {
		reply.Waiter = waiter
		r.reply(reply)
	}
	delete(r.calls, ended.key)
}

// Conflicted ends a batch that took no effect. found holds the current rows
// of the conditions that failed; the other writes go into the next batch at
// once.
func (r *Register) Conflicted(batch *Batch, found map[Key]Row, gone Gone, now time.Time) {
	r.inFlight = nil
	var again []*call
	for i := range batch.Ops {
		member := r.calls[batch.Ops[i].Key]
		row, failed := found[member.key]
		switch {
		case !failed && member.phase == ending:
			again = append(again, member)
		case !failed:
			member.phase = queued
			if member.claimant == 0 && len(member.others) == 0 {
				delete(r.calls, member.key)
				continue
			}
			again = append(again, member)
		case member.phase == ending:
			r.reviewOutcome(member, row, gone, now)
		default:
			r.review(member, row, gone, now)
		}
	}
	r.queue = append(again, r.queue...)
	if len(again) > 0 {
		r.since = now.Add(-GroupFor)
	}
}

// reviewOutcome handles a failed write of an outcome. Only this host writes a
// row that it has claimed, so the row has either another version than
// expected, or it has this very outcome, and another host may have claimed it
// after that, or it was deleted because of its age.
func (r *Register) reviewOutcome(ended *call, row Row, gone Gone, now time.Time) {
	record := row.Record
	ours := row.Version != 0 && record.Holder == r.self && record.Attempt == ended.attempt
	switch {
	case ours && record.State == Claimed && !record.Abandoned:
		ended.version = row.Version
		r.enqueue(ended, now)
	case !ours && ended.outcome.State == NotRun && len(ended.others) > 0:
		r.endWaiter(ended)
		r.review(ended, row, gone, now)
	default:
		ended.version = row.Version
		r.closed(ended, now)
	}
}

// review decides what a claim's existing row means for those who wait.
func (r *Register) review(claimed *call, row Row, gone Gone, now time.Time) {
	if claimed.claimant == 0 {
		claimed.claimant = claimed.takeOther()
	}
	record := row.Record
	switch {
	case row.Version != 0 && record.Holder == r.self && record.Attempt == claimed.attempt && record.State == Claimed:
		r.applied(claimed, row.Version, now)
	case claimed.claimant == 0:
		delete(r.calls, claimed.key)
	case row.Version != 0 && record.State == "":
		r.dismiss(claimed, Reply{Kind: Unknown})
	case row.Version != 0 && record.Fingerprint != claimed.fingerprint:
		r.dismiss(claimed, Reply{Kind: Reused})
	case row.Version == 0 || record.State == NotRun:
		claimed.version = row.Version
		r.enqueueClaim(claimed, now)
	case record.State == Done:
		r.dismiss(claimed, Reply{Kind: Recorded, Answer: record.Answer, Object: record.Object})
	case record.Abandoned || record.Holder == r.self || gone(record.Holder):
		r.dismiss(claimed, Reply{Kind: Unknown})
	default:
		r.watch(claimed, record.Holder)
	}
}

// watch waits for the outcome of a call that another host runs.
func (r *Register) watch(waiting *call, holder core.HostRef) {
	waiting.phase, waiting.holder = watching, holder
	waiting.others = append([]WaiterID{waiting.claimant}, waiting.others...)
	waiting.claimant = 0
	r.watched = append(r.watched, waiting)
}

// NextPoll returns the keys to read, or nil if none is due or a read is in
// flight. The calls take turns.
func (r *Register) NextPoll(now time.Time) []Key {
	if r.polling || len(r.watched) == 0 || now.Sub(r.polled) < PollInterval {
		return nil
	}
	r.polling, r.polled = true, now
	keys := make([]Key, min(len(r.watched), pollSize))
	for i := range keys {
		keys[i] = r.watched[i].key
	}
	r.watched = append(slices.Clone(r.watched[len(keys):]), r.watched[:len(keys)]...)
	return keys
}

// PollFailed ends a read without an answer.
func (r *Register) PollFailed() {
	r.polling = false
}

// Polled ends a read. Keys without a row in found are absent.
func (r *Register) Polled(keys []Key, found map[Key]Row, gone Gone, now time.Time) {
	r.polling = false
	for _, key := range keys {
		current, exists := r.calls[key]
		if !exists || current.phase != watching {
			continue
		}
		r.watched = slices.DeleteFunc(r.watched, func(watched *call) bool { return watched == current })
		r.review(current, found[key], gone, now)
	}
}
