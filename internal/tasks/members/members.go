// Package members is the task that maintains a host's view of the fleet. It
// runs the protocol of package membership.
package members

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/membership"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// gossipCapacity bounds queued messages of peers. A host receives about 10 a
	// second.
	gossipCapacity = 256
	// controlCapacity bounds queued results of this task's own workers.
	controlCapacity = 256
	// publishInterval bounds the age of revisions in the view. All other changes
	// are published at once.
	publishInterval = 250 * time.Millisecond
	// directoryInterval is the mean time between reads of the platform's
	// directory. At the design size it lists 12,330 machines in about 1.5 MB, so
	// a read every half hour costs 0.8 KB/s.
	directoryInterval = 30 * time.Minute
	// directoryRetryInterval is the mean time between reads while no other host
	// is known or after a failed read.
	directoryRetryInterval = 2 * time.Second
	// directoryTimeout bounds one read of the directory.
	directoryTimeout = 5 * time.Second
)

// Config describes a Task.
type Config struct {
	Self    core.HostRef
	Zone    core.ZoneName
	Address string
	// Wire is the newest wire version this host reads; 0 takes peerrpc.WireVersion.
	Wire int
	// Directory is the platform's directory of hosts; nil uses Seeds alone.
	Directory platform.Directory
	// Seeds are addresses to contact while no other host is known to be alive.
	Seeds  []string
	Caller peerrpc.Caller
	// PeersChanged is told each view that is published. It may be nil, and must not call
	// the task.
	PeersChanged func(view *core.PeerView)
	// Now is the clock; nil takes time.Now.
	Now  func() time.Time
	Seed uint64
	// Period between rounds of pings; 0 takes 1 s.
	Period time.Duration
	Log    *zap.Logger
	Meter  metric.Meter
}

// Task owns a host's view of the fleet.
type Task struct {
	config   Config
	gossip   *task.Inbox[any]
	control  *task.Inbox[any]
	view     atomic.Pointer[snapshot]
	revision atomic.Int64
	metrics  metrics
}

// snapshot is the view that other goroutines read.
type snapshot struct {
	peers   *core.PeerView
	minWire int
}

// New returns the task. Its view has no peers until Run is called.
func New(config Config) *Task {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	if config.Wire == 0 {
		config.Wire = peerrpc.WireVersion
	}
	t := &Task{config: config, gossip: task.NewInbox[any](gossipCapacity), control: task.NewInbox[any](controlCapacity)}
	self := core.Peer{Ref: config.Self, Zone: config.Zone, Address: config.Address, State: core.PeerAlive, Wire: config.Wire}
	t.view.Store(&snapshot{peers: &core.PeerView{Self: self}, minWire: min(config.Wire, 1)})
	t.metrics = newMetrics(t)
	return t
}

// Peers implements core.PeerSource.
func (t *Task) Peers() *core.PeerView {
	return t.view.Load().peers
}

// MinWire returns the lowest wire version among the hosts that are not dead. A
// new format of messages or rows is used only once all of them can read it.
func (t *Task) MinWire() int {
	return t.view.Load().minWire
}

// SetRevision sets the revision of the table that this host has in force. It is
// sent with the next messages.
func (t *Task) SetRevision(revision int64) {
	t.revision.Store(revision)
}

// Leave tells the fleet that this host takes no more work. It returns once a peer
// has acknowledged, or at once if there is no peer. It can't be undone.
func (t *Task) Leave(ctx context.Context) error {
	_, err := task.Ask(ctx, t.control, func(reply chan<- struct{}) any { return leave{reply} })
	return err
}

// Messages to the task.
type (
	pingReceived struct {
		message membership.Message
		reply   chan<- membership.Message
	}
	pageRequested struct {
		message membership.Message
		after   core.HostID
		reply   chan<- page
	}
	page struct {
		message membership.Message
		more    bool
	}
	pingRequestReceived struct {
		message membership.Message
		target  core.HostRef
		reply   chan<- membership.Message
	}
	pingRequestDone struct {
		answered  bool
		answer    membership.Message
		requester core.HostRef
		reply     chan<- membership.Message
	}
	// outcome is the result of a call that a worker made.
	outcome struct {
		action  membership.Action
		err     error
		answer  membership.Message
		reached bool
	}
	directoryRead struct {
		members []platform.Member
		err     error
	}
	leave struct {
		reply chan<- struct{}
	}
)

// Run takes part in the protocol until ctx ends.
func (t *Task) Run(ctx context.Context) {
	defer t.control.Close()
	defer t.gossip.Close()
	current := newState(ctx, t)
	tick := time.NewTimer(0)
	defer tick.Stop()
	directory := time.NewTimer(0)
	defer directory.Stop()
	publish := time.NewTicker(publishInterval)
	defer publish.Stop()
	for {
		select {
		case message := <-t.gossip.Messages():
			current.handleGossip(message)
		case message := <-t.control.Messages():
			switch message := message.(type) {
			case outcome:
				current.handleOutcome(message)
			case directoryRead:
				directory.Reset(current.handleDirectory(message))
			case leave:
				current.handleLeave(message)
			}
		case <-tick.C:
			current.startWorkers(current.protocol.Tick(t.config.Now()))
		case <-directory.C:
			go t.readDirectory(ctx)
		case <-publish.C:
			current.publish()
		case <-ctx.Done():
			return
		}
		current.publishIfChanged()
		tick.Reset(current.protocol.Next().Sub(t.config.Now()))
	}
}

// state is owned by the goroutine of Run.
type state struct {
	ctx      context.Context
	task     *Task
	protocol *membership.Protocol
	random   *rand.Rand
	// version is the protocol's version when the view was last published.
	version uint64
	// leaveWaiters are the callers of Leave that wait for a peer's answer.
	leaveWaiters []chan<- struct{}
}

func newState(ctx context.Context, t *Task) *state {
	config := &t.config
	return &state{
		ctx: ctx, task: t, random: rand.New(rand.NewPCG(config.Seed, 1)),
		protocol: membership.New(membership.Config{Self: config.Self, Zone: config.Zone, Address: config.Address,
			Wire: config.Wire, Seeds: config.Seeds, Seed: config.Seed, Period: config.Period}),
	}
}

func (s *state) handleGossip(message any) {
	now := s.task.config.Now()
	s.protocol.SetRevision(s.task.revision.Load())
	switch message := message.(type) {
	case pingReceived:
		message.reply <- s.protocol.Receive(now, message.message)
	case pageRequested:
		answer, more := s.protocol.Page(now, message.message, message.after)
		message.reply <- page{answer, more}
	case pingRequestReceived:
		s.protocol.Receive(now, message.message)
		message.reply <- s.protocol.MessageFor(message.target)
	case pingRequestDone:
		if message.answered {
			s.startWorkers(s.protocol.Answered(now, 0, message.answer))
		}
		message.reply <- s.protocol.MessageFor(message.requester)
	}
}

func (s *state) handleOutcome(result outcome) {
	now := s.task.config.Now()
	id := result.action.Probe
	switch {
	case result.action.Kind == membership.SendPingRequest:
		if result.err == nil {
			s.protocol.PingRequestAnswered(now, id, result.answer, result.reached)
		}
	case result.err != nil:
		s.startWorkers(s.protocol.Unanswered(now, id))
	default:
		s.startWorkers(s.protocol.Answered(now, id, result.answer))
		if result.action.Message.From.Leaving {
			s.completeLeave()
		}
	}
}

func (s *state) handleLeave(message leave) {
	now := s.task.config.Now()
	if len(s.protocol.View(now).Peers) == 0 {
		s.protocol.Leave()
		message.reply <- struct{}{}
		return
	}
	s.protocol.Leave()
	s.leaveWaiters = append(s.leaveWaiters, message.reply)
	s.startWorkers(s.protocol.Announce(now))
}

// completeLeave replies to the callers of Leave, once a peer has answered a
// message that says that this host is leaving.
func (s *state) completeLeave() {
	for _, reply := range s.leaveWaiters {
		reply <- struct{}{}
	}
	s.leaveWaiters = nil
}

// handleDirectory merges the platform's directory and returns the delay until
// the next read.
func (s *state) handleDirectory(result directoryRead) time.Duration {
	var hosts []membership.Fact
	for _, entry := range result.members {
		if entry.Role == platform.RoleHost {
			hosts = append(hosts, membership.Fact{
				Ref:  core.HostRef{Host: core.HostID(entry.ID), Incarnation: entry.Incarnation},
				Zone: entry.Zone, Address: entry.Address, Leaving: entry.Leaving})
		}
	}
	s.protocol.MergeDirectory(s.task.config.Now(), hosts)
	mean := directoryInterval
	if result.err != nil || len(s.protocol.View(s.task.config.Now()).Peers) == 0 {
		mean = directoryRetryInterval
	}
	return mean/2 + time.Duration(s.random.Int64N(int64(mean)))
}

// startWorkers starts a worker for each action.
func (s *state) startWorkers(actions []membership.Action) {
	for _, action := range actions {
		go s.task.runAction(s.ctx, action)
	}
}

func (s *state) publishIfChanged() {
	if s.protocol.Version() != s.version {
		s.publish()
	}
}

func (s *state) publish() {
	s.protocol.SetRevision(s.task.revision.Load())
	s.version = s.protocol.Version()
	view := s.protocol.View(s.task.config.Now())
	s.task.logChanges(s.task.Peers(), view)
	s.task.view.Store(&snapshot{peers: view, minWire: s.protocol.MinWire()})
	if changed := s.task.config.PeersChanged; changed != nil {
		changed(view)
	}
}

var (
	_ core.PeerSource = (*Task)(nil)
	_ task.Task       = (*Task)(nil)
)
