package claimant

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/claims"
	"github.com/peridotreel/peridotreel/internal/decide/rendezvous"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
)

const (
	// sweepInterval is the time between two sweeps of old records.
	sweepInterval = 30 * time.Minute
	// maxSweepDeletes limits the deletions in one commit.
	maxSweepDeletes = 50
	// sweepPause is the mean pause between commits. One or two commits a
	// second are a small part of the several hundred that the platform takes.
	sweepPause = time.Second
	// sweepRankKey is the rendezvous hashing key of the sweep; the host with
	// the highest rank sweeps.
	sweepRankKey = "claim-sweep"
)

type sweepState struct {
	due     time.Time
	running bool
}

// sweepIfDue starts a worker that deletes old records, if a sweep is due and
// this host is the sweeper. Two hosts with different views of the fleet may both
// sweep; this is harmless, because the deletions are conditional.
func (s *state) sweepIfDue(ctx context.Context, now time.Time) {
	if s.sweep.running || now.Before(s.sweep.due) {
		return
	}
	s.sweep.due = now.Add(sweepInterval)
	if !isSweeper(s.config.Self, s.config.Peers) {
		return
	}
	s.sweep.running = true
	go func() {
		deleted, err := s.sweepRows(ctx, now)
		s.counters.swept.Add(ctx, int64(deleted))
		if err != nil && ctx.Err() == nil {
			s.config.Log.Info("sweep of old claims stopped early; the next sweep continues",
				zap.Int("deleted", deleted), zap.Error(err))
		}
		_ = s.inbox.Send(ctx, sweptMessage{})
	}()
}

func isSweeper(self core.HostRef, peers core.PeerSource) bool {
	if peers == nil {
		return true
	}
	hosts := []string{string(self.Host)}
	for _, peer := range peers.Peers().Peers {
		if peer.Usable() && peer.Ref.Host != self.Host {
			hosts = append(hosts, string(peer.Ref.Host))
		}
	}
	return rendezvous.Rank(sweepRankKey, hosts)[0] == string(self.Host)
}

// sweepRows deletes the records that may be deleted at the given time.
func (t *Task) sweepRows(ctx context.Context, now time.Time) (deleted int, err error) {
	listed, err := t.config.Table.List(ctx, rows.ClaimPrefix)
	if err != nil {
		return 0, err
	}
	var commit platform.Commit
	for i, row := range listed {
		if key, valid := rows.ParseClaimKey(row.Key); valid && claims.Deletable(key.Key, now) {
			commit.Conditions = append(commit.Conditions, platform.Condition{Key: row.Key, Version: row.Version})
			commit.Writes = append(commit.Writes, platform.Write{Key: row.Key, Delete: true})
		}
		if len(commit.Writes) == maxSweepDeletes || i == len(listed)-1 && len(commit.Writes) > 0 {
			commit.Token = fmt.Sprintf("claim-sweep/%s/%d/%d", t.config.Self, now.UnixNano(), i)
			if _, err := t.config.Table.Commit(ctx, commit); err != nil {
				return deleted, err
			}
			deleted += len(commit.Writes)
			commit = platform.Commit{}
			select {
			case <-time.After(sweepPause/2 + rand.N(sweepPause)):
			case <-ctx.Done():
				return deleted, ctx.Err()
			}
		}
	}
	return deleted, nil
}

type sweptMessage struct{}

func (sweptMessage) handle(_ context.Context, owned *state) {
	owned.sweep.running = false
}
