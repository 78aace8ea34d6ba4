package bills

import (
	"context"
	"net"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/rows"
	standin "github.com/peridotreel/peridotreel/internal/standin/platform"
	"github.com/peridotreel/peridotreel/internal/task"
)

// testFleet simulates a fleet in one process, with a fixed view and net/rpc over
// pipes.
type testFleet struct {
	view    core.PeerView
	servers map[core.HostID]*rpc.Server
}

func (f *testFleet) Peers() *core.PeerView { return &f.view }

func (f *testFleet) Call(ctx context.Context, peer core.Peer, method string, args, reply any) error {
	server, found := f.servers[peer.Ref.Host]
	if !found {
		<-ctx.Done()
		return peerrpc.ErrUnreachable
	}
	near, far := net.Pipe()
	go server.ServeConn(far)
	client := rpc.NewClient(near)
	defer func() { _ = client.Close() }()
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error
	case <-ctx.Done():
		return peerrpc.ErrUnreachable
	}
}

// Guards against the loss of a dead host's bills. It covers the whole path:
// copies over net/rpc, a peer that does not answer, the view of the fleet and
// the platform.
func TestPeerWritesBillsOfDeadHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := standin.NewService()
		var group, dying task.Group
		group.Start(platform)
		defer group.Stop()
		dead := core.HostRef{Host: "a", Incarnation: 1}
		member := func(host core.HostID, zone core.ZoneName, state core.PeerState) core.Peer {
			return core.Peer{Ref: core.HostRef{Host: host, Incarnation: 1}, Zone: zone, State: state}
		}
		servers := map[core.HostID]*rpc.Server{"b": rpc.NewServer()}
		start := func(in *task.Group, host core.HostID, view ...core.Peer) *Task {
			started := New(Config{
				Self: core.HostRef{Host: host, Incarnation: 1}, Zone: "z-" + core.ZoneName(host), Table: platform,
				Objects: platform.Objects(), Peers: &testFleet{core.PeerView{Peers: view}, servers}, Caller: &testFleet{servers: servers},
			})
			in.Start(started)
			return started
		}
		copyHolder := start(&group, "b", member("a", "z-a", core.PeerDead))
		registered := copyHolder.Register(servers["b"])
		platform.SetMode(standin.ModeDown)
		// Host c does not answer, and d is in the host's own zone.
		owner := start(&dying, "a", member("c", "z-c", core.PeerAlive), member("b", "z-b", core.PeerAlive), member("d", "z-a", core.PeerAlive))
		begun := time.Now()
		owner.Record(t.Context(), core.Bill{Request: core.RequestID{1}, Keyed: true, Cost: 5})
		elapsed := time.Since(begun)
		dying.Stop()
		platform.SetMode(standin.ModeNone)
		time.Sleep(10 * time.Second)
		found, err := platform.Get(t.Context(), rows.HeadKey(dead), rows.BillKey(core.RequestID{1}))
		Convey("The peer writes the bill in the dead host's journal", t, func() {
			So(registered, ShouldBeNil)
			So(err, ShouldBeNil)
			So(elapsed, ShouldBeLessThan, 50*time.Millisecond)
			So(found, ShouldHaveLength, 2)
			head, err := rows.DecodeHead(found[0].Value)
			So(err, ShouldBeNil)
			So([]any{head.Count, head.Tokens, head.WriteID.Writer.Host}, ShouldResemble, []any{uint64(1), core.Tokens(5), core.HostID("b")})
		})
	})
}
