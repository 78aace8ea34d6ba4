// Package teams is the task that keeps the operators' table in force on a
// host. It reads the platform's change feed and, when the platform can't be
// reached, asks peers that are ahead.
package teams

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/teamtable"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// pollInterval is the mean time between reads of the change feed: 330
	// hosts make 330 of the platform's 2,000 reads a second.
	pollInterval = time.Second
	// maxBackoff bounds the delay after failed reads. Together with a read
	// that takes pollTimeout it stays under the 5 s in which a change must be
	// in force.
	maxBackoff = 3 * time.Second
	// pollTimeout bounds one read of the platform.
	pollTimeout = 1500 * time.Millisecond
	// loadTimeout bounds the first read, which carries the whole table.
	loadTimeout = 10 * time.Second
	// inboxCapacity bounds the peers that wait for an answer.
	inboxCapacity = 64
)

// prefixes of the rows that this task reads.
var prefixes = []string{rows.TeamPrefix, rows.ServicePrefix}

// Config describes a Task.
type Config struct {
	Table platform.Table
	// Caller and Peers let the task ask peers; nil reads the platform only.
	Caller peerrpc.Caller
	Peers  core.PeerSource
	// OnRevision, if set, is called from the task with each new revision.
	OnRevision func(revision int64)
	// Now is the clock; nil takes time.Now.
	Now func() time.Time
	// Interval is the mean time between reads of the change feed; 0 takes 1 s.
	// A longer one breaks the 5 s in which a change must be in force.
	Interval time.Duration
	// Seed of the jitter.
	Seed  uint64
	Log   *zap.Logger
	Meter metric.Meter
}

// Status tells how fresh the rows in force are.
type Status struct {
	Revision int64
	// Loaded is false before the first load.
	Loaded bool
	// Age is the time since the platform or a peer last confirmed that the
	// rows in force are the latest.
	Age time.Duration
	// PlatformReachable is false when the latest read of the platform failed.
	PlatformReachable bool
	// Invalid counts the versions that failed validation on this host.
	Invalid int64
}

// Task owns the rows in force.
type Task struct {
	config  Config
	inbox   *task.Inbox[any]
	current atomic.Pointer[teamtable.Snapshot]
	status  atomic.Pointer[published]
	metrics metrics
}

// published is the part of Status that the task stores.
type published struct {
	Status
	confirmed time.Time
}

// Messages to the task.
type (
	sinceRequest struct {
		since int64
		reply chan<- SinceReply
	}
	platformResult struct {
		set platform.ChangeSet
		err error
	}
	peerResult struct {
		reply SinceReply
		err   error
	}
)

// New returns the task.
func New(config Config) *Task {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	if config.Interval == 0 {
		config.Interval = pollInterval
	}
	t := &Task{config: config, inbox: task.NewInbox[any](inboxCapacity)}
	t.status.Store(&published{})
	t.metrics = newMetrics(t)
	return t
}

// Current returns the rows in force, nil before the first load.
func (t *Task) Current() *teamtable.Snapshot {
	return t.current.Load()
}

// Status returns how fresh the rows in force are.
func (t *Task) Status() Status {
	known := t.status.Load()
	status := known.Status
	if status.Loaded {
		status.Age = t.config.Now().Sub(known.confirmed)
	}
	return status
}

// Run reads changes until ctx ends.
func (t *Task) Run(ctx context.Context) {
	defer t.inbox.Close()
	owned := newState(t)
	poll := time.NewTimer(0)
	defer poll.Stop()
	ask := time.NewTimer(owned.delay())
	defer ask.Stop()
	for {
		select {
		case <-poll.C:
			go t.readPlatform(ctx, owned.table.Snapshot().Revision)
		case <-ask.C:
			if !owned.askPeer(ctx) {
				ask.Reset(owned.delay())
			}
		case message := <-t.inbox.Messages():
			switch message := message.(type) {
			case sinceRequest:
				message.reply <- owned.page(message.since)
			case platformResult:
				poll.Reset(owned.fromPlatform(message))
			case peerResult:
				ask.Reset(owned.fromPeer(message))
			}
		case <-ctx.Done():
			return
		}
	}
}

// readPlatform is a worker that owns one read of the change feed.
func (t *Task) readPlatform(ctx context.Context, since int64) {
	limit := pollTimeout
	if since == 0 {
		limit = loadTimeout
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var result platformResult
	result.set, result.err = t.config.Table.Changes(limited, platform.Revision(since), prefixes)
	// The task's end makes the result useless.
	_ = t.inbox.Send(ctx, result)
}

// readPeer is a worker that owns one call of a peer.
func (t *Task) readPeer(ctx context.Context, peer core.Peer, since int64) {
	var result peerResult
	args := SinceArgs{Revision: since, Wire: peerrpc.WireVersion}
	result.err = t.config.Caller.Call(ctx, peer, sinceMethod, args, &result.reply)
	_ = t.inbox.Send(ctx, result)
}

// state belongs to the task's goroutine.
type state struct {
	task   *Task
	table  *teamtable.Table
	random *rand.Rand
	// rows are the latest versions seen, readable or not, for peers.
	rows map[string]platform.Row
	// failures counts reads of the platform that failed in a row.
	failures int
	known    published
}

func newState(t *Task) *state {
	return &state{
		task: t, table: teamtable.NewTable(), rows: make(map[string]platform.Row),
		random: rand.New(rand.NewPCG(t.config.Seed, 0)),
	}
}

// delay returns 0.8 to 1.2 times the interval, so that hosts started together
// don't read together.
func (s *state) delay() time.Duration {
	return time.Duration(float64(s.task.config.Interval) * (0.8 + 0.4*s.random.Float64()))
}

// fromPlatform takes a result and returns the delay to the next read.
func (s *state) fromPlatform(result platformResult) time.Duration {
	if result.err == nil {
		if s.failures > 0 {
			s.task.config.Log.Info("the platform's change feed is readable again", zap.Int("failed_reads", s.failures))
		}
		s.failures = 0
		s.known.PlatformReachable = true
		s.merge(result.set, true)
		return s.delay()
	}
	s.failures++
	s.known.PlatformReachable = false
	if s.failures == 1 {
		s.task.config.Log.Warn("the platform's change feed can't be read; the last version stays in force", zap.Error(result.err))
	}
	s.publish()
	shortest := s.task.config.Interval / 2
	bound := max(min(s.task.config.Interval<<min(s.failures, 8), maxBackoff), 2*shortest)
	return shortest + time.Duration(s.random.Int64N(int64(bound-shortest)))
}

// askPeer starts a call of a peer that is ahead if the platform can't be
// reached, and reports whether it did.
func (s *state) askPeer(ctx context.Context) bool {
	config := &s.task.config
	revision := s.table.Snapshot().Revision
	if s.failures == 0 || config.Caller == nil || config.Peers == nil {
		return false
	}
	var ahead []core.Peer
	for _, peer := range config.Peers.Peers().Peers {
		if peer.State != core.PeerDead && peer.Revision > revision {
			ahead = append(ahead, peer)
		}
	}
	if len(ahead) == 0 {
		return false
	}
	go s.task.readPeer(ctx, ahead[s.random.IntN(len(ahead))], revision)
	return true
}

// fromPeer takes a result and returns the delay to the next call.
func (s *state) fromPeer(result peerResult) time.Duration {
	if result.err != nil {
		return s.delay()
	}
	s.merge(fromWire(&result.reply), !result.reply.More)
	if result.reply.More {
		return 0
	}
	return s.delay()
}

// merge puts a change set in force. It is complete unless more pages follow.
func (s *state) merge(set platform.ChangeSet, complete bool) {
	before := s.table.Snapshot().Revision
	changes := make([]teamtable.Change, 0, len(set.Rows))
	for _, row := range set.Rows {
		if row.Version > s.rows[row.Key].Version {
			s.rows[row.Key] = row
		}
		if change, known := decode(row); known {
			changes = append(changes, change)
		}
	}
	result := s.table.Apply(changes, int64(set.Through))
	s.known.Invalid += int64(result.Invalid)
	s.task.metrics.record(result)
	if result.Invalid > 0 {
		s.task.config.Log.Warn("rows failed validation; their last valid version stays in force",
			zap.Int("rows", result.Invalid), zap.Int64("revision", int64(set.Through)))
	}
	if complete && int64(set.Through) >= before {
		s.known.confirmed = s.task.config.Now()
		s.known.Loaded = true
	}
	s.publish()
	if revision := s.table.Snapshot().Revision; revision > before && s.task.config.OnRevision != nil {
		s.task.config.OnRevision(revision)
	}
}

// publish makes the rows visible once a whole table was loaded: half of one
// would refuse the keys of teams on later pages.
func (s *state) publish() {
	snapshot := s.table.Snapshot()
	s.known.Revision = snapshot.Revision
	if s.known.Loaded {
		s.task.current.Store(snapshot)
	}
	known := s.known
	s.task.status.Store(&known)
}

// decode reads a row; known is false for a key of another kind.
func decode(row platform.Row) (change teamtable.Change, known bool) {
	change = teamtable.Change{Version: row.Version, Deleted: row.Deleted}
	if team, found := rows.ParseTeamKey(row.Key); found {
		change.Team = team
		if !row.Deleted {
			change.TeamRow, change.Invalid = rows.DecodeTeam(team, row.Version, row.Value)
		}
		return change, true
	}
	if service, found := rows.ParseServiceKey(row.Key); found {
		change.Service = service
		if !row.Deleted {
			change.ServiceRow, change.Invalid = rows.DecodeService(service, row.Version, row.Value)
		}
		return change, true
	}
	return change, false
}

var _ teamtable.Source = (*Task)(nil)
