package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// node is one host of the simulation with its true state.
type node struct {
	protocol *Protocol
	ref      core.HostRef
	address  string
	wire     int
	up       bool
	leaving  bool
	// pausedUntil delays everything that the host does and receives.
	pausedUntil time.Time
	// due is when the protocol's next tick is scheduled.
	due time.Time
}

// event is a callback at a virtual time; a paused node runs it after the pause.
type event struct {
	at    time.Time
	order int
	node  *node
	ref   core.HostRef
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation runs protocols on a virtual clock and network.
type simulation struct {
	now    time.Time
	queue  events
	order  int
	nodes  []*node
	random *rand.Rand
	// loss is the probability that a message in one direction is lost.
	loss float64
	// cut holds pairs of node indices; the first can't send to the second.
	cut map[[2]int]bool
	// fail reports a violated invariant.
	fail func(format string, args ...any)
	// seen holds the last fact that one node (first index) had about another.
	seen map[[2]int]Fact
	// messages and updates count what was sent.
	messages, updates int
}

func newSimulation(n int, seed uint64, fail func(string, ...any)) *simulation {
	s := &simulation{now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 9)), cut: make(map[[2]int]bool),
		fail: fail, seen: make(map[[2]int]Fact)}
	for i := range n {
		s.nodes = append(s.nodes, &node{address: fmt.Sprintf("a%d", i), ref: core.HostRef{Host: core.HostID(fmt.Sprintf("h%d", i))}})
		s.start(i, 1)
	}
	return s
}

// start starts the next incarnation of a host.
func (s *simulation) start(i, wire int) {
	n := s.nodes[i]
	n.ref.Incarnation++
	n.up, n.leaving, n.wire, n.due = true, false, wire, time.Time{}
	n.protocol = New(Config{Self: n.ref, Zone: "z", Address: n.address, Wire: wire, Seeds: []string{"a0", "a1", "a2"}, Seed: uint64(i)})
	for j := range s.nodes {
		delete(s.seen, [2]int{i, j})
	}
	s.schedule(n)
}

func (s *simulation) after(delay time.Duration, n *node, run func()) {
	s.order++
	heap.Push(&s.queue, event{s.now.Add(delay), s.order, n, n.ref, run})
}

// schedule schedules the next tick of a node if none is due as early.
func (s *simulation) schedule(n *node) {
	next := n.protocol.Next()
	if next.Before(s.now) {
		next = s.now
	}
	if !n.due.IsZero() && !n.due.Before(s.now) && !next.Before(n.due) {
		return
	}
	n.due = next
	s.after(next.Sub(s.now), n, func() {
		n.due = time.Time{}
		s.perform(n, n.protocol.Tick(s.now))
	})
}

func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		switch {
		case !next.node.up || next.ref != next.node.ref:
			continue
		case next.node.pausedUntil.After(s.now):
			s.after(next.node.pausedUntil.Sub(s.now), next.node, next.run)
			continue
		}
		next.run()
		s.checkFacts(s.index(next.node))
		s.schedule(next.node)
	}
	s.now = end
}

func (s *simulation) index(n *node) int {
	for i := range s.nodes {
		if s.nodes[i] == n {
			return i
		}
	}
	return -1
}

// send delivers a message from one node to another unless the network loses it.
func (s *simulation) send(from, to *node, deliver func()) {
	delay := time.Millisecond + time.Duration(s.random.IntN(int(20*time.Millisecond)))
	if s.random.Float64() < 0.02 {
		// A few messages arrive long after others that were sent later.
		delay += time.Duration(s.random.IntN(int(5 * time.Second)))
	}
	if !s.cut[[2]int{s.index(from), s.index(to)}] && s.random.Float64() >= s.loss {
		s.after(delay, to, deliver)
	}
}

func (s *simulation) count(message Message) Message {
	s.messages++
	s.updates += len(message.Updates)
	if len(message.Updates) > MaxUpdates {
		s.fail("a message has %d updates, more than %d", len(message.Updates), MaxUpdates)
	}
	return message
}

func (s *simulation) at(address string) *node {
	for _, n := range s.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// ask sends a message and calls done with the answer, or with false after the
// timeout.
func (s *simulation) ask(from, to *node, message Message, timeout time.Duration, answer func() Message, done func(Message, bool)) {
	ended := false
	end := func(reply Message, answered bool) {
		if !ended {
			ended = true
			done(reply, answered)
		}
	}
	s.count(message)
	s.after(timeout, from, func() { end(Message{}, false) })
	s.send(from, to, func() {
		reply := s.count(answer())
		s.send(to, from, func() { end(reply, true) })
	})
}

func (s *simulation) perform(n *node, actions []Action) {
	for _, action := range actions {
		target := s.at(action.Target.Address)
		switch action.Kind {
		case SendPing:
			s.ping(n, target, action)
		case SendSync:
			s.page(n, target, action, "")
		case SendPingRequest:
			s.relay(n, s.at(action.Relay.Address), target, action)
		}
	}
}

func (s *simulation) ping(n, target *node, action Action) {
	s.ask(n, target, action.Message, action.Timeout,
		func() Message { return target.protocol.Receive(s.now, action.Message) },
		func(reply Message, answered bool) {
			if answered {
				s.perform(n, n.protocol.Answered(s.now, action.Probe, reply))
			} else {
				s.perform(n, n.protocol.Unanswered(s.now, action.Probe))
			}
		})
}

func (s *simulation) page(n, target *node, action Action, after core.HostID) {
	more := false
	s.ask(n, target, action.Message, action.Timeout,
		func() (reply Message) {
			reply, more = target.protocol.Page(s.now, action.Message, after)
			return reply
		},
		func(reply Message, answered bool) {
			if !answered {
				return
			}
			s.perform(n, n.protocol.Answered(s.now, 0, reply))
			if more {
				s.page(n, target, action, reply.Updates[len(reply.Updates)-1].Ref.Host)
			}
		})
}

func (s *simulation) relay(n, relay, target *node, action Action) {
	s.count(action.Message)
	s.send(n, relay, func() {
		relay.protocol.Receive(s.now, action.Message)
		ping := relay.protocol.MessageFor(action.Target.Ref)
		s.ask(relay, target, ping, action.Timeout/2,
			func() Message { return target.protocol.Receive(s.now, ping) },
			func(reply Message, answered bool) {
				if answered {
					s.perform(relay, relay.protocol.Answered(s.now, 0, reply))
				}
				reached := answered && reply.From.Ref.Host == action.Target.Ref.Host
				result := s.count(relay.protocol.MessageFor(n.ref))
				s.send(relay, n, func() { n.protocol.PingRequestAnswered(s.now, action.Probe, result, reached) })
			})
	})
}

// checkFacts compares a node's facts with its earlier ones and with the true
// states.
func (s *simulation) checkFacts(i int) {
	for j, other := range s.nodes {
		known := s.nodes[i].protocol.members[other.ref.Host]
		if known == nil {
			continue
		}
		was, now := s.seen[[2]int{i, j}], known.fact
		s.seen[[2]int{i, j}] = now
		switch {
		case now.Ref.Incarnation < was.Ref.Incarnation:
			s.fail("%s went back from incarnation %d of %s to %d", s.nodes[i].ref, was.Ref.Incarnation, other.ref.Host, now.Ref.Incarnation)
		case now.Ref.Incarnation > other.ref.Incarnation:
			s.fail("%s knows incarnation %d of %s, which has not started", s.nodes[i].ref, now.Ref.Incarnation, other.ref.Host)
		case now.Ref == was.Ref && now.Refutations < was.Refutations:
			s.fail("%s decreased the refutation count of %s", s.nodes[i].ref, other.ref)
		case now.Ref == was.Ref && was.Leaving && !now.Leaving:
			s.fail("%s lost the mark that %s is leaving", s.nodes[i].ref, other.ref)
		case now.Ref == other.ref && now.Leaving && !other.leaving:
			s.fail("%s marks %s as leaving, but it is not", s.nodes[i].ref, other.ref)
		}
	}
}

// disagreement describes the first view of a running node that differs from the
// true state, or returns "".
func (s *simulation) disagreement() string {
	lowest := 1 << 30
	for _, n := range s.nodes {
		if n.up {
			lowest = min(lowest, n.wire)
		}
	}
	for _, n := range s.nodes {
		if !n.up {
			continue
		}
		view := n.protocol.View(s.now)
		states := make(map[core.HostID]core.Peer)
		for _, peer := range view.Peers {
			states[peer.Ref.Host] = peer
		}
		for _, other := range s.nodes {
			if other == n {
				continue
			}
			peer, known := states[other.ref.Host]
			want := core.PeerDead
			if other.up {
				want = core.PeerAlive
				if other.leaving {
					want = core.PeerLeaving
				}
			}
			if other.up && (!known || peer.State != want || peer.Ref != other.ref) || !other.up && known && peer.State != core.PeerDead {
				return fmt.Sprintf("%s sees %+v of %s, want state %d", n.ref, peer, other.ref, want)
			}
		}
		if got := n.protocol.MinWire(); got != lowest {
			return fmt.Sprintf("%s has lowest wire version %d, want %d", n.ref, got, lowest)
		}
	}
	return ""
}
