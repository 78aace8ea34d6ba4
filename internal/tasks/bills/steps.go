package bills

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/billing"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
)

const (
	// firstBackoff and maxBackoff bound the delay between tries of a step,
	// which has full jitter; see platform.CommitUntilKnown for the bound.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 4 * time.Second
	// tryTimeout ends a try on a connection that has gone silent; the next
	// one uses another.
	tryTimeout = 5 * time.Second
)

// result is the outcome of a step. Exactly one of its forms is set: conflict,
// a read head with the requests contained, or none after a write.
type result struct {
	step      *billing.Step
	conflict  *billing.Conflict
	head      billing.Head
	contained []core.RequestID
}

// perform starts a worker that repeats a step until its outcome is known.
func (s *state) perform(ctx context.Context, step *billing.Step) {
	go func() {
		done, err := s.try(ctx, step)
		for backoff := firstBackoff; err != nil; backoff = min(2*backoff, maxBackoff) {
			s.counters.retries.Add(ctx, 1)
			select {
			case <-time.After(rand.N(2 * backoff)):
			case <-ctx.Done():
				return
			}
			done, err = s.try(ctx, step)
		}
		_ = s.inbox.Send(ctx, done)
	}()
}

func (t *Task) try(ctx context.Context, step *billing.Step) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	if step.Kind == billing.StepRead {
		head, contained, err := readJournal(ctx, t.config.Table, t.config.Objects, step)
		return result{step: step, head: head, contained: contained}, err
	}
	conflict, err := writeSegment(ctx, t.config.Table, t.config.Objects, step)
	if owner := step.Segment.Owner; err == nil && owner != t.config.Self && t.config.Adopt != nil {
		err = t.config.Adopt(ctx, owner)
	}
	return result{step: step, conflict: conflict}, err
}

// writeSegment stores a segment's object and commits its head. An error means
// that the outcome is unknown and the step must be repeated.
func writeSegment(ctx context.Context, table platform.Table, objects platform.Objects, step *billing.Step) (*billing.Conflict, error) {
	segment := &step.Segment
	name := rows.SegmentObject(segment.Owner, segment.Number, segment.WriteID)
	if err := objects.Put(ctx, name, rows.EncodeSegment(*segment)); err != nil {
		return nil, fmt.Errorf("store %s: %w", name, err)
	}
	_, err := table.Commit(ctx, segmentCommit(step, name))
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return nil, err
	}
	return conflictOf(ctx, table, step, conflict)
}

// segmentCommit builds the commit of a segment: the head must have the number
// before, and no keyed request of the segment may have a bill.
func segmentCommit(step *billing.Step, token string) platform.Commit {
	segment := &step.Segment
	key := rows.SegmentKey(segment.Owner)
	commit := platform.Commit{
		Token:      token,
		Conditions: []platform.Condition{{Key: key, Version: int64(segment.Number - 1)}},
		Writes:     []platform.Write{{Key: key, Value: rows.EncodeHead(step.Head)}},
	}
	for i := range segment.Bills {
		if bill := &segment.Bills[i]; bill.Keyed {
			commit.Conditions = append(commit.Conditions, platform.Condition{Key: rows.BillKey(bill.Request)})
			commit.Writes = append(commit.Writes, platform.Write{Key: rows.BillKey(bill.Request), Value: rows.EncodeBill(*bill)})
		}
	}
	return commit
}

// conflictOf reads which conditions failed. A conflict that names no row is
// resolved by reading the rows.
func conflictOf(ctx context.Context, table platform.Table, step *billing.Step, conflict *platform.ConflictError) (*billing.Conflict, error) {
	found := conflict.Rows
	if len(found) == 0 {
		var keys []string
		for _, condition := range segmentCommit(step, "").Conditions {
			keys = append(keys, condition.Key)
		}
		var err error
		if found, err = table.Get(ctx, keys...); err != nil {
			return nil, err
		}
	}
	read := &billing.Conflict{}
	for _, row := range found {
		if request, isBill := rows.BillRequest(row.Key); isBill {
			read.Billed = append(read.Billed, request)
			continue
		}
		if row.Version == int64(step.Segment.Number-1) {
			continue
		}
		head, err := rows.DecodeHead(row.Value)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", row.Key, err)
		}
		read.Head = &head
	}
	return read, nil
}

// readJournal reads the head of a journal and the requests billed in the
// segments after step.After, from the head backwards.
func readJournal(ctx context.Context, table platform.Table, objects platform.Objects, step *billing.Step) (billing.Head, []core.RequestID, error) {
	found, err := table.Get(ctx, rows.SegmentKey(step.Owner))
	if err != nil || len(found) == 0 {
		return billing.Head{}, nil, err
	}
	head, err := rows.DecodeHead(found[0].Value)
	if err != nil {
		return billing.Head{}, nil, fmt.Errorf("%s: %w", found[0].Key, err)
	}
	var contained []core.RequestID
	mark := head.WriteID
	for number := head.Number; number > step.After; number-- {
		name := rows.SegmentObject(step.Owner, number, mark)
		content, exists, err := objects.Get(ctx, name)
		if err != nil {
			return billing.Head{}, nil, fmt.Errorf("read %s: %w", name, err)
		}
		if !exists {
			return billing.Head{}, nil, fmt.Errorf("read %s: no such object although the table names it; restore the object", name)
		}
		segment, err := rows.DecodeSegment(content)
		if err != nil {
			return billing.Head{}, nil, fmt.Errorf("read %s: %w", name, err)
		}
		for i := range segment.Bills {
			contained = append(contained, segment.Bills[i].Request)
		}
		mark = segment.Previous
	}
	return head, contained, nil
}

// handle takes the outcome of a step into the book.
func (r result) handle(ctx context.Context, owned *state) {
	switch {
	case r.conflict != nil:
		owned.counters.conflicts.Add(ctx, 1)
		for _, bill := range owned.book.FinishConflict(r.step, *r.conflict) {
			owned.refund(ctx, bill)
		}
	case r.step.Kind == billing.StepRead:
		owned.book.FinishRead(r.step, r.head, r.contained)
	default:
		owned.book.FinishWrite(r.step)
		if r.step.Owner != owned.config.Self {
			owned.config.Log.Info("bills of a host that is gone are written from their copies",
				zap.Stringer("host", r.step.Owner), zap.Int("bills", len(r.step.Segment.Bills)))
		}
	}
}
