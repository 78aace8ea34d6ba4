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
	// acknowledgeTimeout is the timeout of an Acknowledge call, which no
	// request waits for.
	acknowledgeTimeout = time.Second
	// absentTimeout is how long a host process is missing from the view before
	// it counts as gone. Writing the bills of a process that is still running
	// is safe, because segments are committed conditionally.
	absentTimeout = 30 * time.Second
)

// ReplicateArgs carries copies of bills to the peer that is to hold them.
type ReplicateArgs struct {
	Wire  int
	Owner core.HostRef
	// Settled is the sequence number below which all bills are in the table
	// and need no copies.
	Settled uint64
	Copies  []billing.Copy
}

// ReplicateReply says whether the peer holds the copies.
type ReplicateReply struct {
	Wire int
	Held bool
}

// AcknowledgeArgs says below which sequence number all bills are in the table
// and need no copies.
type AcknowledgeArgs struct {
	Wire    int
	Owner   core.HostRef
	Settled uint64
}

// AcknowledgeReply confirms an acknowledgement.
type AcknowledgeReply struct {
	Wire int
}

// serviceName is the RPC service name of the receiver.
const serviceName = "Bills"

// Receiver handles the calls of peers.
type Receiver struct {
	task *Task
}

// Register makes the task reachable by peers.
func (t *Task) Register(registrar peerrpc.Registrar) error {
	return registrar.RegisterName(serviceName, &Receiver{t})
}

func checkWireVersion(version int) error {
	if version > peerrpc.WireVersion {
		return fmt.Errorf("bills message has wire version %d, this host reads up to %d; update this host first",
			version, peerrpc.WireVersion)
	}
	return nil
}

// receive passes a peer's message to the task and waits for the answer. The
// timeout, which is no shorter than the peer's, keeps handlers from piling up
// when the inbox is blocked.
func (r *Receiver) receive(build func(chan<- bool) message) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), acknowledgeTimeout)
	defer cancel()
	return task.Ask(ctx, r.task.inbox, build)
}

// Replicate stores copies of a peer's bills.
func (r *Receiver) Replicate(args ReplicateArgs, reply *ReplicateReply) error {
	if err := checkWireVersion(args.Wire); err != nil {
		return err
	}
	held, err := r.receive(func(replies chan<- bool) message { return holdCopiesMessage{args, replies} })
	*reply = ReplicateReply{Wire: peerrpc.WireVersion, Held: held}
	return err
}

// Acknowledge drops copies of a peer's bills that are in the table.
func (r *Receiver) Acknowledge(args AcknowledgeArgs, reply *AcknowledgeReply) error {
	if err := checkWireVersion(args.Wire); err != nil {
		return err
	}
	_, err := r.receive(func(replies chan<- bool) message { return dropSettledMessage{args, replies} })
	*reply = AcknowledgeReply{Wire: peerrpc.WireVersion}
	return err
}

// sendCopies starts a worker that sends a batch of copies to its peer.
func (s *state) sendCopies(ctx context.Context, batch *billing.Batch) {
	args := ReplicateArgs{Wire: peerrpc.WireVersion, Owner: s.config.Self, Settled: batch.Settled, Copies: batch.Copies}
	go func() {
		limited, cancel := context.WithTimeout(ctx, batch.Timeout)
		defer cancel()
		var reply ReplicateReply
		err := s.config.Caller.Call(limited, batch.Peer, serviceName+".Replicate", args, &reply)
		_ = s.inbox.Send(ctx, replicatedMessage{batch, copyOutcome(&reply, err)})
	}()
}

func copyOutcome(reply *ReplicateReply, err error) billing.CopyOutcome {
	switch {
	case err != nil:
		return billing.CopyUnanswered
	case reply.Held:
		return billing.CopyHeld
	default:
		return billing.CopyRefused
	}
}

type replicatedMessage struct {
	batch   *billing.Batch
	outcome billing.CopyOutcome
}

func (m replicatedMessage) handle(ctx context.Context, owned *state) {
	owned.pending.FinishBatch(m.batch, m.outcome, owned.config.Now())
	if m.outcome != billing.CopyHeld {
		owned.counters.unanswered.Add(ctx, 1)
		return
	}
	for _, sequence := range m.batch.Sequences() {
		owned.waits.endDurable(sequence)
	}
}

// sendAcknowledgement starts a worker that tells a peer which copies it may
// drop.
func (s *state) sendAcknowledgement(ctx context.Context, ack billing.Acknowledgement) {
	args := AcknowledgeArgs{Wire: peerrpc.WireVersion, Owner: s.config.Self, Settled: ack.Settled}
	go func() {
		limited, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
		defer cancel()
		var reply AcknowledgeReply
		err := s.config.Caller.Call(limited, ack.Peer, serviceName+".Acknowledge", args, &reply)
		_ = s.inbox.Send(ctx, acknowledgedMessage{ack, err == nil})
	}()
}

type acknowledgedMessage struct {
	ack      billing.Acknowledgement
	answered bool
}

func (m acknowledgedMessage) handle(_ context.Context, owned *state) {
	delete(owned.acknowledging, m.ack.Peer.Ref)
	owned.pending.FinishAcknowledgement(m.ack, m.answered, owned.config.Now())
}

// fleetView is the task's view of the other hosts.
type fleetView struct {
	peers map[core.HostID]core.Peer
	// absentSince is the time, in Unix nanoseconds, at which a process that the
	// task asked about was first missing from the view.
	absentSince map[core.HostRef]int64
	now         time.Time
	// candidates are the peers that may hold copies, the best first.
	candidates []core.Peer
}

func (v *fleetView) update(config *Config, now time.Time) {
	v.now = now
	if config.Peers == nil {
		return
	}
	view := config.Peers.Peers()
	if config.Caller != nil {
		v.candidates = rankCopyHolders(config.Self, config.Zone, view.Peers)
	}
	v.peers = make(map[core.HostID]core.Peer)
	for _, peer := range view.Peers {
		if other, found := v.peers[peer.Ref.Host]; !found || other.Ref.Incarnation < peer.Ref.Incarnation {
			v.peers[peer.Ref.Host] = peer
		}
	}
}

// gone reports whether a host process has ended, as far as this host knows.
func (v *fleetView) gone(ref core.HostRef) bool {
	peer, found := v.peers[ref.Host]
	if found {
		delete(v.absentSince, ref)
		return peer.Ref.Incarnation > ref.Incarnation || peer.Ref.Incarnation == ref.Incarnation && peer.State == core.PeerDead
	}
	since, known := v.absentSince[ref]
	if !known {
		v.absentSince[ref] = v.now.UnixNano()
		return false
	}
	return v.now.UnixNano()-since >= int64(absentTimeout)
}

// rankCopyHolders returns the peers that may hold copies, the best first: peers
// in other zones, then those in this zone, each in rendezvous order.
func rankCopyHolders(self core.HostRef, zone core.ZoneName, peers []core.Peer) []core.Peer {
	own := self.String()
	rank := func(peer core.Peer) (zoneRank int, weight uint64) {
		if peer.Zone == zone {
			zoneRank = 1
		}
		return zoneRank, rendezvous.Weight(own, string(peer.Ref.Host))
	}
	usable := slices.DeleteFunc(slices.Clone(peers), func(peer core.Peer) bool {
		return !peer.Usable() || peer.Ref.Host == self.Host
	})
	slices.SortFunc(usable, func(a, b core.Peer) int {
		aZone, aWeight := rank(a)
		bZone, bWeight := rank(b)
		return cmp.Or(cmp.Compare(aZone, bZone), cmp.Compare(bWeight, aWeight), cmp.Compare(a.Ref.Host, b.Ref.Host))
	})
	return usable
}
