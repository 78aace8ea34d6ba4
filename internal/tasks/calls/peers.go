package calls

import (
	"context"
	"fmt"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/calls"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/task"
)

// serviceName is the RPC service name of the receiver.
const serviceName = "Calls"

// UpdateArgs is the request of Update. It registers the locations of calls.
type UpdateArgs struct {
	Wire    int
	Updates []calls.Update
}

// UpdateReply is the reply of Update.
type UpdateReply struct {
	Wire int
}

// FindArgs is the request of Find. It asks for the location of a call.
type FindArgs struct {
	Wire    int
	Request core.RequestID
}

// FindReply is the reply of Find. Target is set if Found is true.
type FindReply struct {
	Wire   int
	Target core.Target
	Found  bool
}

// Receiver handles the RPCs of peers.
type Receiver struct {
	task *Task
}

// Register registers the receiver with the RPC server for peers.
func (t *Task) Register(registrar peerrpc.Registrar) error {
	return registrar.RegisterName(serviceName, &Receiver{t})
}

func checkWire(version int) error {
	if version > peerrpc.WireVersion {
		return fmt.Errorf("calls message has wire version %d, this host reads up to %d; update this host first",
			version, peerrpc.WireVersion)
	}
	return nil
}

// Update registers the locations of calls that a peer runs.
func (r *Receiver) Update(args UpdateArgs, reply *UpdateReply) error {
	if err := checkWire(args.Wire); err != nil {
		return err
	}
	reply.Wire = peerrpc.WireVersion
	r.task.post(updateMessage{args.Updates})
	return nil
}

// Find looks up the location of a call.
func (r *Receiver) Find(args FindArgs, reply *FindReply) error {
	if err := checkWire(args.Wire); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), findTimeout)
	defer cancel()
	found, err := task.Ask(ctx, r.task.inbox, func(replies chan<- lookupResult) message { return findMessage{args.Request, replies} })
	*reply = FindReply{Wire: peerrpc.WireVersion, Target: found.target, Found: found.found}
	return err
}

type updateMessage struct{ updates []calls.Update }

func (m updateMessage) handle(_ context.Context, owned *state) {
	now := owned.config.Now()
	for _, update := range m.updates {
		owned.registry.Apply(update, now)
	}
}

// replicas returns the hosts that store the location of a call, which may
// include this host.
func (s *state) replicas(id core.RequestID) []core.Peer {
	hosts := []core.Peer{{Ref: s.config.Self, Zone: s.config.Zone}}
	if s.config.Peers != nil {
		for _, peer := range s.config.Peers.Peers().Peers {
			if peer.Usable() && peer.Ref.Host != s.config.Self.Host {
				hosts = append(hosts, peer)
			}
		}
	}
	return calls.Replicas(id, hosts)
}

func (s *state) remoteReplicas(id core.RequestID) []core.Peer {
	var remote []core.Peer
	for _, replica := range s.replicas(id) {
		if replica.Ref != s.config.Self && s.config.Caller != nil {
			remote = append(remote, replica)
		}
	}
	return remote
}

// queueUpdate queues an update for the replicas of its call.
func (s *state) queueUpdate(update calls.Update) {
	for _, replica := range s.replicas(update.Request) {
		if replica.Ref == s.config.Self {
			s.registry.Apply(update, s.config.Now())
			continue
		}
		if s.config.Caller == nil {
			continue
		}
		queue, found := s.queues[replica.Ref]
		if !found {
			queue = &peerQueue{}
			s.queues[replica.Ref] = queue
		}
		queue.peer = replica
		if len(queue.updates) < maxQueuedUpdates {
			queue.updates = append(queue.updates, update)
		} else {
			s.dropped.Add(context.Background(), 1)
		}
	}
}

// flush sends the locations of calls that still run to their replicas, and
// removes calls whose end was not reported.
func (s *state) flush(ctx context.Context) {
	for _, id := range s.unsent {
		if local, found := s.localCalls[id]; found {
			local.sent = true
			s.localCalls[id] = local
			s.queueUpdate(calls.Update{Request: id, Target: local.target, At: local.dispatchedAt})
		}
	}
	s.unsent = nil
	for ref, queue := range s.queues {
		switch {
		case queue.inFlight:
		case len(queue.updates) == 0:
			delete(s.queues, ref)
		default:
			s.sendUpdates(ctx, queue)
		}
	}
	if now := s.config.Now(); now.Sub(s.lastCleanup) >= calls.FinishedTTL {
		s.lastCleanup = now
		for id, local := range s.localCalls {
			if now.Sub(local.startedAt) >= calls.LocationTTL {
				delete(s.localCalls, id)
			}
		}
	}
}

// sendUpdates starts a worker that sends the queued updates to a peer. A failed
// send is not retried, because locations are hints.
func (s *state) sendUpdates(ctx context.Context, queue *peerQueue) {
	peer, updates := queue.peer, queue.updates
	queue.inFlight, queue.updates = true, nil
	go func() {
		timeoutCtx, cancel := context.WithTimeout(ctx, updateTimeout)
		defer cancel()
		var reply UpdateReply
		err := s.config.Caller.Call(timeoutCtx, peer, serviceName+".Update", UpdateArgs{peerrpc.WireVersion, updates}, &reply)
		if err != nil {
			s.dropped.Add(timeoutCtx, int64(len(updates)))
		}
		_ = s.inbox.Send(ctx, sentMessage{peer.Ref})
	}()
}

type sentMessage struct{ peer core.HostRef }

func (m sentMessage) handle(_ context.Context, owned *state) {
	if queue, found := owned.queues[m.peer]; found {
		queue.inFlight = false
	}
}
