// Package members is the task that keeps a host's view of the fleet.
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
	"github.com/peridotreel/peridotreel/internal/fleet"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// gossipCapacity bounds messages of peers. A host gets about 10 a second.
	gossipCapacity = 256
	// controlCapacity bounds results of this task's own workers.
	controlCapacity = 256
	// publishInterval bounds the age of revisions in the view. Changes of
	// state are published at once.
	publishInterval = 250 * time.Millisecond
	// listInterval is the mean time between reads of the platform's list. At
	// the design size the list names 12,330 machines in about 1.5 MB, so that a
	// read in half an hour costs 0.8 KB/s.
	listInterval = 30 * time.Minute
	// listRetry is the time between reads while no other host is known or the
	// list could not be read.
	listRetry = 2 * time.Second
	// listTimeout bounds one read.
	listTimeout = 5 * time.Second
)

// Config describes a Task.
type Config struct {
	Self    core.HostRef
	Zone    core.ZoneName
	Address string
	// Wire is the newest wire version this host reads; 0 takes fleet.WireVersion.
	Wire int
	// Directory is the platform's list of hosts; nil uses Seeds alone.
	Directory platform.Directory
	// Seeds are addresses of other hosts, used while none is known.
	Seeds  []string
	Caller fleet.Caller
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
	view     atomic.Pointer[published]
	revision atomic.Int64
	metrics  metrics
}

// published is what other goroutines see.
type published struct {
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
		config.Wire = fleet.WireVersion
	}
	t := &Task{config: config, gossip: task.NewInbox[any](gossipCapacity), control: task.NewInbox[any](controlCapacity)}
	self := core.Peer{Ref: config.Self, Zone: config.Zone, Address: config.Address, State: core.PeerAlive, Wire: config.Wire}
	t.view.Store(&published{peers: &core.PeerView{Self: self}, minWire: min(config.Wire, 1)})
	t.metrics = newMetrics(t)
	return t
}

// Peers implements core.PeerSource.
func (t *Task) Peers() *core.PeerView {
	return t.view.Load().peers
}

// MinWire returns the lowest wire version among the live hosts. New forms of
// messages and rows are written only when all can read them.
func (t *Task) MinWire() int {
	return t.view.Load().minWire
}

// SetRevision sets the revision of the table that this host has in force. It
// travels with the next messages.
func (t *Task) SetRevision(revision int64) {
	t.revision.Store(revision)
}

// Leave tells the fleet that this host takes no more work, and returns once a
// peer has answered, at once if there is none. The mark can't be taken back.
func (t *Task) Leave(ctx context.Context) error {
	_, err := task.Ask(ctx, t.control, func(reply chan<- struct{}) any { return leave{reply} })
	return err
}

// Messages to the task.
type (
	pinged struct {
		message membership.Message
		reply   chan<- membership.Message
	}
	pageAsked struct {
		message membership.Message
		after   core.HostID
		reply   chan<- page
	}
	page struct {
		message membership.Message
		more    bool
	}
	relayAsked struct {
		message membership.Message
		target  core.HostRef
		reply   chan<- membership.Message
	}
	relayEnded struct {
		answered  bool
		answer    membership.Message
		requester core.HostRef
		reply     chan<- membership.Message
	}
	// outcome is the result of a worker's call.
	outcome struct {
		action  membership.Action
		err     error
		answer  membership.Message
		reached bool
	}
	listed struct {
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
	owned := newState(ctx, t)
	tick := time.NewTimer(0)
	defer tick.Stop()
	list := time.NewTimer(0)
	defer list.Stop()
	publish := time.NewTicker(publishInterval)
	defer publish.Stop()
	for {
		select {
		case message := <-t.gossip.Messages():
			owned.handleGossip(message)
		case message := <-t.control.Messages():
			switch message := message.(type) {
			case outcome:
				owned.handleOutcome(message)
			case listed:
				list.Reset(owned.handleListed(message))
			case leave:
				owned.handleLeave(message)
			}
		case <-tick.C:
			owned.perform(owned.machine.Tick(t.config.Now()))
		case <-list.C:
			go t.readList(ctx)
		case <-publish.C:
			owned.publish()
		case <-ctx.Done():
			return
		}
		owned.publishChange()
		tick.Reset(owned.machine.Next().Sub(t.config.Now()))
	}
}

// state belongs to the task's goroutine.
type state struct {
	ctx     context.Context
	task    *Task
	machine *membership.Machine
	random  *rand.Rand
	// version is the machine's at the latest publication.
	version uint64
	// leaving are the callers of Leave that wait for an answer of a peer.
	leaving []chan<- struct{}
}

func newState(ctx context.Context, t *Task) *state {
	config := &t.config
	return &state{
		ctx: ctx, task: t, random: rand.New(rand.NewPCG(config.Seed, 1)),
		machine: membership.New(membership.Config{Self: config.Self, Zone: config.Zone, Address: config.Address,
			Wire: config.Wire, Seeds: config.Seeds, Seed: config.Seed, Period: config.Period}),
	}
}

func (s *state) handleGossip(message any) {
	now := s.task.config.Now()
	s.machine.SetRevision(s.task.revision.Load())
	switch message := message.(type) {
	case pinged:
		message.reply <- s.machine.Receive(now, message.message)
	case pageAsked:
		answer, more := s.machine.Page(now, message.message, message.after)
		message.reply <- page{answer, more}
	case relayAsked:
		s.machine.Receive(now, message.message)
		message.reply <- s.machine.PingFor(message.target)
	case relayEnded:
		if message.answered {
			s.perform(s.machine.Answered(now, 0, message.answer))
		}
		message.reply <- s.machine.PingFor(message.requester)
	}
}

func (s *state) handleOutcome(result outcome) {
	now := s.task.config.Now()
	id := result.action.Probe
	switch {
	case result.action.Kind == membership.SendPingRequest:
		if result.err == nil {
			s.machine.Relayed(now, id, result.answer, result.reached)
		}
	case result.err != nil:
		s.perform(s.machine.Unanswered(now, id))
	default:
		s.perform(s.machine.Answered(now, id, result.answer))
		if result.action.Message.From.Leaving {
			s.answerLeaving()
		}
	}
}

func (s *state) handleLeave(message leave) {
	now := s.task.config.Now()
	if len(s.machine.View(now).Peers) == 0 {
		s.machine.Leave()
		message.reply <- struct{}{}
		return
	}
	s.machine.Leave()
	s.leaving = append(s.leaving, message.reply)
	s.perform(s.machine.Announce(now))
}

// answerLeaving ends Leave once a peer has answered a ping with the mark.
func (s *state) answerLeaving() {
	for _, reply := range s.leaving {
		reply <- struct{}{}
	}
	s.leaving = nil
}

// handleListed takes the platform's list and returns the delay to the next read.
func (s *state) handleListed(result listed) time.Duration {
	var hosts []membership.Fact
	for _, entry := range result.members {
		if entry.Role == platform.RoleHost {
			hosts = append(hosts, membership.Fact{
				Ref:  core.HostRef{Host: core.HostID(entry.ID), Incarnation: entry.Incarnation},
				Zone: entry.Zone, Address: entry.Address, Leaving: entry.Leaving})
		}
	}
	s.machine.Listed(s.task.config.Now(), hosts)
	mean := listInterval
	if result.err != nil || len(s.machine.View(s.task.config.Now()).Peers) == 0 {
		mean = listRetry
	}
	return mean/2 + time.Duration(s.random.Int64N(int64(mean)))
}

// perform starts a worker for each action.
func (s *state) perform(actions []membership.Action) {
	for _, action := range actions {
		go s.task.send(s.ctx, action)
	}
}

func (s *state) publishChange() {
	if s.machine.Version() != s.version {
		s.publish()
	}
}

func (s *state) publish() {
	s.machine.SetRevision(s.task.revision.Load())
	s.version = s.machine.Version()
	view := s.machine.View(s.task.config.Now())
	s.task.logChanges(s.task.Peers(), view)
	s.task.view.Store(&published{peers: view, minWire: s.machine.MinWire()})
}

var (
	_ core.PeerSource = (*Task)(nil)
	_ task.Task       = (*Task)(nil)
)
