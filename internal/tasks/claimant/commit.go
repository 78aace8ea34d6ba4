package claimant

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/claims"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
)

const (
	// initialBackoff and maxBackoff bound the exponential backoff with full
	// jitter between tries of a platform request. maxBackoff is lower than in
	// other tasks, because callers wait.
	initialBackoff = 25 * time.Millisecond
	maxBackoff     = time.Second
	// requestTimeout ends a try on a connection that no longer responds; the
	// next try uses another connection.
	requestTimeout = 2 * time.Second
)

// commit starts a worker that retries the commit of a batch until its result is
// known.
func (s *state) commit(ctx context.Context, batch *claims.Batch) {
	go func() {
		var conflicts map[claims.Key]claims.Row
		err := s.retry(ctx, func(ctx context.Context) (err error) {
			conflicts, err = s.commitOnce(ctx, batch)
			return err
		})
		if err == nil {
			_ = s.inbox.Send(ctx, committedMessage{batch, conflicts})
		}
	}()
}

// retry tries an operation until it succeeds or ctx ends.
func (t *Task) retry(ctx context.Context, operation func(context.Context) error) error {
	attempt := func() error {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		return operation(ctx)
	}
	err := attempt()
	for backoff := initialBackoff; err != nil; backoff = min(2*backoff, maxBackoff) {
		t.counters.retries.Add(ctx, 1)
		select {
		case <-time.After(rand.N(2 * backoff)):
		case <-ctx.Done():
			return ctx.Err()
		}
		err = attempt()
	}
	return nil
}

// commitOnce returns nil rows if the commit succeeded, and the current rows of
// the failed conditions if it was rejected. An error means that the result is
// unknown.
func (t *Task) commitOnce(ctx context.Context, batch *claims.Batch) (map[claims.Key]claims.Row, error) {
	_, err := t.config.Table.Commit(ctx, newCommit(t.config.Self, batch))
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return nil, err
	}
	return conflictingRows(ctx, t.config.Table, batch, conflict)
}

func newCommit(self core.HostRef, batch *claims.Batch) platform.Commit {
	commit := platform.Commit{Token: fmt.Sprintf("claims/%s/%d", self, batch.Serial)}
	for i := range batch.Ops {
		op := &batch.Ops[i]
		key, record := rows.ClaimKey(op.Key), op.Record
		if record.Object != "" {
			record.Answer = nil
		}
		commit.Conditions = append(commit.Conditions, platform.Condition{Key: key, Version: op.Version})
		commit.Writes = append(commit.Writes, platform.Write{Key: key, Value: rows.EncodeClaim(record)})
	}
	return commit
}

// conflictingRows returns the rows listed in a conflict. If it lists none, all
// rows of the batch are read and their versions compared.
func conflictingRows(ctx context.Context, table platform.Table, batch *claims.Batch, conflict *platform.ConflictError) (map[claims.Key]claims.Row, error) {
	if len(conflict.Rows) > 0 {
		return decodeRows(conflict.Rows)
	}
	keys := make([]claims.Key, len(batch.Ops))
	for i := range batch.Ops {
		keys[i] = batch.Ops[i].Key
	}
	current, err := readRows(ctx, table, keys)
	if err != nil {
		return nil, err
	}
	conflicts := make(map[claims.Key]claims.Row)
	for i := range batch.Ops {
		if row := current[batch.Ops[i].Key]; row.Version != batch.Ops[i].Version {
			conflicts[batch.Ops[i].Key] = row
		}
	}
	return conflicts, nil
}

func readRows(ctx context.Context, table platform.Table, keys []claims.Key) (map[claims.Key]claims.Row, error) {
	rowKeys := make([]string, len(keys))
	for i, key := range keys {
		rowKeys[i] = rows.ClaimKey(key)
	}
	found, err := table.Get(ctx, rowKeys...)
	if err != nil {
		return nil, err
	}
	return decodeRows(found)
}

func decodeRows(found []platform.Row) (map[claims.Key]claims.Row, error) {
	decoded := make(map[claims.Key]claims.Row, len(found))
	for _, row := range found {
		key, valid := rows.ParseClaimKey(row.Key)
		if !valid {
			return nil, fmt.Errorf("row key %s is not the key of a claim", row.Key)
		}
		if row.Version == 0 || row.Deleted {
			decoded[key] = claims.Row{}
			continue
		}
		record, err := rows.DecodeClaim(row.Value)
		if err != nil {
			// A newer release may have written this row for a call that ran.
			// Without a state the outcome counts as unknown.
			record = claims.Record{}
		}
		decoded[key] = claims.Row{Version: row.Version, Record: record}
	}
	return decoded, nil
}

type committedMessage struct {
	batch *claims.Batch
	// conflicts is nil if the commit succeeded.
	conflicts map[claims.Key]claims.Row
}

func (m committedMessage) handle(ctx context.Context, owned *state) {
	now := owned.config.Now()
	if m.conflicts == nil {
		owned.register.Committed(m.batch, now)
		return
	}
	owned.counters.conflicts.Add(ctx, 1)
	owned.register.Conflicted(m.batch, m.conflicts, owned.knownDead, now)
}

// poll starts a worker that reads the rows of calls that other hosts hold.
func (s *state) poll(ctx context.Context, keys []claims.Key) {
	go func() {
		timeoutCtx, cancel := context.WithTimeout(ctx, maxBackoff)
		defer cancel()
		found, err := readRows(timeoutCtx, s.config.Table, keys)
		_ = s.inbox.Send(ctx, polledMessage{keys, found, err})
	}()
}

type polledMessage struct {
	keys  []claims.Key
	found map[claims.Key]claims.Row
	err   error
}

func (m polledMessage) handle(_ context.Context, owned *state) {
	if m.err != nil {
		owned.register.PollFailed()
		return
	}
	owned.register.Polled(m.keys, m.found, owned.knownDead, owned.config.Now())
}
