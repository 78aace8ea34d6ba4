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
	// firstBackoff and maxBackoff bound the delay between tries of a commit,
	// which has full jitter. The bound is lower than that of other tasks,
	// because callers wait.
	firstBackoff = 25 * time.Millisecond
	maxBackoff   = time.Second
	// tryTimeout ends a try on a connection that has gone silent; the next
	// one uses another.
	tryTimeout = 2 * time.Second
)

// commit starts a worker that repeats a batch until its outcome is known.
func (s *state) commit(ctx context.Context, batch *claims.Batch) {
	go func() {
		var failed map[claims.Key]claims.Row
		err := s.repeat(ctx, func(ctx context.Context) (err error) {
			failed, err = s.try(ctx, batch)
			return err
		})
		if err == nil {
			_ = s.inbox.Send(ctx, committedMessage{batch, failed})
		}
	}()
}

// repeat performs an operation until it succeeds or ctx ends.
func (t *Task) repeat(ctx context.Context, operation func(context.Context) error) error {
	limited := func() error {
		ctx, cancel := context.WithTimeout(ctx, tryTimeout)
		defer cancel()
		return operation(ctx)
	}
	err := limited()
	for backoff := firstBackoff; err != nil; backoff = min(2*backoff, maxBackoff) {
		t.counters.retries.Add(ctx, 1)
		select {
		case <-time.After(rand.N(2 * backoff)):
		case <-ctx.Done():
			return ctx.Err()
		}
		err = limited()
	}
	return nil
}

// try returns nil rows if the batch took effect, else the current rows of the
// conditions that failed. An error means that the outcome is unknown.
func (t *Task) try(ctx context.Context, batch *claims.Batch) (map[claims.Key]claims.Row, error) {
	_, err := t.config.Table.Commit(ctx, batchCommit(t.config.Self, batch))
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return nil, err
	}
	return failedRows(ctx, t.config.Table, batch, conflict)
}

func batchCommit(self core.HostRef, batch *claims.Batch) platform.Commit {
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

// failedRows returns the rows that a conflict names. If it names none, all
// rows of the batch are read and compared.
func failedRows(ctx context.Context, table platform.Table, batch *claims.Batch, conflict *platform.ConflictError) (map[claims.Key]claims.Row, error) {
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
	failed := make(map[claims.Key]claims.Row)
	for i := range batch.Ops {
		if row := current[batch.Ops[i].Key]; row.Version != batch.Ops[i].Version {
			failed[batch.Ops[i].Key] = row
		}
	}
	return failed, nil
}

func readRows(ctx context.Context, table platform.Table, keys []claims.Key) (map[claims.Key]claims.Row, error) {
	names := make([]string, len(keys))
	for i, key := range keys {
		names[i] = rows.ClaimKey(key)
	}
	found, err := table.Get(ctx, names...)
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
			return nil, fmt.Errorf("row %s is not a claim", row.Key)
		}
		if row.Version == 0 || row.Deleted {
			decoded[key] = claims.Row{}
			continue
		}
		record, err := rows.DecodeClaim(row.Value)
		if err != nil {
			// A row of a newer form may be of a call that ran; without a
			// state its outcome counts as unknown.
			record = claims.Record{}
		}
		decoded[key] = claims.Row{Version: row.Version, Record: record}
	}
	return decoded, nil
}

type committedMessage struct {
	batch *claims.Batch
	// failed is nil if the batch took effect.
	failed map[claims.Key]claims.Row
}

func (m committedMessage) handle(ctx context.Context, owned *state) {
	now := owned.config.Now()
	if m.failed == nil {
		owned.register.Committed(m.batch, now)
		return
	}
	owned.counters.conflicts.Add(ctx, 1)
	owned.register.Conflicted(m.batch, m.failed, owned.gone, now)
}

// poll starts a worker that reads the rows of calls which run elsewhere.
func (s *state) poll(ctx context.Context, keys []claims.Key) {
	go func() {
		limited, cancel := context.WithTimeout(ctx, maxBackoff)
		defer cancel()
		found, err := readRows(limited, s.config.Table, keys)
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
	owned.register.Polled(m.keys, m.found, owned.gone, owned.config.Now())
}
