package admitter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/filter/admit"
	"github.com/peridotreel/peridotreel/internal/task"
)

var testPool = upstreams.Pool{Model: "m"}

func testWork() *core.Work {
	row := &core.TeamRow{Team: "t", Weight: 1, MaxInFlight: 1000, TokensPerSecond: 1e6, QueueLength: 1000}
	return &core.Work{
		Call:   &core.Call{Kind: core.KindCompletion, Completion: &core.Completion{Model: "m"}},
		Caller: core.Caller{Team: row}, Estimate: 100, Deadline: time.Now().Add(time.Minute),
	}
}

// withStartedTask runs a test in a synctest bubble, which has a fake clock, with a
// running task whose pool has the given number of slots.
func withStartedTask(t *testing.T, slots int, body func(*Task)) {
	synctest.Test(t, func(t *testing.T) {
		Convey("", t, func() {
			var group task.Group
			admitter := New(Config{})
			group.Start(admitter)
			defer group.Stop()
			So(admitter.SetCapacities([]upstreams.Capacity{{Pool: testPool, Slots: slots}}, 1), ShouldBeTrue)
			synctest.Wait()
			body(admitter)
		})
	})
}

// Guards against a slot that leaks when the caller disconnects while it waits or at
// the moment when the slot is granted.
func TestAbandonedEnterLeavesNoTrace(t *testing.T) {
	withStartedTask(t, 1, func(admitter *Task) {
		held, err := admitter.Enter(context.Background(), testWork())
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		failed := make(chan error, 2)
		go func() {
			_, err := admitter.Enter(ctx, testWork())
			failed <- err
		}()
		synctest.Wait()
		status, _ := admitter.Status(context.Background())
		So(status.Waiting, ShouldEqual, 1)
		cancel()
		So(fault.From(<-failed).Code, ShouldEqual, fault.CallerGone)
		synctest.Wait()
		status, _ = admitter.Status(context.Background())
		So(status.Waiting, ShouldEqual, 0)

		// The grant races with the end of ctx; whichever comes first, the slot
		// must be free afterwards.
		for range 200 {
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				slot, err := admitter.Enter(ctx, testWork())
				if err == nil {
					admitter.Leave(slot, 100)
				}
				close(done)
			}()
			synctest.Wait()
			go cancel()
			admitter.Leave(held, 100)
			<-done
			held, err = admitter.Enter(context.Background(), testWork())
			So(err, ShouldBeNil)
		}
	})
}

// Guards against callers that block when the task can't keep up.
func TestFullInboxRefuses(t *testing.T) {
	Convey("A full inbox", t, func() {
		admitter := New(Config{})
		for admitter.inbox.TrySend(leaveMessage{}) {
		}
		_, err := admitter.Enter(context.Background(), testWork())
		refused := fault.From(err)
		So(refused.Code, ShouldEqual, fault.Overloaded)
		So(refused.Run, ShouldEqual, fault.NotRun)
		So(refused.RetryAfter, ShouldBeGreaterThan, 0)
	})
}

// Guards against requests that hang when the host stops.
func TestStopReleasesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A task that stops", t, func() {
			var group task.Group
			admitter := New(Config{})
			group.Start(admitter)
			admitter.SetCapacities([]upstreams.Capacity{{Pool: testPool, Slots: 1}}, 1)
			_, err := admitter.Enter(context.Background(), testWork())
			So(err, ShouldBeNil)
			failed := make(chan error, 1)
			go func() {
				_, err := admitter.Enter(context.Background(), testWork())
				failed <- err
			}()
			synctest.Wait()
			group.Stop()
			So(fault.From(<-failed).Run, ShouldEqual, fault.NotRun)
			admitter.Leave(admit.Slot{}, 0)
		})
	})
}
