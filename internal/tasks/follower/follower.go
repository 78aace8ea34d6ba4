// Package follower keeps up with a table of the store: it reads the table in
// full and then follows its change feed.
package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// defaultFeedWait is how long the store holds a feed call when there are no
	// changes. It bounds the time until a dead connection is detected.
	defaultFeedWait = time.Second
	// feedTimeoutMargin is added to the wait of a feed call to get its timeout. A
	// slow store takes a few hundred milliseconds to answer.
	feedTimeoutMargin = 1200 * time.Millisecond
	// overdueMargin is added to the wait of a feed call to get the time after which it is
	// made again over a new connection. A slow store takes a few hundred milliseconds to
	// answer, and a change has to be in force within 2 s of its acknowledgement.
	overdueMargin = 600 * time.Millisecond
	// fullReadTimeout limits a full read.
	fullReadTimeout = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the backoff after failed calls. Both
	// are short compared to the time within which changes must take effect.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// maxFeedGap is the time without an answer after which the table is read in
	// full. The feed would return every version of every row since then; on a
	// slow link that takes longer than the interval between changes.
	maxFeedGap = 2500 * time.Millisecond
)

// Update is the result of one call to the store.
type Update struct {
	Table string
	// Rows holds all rows if Full is true, else the changed rows in order.
	Rows []rowstore.Row
	Full bool
	// Revision is the revision of the store that the host has now reached.
	Revision core.Revision
	At       time.Time
}

// Health reports whether the store answers.
type Health struct {
	Table     string
	Reachable bool
	Cause     error
	// Since is when the store answered again, or when the call that failed began.
	Since time.Time
}

// Follower is the task that follows one table. It passes updates and the
// store's health to callbacks, which send them on as messages.
type Follower struct {
	Store rowstore.Store
	Table string
	// Part selects the part of the table that a full read returns.
	Part   string
	Now    func() time.Time
	Log    *zap.Logger
	Update func(Update)
	Health func(Health)
	// FeedWait is how long the store holds a feed call when there are no changes;
	// 0 means one second.
	FeedWait time.Duration
	// MinInterval is the minimum time between the starts of two calls; 0 means
	// none. It limits the call rate for a table that changes all the time.
	MinInterval time.Duration
}

// position is how far a follower has come.
type position struct {
	reached core.Revision
	// synced is true if the feed can be followed from reached.
	synced bool
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var at position
	reachable, lastAnswer := true, f.Now()
	delay := minRetryDelay
	for ctx.Err() == nil {
		began := f.Now()
		next, err := f.readOnce(ctx, at)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			at, delay = next, minRetryDelay
			lastAnswer = f.Now()
			if !reachable {
				reachable = true
				f.Log.Info("store is reachable again", zap.String("event", "store_regained"), zap.String("table", f.Table), revisionField("version", at.reached))
				f.Health(Health{Table: f.Table, Reachable: true, Since: lastAnswer})
			}
			// The loop checks ctx itself.
			if remaining := f.MinInterval - f.Now().Sub(began); remaining > 0 {
				_ = task.Sleep(ctx, remaining)
			}
			continue
		}
		if errors.Is(err, rowstore.ErrHistoryGone) {
			f.Log.Info("store no longer has the changes since this version; reading the table in full",
				zap.String("event", "history_gone"), zap.String("table", f.Table), revisionField("version", at.reached))
			at.synced = false
			continue
		}
		if reachable {
			reachable = false
			f.Log.Warn("store is unreachable", zap.String("event", "store_lost"), zap.String("table", f.Table),
				revisionField("version", at.reached), zap.Error(err))
		}
		f.Health(Health{Table: f.Table, Cause: err, Since: began})
		if f.Now().Sub(lastAnswer) > maxFeedGap {
			at.synced = false
		}
		_ = task.Sleep(ctx, delay/2+rand.N(delay/2))
		delay = min(delay*2, maxRetryDelay)
	}
}

// errEarlierEra means that an answer is from before the latest return of the store.
var errEarlierEra = errors.New("the answer is from before the store came back from a copy; read again")

// readOnce reads the table in full, or the changes after a revision if the table
// has been read before. After a return of the store, only a full read tells what
// the table has.
func (f *Follower) readOnce(ctx context.Context, at position) (position, error) {
	timeout := fullReadTimeout
	if at.synced {
		timeout = f.feedWait() + feedTimeoutMargin
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var rows []rowstore.Row
	var next core.Revision
	var err error
	if at.synced {
		rows, next, err = f.feed(ctx, at.reached)
	} else {
		var stamp rowstore.Stamp
		rows, stamp, err = f.Store.Get(ctx, f.Table, f.Part)
		next = stamp.Revision
	}
	if err != nil {
		return at, err
	}
	if next.Era < at.reached.Era {
		return at, errEarlierEra
	}
	if next.Era > at.reached.Era && at.reached.Number > 0 {
		f.Log.Warn("the store has come back from an older copy; reading the table in full", zap.String("event", "store_returned"),
			zap.String("table", f.Table), revisionField("reached", at.reached), revisionField("returned_to", next))
		if at.synced {
			// The numbers of both eras overlap, so that these rows may not be all
			// changes.
			return position{reached: core.Revision{Era: next.Era}}, nil
		}
	}
	// An update without rows confirms that the host has the latest revision.
	f.Update(Update{Table: f.Table, Rows: rows, Full: !at.synced, Revision: next, At: f.Now()})
	if at.reached.Newer(next) {
		next = at.reached // the store may answer reads from a replica that is behind
	}
	return position{reached: next, synced: true}, nil
}

// changes is the result of a feed call.
type changes struct {
	rows []rowstore.Row
	next core.Revision
	err  error
}

// feed reads the changes after a revision. If the answer is overdue, it asks again over a
// new connection, as the first may have gone silent for good, and takes the answer that
// comes first.
func (f *Follower) feed(ctx context.Context, after core.Revision) ([]rowstore.Row, core.Revision, error) {
	results := make(chan changes, 2)
	call := func() {
		rows, next, err := f.Store.Feed(ctx, f.Table, after, f.feedWait())
		results <- changes{rows, next, err}
	}
	overdue := time.NewTimer(f.feedWait() + overdueMargin)
	defer overdue.Stop()
	go call()
	for inProgress := 1; ; {
		select {
		case result := <-results:
			inProgress--
			var unavailable *rowstore.UnavailableError
			if inProgress == 0 || !errors.As(result.err, &unavailable) {
				return result.rows, result.next, result.err
			}
		case <-overdue.C:
			f.Log.Info("the store's answer is overdue; asking again over a new connection",
				zap.String("event", "feed_overdue"), zap.String("table", f.Table), revisionField("version", after))
			f.Store.Reconnect()
			inProgress++
			go call()
		}
	}
}

// revisionField formats a revision for the log.
func revisionField(key string, revision core.Revision) zap.Field {
	return zap.String(key, revision.String())
}

func (f *Follower) feedWait() time.Duration {
	if f.FeedWait > 0 {
		return f.FeedWait
	}
	return defaultFeedWait
}
