// Package teams is the task that keeps a host's copy of the operators' table up
// to date. It reads the platform's change feed and, while the platform can't be
// reached, fetches newer rows from peers.
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
	// pollInterval is the mean time between reads of the change feed: 330 hosts
	// use 330 of the platform's 2,000 reads per second.
	pollInterval = time.Second
	// maxBackoff bounds the delay after failed reads. With a read that takes
	// pollTimeout it stays below the 5 s within which a change must be in force.
	maxBackoff = 3 * time.Second
	// pollTimeout bounds one read of the platform.
	pollTimeout = 1500 * time.Millisecond
	// loadTimeout bounds the first read, which transfers the whole table.
	loadTimeout = 10 * time.Second
	// inboxCapacity bounds the number of peers that wait for a reply.
	inboxCapacity = 64
)

// keyPrefixes are the key prefixes of the rows that this task reads.
var keyPrefixes = []string{rows.TeamPrefix, rows.ServicePrefix}

// Config holds the dependencies and settings of a Task.
type Config struct {
	Table platform.Table
	// Caller and Peers let the task read from peers; if one is nil, it reads from
	// the platform only.
	Caller peerrpc.Caller
	Peers  core.PeerSource
	// OnRevision, if not nil, is called in the task's goroutine with each new
	// revision.
	OnRevision func(revision int64)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Interval is the mean time between reads of the change feed; 0 means 1 s.
	// With a longer one, a change may take more than the permitted 5 s to be in
	// force.
	Interval time.Duration
	// Seed is the seed of the jitter.
	Seed  uint64
	Log   *zap.Logger
	Meter metric.Meter
}

// Status describes how current the rows in force are.
type Status struct {
	Revision int64
	// Loaded is true once the whole table has been loaded.
	Loaded bool
	// Age is the time since the platform or a peer last confirmed that the rows
	// in force are the latest.
	Age time.Duration
	// PlatformReachable is false if the latest read of the platform failed.
	PlatformReachable bool
	// Invalid is the number of versions that failed validation on this host.
	Invalid int64
}

// Task owns this host's copy of the operators' table.
type Task struct {
	config  Config
	inbox   *task.Inbox[any]
	current atomic.Pointer[teamtable.Snapshot]
	status  atomic.Pointer[storedStatus]
	metrics metrics
}

// storedStatus is the Status that the task stores for readers, with the time from
// which Age is computed when it is read.
type storedStatus struct {
	Status
	confirmedAt time.Time
}

// The messages to the task.
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

// New returns a task; call Run to start it.
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
	t.status.Store(&storedStatus{})
	t.metrics = newMetrics(t)
	return t
}

// Current returns the rows in force, or nil before the first load.
func (t *Task) Current() *teamtable.Snapshot {
	return t.current.Load()
}

// Status returns how current the rows in force are.
func (t *Task) Status() Status {
	stored := t.status.Load()
	status := stored.Status
	if status.Loaded {
		status.Age = t.config.Now().Sub(stored.confirmedAt)
	}
	return status
}

// Run reads changes until ctx ends.
func (t *Task) Run(ctx context.Context) {
	defer t.inbox.Close()
	s := newState(t)
	platformTimer := time.NewTimer(0)
	defer platformTimer.Stop()
	peerTimer := time.NewTimer(s.jitteredInterval())
	defer peerTimer.Stop()
	for {
		select {
		case <-platformTimer.C:
			go t.readPlatform(ctx, s.table.Snapshot().Revision)
		case <-peerTimer.C:
			if !s.startPeerRead(ctx) {
				peerTimer.Reset(s.jitteredInterval())
			}
		case message := <-t.inbox.Messages():
			switch message := message.(type) {
			case sinceRequest:
				message.reply <- s.page(message.since)
			case platformResult:
				platformTimer.Reset(s.handlePlatformResult(message))
			case peerResult:
				peerTimer.Reset(s.handlePeerResult(message))
			}
		case <-ctx.Done():
			return
		}
	}
}

// readPlatform reads the change feed once and sends the result to the task. It
// runs in its own goroutine.
func (t *Task) readPlatform(ctx context.Context, since int64) {
	limit := pollTimeout
	if since == 0 {
		limit = loadTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var result platformResult
	result.set, result.err = t.config.Table.Changes(callCtx, platform.Revision(since), keyPrefixes)
	// The result is not needed if the task has stopped.
	_ = t.inbox.Send(ctx, result)
}

// readPeer calls a peer once and sends the result to the task. It runs in its own
// goroutine.
func (t *Task) readPeer(ctx context.Context, peer core.Peer, since int64) {
	var result peerResult
	args := SinceArgs{Revision: since, Wire: peerrpc.WireVersion}
	result.err = t.config.Caller.Call(ctx, peer, sinceMethod, args, &result.reply)
	_ = t.inbox.Send(ctx, result)
}

// state is the state that only the task's goroutine uses.
type state struct {
	task   *Task
	table  *teamtable.Table
	random *rand.Rand
	// rows holds the latest version seen of each row, valid or not, to pass on to
	// peers.
	rows map[string]platform.Row
	// failures is the number of consecutive failed reads of the platform.
	failures int
	status   storedStatus
}

func newState(t *Task) *state {
	return &state{
		task: t, table: teamtable.NewTable(), rows: make(map[string]platform.Row),
		random: rand.New(rand.NewPCG(t.config.Seed, 0)),
	}
}

// jitteredInterval returns 0.8 to 1.2 times the interval, so that hosts that were
// started together don't read at the same time.
func (s *state) jitteredInterval() time.Duration {
	return time.Duration(float64(s.task.config.Interval) * (0.8 + 0.4*s.random.Float64()))
}

// handlePlatformResult merges the result of a read of the platform and returns the
// delay until the next one.
func (s *state) handlePlatformResult(result platformResult) time.Duration {
	if result.err == nil {
		if s.failures > 0 {
			s.task.config.Log.Info("the platform's change feed is readable again", zap.Int("failed_reads", s.failures))
		}
		s.failures = 0
		s.status.PlatformReachable = true
		s.merge(result.set, true)
		return s.jitteredInterval()
	}
	s.failures++
	s.status.PlatformReachable = false
	if s.failures == 1 {
		s.task.config.Log.Warn("the platform's change feed can't be read; the last version stays in force", zap.Error(result.err))
	}
	s.publish()
	minDelay := s.task.config.Interval / 2
	maxDelay := max(min(s.task.config.Interval<<min(s.failures, 8), maxBackoff), 2*minDelay)
	return minDelay + time.Duration(s.random.Int64N(int64(maxDelay-minDelay)))
}

// startPeerRead starts a read from a random peer with a newer revision if the
// platform can't be reached, and reports whether it did.
func (s *state) startPeerRead(ctx context.Context) bool {
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

// handlePeerResult merges the result of a read from a peer and returns the delay
// until the next one.
func (s *state) handlePeerResult(result peerResult) time.Duration {
	if result.err != nil {
		return s.jitteredInterval()
	}
	s.merge(changeSetOf(&result.reply), !result.reply.More)
	if result.reply.More {
		return 0
	}
	return s.jitteredInterval()
}

// merge applies a change set. The set is complete unless more pages follow.
func (s *state) merge(set platform.ChangeSet, complete bool) {
	before := s.table.Snapshot().Revision
	changes := make([]teamtable.Change, 0, len(set.Rows))
	for _, row := range set.Rows {
		if row.Version > s.rows[row.Key].Version {
			s.rows[row.Key] = row
		}
		if change, recognized := decodeRow(row); recognized {
			changes = append(changes, change)
		}
	}
	result := s.table.Apply(changes, int64(set.Through))
	s.status.Invalid += int64(result.Invalid)
	s.task.metrics.record(result)
	if result.Invalid > 0 {
		s.task.config.Log.Warn("rows failed validation; their last valid version stays in force",
			zap.Int("rows", result.Invalid), zap.Int64("revision", int64(set.Through)))
	}
	if complete && int64(set.Through) >= before {
		s.status.confirmedAt = s.task.config.Now()
		s.status.Loaded = true
	}
	s.publish()
	if revision := s.table.Snapshot().Revision; revision > before && s.task.config.OnRevision != nil {
		s.task.config.OnRevision(revision)
	}
}

// publish makes the rows and the status visible to readers. Rows are visible only
// once the whole table has been loaded; a partial table would reject the API keys
// of teams on later pages.
func (s *state) publish() {
	snapshot := s.table.Snapshot()
	s.status.Revision = snapshot.Revision
	if s.status.Loaded {
		s.task.current.Store(snapshot)
	}
	stored := s.status
	s.task.status.Store(&stored)
}

// decodeRow decodes the row of a team or a service; recognized is false for a row
// of any other kind.
func decodeRow(row platform.Row) (change teamtable.Change, recognized bool) {
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
