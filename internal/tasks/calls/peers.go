package calls

import (
	"context"
	"fmt"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/calls"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/task"
)

// serviceName is the name under which peers reach the receiver.
const serviceName = "Calls"

// UpdateArgs registers where requests run.
type UpdateArgs struct {
	Wire    int
	Updates []calls.Update
}

// UpdateReply ends an update.
type UpdateReply struct {
	Wire int
}

// FindArgs asks where a request runs.
type FindArgs struct {
	Wire    int
	Request core.RequestID
}

// FindReply says where a request runs.
type FindReply struct {
	Wire   int
	Target core.Target
	Found  bool
}

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
		return fmt.Errorf("calls message has wire version %d, this host reads up to %d; update this host first",
			version, peerrpc.WireVersion)
	}
	return nil
}

// Update registers requests of a peer.
func (r *Receiver) Update(args UpdateArgs, reply *UpdateReply) error {
	if err := checkWire(args.Wire); err != nil {
		return err
	}
	reply.Wire = peerrpc.WireVersion
	r.task.post(updateMessage{args.Updates})
	return nil
}

// Find looks a request up.
func (r *Receiver) Find(args FindArgs, reply *FindReply) error {
	if err := checkWire(args.Wire); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), findTimeout)
	defer cancel()
	found, err := task.Ask(ctx, r.task.inbox, func(replies chan<- lookup) message { return findMessage{args.Request, replies} })
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

// keepers returns the hosts that keep a request's location, this one included.
func (s *state) keepers(id core.RequestID) []core.Peer {
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

func (s *state) remoteKeepers(id core.RequestID) []core.Peer {
	var remote []core.Peer
	for _, keeper := range s.keepers(id) {
		if keeper.Ref != s.config.Self && s.config.Caller != nil {
			remote = append(remote, keeper)
		}
	}
	return remote
}

// tell queues an update for the keepers of its request.
func (s *state) tell(update calls.Update) {
	for _, keeper := range s.keepers(update.Request) {
		if keeper.Ref == s.config.Self {
			s.registry.Apply(update, s.config.Now())
			continue
		}
		if s.config.Caller == nil {
			continue
		}
		queue, found := s.queues[keeper.Ref]
		if !found {
			queue = &peerQueue{}
			s.queues[keeper.Ref] = queue
		}
		queue.peer = keeper
		if len(queue.updates) < maxQueued {
			queue.updates = append(queue.updates, update)
		} else {
			s.dropped.Add(context.Background(), 1)
		}
	}
}

// flush tells keepers about requests that still run, and forgets requests
// whose end was never noted.
func (s *state) flush(ctx context.Context) {
	for _, id := range s.located {
		if request, found := s.running[id]; found {
			request.sent = true
			s.running[id] = request
			s.tell(calls.Update{Request: id, Target: request.target, At: request.at})
		}
	}
	s.located = nil
	for ref, queue := range s.queues {
		switch {
		case queue.sending:
		case len(queue.updates) == 0:
			delete(s.queues, ref)
		default:
			s.send(ctx, queue)
		}
	}
	if now := s.config.Now(); now.Sub(s.swept) >= calls.FinishedTTL {
		s.swept = now
		for id, request := range s.running {
			if now.Sub(request.begun) >= calls.LocationTTL {
				delete(s.running, id)
			}
		}
	}
}

// send starts a worker that carries the queued updates to a peer. Updates
// that a peer does not answer are not repeated, as they are hints only.
func (s *state) send(ctx context.Context, queue *peerQueue) {
	peer, updates := queue.peer, queue.updates
	queue.sending, queue.updates = true, nil
	go func() {
		limited, cancel := context.WithTimeout(ctx, updateTimeout)
		defer cancel()
		var reply UpdateReply
		err := s.config.Caller.Call(limited, peer, serviceName+".Update", UpdateArgs{peerrpc.WireVersion, updates}, &reply)
		if err != nil {
			s.dropped.Add(limited, int64(len(updates)))
		}
		_ = s.inbox.Send(ctx, sentMessage{peer.Ref})
	}()
}

type sentMessage struct{ peer core.HostRef }

func (m sentMessage) handle(_ context.Context, owned *state) {
	if queue, found := owned.queues[m.peer]; found {
		queue.sending = false
	}
}
