package shares

import (
	"context"
	"net"
	"net/rpc"
	"sync"
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

func ref(name string) core.HostRef {
	return core.HostRef{Host: core.HostID(name), Incarnation: 1}
}

func TestDraws(t *testing.T) {
	conveyInBubble(t, "one draw", func(t *testing.T) {
		f := newTestFleet(100_000, "a1")
		defer f.close()
		Convey("concurrent reservations share the draw in flight, and a lost reply grants once", t, func() {
			before, _ := f.table.OperationCounts()
			f.repliesToLose.Store(2)
			var calls sync.WaitGroup
			for range 20 {
				calls.Go(func() { _, _ = f.host("a1").Reserve(context.Background(), testBudget, 10) })
			}
			calls.Wait()
			after, _ := f.table.OperationCounts()
			// Two retries of the first commit, and one draw for all reservations
			// that came while it was in flight.
			So(after-before, ShouldBeLessThanOrEqualTo, 4)
			list, err := f.host("a1").Status(context.Background())
			So(err, ShouldBeNil)
			So(list[0].Reserved, ShouldEqual, 200)
			So(f.budget().Drawn, ShouldEqual, list[0].Reserved+list[0].Available)
		})
	})
	conveyInBubble(t, "batch", func(t *testing.T) {
		f := newTestFleet(100_000, "a1")
		defer f.close()
		Convey("draws on several budgets share a commit, and an invalid row delays no other budget", t, func() {
			ctx := context.Background()
			for _, id := range []core.BudgetID{"second", "third", "fourth"} {
				f.topUpBudget(id, "p", 1000)
			}
			invalid := platform.Commit{Writes: []platform.Write{{Key: rows.BudgetKey("invalid"), Value: []byte("{")}}}
			_, err := f.table.Commit(ctx, invalid)
			So(err, ShouldBeNil)
			reserve := func(ids ...core.BudgetID) []error {
				var calls sync.WaitGroup
				errs := make([]error, len(ids))
				for i, id := range ids {
					calls.Go(func() { _, errs[i] = f.host("a1").Reserve(ctx, id, 100) })
					synctest.Wait()
				}
				calls.Wait()
				return errs
			}
			before, _ := f.table.OperationCounts()
			// The first draw is in flight when the others come.
			reserve(testBudget, "second", testBudget)
			after, _ := f.table.OperationCounts()
			So(after-before, ShouldEqual, 2)
			errs := reserve("third", "invalid", "fourth")
			So(codeOf(errs[1]), ShouldEqual, fault.BudgetUnavailable)
			So(errs[2], ShouldBeNil)
		})
	})
	conveyInBubble(t, "recall", func(t *testing.T) {
		f := newTestFleet(10_000, "a1", "b1", "c1", "d1")
		defer f.close()
		Convey("unreserved tokens of other zones are recalled before a refusal", t, func() {
			ctx := context.Background()
			for _, name := range []string{"a1", "b1"} {
				reservation, err := f.host(name).Reserve(ctx, testBudget, 1000)
				So(err, ShouldBeNil)
				f.host(name).Settle(reservation, 500)
			}
			reservation, err := f.host("c1").Reserve(ctx, testBudget, 9000)
			So(err, ShouldBeNil)
			f.host("c1").Settle(reservation, 8000)
			// A host whose first draw finds the budget exhausted has no row yet.
			_, err = f.host("d1").Reserve(ctx, testBudget, 1000)
			So(err, ShouldBeNil)
			began := time.Now()
			_, err = f.host("c1").Reserve(ctx, testBudget, 1)
			So(codeOf(err), ShouldEqual, fault.InsufficientQuota)
			So(time.Since(began), ShouldBeLessThanOrEqualTo, maxRecallWait)
			f.topUp("second", 50)
			time.Sleep(exhaustedRefusalPeriod)
			_, err = f.host("c1").Reserve(ctx, testBudget, 50)
			So(err, ShouldBeNil)
		})
	})
	conveyInBubble(t, "owner", func(t *testing.T) {
		f := newTestFleet(10_000, "a1", "a2", "a3")
		defer f.close()
		Convey("a draw skips an owner that does not answer, and idle shares are returned", t, func() {
			ctx := context.Background()
			owners, _ := f.host("a1").rankOwners(testBudget)
			f.silent[owners[0].Ref] = true
			for _, name := range []string{"a1", "a2", "a3"} {
				reservation, err := f.host(name).Reserve(ctx, testBudget, 100)
				So(err, ShouldBeNil)
				f.host(name).Settle(reservation, 40)
			}
			time.Sleep(budget.IdleAfter + flushTimeout)
			So(f.budget().Drawn, ShouldEqual, 120)
		})
	})
}

// TestWire guards against messages that net/rpc can't register or carry.
func TestWire(t *testing.T) {
	conveyInBubble(t, "net/rpc", func(t *testing.T) {
		f := newTestFleet(10_000, "a1")
		defer f.close()
		Convey("a draw passes through net/rpc, and a newer wire version is refused", t, func() {
			server := rpc.NewServer()
			So(server.RegisterName(ReceiverName, f.host("a1").Receiver()), ShouldBeNil)
			near, far := net.Pipe()
			go server.ServeConn(far)
			client := rpc.NewClient(near)
			defer func() { _ = client.Close() }()
			args := DrawArgs{Wire: 1, Share: core.ShareID{Budget: testBudget, Holder: ref("a2")}, Sequence: 1, Need: 70}
			for range 2 {
				var reply LedgerReply
				So(client.Call(ReceiverName+".Draw", args, &reply), ShouldBeNil)
				So(reply.Status, ShouldEqual, StatusGranted)
				So(reply.Granted, ShouldEqual, 70)
			}
			args.Wire = peerrpc.WireVersion + 1
			So(client.Call(ReceiverName+".Draw", args, &LedgerReply{}), ShouldNotBeNil)
		})
	})
}

func TestOutageAndRelease(t *testing.T) {
	conveyInBubble(t, "outage", func(t *testing.T) {
		f := newTestFleet(10_000, "a1")
		defer f.close()
		Convey("shares are spent during an outage, refusals give it as the reason, and draws work again after it", t, func() {
			ctx := context.Background()
			_, err := f.host("a1").Reserve(ctx, testBudget, 100)
			So(err, ShouldBeNil)
			f.table.SetMode(standin.ModeDown)
			reservation, err := f.host("a1").Reserve(ctx, testBudget, 100)
			So(err, ShouldBeNil)
			_, err = f.host("a1").Reserve(ctx, testBudget, 5000)
			So(codeOf(err), ShouldEqual, fault.BudgetUnavailable)
			So(fault.From(err).Run, ShouldEqual, fault.NotRun)
			f.host("a1").Settle(reservation, 100)
			f.table.SetMode(standin.ModeNone)
			time.Sleep(unavailableRefusalPeriod)
			_, err = f.host("a1").Reserve(ctx, testBudget, 5000)
			So(err, ShouldBeNil)
		})
	})
	conveyInBubble(t, "release", func(t *testing.T) {
		f := newTestFleet(10_000, "a1")
		defer f.close()
		Convey("a host that learns of its release spends nothing more, and its late bill is paid", t, func() {
			ctx := context.Background()
			reservation, err := f.host("a1").Reserve(ctx, testBudget, 100)
			So(err, ShouldBeNil)
			_, err = NewTableLedger(f.table, time.Now).Release(ctx, ref("a1"))
			So(err, ShouldBeNil)
			So(f.budget().Drawn, ShouldEqual, 0)
			time.Sleep(budget.RenewInterval + 2*tickInterval)
			_, err = f.host("a1").Reserve(ctx, testBudget, 1)
			So(codeOf(err), ShouldEqual, fault.BudgetUnavailable)
			f.host("a1").Settle(reservation, 70)
			time.Sleep(billedWriteInterval + 2*tickInterval)
			So(f.budget().Drawn, ShouldEqual, 70)
		})
	})
	conveyInBubble(t, "caller gone", func(t *testing.T) {
		f := newTestFleet(10_000, "a1")
		defer f.close()
		Convey("a reservation is cancelled when its caller leaves", t, func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			defer cancel()
			_, err := f.host("a1").Reserve(ctx, testBudget, 100)
			So(codeOf(err), ShouldEqual, fault.DeadlineExceeded)
			time.Sleep(time.Second)
			list, _ := f.host("a1").Status(context.Background())
			So(list[0].Reserved, ShouldEqual, 0)
			So(list[0].Waiting, ShouldEqual, 0)
		})
	})
	conveyInBubble(t, "drain", func(t *testing.T) {
		f := newTestFleet(10_000, "a1", "b1")
		defer f.close()
		Convey("a drain waits for open reservations and returns an error if its deadline passes first", t, func() {
			reservation, err := f.host("a1").Reserve(context.Background(), testBudget, 100)
			So(err, ShouldBeNil)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			So(f.host("a1").Drain(ctx), ShouldNotBeNil)
			f.host("a1").Settle(reservation, 30)
			synctest.Wait()
			time.Sleep(time.Second)
			So(f.budget().Drawn, ShouldEqual, 30)
			shares, _ := NewTableLedger(f.table, time.Now).Shares(context.Background(), testBudget)
			So(shares[0].State, ShouldEqual, budget.Released)
		})
	})
}

func BenchmarkTaskReserveSettle(b *testing.B) {
	table := standin.NewService()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { table.Run(ctx) })
	payment := budget.TopUp{Budget: testBudget, Token: "p", Amount: 1 << 50}
	if err := NewTableLedger(table, time.Now).TopUp(ctx, payment); err != nil {
		b.Fatal(err)
	}
	host := New(Config{Table: table, Self: ref("a1"), Zone: "a"})
	running.Go(func() { host.Run(ctx) })
	b.ReportAllocs()
	for b.Loop() {
		reservation, err := host.Reserve(ctx, testBudget, 100)
		if err != nil {
			b.Fatal(err)
		}
		host.Settle(reservation, 60)
	}
	cancel()
	running.Wait()
}
