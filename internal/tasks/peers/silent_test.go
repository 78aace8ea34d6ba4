package peers

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/rowstore"
)

// failingCaller records when calls begin. None is answered that begins before failUntil,
// after which a new connection is used.
type failingCaller struct {
	failUntil time.Time
	began     chan time.Time
}

func (c failingCaller) Call(ctx context.Context, _ core.Peer, _ string, _, _ any) error {
	began := time.Now()
	c.began <- began
	if began.Before(c.failUntil) {
		<-ctx.Done()
		return errors.New("no answer")
	}
	return nil
}

// acceptingStore takes every commit.
type acceptingStore struct{ rowstore.Store }

func (acceptingStore) Commit(context.Context, rowstore.Commit) (rowstore.Stamp, error) {
	return rowstore.Stamp{}, nil
}

// callsOf returns when calls of the only peer begin, from the start, if all fail that begin
// within failFor.
func callsOf(failFor, duration time.Duration) []time.Duration {
	start := time.Now()
	caller := failingCaller{start.Add(failFor), make(chan time.Time, 1000)}
	task := New(Config{
		Host: "host-1", Address: "127.0.0.1:1", Seeds: []string{"127.0.0.1:2"}, Store: acceptingStore{}, Caller: caller, Director: fixedDirector{},
		Log: zap.NewNop(), Now: time.Now,
	})
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	task.Run(ctx)
	var calls []time.Duration
	for len(caller.began) > 0 {
		calls = append(calls, (<-caller.began).Sub(start))
	}
	return calls
}

// Guards against a host that calls none of its peers for 1.5 s because its connections to
// them have gone silent, although new ones work; and against frequent calls of a peer that
// is gone.
func TestAPeerIsCalledAgainAtOnceAfterOneSilentConnection(t *testing.T) {
	// longestRound is the longest time between two rounds.
	const longestRound = 3 * roundInterval / 2
	gapFrom := func(calls []time.Duration, from time.Duration) time.Duration {
		for i := 1; i < len(calls); i++ {
			if calls[i] > from {
				return calls[i] - calls[i-1]
			}
		}
		return 0
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a peer whose connection has gone silent", t, func() {
			calls := callsOf(callTimeout, 10*time.Second)
			So(gapFrom(calls, callTimeout+longestRound), ShouldBeBetweenOrEqual, time.Millisecond, longestRound)
		})
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a peer that is gone", t, func() {
			calls := callsOf(time.Hour, 60*time.Second)
			// Of the calls that fail after a second, all but the first few are followed by a pause.
			So(len(calls), ShouldBeBetween, 10, 70)
		})
	})
}
