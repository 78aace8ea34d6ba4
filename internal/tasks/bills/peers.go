package bills

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/billing"
	"github.com/peridotreel/peridotreel/internal/decide/rendezvous"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// sendTimeout leaves time for several peers within the 250 ms that a
	// request waits for the copy of its bill, and for a second one within the
	// interval between two tokens.
	sendTimeout = 22 * time.Millisecond
	// acknowledgeTimeout bounds a message that nobody waits for.
	acknowledgeTimeout = time.Second
	// absentFor is how long a host process is missing from the view before it
	// counts as gone. A wrong guess is safe, as segments are conditional.
	absentFor = 30 * time.Second
)

// ReplicateArgs carries copies of bills to the peer that keeps them.
type ReplicateArgs struct {
	Wire  int
	Owner core.HostRef
	// Settled is the sequence number below which no copies are needed.
	Settled uint64
	Copies  []billing.Copy
}

// ReplicateReply says whether the copies are held.
type ReplicateReply struct {
	Wire int
	Held bool
}

// AcknowledgeArgs says below which sequence number no copies are needed.
type AcknowledgeArgs struct {
	Wire    int
	Owner   core.HostRef
	Settled uint64
}

// AcknowledgeReply ends an acknowledgement.
type AcknowledgeReply struct {
	Wire int
}

// serviceName is the name under which peers reach the receiver.
const serviceName = "Bills"

// Receiver handles the calls of peers.
type Receiver struct {
	task *Task
}

// Register makes the task reachable by peers.
func (t *Task) Register(registrar peerrpc.Registrar) error {
	return registrar.RegisterName(serviceName, &Receiver{t})
}

func checkWire(version int) error {
	if version > peerrpc.WireVersion {
		return fmt.Errorf("bills message has wire version %d, this host reads up to %d; update this host first",
			version, peerrpc.WireVersion)
	}
	return nil
}

// receive hands a peer's message to the task. The time limit is longer than
// any that the peer waits, so a blocked inbox holds no handler forever.
func (r *Receiver) receive(build func(chan<- bool) message) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), acknowledgeTimeout)
	defer cancel()
	return task.Ask(ctx, r.task.inbox, build)
}

// Replicate keeps copies of a peer's bills.
func (r *Receiver) Replicate(args ReplicateArgs, reply *ReplicateReply) error {
	if err := checkWire(args.Wire); err != nil {
		return err
	}
	held, err := r.receive(func(replies chan<- bool) message { return keepMessage{args, replies} })
	*reply = ReplicateReply{Wire: peerrpc.WireVersion, Held: held}
	return err
}

// Acknowledge drops copies of a peer's bills that are in the table.
func (r *Receiver) Acknowledge(args AcknowledgeArgs, reply *AcknowledgeReply) error {
	if err := checkWire(args.Wire); err != nil {
		return err
	}
	_, err := r.receive(func(replies chan<- bool) message { return settleMessage{args, replies} })
	*reply = AcknowledgeReply{Wire: peerrpc.WireVersion}
	return err
}

// send starts a worker that carries copies to a peer.
func (s *state) send(ctx context.Context, batch *billing.Batch) {
	args := ReplicateArgs{Wire: peerrpc.WireVersion, Owner: s.config.Self, Settled: batch.Settled, Copies: batch.Copies}
	go func() {
		limited, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		var reply ReplicateReply
		err := s.config.Caller.Call(limited, batch.Peer, serviceName+".Replicate", args, &reply)
		_ = s.inbox.Send(ctx, sentMessage{batch, err == nil && reply.Held})
	}()
}

type sentMessage struct {
	batch *billing.Batch
	held  bool
}

func (m sentMessage) handle(ctx context.Context, owned *state) {
	owned.book.FinishBatch(m.batch, m.held, owned.config.Now())
	if !m.held {
		owned.counters.unanswered.Add(ctx, 1)
		return
	}
	for _, sequence := range m.batch.Sequences() {
		owned.release(sequence)
	}
}

// acknowledge starts a worker that tells a peer what it may drop.
func (s *state) acknowledge(ctx context.Context, told billing.Acknowledgement) {
	args := AcknowledgeArgs{Wire: peerrpc.WireVersion, Owner: s.config.Self, Settled: told.Settled}
	go func() {
		limited, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
		defer cancel()
		var reply AcknowledgeReply
		err := s.config.Caller.Call(limited, told.Peer, serviceName+".Acknowledge", args, &reply)
		_ = s.inbox.Send(ctx, toldMessage{told, err == nil})
	}()
}

type toldMessage struct {
	told     billing.Acknowledgement
	answered bool
}

func (m toldMessage) handle(_ context.Context, owned *state) {
	delete(owned.telling, m.told.Peer.Ref)
	owned.book.FinishAcknowledgement(m.told, m.answered, owned.config.Now())
}

// fleetView is what the task needs to know about other hosts.
type fleetView struct {
	peers map[core.HostID]core.Peer
	// absentSince says since when, in nanoseconds, a process that the task
	// asked about is missing from the view.
	absentSince map[core.HostRef]int64
	now         time.Time
	// candidates are the peers that may keep copies, the best first.
	candidates []core.Peer
}

func (v *fleetView) update(config *Config, now time.Time) {
	v.now = now
	if config.Peers == nil {
		return
	}
	view := config.Peers.Peers()
	if config.Caller != nil {
		v.candidates = rankKeepers(config.Self, config.Zone, view.Peers)
	}
	v.peers = make(map[core.HostID]core.Peer)
	for _, peer := range view.Peers {
		if known, found := v.peers[peer.Ref.Host]; !found || known.Ref.Incarnation < peer.Ref.Incarnation {
			v.peers[peer.Ref.Host] = peer
		}
	}
}

// gone reports whether a host process has ended as far as this host knows.
func (v *fleetView) gone(ref core.HostRef) bool {
	peer, found := v.peers[ref.Host]
	if found {
		delete(v.absentSince, ref)
		return peer.Ref.Incarnation > ref.Incarnation || peer.Ref.Incarnation == ref.Incarnation && peer.State == core.PeerDead
	}
	since, noted := v.absentSince[ref]
	if !noted {
		v.absentSince[ref] = v.now.UnixNano()
		return false
	}
	return v.now.UnixNano()-since >= int64(absentFor)
}

// rankKeepers returns the peers that may keep copies, the best first: peers of
// other zones, then of this one, each in rendezvous order.
func rankKeepers(self core.HostRef, zone core.ZoneName, peers []core.Peer) []core.Peer {
	own := self.String()
	rank := func(peer core.Peer) (class int, weight uint64) {
		if peer.Zone == zone {
			class = 1
		}
		return class, rendezvous.Weight(own, string(peer.Ref.Host))
	}
	usable := slices.DeleteFunc(slices.Clone(peers), func(peer core.Peer) bool {
		return !peer.Usable() || peer.Ref.Host == self.Host
	})
	slices.SortFunc(usable, func(a, b core.Peer) int {
		aClass, aWeight := rank(a)
		bClass, bWeight := rank(b)
		return cmp.Or(cmp.Compare(aClass, bClass), cmp.Compare(bWeight, aWeight), cmp.Compare(a.Ref.Host, b.Ref.Host))
	})
	return usable
}
