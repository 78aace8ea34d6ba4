package claims

import (
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Due returns when the next batch is due, or false if no write is queued or a
// commit is in flight.
func (r *Register) Due() (time.Time, bool) {
	return r.queuedSince.Add(BatchDelay), len(r.queue) > 0 && r.inFlight == nil
}

// NextBatch returns the next batch to commit, or nil if none is due or a commit
// is in flight.
func (r *Register) NextBatch(now time.Time) *Batch {
	due, waiting := r.Due()
	if !waiting || now.Before(due) {
		return nil
	}
	batched := r.queue[:min(len(r.queue), maxBatchOps)]
	r.queue = slices.Clone(r.queue[len(batched):])
	r.lastSerial++
	r.inFlight = &Batch{Serial: r.lastSerial}
	for _, current := range batched {
		record := current.outcome
		if current.phase == queued {
			current.phase = committing
			record = Record{State: Claimed, Holder: r.self, Attempt: current.attempt, Fingerprint: current.fingerprint}
		}
		r.inFlight.Ops = append(r.inFlight.Ops, Op{Key: current.key, Version: current.version, Record: record})
	}
	return r.inFlight
}

// Committed handles the success of a commit.
func (r *Register) Committed(batch *Batch, now time.Time) {
	r.inFlight = nil
	for i := range batch.Ops {
		r.handleWritten(r.calls[batch.Ops[i].Key], batch.Ops[i].Version+1, now)
	}
}

// handleWritten handles a committed write. A claim without a waiter is released.
func (r *Register) handleWritten(current *call, version int64, now time.Time) {
	current.version = version
	if current.phase == recording {
		r.handleOutcomeWritten(current, now)
		return
	}
	if current.runner == 0 {
		current.runner = current.takeWaiting()
	}
	if current.runner == 0 {
		r.enqueueOutcome(current, Record{State: NotRun}, now)
		return
	}
	r.startRun(current)
}

// handleOutcomeWritten replies to the waiters after the outcome has reached the
// table. If the call did not run, the next waiter claims it again.
func (r *Register) handleOutcomeWritten(current *call, now time.Time) {
	r.replyOutcomeStored(current)
	switch {
	case current.outcome.State == NotRun && len(current.waiting) > 0:
		current.runner = current.takeWaiting()
		r.enqueueClaim(current, now)
	case current.outcome.State == Done:
		r.replyToAll(current, Reply{Kind: Recorded, Answer: current.outcome.Answer})
	default:
		r.replyToAll(current, Reply{Kind: OutcomeUnknown})
	}
}

// replyToAll sends the same reply to all waiters and removes the call.
func (r *Register) replyToAll(current *call, reply Reply) {
	waiters := current.waiting
	if current.runner != 0 {
		waiters = append([]WaiterID{current.runner}, waiters...)
	}
	for _, waiter := range waiters {
		reply.Waiter = waiter
		r.reply(reply)
	}
	delete(r.calls, current.key)
}

// Conflicted handles a commit that was rejected as a whole because conditions
// failed. rows holds the current rows of these conditions. The other writes
// are queued again and due at once.
func (r *Register) Conflicted(batch *Batch, rows map[Key]Row, knownDead HostPredicate, now time.Time) {
	r.inFlight = nil
	var requeued []*call
	for i := range batch.Ops {
		current := r.calls[batch.Ops[i].Key]
		row, failed := rows[current.key]
		switch {
		case !failed && current.phase == recording:
			requeued = append(requeued, current)
		case !failed:
			current.phase = queued
			if current.runner == 0 && len(current.waiting) == 0 {
				delete(r.calls, current.key)
				continue
			}
			requeued = append(requeued, current)
		case current.phase == recording:
			r.handleOutcomeConflict(current, row, knownDead, now)
		default:
			r.handleClaimRow(current, row, knownDead, now)
		}
	}
	r.queue = append(requeued, r.queue...)
	if len(requeued) > 0 {
		r.queuedSince = now.Add(-BatchDelay)
	}
}

// handleOutcomeConflict handles a conflict on the write of an outcome. Only
// this host writes a row that it has claimed. So either the row still holds the
// claim at another version, or an earlier try has written the outcome; after
// that another host may have claimed the row, or a sweep may have deleted it.
func (r *Register) handleOutcomeConflict(current *call, row Row, knownDead HostPredicate, now time.Time) {
	record := row.Record
	ours := row.Version != 0 && record.Holder == r.self && record.Attempt == current.attempt
	switch {
	case ours && record.State == Claimed && !record.Abandoned:
		current.version = row.Version
		r.enqueue(current, now)
	case !ours && current.outcome.State == NotRun && len(current.waiting) > 0:
		r.replyOutcomeStored(current)
		r.handleClaimRow(current, row, knownDead, now)
	default:
		current.version = row.Version
		r.handleOutcomeWritten(current, now)
	}
}

// handleClaimRow decides from the current row of a call what its waiters are
// told: to run it, to wait, or its outcome.
func (r *Register) handleClaimRow(current *call, row Row, knownDead HostPredicate, now time.Time) {
	if current.runner == 0 {
		current.runner = current.takeWaiting()
	}
	record := row.Record
	switch {
	case row.Version != 0 && record.Holder == r.self && record.Attempt == current.attempt && record.State == Claimed:
		r.handleWritten(current, row.Version, now)
	case current.runner == 0:
		delete(r.calls, current.key)
	case row.Version != 0 && record.State == "":
		r.replyToAll(current, Reply{Kind: OutcomeUnknown})
	case row.Version != 0 && record.Fingerprint != current.fingerprint:
		r.replyToAll(current, Reply{Kind: KeyReused})
	case row.Version == 0 || record.State == NotRun:
		current.version = row.Version
		r.enqueueClaim(current, now)
	case record.State == Done:
		r.replyToAll(current, Reply{Kind: Recorded, Answer: record.Answer, Object: record.Object})
	case record.Abandoned || record.Holder == r.self || knownDead(record.Holder):
		r.replyToAll(current, Reply{Kind: OutcomeUnknown})
	default:
		r.addRemote(current, record.Holder)
	}
}

// addRemote makes all waiters wait for the outcome of a call that another host
// holds.
func (r *Register) addRemote(current *call, holder core.HostRef) {
	current.phase, current.holder = remote, holder
	current.waiting = append([]WaiterID{current.runner}, current.waiting...)
	current.runner = 0
	r.remoteCalls = append(r.remoteCalls, current)
}

// NextPoll returns the keys to read, or nil if no read is due or one is in
// flight. The calls are read in rotation.
func (r *Register) NextPoll(now time.Time) []Key {
	if r.pollInFlight || len(r.remoteCalls) == 0 || now.Sub(r.lastPoll) < PollInterval {
		return nil
	}
	r.pollInFlight, r.lastPoll = true, now
	keys := make([]Key, min(len(r.remoteCalls), maxPollKeys))
	for i := range keys {
		keys[i] = r.remoteCalls[i].key
	}
	r.remoteCalls = append(slices.Clone(r.remoteCalls[len(keys):]), r.remoteCalls[:len(keys)]...)
	return keys
}

// PollFailed handles the failure of a read.
func (r *Register) PollFailed() {
	r.pollInFlight = false
}

// Polled handles the result of a read. A key that is missing in rows has no row.
func (r *Register) Polled(keys []Key, rows map[Key]Row, knownDead HostPredicate, now time.Time) {
	r.pollInFlight = false
	for _, key := range keys {
		current, exists := r.calls[key]
		if !exists || current.phase != remote {
			continue
		}
		r.remoteCalls = slices.DeleteFunc(r.remoteCalls, func(watched *call) bool { return watched == current })
		r.handleClaimRow(current, rows[key], knownDead, now)
	}
}
