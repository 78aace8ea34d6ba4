// Package follower follows a table of the store: a full read, then its feed.
package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// feedWait is how long the store holds a call without changes. It bounds
	// the time until a connection that fell silent is noticed.
	feedWait = time.Second
	// answerTimeout is the time beyond feedWait after which a connection is
	// given up. A slow store takes some hundred milliseconds.
	answerTimeout = 1200 * time.Millisecond
	// readTimeout bounds a full read.
	readTimeout = 2 * time.Second
	// retryLeast and retryMost bound the delay between calls that fail. It is
	// kept short of the time in which changes must be in force.
	retryLeast = 100 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// feedGap is the time without an answer after which the table is read in
	// full. The feed would return each version of each row since then, which on a
	// slow link takes longer than the next change.
	feedGap = 2500 * time.Millisecond
)

// Update is what a follower learned.
type Update struct {
	Table string
	// Rows are all rows if Full, else the changed ones in order.
	Rows []rowstore.Row
	Full bool
	// Version is that up to which the host now knows the table.
	Version int64
	At      time.Time
}

// Health tells whether the store answers.
type Health struct {
	Table    string
	Answers  bool
	Cause    error
	Since    time.Time
	LastSeen time.Time
}

// Follower is the task that follows one table. Updates and changes of health
// are given to functions, which pass them on as messages.
type Follower struct {
	Store rowstore.Store
	Table string
	// Part is read in full before the table's feed is followed.
	Part   string
	Now    func() time.Time
	Log    *zap.Logger
	Update func(Update)
	Health func(Health)
	// Wait is how long the store holds a call without changes; 0 for a second.
	Wait time.Duration
	// Pace is the least time between two calls; 0 for none. It bounds the
	// calls for a table that changes all the time.
	Pace time.Duration
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	version, known := int64(0), false
	answers, lastSeen := true, f.Now()
	delay := retryLeast
	for ctx.Err() == nil {
		began := f.Now()
		next, err := f.step(ctx, version, known)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			version, known, delay = next, true, retryLeast
			lastSeen = f.Now()
			if !answers {
				answers = true
				f.Log.Info("the store answers again", zap.String("event", "store_regained"), zap.String("table", f.Table), zap.Int64("version", version))
				f.Health(Health{Table: f.Table, Answers: true, Since: lastSeen, LastSeen: lastSeen})
			}
			// A wait that ctx ends is noticed by the loop.
			if rest := f.Pace - f.Now().Sub(began); rest > 0 {
				_ = task.Sleep(ctx, rest)
			}
			continue
		}
		if errors.Is(err, rowstore.ErrHistoryGone) {
			f.Log.Info("the store dropped its history; reading the table in full",
				zap.String("event", "history_gone"), zap.String("table", f.Table), zap.Int64("version", version))
			known = false
			continue
		}
		if answers {
			answers = false
			f.Log.Warn("the store does not answer", zap.String("event", "store_lost"), zap.String("table", f.Table),
				zap.Int64("version", version), zap.Error(err))
		}
		// Sent with each failure, so that the receiver knows the time of the
		// last answer.
		f.Health(Health{Table: f.Table, Cause: err, Since: began, LastSeen: lastSeen})
		if f.Now().Sub(lastSeen) > feedGap {
			known = false
		}
		_ = task.Sleep(ctx, delay/2+rand.N(delay/2))
		delay = min(delay*2, retryMost)
	}
}

// step reads the table in full, or what changed after the version.
func (f *Follower) step(ctx context.Context, version int64, known bool) (int64, error) {
	timeout := readTimeout
	if known {
		timeout = f.wait() + answerTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var rows []rowstore.Row
	var next int64
	var err error
	if known {
		rows, next, err = f.Store.Feed(ctx, f.Table, version, f.wait())
	} else {
		var stamp rowstore.Stamp
		rows, stamp, err = f.Store.Get(ctx, f.Table, f.Part)
		next = stamp.Version
	}
	if err != nil {
		return version, err
	}
	// Updates without rows confirm that the host knows the newest version.
	f.Update(Update{Table: f.Table, Rows: rows, Full: !known, Version: next, At: f.Now()})
	return max(next, version), nil
}

func (f *Follower) wait() time.Duration {
	if f.Wait > 0 {
		return f.Wait
	}
	return feedWait
}
