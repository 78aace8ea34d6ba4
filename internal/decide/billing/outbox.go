package billing

import (
	"maps"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// maxBatch bounds the copies in one message to about 100 KB.
	maxBatch = 500
	// firstAvoidance is how long a peer that gave no answer is passed over;
	// the time doubles with each further one up to maxAvoidance. A host so
	// settles on peers that are near enough to answer in time.
	firstAvoidance = time.Second
	maxAvoidance   = 5 * time.Minute
	// tellFor is how long a peer that seems to be gone is still told what is
	// settled: if it is not gone, it would keep its copies without need.
	tellFor = 10 * time.Minute
)

// keeper is a peer that holds, or may hold, copies of this host's bills.
type keeper struct {
	peer core.Peer
	// sent is the highest sequence number sent, settled the one below which
	// the peer has dropped its copies.
	sent, settled uint64
	// tellAt is when the peer may be told again what is settled.
	tellAt time.Time
	// goneSince is when the peer was found to be gone, or zero.
	goneSince time.Time
}

// outbox decides which copies go to which peer.
type outbox struct {
	// queue holds bills without a copy at a peer, in the order of recording.
	queue   []*entry
	keepers map[core.HostRef]*keeper
	sending bool
	// sent holds the bills of the batch in flight.
	sent []*entry
	// avoided holds the peers that gave no answer lately.
	avoided map[core.HostRef]avoidance
}

// avoidance says how long a peer is passed over.
type avoidance struct {
	until time.Time
	times int
}

func newOutbox() outbox {
	return outbox{keepers: make(map[core.HostRef]*keeper), avoided: make(map[core.HostRef]avoidance)}
}

// avoid passes a peer over after it gave no answer.
func (o *outbox) avoid(ref core.HostRef, now time.Time) {
	known := o.avoided[ref]
	delay := min(firstAvoidance<<min(known.times, 10), maxAvoidance)
	o.avoided[ref] = avoidance{until: now.Add(delay), times: known.times + 1}
}

func (o *outbox) avoids(ref core.HostRef, now time.Time) bool {
	return now.Before(o.avoided[ref].until)
}

// Batch is a message with copies for one peer.
type Batch struct {
	Peer    core.Peer
	Settled uint64
	Copies  []Copy
	entries []*entry
}

// Sequences returns the sequence numbers of the copies.
func (m *Batch) Sequences() []uint64 {
	sequences := make([]uint64, len(m.Copies))
	for i := range m.Copies {
		sequences[i] = m.Copies[i].Sequence
	}
	return sequences
}

// Settled returns the sequence number below which no bill is pending.
func (b *Book) Settled() uint64 {
	if len(b.own.entries) == 0 {
		return b.sequence + 1
	}
	// Bills are appended in the order of their numbers and only removed.
	return b.own.entries[0].Sequence
}

// NextBatch returns copies for the first candidate that is not avoided, or
// nil if there is nothing to send or a batch is in flight. reachable is false
// if there is no such candidate.
func (b *Book) NextBatch(candidates []core.Peer, now time.Time) (batch *Batch, reachable bool) {
	if b.outbox.sending {
		return nil, true
	}
	b.outbox.trim(b.own)
	for _, peer := range candidates {
		if b.outbox.avoids(peer.Ref, now) {
			continue
		}
		if len(b.outbox.queue) == 0 {
			return nil, true
		}
		return b.fill(b.outbox.keeper(peer)), true
	}
	return nil, false
}

func (b *Book) fill(state *keeper) *Batch {
	batch := &Batch{Peer: state.peer, Settled: b.Settled()}
	batch.entries = b.outbox.queue[:min(len(b.outbox.queue), maxBatch)]
	b.outbox.queue = b.outbox.queue[len(batch.entries):]
	for _, pending := range batch.entries {
		batch.Copies = append(batch.Copies, pending.Copy)
		state.sent = max(state.sent, pending.Sequence)
	}
	b.outbox.sending, b.outbox.sent = true, batch.entries
	return batch
}

// Sent ends a batch. Without an answer the copies go to another peer; the
// silent one may hold them as well and is told when they are settled.
func (b *Book) Sent(batch *Batch, held bool, now time.Time) {
	b.outbox.sending, b.outbox.sent = false, nil
	state := b.outbox.keeper(batch.Peer)
	if held {
		delete(b.outbox.avoided, batch.Peer.Ref)
		for _, pending := range batch.entries {
			pending.keeper = batch.Peer.Ref
		}
		state.settled = max(state.settled, batch.Settled)
		// If the peer is still found to be gone, these bills are queued again.
		state.goneSince = time.Time{}
		return
	}
	b.outbox.avoid(batch.Peer.Ref, now)
	b.outbox.queue = slices.Concat(batch.entries, b.outbox.queue)
}

// Lost queues the bills whose only known copy was at a peer that is gone.
func (b *Book) Lost(gone func(core.HostRef) bool, now time.Time) {
	for _, ref := range b.outbox.refs() {
		state := b.outbox.keepers[ref]
		switch {
		case !gone(ref):
			state.goneSince = time.Time{}
		case state.goneSince.IsZero():
			state.goneSince = now
			b.requeue(ref)
		case now.Sub(state.goneSince) >= tellFor:
			delete(b.outbox.keepers, ref)
		}
	}
	for ref, known := range b.outbox.avoided {
		if now.Sub(known.until) >= tellFor {
			delete(b.outbox.avoided, ref)
		}
	}
}

// requeue puts the bills back to the front, as they are older than the others.
func (b *Book) requeue(lost core.HostRef) {
	var returned []*entry
	for _, pending := range b.own.entries {
		if pending.keeper == lost {
			pending.keeper = core.HostRef{}
			returned = append(returned, pending)
		}
	}
	b.outbox.queue = slices.Concat(returned, b.outbox.queue)
}

// Acknowledgement tells a peer which copies it may drop.
type Acknowledgement struct {
	Peer    core.Peer
	Settled uint64
}

// Acknowledgements returns what peers with outdated copies must be told.
func (b *Book) Acknowledgements(now time.Time) []Acknowledgement {
	var due []Acknowledgement
	settled := b.Settled()
	for _, ref := range b.outbox.refs() {
		state := b.outbox.keepers[ref]
		switch {
		case b.outbox.sending || now.Before(state.tellAt):
		case state.settled > state.sent:
			delete(b.outbox.keepers, ref)
		case settled > state.settled:
			due = append(due, Acknowledgement{Peer: state.peer, Settled: settled})
		}
	}
	return due
}

// Acknowledged ends an acknowledgement.
func (b *Book) Acknowledged(told Acknowledgement, answered bool, now time.Time) {
	state, found := b.outbox.keepers[told.Peer.Ref]
	switch {
	case !found:
	case answered:
		state.settled = max(state.settled, told.Settled)
	default:
		state.tellAt = now.Add(firstAvoidance)
	}
}

func (o *outbox) keeper(peer core.Peer) *keeper {
	state, found := o.keepers[peer.Ref]
	if !found {
		state = &keeper{}
		o.keepers[peer.Ref] = state
	}
	state.peer = peer
	return state
}

// refs returns the keepers in a fixed order, which makes runs repeatable.
func (o *outbox) refs() []core.HostRef {
	return slices.SortedFunc(maps.Keys(o.keepers), compare)
}

// trim drops queued bills that are no longer pending.
func (o *outbox) trim(own *journal) {
	for len(o.queue) > 0 && !own.ids[o.queue[0].Bill.Request] {
		o.queue = o.queue[1:]
	}
}

// uncopied returns the oldest pending bill that no peer is known to hold, or
// nil. The batch in flight is older than the queue, unless a peer was lost
// since; then the two are compared.
func (o *outbox) uncopied(own *journal) *entry {
	o.trim(own)
	var oldest *entry
	if len(o.queue) > 0 {
		oldest = o.queue[0]
	}
	for _, pending := range o.sent {
		if own.ids[pending.Bill.Request] {
			if oldest == nil || pending.added.Before(oldest.added) {
				oldest = pending
			}
			break
		}
	}
	return oldest
}
