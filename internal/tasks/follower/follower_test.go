package follower

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/rowstore"
)

// turning is a store that turns the host away for a time and counts its calls.
type turning struct {
	rowstore.Store
	from, until time.Time
	reads       int
	feedsAfter  int
}

var errAway = errors.New("turned away")

func (s *turning) away() bool {
	now := time.Now()
	return !now.Before(s.from) && now.Before(s.until)
}

func (s *turning) Get(context.Context, string, string) ([]rowstore.Row, rowstore.Stamp, error) {
	if s.away() {
		return nil, rowstore.Stamp{}, errAway
	}
	s.reads++
	return nil, rowstore.Stamp{Version: 100}, nil
}

func (s *turning) Feed(_ context.Context, _ string, after int64, wait time.Duration) ([]rowstore.Row, int64, error) {
	if s.away() {
		return nil, after, errAway
	}
	if !time.Now().Before(s.until) && s.reads < 2 {
		s.feedsAfter++
	}
	time.Sleep(wait)
	return nil, after, nil
}

// Guards against a host that asks, after an outage, for all versions of a large
// configuration and never gets them through a slow link.
func TestATableIsReadInFullAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a store that turns the host away for 8 s", t, func() {
			start := time.Now()
			store := &turning{from: start.Add(3 * time.Second), until: start.Add(11 * time.Second)}
			ctx, cancel := context.WithCancel(context.Background())
			follower := &Follower{Store: store, Now: time.Now, Log: zap.NewNop(), Update: func(Update) {}, Health: func(Health) {}}
			go follower.Run(ctx)
			time.Sleep(13 * time.Second)
			synctest.Wait()
			cancel()
			time.Sleep(2 * time.Second)
			synctest.Wait()
			So(store.reads, ShouldEqual, 2)
			So(store.feedsAfter, ShouldEqual, 0)
		})
	})
}
