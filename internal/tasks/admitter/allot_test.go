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

// wires connects tasks without a network; peers that are cut off give no answer.
type wires struct {
	receivers map[core.HostID]*Receiver
}

func (w *wires) Call(_ context.Context, peer core.Peer, _ string, args, reply any) error {
	receiver, found := w.receivers[peer.Ref.Host]
	if !found {
		return peerrpc.ErrUnreachable
	}
	return receiver.Exchange(args.(*Exchange), reply.(*Grants))
}

type fixedPeers struct{ view core.PeerView }

func (p *fixedPeers) Peers() *core.PeerView { return &p.view }

// Guards against limits that hold per host and not for the fleet, and against
// a host that can't use the part that the others leave unused.
func TestAllotmentsFollowDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Four hosts in two zones, demand at one", t, func() {
			var group task.Group
			defer group.Stop()
			lines := &wires{receivers: map[core.HostID]*Receiver{}}
			var peers []core.Peer
			for i, host := range []core.HostID{"a1", "a2", "b1", "b2"} {
				peers = append(peers, core.Peer{
					Ref: core.HostRef{Host: host, Incarnation: 1}, Zone: core.ZoneName([]string{"a", "b"}[i/2]), State: core.PeerAlive,
				})
			}
			var tasks []*Task
			for _, self := range peers {
				admitter := New(Config{Peers: &fixedPeers{core.PeerView{Self: self, Peers: peers}}, Caller: lines})
				lines.receivers[self.Ref.Host] = admitter.Receiver()
				tasks = append(tasks, admitter)
			}
			for _, admitter := range tasks {
				group.Start(admitter)
				admitter.SetCapacities([]upstreams.Capacity{{Pool: testPool, Slots: 1000}}, 4)
			}
			work := testWork()
			work.Caller.Team.MaxInFlight = 40
			for range 40 {
				// The slots are kept; requests that still wait end with the task.
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
