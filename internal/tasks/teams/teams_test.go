package teams_test

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	measure "github.com/peridotreel/peridotreel/internal/measure/fleet"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
	standin "github.com/peridotreel/peridotreel/internal/standin/platform"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/teams"
)

// TestMain uses one processor; see TestMain of package tasks/members for the reason.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	m.Run()
}

// gatedTable is a table that a test can make unavailable to one host.
type gatedTable struct {
	platform.Table
	down atomic.Bool
}

func (g *gatedTable) Changes(ctx context.Context, since platform.Revision, prefixes []string) (platform.ChangeSet, error) {
	if g.down.Load() {
		return platform.ChangeSet{}, platform.ErrUnavailable
	}
	return g.Table.Changes(ctx, since, prefixes)
}

// fakePeers is a core.PeerSource whose peers a test sets.
type fakePeers struct{ atomic.Pointer[core.PeerView] }

func (v *fakePeers) Peers() *core.PeerView { return v.Load() }

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i) }

type host struct {
	*teams.Task
	gate  gatedTable
	peers fakePeers
	group task.Group
}

func startHost(network *measure.Network, table platform.Table, i int) *host {
	h := &host{gate: gatedTable{Table: table}}
	h.peers.Store(&core.PeerView{})
	client := peerrpc.NewClient(peerrpc.ClientConfig{Dial: network.Dialer(address(i))})
	server := peerrpc.NewServer(peerrpc.ServerConfig{Listener: network.Listen(address(i))})
	h.Task = teams.New(teams.Config{Table: &h.gate, Caller: client, Peers: &h.peers, Seed: uint64(i)})
	if err := h.Register(server); err != nil {
		panic(err)
	}
	h.group.Start(client)
	h.group.Start(server)
	return h
}

// setPeer makes another host the only peer, with the revision that it has in force.
func (h *host) setPeer(i int, other *host) {
	h.peers.Store(&core.PeerView{Peers: []core.Peer{{Ref: core.HostRef{Host: "other", Incarnation: 1},
		Address: address(i), State: core.PeerAlive, Revision: other.Status().Revision}}})
}

func save(table platform.Table, team core.TeamName, weight int) {
	value, err := rows.EncodeTeam(&core.TeamRow{Team: team, Weight: weight, Budget: "b", MaxInFlight: 1, TokensPerSecond: 1,
		Deadline: time.Second, Classes: []core.ClassRow{{Name: "c", MaxTokens: 1}}})
	if err != nil {
		panic(err)
	}
	write(table, rows.TeamKey(team), value)
}

func write(table platform.Table, key string, value []byte) {
	if _, err := table.Commit(context.Background(), platform.Commit{Writes: []platform.Write{{Key: key, Value: value}}}); err != nil {
		panic(err)
	}
}

func (h *host) weight(team core.TeamName) int {
	if snapshot := h.Current(); snapshot != nil && snapshot.Teams[team] != nil {
		return snapshot.Teams[team].Weight
	}
	return 0
}

// inBubble runs a test with a platform and two hosts in a synctest bubble, which
// has a fake clock.
func inBubble(t *testing.T, name string, body func(service *standin.Service, a, b *host)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() {
			service := standin.NewService()
			var group task.Group
			group.Start(service)
			network := measure.NewNetwork()
			a, b := startHost(network, service, 1), startHost(network, service, 2)
			defer func() {
				a.group.Stop()
				b.group.Stop()
				group.Stop()
				time.Sleep(3 * time.Second)
			}()
			body(service, a, b)
		})
	})
}

// Guards against saves that take longer than 5 s to be in force, and against rows
// that are lost during an outage of the platform.
func TestPlatformFeed(t *testing.T) {
	inBubble(t, "Saves are in force within 5 s, before and after an outage, and stay in force during it", func(service *standin.Service, a, _ *host) {
		save(service, "lima", 1)
		a.group.Start(a.Task)
		time.Sleep(2 * time.Second)
		So(a.weight("lima"), ShouldEqual, 1)
		save(service, "lima", 2)
		time.Sleep(2 * time.Second)
		So(a.weight("lima"), ShouldEqual, 2)
		a.gate.down.Store(true)
		save(service, "lima", 3)
		time.Sleep(time.Minute)
		So(a.weight("lima"), ShouldEqual, 2)
		So(a.Status().PlatformReachable, ShouldBeFalse)
		So(a.Status().Age, ShouldBeGreaterThan, 50*time.Second)
		a.gate.down.Store(false)
		time.Sleep(5 * time.Second)
		So(a.weight("lima"), ShouldEqual, 3)
	})
}

// Guards against a host that can't reach the platform and doesn't catch up with its
// peers, and against a cold start that requires the platform.
func TestPeers(t *testing.T) {
	inBubble(t, "A host that can't reach the platform follows a peer within 5 s of hearing its revision", func(service *standin.Service, a, b *host) {
		for i := range 3000 {
			save(service, core.TeamName(fmt.Sprintf("team-%d", i)), 1)
		}
		a.group.Start(a.Task)
		time.Sleep(2 * time.Second)
		b.gate.down.Store(true)
		b.group.Start(b.Task)
		time.Sleep(3 * time.Second)
		So(b.Current(), ShouldBeNil)
		b.setPeer(1, a)
		time.Sleep(5 * time.Second)
		So(b.Current().Teams, ShouldHaveLength, 3000)
		save(service, "team-5", 9)
		time.Sleep(2 * time.Second)
		b.setPeer(1, a)
		time.Sleep(3 * time.Second)
		So(b.weight("team-5"), ShouldEqual, 9)
	})
}

// Guards against an invalid row that replaces the last valid version.
func TestInvalidRow(t *testing.T) {
	inBubble(t, "A row that fails validation leaves the last valid version in force and is counted", func(service *standin.Service, a, _ *host) {
		save(service, "lima", 1)
		a.group.Start(a.Task)
		time.Sleep(2 * time.Second)
		write(service, rows.TeamKey("lima"), []byte(`{"team":"lima","weight":0}`))
		time.Sleep(2 * time.Second)
		So(a.weight("lima"), ShouldEqual, 1)
		So(a.Status().Invalid, ShouldEqual, int64(1))
		save(service, "lima", 4)
		time.Sleep(2 * time.Second)
		So(a.weight("lima"), ShouldEqual, 4)
	})
}
