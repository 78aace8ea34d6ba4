package billing

import (
	"maps"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// MaxCopyWait limits how long the last event of an answer waits for a copy of
	// its bill. It exceeds SealUncopiedAfter by the time in which a segment is
	// written, so that an answer goes out without a durable bill only if neither a
	// peer nor the platform has taken the bill.
	MaxCopyWait = time.Second
	// minAskTimeout limits the wait for a peer's answer to a batch, so that a second
	// peer is asked within the interval between two tokens. If all peers exceed it,
	// they are asked again with longer timeouts, up to maxAskTimeout, which is also
	// the timeout of batches that no answer waits for.
	minAskTimeout = 22 * time.Millisecond
	maxAskTimeout = 250 * time.Millisecond
	// reaskDelay is the minimum delay before a peer that failed is asked again, so
	// that calls which fail at once are not repeated in a busy loop.
	reaskDelay = 20 * time.Millisecond
	// maxBatchCopies limits a message with copies to about 100 KB.
	maxBatchCopies = 500
	// firstPeerBackoff is how long a host sends no copies to a peer that did
	// not take the last ones. It doubles with each further failure, up to
	// maxPeerBackoff, so that a host ends up with peers that are near enough to
	// answer in time. It is also the delay before an acknowledgement is retried.
	firstPeerBackoff = time.Second
	maxPeerBackoff   = 5 * time.Minute
	// goneRetention is how long acknowledgements are still sent to a peer that
	// seems to be gone. If it is in fact running, it would otherwise hold its
	// copies without need. Unused backoffs are kept for as long.
	goneRetention = 10 * time.Minute
)

// copyHolder is the state of a peer that holds or may hold copies of this
// host's bills.
type copyHolder struct {
	peer core.Peer
	// lastSent is the highest sequence number sent. settled is the sequence
	// number below which the peer has dropped its copies.
	lastSent, settled uint64
	// retryAt is when the next acknowledgement may be sent.
	retryAt time.Time
	// goneSince is when the peer was first seen to be gone, or zero.
	goneSince time.Time
}

// replicator decides which copies are sent to which peer.
type replicator struct {
	// queue holds bills without a copy at a peer, in the order of recording.
	queue   []*pendingBill
	holders map[core.HostRef]*copyHolder
	// sending is true while a batch is in flight; inFlight holds its bills.
	sending  bool
	inFlight []*pendingBill
	// backoffs holds the peers that recently failed to take copies.
	backoffs map[core.HostRef]peerBackoff
}

// peerBackoff is the exponential backoff of a peer.
type peerBackoff struct {
	until    time.Time
	failures int
	// failedAt is when the peer last failed to take copies, and refused is true if
	// it answered that it takes none.
	failedAt time.Time
	refused  bool
}

// CopyOutcome is the outcome of sending a batch to a peer.
type CopyOutcome uint8

// The outcomes of a batch.
const (
	// CopyUnanswered means that the peer gave no answer in time. It may hold the
	// copies, and may answer if it is asked again.
	CopyUnanswered CopyOutcome = iota
	// CopyHeld means that the peer holds the copies.
	CopyHeld
	// CopyRefused means that the peer takes no copies, because it has no room or is
	// stopping.
	CopyRefused
)

func newReplicator() replicator {
	return replicator{holders: make(map[core.HostRef]*copyHolder), backoffs: make(map[core.HostRef]peerBackoff)}
}

// backOff extends the backoff of a peer after a failure. A failure during a backoff
// does not lengthen later backoffs: it says that all peers are slow, not that this
// one is worse than others.
func (r *replicator) backOff(ref core.HostRef, refused bool, now time.Time) {
	next := r.backoffs[ref]
	if r.backingOff(ref, now) {
		next.until = maxTime(next.until, now.Add(firstPeerBackoff))
	} else {
		next.until = now.Add(min(firstPeerBackoff<<min(next.failures, 10), maxPeerBackoff))
		next.failures++
	}
	next.failedAt, next.refused = now, refused
	r.backoffs[ref] = next
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (r *replicator) backingOff(ref core.HostRef, now time.Time) bool {
	return now.Before(r.backoffs[ref].until)
}

// firstWithoutBackoff returns the best candidate without a backoff.
func (r *replicator) firstWithoutBackoff(candidates []core.Peer, now time.Time) (core.Peer, bool) {
	for _, peer := range candidates {
		if !r.backingOff(peer.Ref, now) {
			return peer, true
		}
	}
	return core.Peer{}, false
}

// leastRecentlyFailed returns the candidate that gave no answer and whose last
// failure is the longest ago. All candidates have a backoff; it returns false if all
// of them refused.
func (r *replicator) leastRecentlyFailed(candidates []core.Peer) (found core.Peer, ok bool) {
	for _, peer := range candidates {
		backoff := r.backoffs[peer.Ref]
		if backoff.refused {
			continue
		}
		if !ok || backoff.failedAt.Before(r.backoffs[found.Ref].failedAt) {
			found, ok = peer, true
		}
	}
	return found, ok
}

// longestCopyWait returns how long the oldest queued bill whose answer still waits
// for a copy has waited, or false if no answer waits. Bills are queued in the order
// of recording, but for those whose copy was lost, which no answer waits for.
func (r *replicator) longestCopyWait(own *journal, now time.Time) (longest time.Duration, waiting bool) {
	for _, queued := range slices.Backward(r.queue) {
		waited := now.Sub(queued.addedAt)
		if waited >= MaxCopyWait {
			break
		}
		if own.requests[queued.Bill.Request] {
			longest, waiting = waited, true
		}
	}
	return longest, waiting
}

// Batch is a set of copies that is sent to one peer in one message.
type Batch struct {
	Peer    core.Peer
	Settled uint64
	Copies  []Copy
	// Timeout is how long to wait for the peer's answer.
	Timeout time.Duration
	bills   []*pendingBill
}

// Sequences returns the sequence numbers of the copies.
func (b *Batch) Sequences() []uint64 {
	sequences := make([]uint64, len(b.Copies))
	for i := range b.Copies {
		sequences[i] = b.Copies[i].Sequence
	}
	return sequences
}

// Settled returns the sequence number below which no bill of this host is
// pending.
func (b *PendingBills) Settled() uint64 {
	if len(b.own.pending) == 0 {
		return b.lastSequence + 1
	}
	// Bills are appended in order of their sequence numbers, so the first
	// pending one has the lowest.
	return b.own.pending[0].Sequence
}

// NextBatch returns copies for the first candidate without a backoff, or nil if
// there is nothing to send or a batch is in flight. If all candidates have a backoff
// and an answer waits for a copy, it returns copies for a candidate that gave no
// answer before, with a longer timeout: a slow peer is not a lost one. reachable is
// false if there is no candidate, or if all candidates refused copies.
func (b *PendingBills) NextBatch(candidates []core.Peer, now time.Time) (batch *Batch, reachable bool) {
	if b.replicator.sending {
		return nil, true
	}
	b.replicator.dropWritten(b.own)
	waited, waiting := b.replicator.longestCopyWait(b.own, now)
	if peer, found := b.replicator.firstWithoutBackoff(candidates, now); found {
		if len(b.replicator.queue) == 0 {
			return nil, true
		}
		timeout := maxAskTimeout
		if waiting {
			timeout = minAskTimeout
		}
		return b.fillBatch(b.replicator.holder(peer), timeout), true
	}
	peer, found := b.replicator.leastRecentlyFailed(candidates)
	if !found {
		return nil, false
	}
	if !waiting || now.Sub(b.replicator.backoffs[peer.Ref].failedAt) < reaskDelay {
		return nil, true
	}
	// The time waited so far doubles with each ask that is not answered.
	timeout := min(max(waited, minAskTimeout), maxAskTimeout)
	return b.fillBatch(b.replicator.holder(peer), timeout), true
}

// Uncopied returns the number of pending bills of this host that no peer is known to
// hold. It may include bills that have reached the table in the meantime.
func (b *PendingBills) Uncopied() int {
	b.replicator.dropWritten(b.own)
	return len(b.replicator.queue) + len(b.replicator.inFlight)
}

func (b *PendingBills) fillBatch(holder *copyHolder, timeout time.Duration) *Batch {
	batch := &Batch{Peer: holder.peer, Settled: b.Settled(), Timeout: timeout}
	batch.bills = b.replicator.queue[:min(len(b.replicator.queue), maxBatchCopies)]
	b.replicator.queue = b.replicator.queue[len(batch.bills):]
	for _, pending := range batch.bills {
		batch.Copies = append(batch.Copies, pending.Copy)
		holder.lastSent = max(holder.lastSent, pending.Sequence)
	}
	b.replicator.sending, b.replicator.inFlight = true, batch.bills
	return batch
}

// FinishBatch ends a batch. If the peer did not confirm it, the copies are
// queued again for another peer. The unconfirmed peer may hold them as well, so
// it gets an acknowledgement once they are settled.
func (b *PendingBills) FinishBatch(batch *Batch, outcome CopyOutcome, now time.Time) {
	b.replicator.sending, b.replicator.inFlight = false, nil
	holder := b.replicator.holder(batch.Peer)
	if outcome == CopyHeld {
		delete(b.replicator.backoffs, batch.Peer.Ref)
		for _, pending := range batch.bills {
			pending.copyHolder = batch.Peer.Ref
		}
		holder.settled = max(holder.settled, batch.Settled)
		// If the peer is still seen to be gone, RequeueLost queues these bills
		// again.
		holder.goneSince = time.Time{}
		return
	}
	b.replicator.backOff(batch.Peer.Ref, outcome == CopyRefused, now)
	b.replicator.queue = slices.Concat(batch.bills, b.replicator.queue)
}

// RequeueLost queues the bills whose only known copy is at a peer that is gone,
// and removes the state of peers that have been gone for goneRetention.
func (b *PendingBills) RequeueLost(gone func(core.HostRef) bool, now time.Time) {
	for _, ref := range b.replicator.holderRefs() {
		holder := b.replicator.holders[ref]
		switch {
		case !gone(ref):
			holder.goneSince = time.Time{}
		case holder.goneSince.IsZero():
			holder.goneSince = now
			b.requeue(ref)
		case now.Sub(holder.goneSince) >= goneRetention:
			delete(b.replicator.holders, ref)
		}
	}
	for ref, backoff := range b.replicator.backoffs {
		if now.Sub(backoff.until) >= goneRetention {
			delete(b.replicator.backoffs, ref)
		}
	}
}

// requeue puts the bills copied to a lost peer at the front of the queue, as
// they are older than the others.
func (b *PendingBills) requeue(lost core.HostRef) {
	var returned []*pendingBill
	for _, pending := range b.own.pending {
		if pending.copyHolder == lost {
			pending.copyHolder = core.HostRef{}
			returned = append(returned, pending)
		}
	}
	b.replicator.queue = slices.Concat(returned, b.replicator.queue)
}

// Acknowledgement tells a peer that it may drop copies with sequence numbers
// below Settled.
type Acknowledgement struct {
	Peer    core.Peer
	Settled uint64
}

// Acknowledgements returns the acknowledgements for peers that hold copies of
// settled bills. It also removes the state of peers that hold none any more.
func (b *PendingBills) Acknowledgements(now time.Time) []Acknowledgement {
	var due []Acknowledgement
	settled := b.Settled()
	for _, ref := range b.replicator.holderRefs() {
		holder := b.replicator.holders[ref]
		switch {
		case b.replicator.sending || now.Before(holder.retryAt):
		case holder.settled > holder.lastSent:
			delete(b.replicator.holders, ref)
		case settled > holder.settled:
			due = append(due, Acknowledgement{Peer: holder.peer, Settled: settled})
		}
	}
	return due
}

// FinishAcknowledgement ends an acknowledgement.
func (b *PendingBills) FinishAcknowledgement(ack Acknowledgement, answered bool, now time.Time) {
	holder, found := b.replicator.holders[ack.Peer.Ref]
	switch {
	case !found:
	case answered:
		holder.settled = max(holder.settled, ack.Settled)
	default:
		holder.retryAt = now.Add(firstPeerBackoff)
	}
}

func (r *replicator) holder(peer core.Peer) *copyHolder {
	holder, found := r.holders[peer.Ref]
	if !found {
		holder = &copyHolder{}
		r.holders[peer.Ref] = holder
	}
	holder.peer = peer
	return holder
}

// holderRefs returns the copy holders in a fixed order, so that simulations are
// repeatable.
func (r *replicator) holderRefs() []core.HostRef {
	return slices.SortedFunc(maps.Keys(r.holders), compareHostRefs)
}

// dropWritten drops bills that are no longer pending from the front of the
// queue.
func (r *replicator) dropWritten(own *journal) {
	for len(r.queue) > 0 && !own.requests[r.queue[0].Bill.Request] {
		r.queue = r.queue[1:]
	}
}

// oldestUncopied returns the oldest pending bill that no peer is known to hold,
// or nil. The batch in flight is usually older than the queue, but bills that
// were queued again after the loss of a peer can be older still.
func (r *replicator) oldestUncopied(own *journal) *pendingBill {
	r.dropWritten(own)
	var oldest *pendingBill
	if len(r.queue) > 0 {
		oldest = r.queue[0]
	}
	for _, pending := range r.inFlight {
		if own.requests[pending.Bill.Request] {
			if oldest == nil || pending.addedAt.Before(oldest.addedAt) {
				oldest = pending
			}
			break
		}
	}
	return oldest
}
