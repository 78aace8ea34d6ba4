package admitter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/task"
)

// fakeNetwork connects tasks in memory; a peer without a receiver is unreachable.
type fakeNetwork struct {
	receivers map[core.HostID]*Receiver
}

func (w *fakeNetwork) Call(_ context.Context, peer core.Peer, _ string, args, reply any) error {
	receiver, found := w.receivers[peer.Ref.Host]
	if !found {
		return peerrpc.ErrUnreachable
	}
	return receiver.Exchange(args.(*Exchange), reply.(*Grants))
}

type fakePeers struct{ view core.PeerView }

func (p *fakePeers) Peers() *core.PeerView { return &p.view }

// Guards against team limits that apply per host and not to the fleet, and against
// a host that can't use the part of the limits that other hosts leave unused.
func TestAllotmentsFollowDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Four hosts in two zones, demand at one", t, func() {
			var group task.Group
			defer group.Stop()
			network := &fakeNetwork{receivers: map[core.HostID]*Receiver{}}
			var peers []core.Peer
			for i, host := range []core.HostID{"a1", "a2", "b1", "b2"} {
				peers = append(peers, core.Peer{
					Ref: core.HostRef{Host: host, Incarnation: 1}, Zone: core.ZoneName([]string{"a", "b"}[i/2]), State: core.PeerAlive,
				})
			}
			var tasks []*Task
			for _, self := range peers {
				admitter := New(Config{Peers: &fakePeers{core.PeerView{Self: self, Peers: peers}}, Caller: network})
				network.receivers[self.Ref.Host] = admitter.Receiver()
				tasks = append(tasks, admitter)
			}
			for _, admitter := range tasks {
				group.Start(admitter)
				admitter.SetCapacities([]upstreams.Capacity{{Pool: testPool, Slots: 1000}}, 4)
			}
			work := testWork()
			work.Caller.Team.MaxInFlight = 40
			for range 40 {
				// The slots are never freed; the end of the task unblocks the
				// requests that still wait.
				go func() { _, _ = tasks[0].Enter(context.Background(), work) }()
			}
			inFlight := func() int {
				synctest.Wait()
				status, err := tasks[0].Status(context.Background())
				So(err, ShouldBeNil)
				return status.Teams[0].InFlight
			}
			So(inFlight(), ShouldEqual, 10)
			time.Sleep(4 * time.Second)
			So(inFlight(), ShouldBeBetweenOrEqual, 20, 40)
		})
	})
}
