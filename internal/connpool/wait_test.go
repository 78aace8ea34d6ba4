package connpool

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/task"
)

// settle waits until the pool has handled what was sent to it.
func settle(pool *Pool) {
	_, _ = task.Ask(context.Background(), pool.inbox, func(reply chan<- bool) any {
		return retire{&Connection{upstream: "none", stop: make(chan struct{})}, reply}
	})
}

// Guards against requests that are turned away although a connection is released within a
// moment, and against later requests that get it first.
func TestRequestsWaitForAReleasedConnectionInOrder(t *testing.T) {
	Convey("Given a bound of one connection, which is in use", t, func() {
		address, _, stop := upstream()
		pool, end := startPool()
		Reset(func() { end(); stop() })
		target := Target{Upstream: "u", Address: address, MaxConnections: 1}
		held, _, err := pool.Acquire(context.Background(), target)
		So(err, ShouldBeNil)
		var replies []chan acquired
		wait := func(ctx context.Context, longest time.Duration) {
			reply := make(chan acquired, 1)
			waiting := target
			waiting.MaxWait = longest
			So(pool.inbox.Send(ctx, acquire{ctx, waiting, reply}), ShouldBeNil)
			replies = append(replies, reply)
		}
		Convey("each gets it in turn, but for one that gave up", func() {
			ctx, giveUp := context.WithCancel(context.Background())
			wait(ctx, time.Hour)
			wait(context.Background(), time.Hour)
			wait(context.Background(), time.Hour)
			giveUp()
			pool.release(held)
			So((<-replies[0]).err, ShouldEqual, context.Canceled)
			So((<-replies[1]).connection, ShouldEqual, held)
			settle(pool)
			So(replies[2], ShouldBeEmpty)
			pool.release(held)
			So((<-replies[2]).connection, ShouldEqual, held)
		})
		Convey("the wait is bounded", func() {
			wait(context.Background(), time.Millisecond)
			So((<-replies[0]).err, ShouldEqual, ErrConnectionLimit)
			settle(pool)
			pool.release(held)
			again, fresh, err := pool.Acquire(context.Background(), target)
			So(err, ShouldBeNil)
			So(fresh, ShouldBeFalse)
			So(again, ShouldEqual, held)
		})
		Convey("a request gets a connection of its own once more are allowed", func() {
			wait(context.Background(), time.Hour)
			pool.SetLimit("u", 2)
			got := <-replies[0]
			So(got.err, ShouldBeNil)
			So(got.isNew, ShouldBeTrue)
			Convey("and one is closed when it is released after the limit has fallen", func() {
				pool.SetLimit("u", 1)
				pool.release(got.connection)
				<-got.connection.stop
				settle(pool)
				pool.release(held)
				again, _, err := pool.Acquire(context.Background(), target)
				So(err, ShouldBeNil)
				So(again, ShouldEqual, held)
			})
			Convey("and an idle one is closed when the limit falls", func() {
				pool.release(got.connection)
				settle(pool)
				pool.SetLimit("u", 1)
				<-got.connection.stop
			})
		})
	})
}
