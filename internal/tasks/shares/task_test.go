package shares

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/budget"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
	standin "github.com/peridotreel/peridotreel/internal/standin/platform"
)

const testBudget core.BudgetID = "cards"

// testFleet runs hosts against one table in a synctest bubble with a fake clock.
type testFleet struct {
	table *standin.Service
	hosts map[core.HostRef]*Task
	// silent holds the hosts that don't answer calls of peers.
	silent map[core.HostRef]bool
	zones  map[core.HostRef]core.ZoneName
	// repliesToLose is the number of commits whose replies will be lost.
	repliesToLose atomic.Int64
	stop          context.CancelFunc
	done          sync.WaitGroup
}

func newTestFleet(prepaid core.Tokens, hosts ...string) *testFleet {
	ctx, stop := context.WithCancel(context.Background())
	f := &testFleet{
		table: standin.NewService(), hosts: make(map[core.HostRef]*Task), silent: make(map[core.HostRef]bool),
		zones: make(map[core.HostRef]core.ZoneName), stop: stop,
	}
	f.done.Go(func() { f.table.Run(ctx) })
	f.topUp("first", prepaid)
	for _, name := range hosts {
		f.zones[core.HostRef{Host: core.HostID(name), Incarnation: 1}] = core.ZoneName(name[:1])
	}
	for ref, zone := range f.zones {
		config := Config{Table: &slowTable{Service: f.table, lose: &f.repliesToLose}, Self: ref, Zone: zone}
		if len(hosts) > 1 {
			config.Peers, config.Caller = hostView{f, ref}, f
		}
		f.hosts[ref] = New(config)
	}
	for _, host := range f.hosts {
		f.done.Go(func() { host.Run(ctx) })
	}
	return f
}

// slowTable delays each commit by 10 ms and loses the replies of some.
type slowTable struct {
	*standin.Service
	lose *atomic.Int64
}

func (s *slowTable) Commit(ctx context.Context, commit platform.Commit) (platform.Revision, error) {
	time.Sleep(10 * time.Millisecond)
	revision, err := s.Service.Commit(ctx, commit)
	if s.lose.Add(-1) >= 0 {
		return 0, platform.ErrUnavailable
	}
	return revision, err
}

func (f *testFleet) close() {
	f.stop()
	f.done.Wait()
}

func (f *testFleet) host(name string) *Task {
	return f.hosts[core.HostRef{Host: core.HostID(name), Incarnation: 1}]
}

func (f *testFleet) topUp(token string, amount core.Tokens) {
	f.topUpBudget(testBudget, token, amount)
}

func (f *testFleet) topUpBudget(id core.BudgetID, token string, amount core.Tokens) {
	payment := budget.TopUp{Budget: id, Token: token, Amount: amount}
	if err := NewTableLedger(f.table, time.Now).TopUp(context.Background(), payment); err != nil {
		panic(err)
	}
}

func (f *testFleet) budget() budget.Budget {
	read, _ := f.table.Get(context.Background(), rows.BudgetKey(testBudget))
	row, err := rows.DecodeBudget(read[0])
	if err != nil {
		panic(err)
	}
	return row
}

// hostView is one host's view of the fleet.
type hostView struct {
	fleet *testFleet
	self  core.HostRef
}

func (v hostView) Peers() *core.PeerView {
	view := &core.PeerView{}
	for ref, zone := range v.fleet.zones {
		peer := core.Peer{Ref: ref, Zone: zone, State: core.PeerAlive, Wire: peerrpc.WireVersion}
		if ref == v.self {
			view.Self = peer
			continue
		}
		view.Peers = append(view.Peers, peer)
	}
	return view
}

// Call implements peerrpc.Caller without sockets.
func (f *testFleet) Call(_ context.Context, peer core.Peer, method string, args, reply any) error {
	if f.silent[peer.Ref] {
		return peerrpc.ErrUnreachable
	}
	receiver := f.hosts[peer.Ref].Receiver()
	switch method {
	case "Shares.Draw":
		return receiver.Draw(args.(DrawArgs), reply.(*LedgerReply))
	case "Shares.Return":
		return receiver.Return(args.(ReturnArgs), reply.(*LedgerReply))
	case "Shares.Recall":
		return receiver.Recall(args.(RecallArgs), reply.(*RecallReply))
	}
	return fmt.Errorf("no method %s", method)
}

// conveyInBubble runs one check in a synctest bubble.
func conveyInBubble(t *testing.T, name string, check func(t *testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { synctest.Test(t, check) })
}

func codeOf(err error) fault.Code {
	return fault.From(err).Code
}

func TestHostAlone(t *testing.T) {
	conveyInBubble(t, "reserve, settle and drain", func(t *testing.T) {
		f := newTestFleet(1000, "a1")
		defer f.close()
		Convey("after a drain exactly the billed total stays deducted", t, func() {
			ctx := context.Background()
			reservation, err := f.host("a1").Reserve(ctx, testBudget, 300)
			So(err, ShouldBeNil)
			So(reservation.Amount, ShouldEqual, 300)
			f.host("a1").Settle(reservation, 120)
			f.host("a1").Settle(reservation, 0)
			So(f.host("a1").Drain(ctx), ShouldBeNil)
			So(f.budget().Drawn, ShouldEqual, 120)
			_, err = f.host("a1").Reserve(ctx, testBudget, 1)
			So(codeOf(err), ShouldEqual, fault.HostDraining)
		})
	})
	conveyInBubble(t, "refusals", func(t *testing.T) {
		f := newTestFleet(1000, "a1")
		defer f.close()
		Convey("each refusal has its code and run state", t, func() {
			ctx := context.Background()
			_, err := f.host("a1").Reserve(ctx, "none", 5)
			So(codeOf(err), ShouldEqual, fault.InsufficientQuota)
			_, err = f.host("a1").Reserve(ctx, testBudget, 1001)
			So(codeOf(err), ShouldEqual, fault.InsufficientQuota)
			So(fault.From(err).Run, ShouldEqual, fault.NotRun)
			f.table.SetMode(standin.ModeDown)
			_, err = f.host("a1").Reserve(ctx, "other", 5)
			So(codeOf(err), ShouldEqual, fault.BudgetUnavailable)
			So(fault.From(err).RetryAfter, ShouldBeGreaterThan, 0)
		})
	})
}
