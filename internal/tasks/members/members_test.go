package members_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	measure "github.com/peridotreel/peridotreel/internal/measure/fleet"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/members"
)

// host is one process on the in-memory network.
type host struct {
	*members.Task
	address string
	group   task.Group
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i) }

func startHost(network *measure.Network, i int, incarnation core.Incarnation, wire int) *host {
	client := peerrpc.NewClient(peerrpc.ClientConfig{Dial: network.Dialer(address(i))})
	server := peerrpc.NewServer(peerrpc.ServerConfig{Listener: network.Listen(address(i))})
	h := &host{address: address(i)}
	h.Task = members.New(members.Config{
		Self: core.HostRef{Host: core.HostID(fmt.Sprintf("host-%d", i)), Incarnation: incarnation},
		Zone: core.ZoneName(fmt.Sprintf("zone-%d", i%3)), Address: h.address, Wire: wire,
		Seeds: []string{address(0), address(1)}, Caller: client, Seed: uint64(i) + 1,
	})
	if err := h.Register(server); err != nil {
		panic(err)
	}
	h.group.Start(client)
	h.group.Start(server)
	h.group.Start(h.Task)
	return h
}

func startHosts(network *measure.Network, n int) []*host {
	hosts := make([]*host, n)
	for i := range hosts {
		hosts[i] = startHost(network, i, 1, 1)
	}
	return hosts
}

func stopHosts(hosts []*host) {
	for _, h := range hosts {
		h.group.Stop()
	}
	// Retired connections are closed only after the longest call has ended.
	time.Sleep(3 * time.Second)
}

// count returns how many peers a host sees in a state.
func (h *host) count(state core.PeerState) int {
	n := 0
	for _, peer := range h.Peers().Peers {
		if peer.State == state {
			n++
		}
	}
	return n
}

func (h *host) sees(i int) core.Peer {
	for _, peer := range h.Peers().Peers {
		if peer.Address == address(i) {
			return peer
		}
	}
	return core.Peer{}
}

// inBubble runs a test on the fake clock of package synctest.
func inBubble(t *testing.T, name string, body func()) {
	synctest.Test(t, func(t *testing.T) { Convey(name, t, body) })
}

// Guards against hosts that join through a seed and remain unknown to others.
func TestHostsFindEachOther(t *testing.T) {
	inBubble(t, "Nine hosts with two seeds see each other alive within 10 s", func() {
		network := measure.NewNetwork()
		hosts := startHosts(network, 9)
		defer stopHosts(hosts)
		time.Sleep(10 * time.Second)
		for _, h := range hosts {
			So(h.count(core.PeerAlive), ShouldEqual, 8)
			So(h.MinWire(), ShouldEqual, 1)
		}
	})
}

// Guards against a dead host that stays alive in the view, a live one that is
// declared dead, and a restarted one that is mistaken for its former process.
func TestDeathAndRestart(t *testing.T) {
	inBubble(t, "A dead host is declared dead by all, and its next process is alive", func() {
		network := measure.NewNetwork()
		hosts := startHosts(network, 9)
		defer func() { stopHosts(hosts) }()
		time.Sleep(10 * time.Second)
		hosts[4].group.Stop()
		time.Sleep(40 * time.Second)
		for i, h := range hosts {
			if i != 4 {
				So(h.sees(4).State, ShouldEqual, core.PeerDead)
				So(h.count(core.PeerAlive), ShouldEqual, 7)
			}
		}
		hosts[4] = startHost(network, 4, 2, 1)
		time.Sleep(10 * time.Second)
		for i, h := range hosts {
			if i != 4 {
				So(h.sees(4).State, ShouldEqual, core.PeerAlive)
				So(h.sees(4).Ref.Incarnation, ShouldEqual, core.Incarnation(2))
			}
		}
	})
}

// Guards against a leaving host that others still send work seconds later.
func TestLeave(t *testing.T) {
	inBubble(t, "Every host sees a leaving one as leaving within 2 s", func() {
		network := measure.NewNetwork()
		hosts := startHosts(network, 9)
		defer stopHosts(hosts)
		time.Sleep(10 * time.Second)
		So(hosts[3].Leave(context.Background()), ShouldBeNil)
		time.Sleep(2 * time.Second)
		for i, h := range hosts {
			if i != 3 {
				So(h.sees(3).State, ShouldEqual, core.PeerLeaving)
			}
		}
	})
}

// Guards against hosts that are declared dead because their open connections
// went silent for good, while new connections work.
func TestSilentConnections(t *testing.T) {
	inBubble(t, "No host is declared dead when all open connections go silent repeatedly", func() {
		network := measure.NewNetwork()
		hosts := startHosts(network, 9)
		defer stopHosts(hosts)
		time.Sleep(10 * time.Second)
		for range 60 {
			network.SilenceConnections()
			time.Sleep(5 * time.Second)
			for _, h := range hosts {
				So(h.count(core.PeerDead), ShouldEqual, 0)
			}
		}
		time.Sleep(30 * time.Second)
		for _, h := range hosts {
			So(h.count(core.PeerAlive), ShouldEqual, 8)
		}
	})
}

// Guards against new formats that are used while a live host can't read them,
// and against revisions that don't reach the other hosts' views.
func TestWireAndRevision(t *testing.T) {
	inBubble(t, "The lowest wire version stays until the last host of that version is replaced", func() {
		network := measure.NewNetwork()
		hosts := startHosts(network, 5)
		defer func() { stopHosts(hosts) }()
		for i := range hosts {
			time.Sleep(10 * time.Second)
			for _, h := range hosts {
				So(h.MinWire(), ShouldEqual, 1)
			}
			hosts[i].group.Stop()
			hosts[i] = startHost(network, i, 2, 2)
		}
		time.Sleep(10 * time.Second)
		hosts[2].SetRevision(77)
		time.Sleep(5 * time.Second)
		for i, h := range hosts {
			So(h.MinWire(), ShouldEqual, 2)
			if i != 2 {
				So(h.sees(2).Revision, ShouldEqual, int64(77))
			}
		}
	})
}

// TestMain uses one processor. With more, the race detector of Go 1.26.8
// crashes (SIGSEGV in 5 of 20 runs, none of 40 with one) when timers of a
// synctest bubble run on two processors. It finds the same races with one.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	m.Run()
}
