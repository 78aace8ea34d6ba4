// Package calls is the task that knows where keyed idempotent requests run:
// those of this host, and those that peers have registered here.
package calls

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/calls"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// inboxCapacity holds about a second of updates at three times the
	// planned peak of 142 requests a second and host.
	inboxCapacity = 1024
	// flushInterval is how long updates are collected. A request that ends
	// within it is not registered, which saves most messages of short work.
	flushInterval = 100 * time.Millisecond
	// findTimeout bounds the delay that a lookup adds to a retry.
	findTimeout = 20 * time.Millisecond
	// updateTimeout bounds a message that nobody waits for.
	updateTimeout = time.Second
	// maxQueued bounds the updates that wait for one peer.
	maxQueued = 2048
)

// Config holds what the task works with.
type Config struct {
	Self core.HostRef
	Zone core.ZoneName
	// Peers and Caller are nil if the host works alone.
	Peers  core.PeerSource
	Caller peerrpc.Caller
	Now    func() time.Time
	// Meter may be nil.
	Meter metric.Meter
}

// Task owns the registry of this host.
type Task struct {
	config  Config
	inbox   *task.Inbox[message]
	dropped metric.Int64Counter
}

// message is what the task's inbox carries. handle runs in the task.
type message interface {
	handle(ctx context.Context, owned *state)
}

// New returns the task; it works once Run does.
func New(config Config) *Task {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Meter == nil {
		config.Meter = noop.NewMeterProvider().Meter("")
	}
	// An invalid name is the only error, and then the counter is a no-op.
	dropped, _ := config.Meter.Int64Counter("peridotreel_calls_dropped_updates")
	return &Task{config: config, inbox: task.NewInbox[message](inboxCapacity), dropped: dropped}
}

// Run handles messages until ctx ends.
func (t *Task) Run(ctx context.Context) {
	defer t.inbox.Close()
	owned := newState(t)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case received := <-t.inbox.Messages():
			received.handle(ctx, owned)
		case <-ticker.C:
			owned.flush(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Begin notes that this host starts a keyed idempotent request.
func (t *Task) Begin(id core.RequestID) {
	t.post(beginMessage{id})
}

// Located notes the upstream on which the request runs.
func (t *Task) Located(id core.RequestID, target core.Target) {
	t.post(locatedMessage{id, target, t.config.Now().UnixNano()})
}

// Finished notes the end of the request.
func (t *Task) Finished(id core.RequestID) {
	t.post(finishedMessage{id})
}

// post never blocks a request: a lost location costs a second run of an
// idempotent request at worst.
func (t *Task) post(posted message) {
	if !t.inbox.TrySend(posted) {
		t.dropped.Add(context.Background(), 1)
	}
}

// Find returns the upstream on which a request runs or has just run. It waits
// for 20 ms at most.
func (t *Task) Find(ctx context.Context, id core.RequestID) (core.Target, bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	local, err := task.Ask(ctx, t.inbox, func(reply chan<- lookup) message { return findMessage{id, reply} })
	if err != nil || local.found {
		return local.target, local.found
	}
	answers := make(chan FindReply, len(local.keepers))
	for _, keeper := range local.keepers {
		go func() {
			var reply FindReply
			err := t.config.Caller.Call(ctx, keeper, serviceName+".Find", FindArgs{peerrpc.WireVersion, id}, &reply)
			reply.Found = reply.Found && err == nil
			answers <- reply
		}()
	}
	for range local.keepers {
		select {
		case answer := <-answers:
			if answer.Found {
				return answer.Target, true
			}
		case <-ctx.Done():
			return core.Target{}, false
		}
	}
	return core.Target{}, false
}

// lookup is what the task itself knows of a request.
type lookup struct {
	target core.Target
	found  bool
	// keepers are the peers to ask if it is not found.
	keepers []core.Peer
}

// own is a request that this host runs.
type own struct {
	target core.Target
	at     int64
	begun  time.Time
	// sent is true when the keepers have been told, or will be.
	sent bool
}

// state is what the task's goroutine owns.
type state struct {
	*Task
	registry *calls.Registry
	running  map[core.RequestID]own
	// located holds requests to be told to their keepers at the next flush.
	located []core.RequestID
	queues  map[core.HostRef]*peerQueue
	swept   time.Time
}

// peerQueue holds updates for a peer, of which one message is in flight.
type peerQueue struct {
	peer    core.Peer
	updates []calls.Update
	sending bool
}

func newState(t *Task) *state {
	return &state{
		Task: t, registry: calls.NewRegistry(), running: make(map[core.RequestID]own),
		queues: make(map[core.HostRef]*peerQueue), swept: t.config.Now(),
	}
}

type beginMessage struct{ id core.RequestID }

func (m beginMessage) handle(_ context.Context, owned *state) {
	if len(owned.running) < calls.MaxEntries {
		owned.running[m.id] = own{begun: owned.config.Now()}
	}
}

type locatedMessage struct {
	id     core.RequestID
	target core.Target
	at     int64
}

func (m locatedMessage) handle(_ context.Context, owned *state) {
	request, found := owned.running[m.id]
	if !found || request.at > m.at {
		return
	}
	request.target, request.at = m.target, m.at
	owned.running[m.id] = request
	owned.located = append(owned.located, m.id)
}

type finishedMessage struct{ id core.RequestID }

func (m finishedMessage) handle(_ context.Context, owned *state) {
	request, found := owned.running[m.id]
	delete(owned.running, m.id)
	if !found || request.at == 0 {
		return
	}
	update := calls.Update{Request: m.id, Target: request.target, At: request.at, Finished: true}
	owned.registry.Apply(update, owned.config.Now())
	if request.sent {
		owned.tell(update)
	}
}

type findMessage struct {
	id    core.RequestID
	reply chan<- lookup
}

func (m findMessage) handle(_ context.Context, owned *state) {
	if request, found := owned.running[m.id]; found && request.at != 0 {
		m.reply <- lookup{target: request.target, found: true}
		return
	}
	answer := lookup{}
	if answer.target, answer.found = owned.registry.Find(m.id, owned.config.Now()); !answer.found {
		answer.keepers = owned.remoteKeepers(m.id)
	}
	m.reply <- answer
}
