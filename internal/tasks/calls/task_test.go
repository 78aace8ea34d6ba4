package calls

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/calls"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/task"
)

// testFleet is a fleet in one process. A host without a receiver doesn't respond.
type testFleet struct {
	view      core.PeerView
	receivers map[core.HostID]*Receiver
}

func (f *testFleet) Peers() *core.PeerView { return &f.view }

func (f *testFleet) Call(ctx context.Context, peer core.Peer, method string, args, reply any) error {
	receiver, found := f.receivers[peer.Ref.Host]
	switch {
	case !found:
		<-ctx.Done()
		return peerrpc.ErrUnreachable
	case method == "Calls.Find":
		return receiver.Find(args.(FindArgs), reply.(*FindReply))
	default:
		return receiver.Update(args.(UpdateArgs), reply.(*UpdateReply))
	}
}

// Guards against a retry that doesn't find its running call, and against a lookup
// that delays a call for longer than findTimeout when the replicas don't respond.
func TestFindAtAnotherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group task.Group
		defer group.Stop()
		fleet := &testFleet{receivers: make(map[core.HostID]*Receiver)}
		tasks := make(map[core.HostID]*Task)
		for _, host := range []core.HostID{"a", "b", "c", "d"} {
			zone := core.ZoneName("z" + host[:1])
			ref := core.HostRef{Host: host, Incarnation: 1}
			fleet.view.Peers = append(fleet.view.Peers, core.Peer{Ref: ref, Zone: zone, State: core.PeerAlive})
			tasks[host] = New(Config{Self: ref, Zone: zone, Peers: fleet, Caller: fleet})
			fleet.receivers[host] = &Receiver{tasks[host]}
			group.Start(tasks[host])
		}
		id, target := core.RequestID{4}, core.Target{Upstream: "u", Address: "127.0.0.1:1"}
		find := func(host core.HostID) bool {
			found, ok := tasks[host].Find(t.Context(), id)
			return ok && found == target
		}
		tasks["a"].Begin(id)
		tasks["a"].Located(id, target)
		time.Sleep(time.Second)
		var running, finished, expired int
		for host := range tasks {
			if find(host) {
				running++
			}
		}
		tasks["a"].Finished(id)
		time.Sleep(time.Second)
		for host := range tasks {
			if find(host) {
				finished++
			}
		}
		time.Sleep(2 * calls.FinishedTTL)
		for host := range tasks {
			if !find(host) {
				expired++
			}
		}
		clear(fleet.receivers)
		begun := time.Now()
		silent := find("b")
		waited := time.Since(begun)
		Convey("Every host finds the call until it expires, and a lookup waits at most 20 ms", t, func() {
			So([]int{running, finished, expired}, ShouldResemble, []int{4, 4, 4})
			So(silent, ShouldBeFalse)
			So(waited, ShouldBeLessThanOrEqualTo, findTimeout)
		})
	})
}
