// Package calls is the task that stores where idempotent calls with an
// idempotency key run: the calls of this host, and those that peers have
// registered here.
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
	// inboxCapacity holds about one second of updates at three times the
	// planned peak load of 142 requests per second and host.
	inboxCapacity = 1024
	// flushInterval is how long updates are collected. A call that ends within
	// it is not registered, which saves most messages about short calls.
	flushInterval = 100 * time.Millisecond
	// findTimeout limits the delay that a lookup adds to a call.
	findTimeout = 20 * time.Millisecond
	// updateTimeout limits an RPC that no call waits for.
	updateTimeout = time.Second
	// maxQueuedUpdates limits the updates queued for one peer.
	maxQueuedUpdates = 2048
)

// Config configures the task.
type Config struct {
	Self core.HostRef
	Zone core.ZoneName
	// Peers and Caller are nil if this is the only host.
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

// message is a message in the task's inbox. handle runs in the task's goroutine.
type message interface {
	handle(ctx context.Context, owned *state)
}

// New returns a task, which handles messages while Run runs.
func New(config Config) *Task {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Meter == nil {
		config.Meter = noop.NewMeterProvider().Meter("")
	}
	// Int64Counter fails only for an invalid name, and then returns a no-op.
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

// Begin records that this host starts an idempotent call with an idempotency key.
func (t *Task) Begin(id core.RequestID) {
	t.post(beginMessage{id})
}

// Located records the upstream that runs the call.
func (t *Task) Located(id core.RequestID, target core.Target) {
	t.post(locatedMessage{id, target, t.config.Now().UnixNano()})
}

// Finished records the end of the call.
func (t *Task) Finished(id core.RequestID) {
	t.post(finishedMessage{id})
}

// post sends a message without blocking. If the inbox is full, the message is
// dropped; then an idempotent call may run a second time.
func (t *Task) post(posted message) {
	if !t.inbox.TrySend(posted) {
		t.dropped.Add(context.Background(), 1)
	}
}

// Find returns the upstream that runs or has just run a call. It waits at most
// findTimeout.
func (t *Task) Find(ctx context.Context, id core.RequestID) (core.Target, bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	local, err := task.Ask(ctx, t.inbox, func(reply chan<- lookupResult) message { return findMessage{id, reply} })
	if err != nil || local.found {
		return local.target, local.found
	}
	answers := make(chan FindReply, len(local.replicas))
	for _, replica := range local.replicas {
		go func() {
			var reply FindReply
			err := t.config.Caller.Call(ctx, replica, serviceName+".Find", FindArgs{peerrpc.WireVersion, id}, &reply)
			reply.Found = reply.Found && err == nil
			answers <- reply
		}()
	}
	for range local.replicas {
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

// lookupResult is what this host knows about the location of a call.
type lookupResult struct {
	target core.Target
	found  bool
	// replicas are the peers to ask if the call was not found.
	replicas []core.Peer
}

// localCall is a call that this host runs.
type localCall struct {
	target       core.Target
	dispatchedAt int64
	startedAt    time.Time
	// sent is set once the location has been queued for the replicas.
	sent bool
}

// state is owned by the task's goroutine.
type state struct {
	*Task
	registry   *calls.Registry
	localCalls map[core.RequestID]localCall
	// unsent holds the calls whose location the next flush sends to their
	// replicas.
	unsent      []core.RequestID
	queues      map[core.HostRef]*peerQueue
	lastCleanup time.Time
}

// peerQueue holds the updates for a peer. At most one RPC is in flight.
type peerQueue struct {
	peer     core.Peer
	updates  []calls.Update
	inFlight bool
}

func newState(t *Task) *state {
	return &state{
		Task: t, registry: calls.NewRegistry(), localCalls: make(map[core.RequestID]localCall),
		queues: make(map[core.HostRef]*peerQueue), lastCleanup: t.config.Now(),
	}
}

type beginMessage struct{ id core.RequestID }

func (m beginMessage) handle(_ context.Context, owned *state) {
	if len(owned.localCalls) < calls.MaxEntries {
		owned.localCalls[m.id] = localCall{startedAt: owned.config.Now()}
	}
}

type locatedMessage struct {
	id     core.RequestID
	target core.Target
	at     int64
}

func (m locatedMessage) handle(_ context.Context, owned *state) {
	local, found := owned.localCalls[m.id]
	if !found || local.dispatchedAt > m.at {
		return
	}
	local.target, local.dispatchedAt = m.target, m.at
	owned.localCalls[m.id] = local
	owned.unsent = append(owned.unsent, m.id)
}

type finishedMessage struct{ id core.RequestID }

func (m finishedMessage) handle(_ context.Context, owned *state) {
	local, found := owned.localCalls[m.id]
	delete(owned.localCalls, m.id)
	if !found || local.dispatchedAt == 0 {
		return
	}
	update := calls.Update{Request: m.id, Target: local.target, At: local.dispatchedAt, Finished: true}
	owned.registry.Apply(update, owned.config.Now())
	if local.sent {
		owned.queueUpdate(update)
	}
}

type findMessage struct {
	id    core.RequestID
	reply chan<- lookupResult
}

func (m findMessage) handle(_ context.Context, owned *state) {
	if local, found := owned.localCalls[m.id]; found && local.dispatchedAt != 0 {
		m.reply <- lookupResult{target: local.target, found: true}
		return
	}
	answer := lookupResult{}
	if answer.target, answer.found = owned.registry.Find(m.id, owned.config.Now()); !answer.found {
		answer.replicas = owned.remoteReplicas(m.id)
	}
	m.reply <- answer
}
