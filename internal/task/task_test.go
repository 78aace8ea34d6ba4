package task

import (
	"context"
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

type echo struct{ inbox *Inbox[chan<- int] }

func (e *echo) Run(ctx context.Context) {
	defer e.inbox.Close()
	for {
		select {
		case reply := <-e.inbox.Messages():
			reply <- 7
		case <-ctx.Done():
			return
		}
	}
}

// A sender must not block forever on a full inbox or on a task that has ended.
func TestAskEndsWithTheTaskOrTheContext(t *testing.T) {
	ask := func(reply chan<- int) chan<- int { return reply }
	Convey("A running task answers, a stopped one gives ErrStopped", t, func() {
		task := &echo{NewInbox[chan<- int](1)}
		var group Group
		group.Start(task)
		answer, err := Ask(context.Background(), task.inbox, ask)
		So(err, ShouldBeNil)
		So(answer, ShouldEqual, 7)
		group.Stop()
		_, err = Ask(context.Background(), task.inbox, ask)
		So(err, ShouldEqual, ErrStopped)
	})
	Convey("A full inbox gives ErrOverloaded when the context ends", t, func() {
		inbox := NewInbox[chan<- int](1)
		So(inbox.TrySend(nil), ShouldBeTrue)
		So(inbox.TrySend(nil), ShouldBeFalse)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := Ask(ctx, inbox, ask)
		So(errors.Is(err, ErrOverloaded), ShouldBeTrue)
	})
}

// Guards against a sender that waits for the receiver, and against a receiver that gets a
// message that was replaced.
func TestLatestReplacesTheMessageThatWasNotReceived(t *testing.T) {
	Convey("Only the latest message is received", t, func() {
		latest := NewLatest[int]()
		for i := range 3 {
			latest.Set(i)
		}
		So(<-latest.Messages(), ShouldEqual, 2)
		So(len(latest.Messages()), ShouldEqual, 0)
	})
}
