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
	// firstBackoff and maxBackoff limit the delay between attempts of a step,
	// which has full jitter; see platform.CommitUntilKnown for the limit.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 4 * time.Second
	// tryTimeout ends an attempt on a connection that no longer responds; the
	// next attempt uses another connection.
	tryTimeout = 5 * time.Second
)

// stepResult is the outcome of a step: conflict after a write without effect,
// head and billed after a read, and neither after a committed write.
type stepResult struct {
	step     *billing.Step
	conflict *billing.Conflict
	head     billing.Head
	billed   []core.RequestID
}

// runStep starts a worker that repeats a step until its outcome is known.
func (s *state) runStep(ctx context.Context, step *billing.Step) {
	go func() {
		outcome, err := s.tryStep(ctx, step)
		for backoff := firstBackoff; err != nil; backoff = min(2*backoff, maxBackoff) {
			s.counters.retries.Add(ctx, 1)
			select {
			case <-time.After(rand.N(2 * backoff)):
			case <-ctx.Done():
				return
			}
			outcome, err = s.tryStep(ctx, step)
		}
		_ = s.inbox.Send(ctx, outcome)
	}()
}

func (t *Task) tryStep(ctx context.Context, step *billing.Step) (stepResult, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	if step.Kind == billing.StepRead {
		head, billed, err := readJournal(ctx, t.config.Table, t.config.Objects, step)
		return stepResult{step: step, head: head, billed: billed}, err
	}
	conflict, err := writeSegment(ctx, t.config.Table, t.config.Objects, step)
	if owner := step.Segment.Owner; err == nil && owner != t.config.Self && t.config.SettleShares != nil {
		err = t.config.SettleShares(ctx, owner)
	}
	return stepResult{step: step, conflict: conflict}, err
}

// writeSegment stores a segment's object and commits its head. On an error the
// outcome is unknown and the step must be repeated.
func writeSegment(ctx context.Context, table platform.Table, objects platform.Objects, step *billing.Step) (*billing.Conflict, error) {
	segment := &step.Segment
	name := rows.SegmentObjectName(segment.Owner, segment.Number, segment.WriteID)
	if err := objects.Put(ctx, name, rows.EncodeSegment(*segment)); err != nil {
		return nil, fmt.Errorf("store %s: %w", name, err)
	}
	_, err := table.Commit(ctx, segmentCommit(step, name))
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return nil, err
	}
	return readConflict(ctx, table, step, conflict)
}

// segmentCommit builds the commit of a segment. Its conditions are that the head
// in the table has the preceding number, and that no keyed request of the
// segment has a bill row.
func segmentCommit(step *billing.Step, token string) platform.Commit {
	segment := &step.Segment
	key := rows.HeadKey(segment.Owner)
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

// readConflict determines which conditions failed. If the conflict names no
// rows, it reads them from the table.
func readConflict(ctx context.Context, table platform.Table, step *billing.Step, conflict *platform.ConflictError) (*billing.Conflict, error) {
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
	details := &billing.Conflict{}
	for _, row := range found {
		if request, isBill := rows.ParseBillKey(row.Key); isBill {
			details.Billed = append(details.Billed, request)
			continue
		}
		if row.Version == int64(step.Segment.Number-1) {
			continue
		}
		head, err := rows.DecodeHead(row.Value)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", row.Key, err)
		}
		details.Head = &head
	}
	return details, nil
}

// readJournal returns the head of a journal and the requests billed in the
// segments after step.After. It reads from the head backwards.
func readJournal(ctx context.Context, table platform.Table, objects platform.Objects, step *billing.Step) (billing.Head, []core.RequestID, error) {
	found, err := table.Get(ctx, rows.HeadKey(step.Owner))
	if err != nil || len(found) == 0 {
		return billing.Head{}, nil, err
	}
	head, err := rows.DecodeHead(found[0].Value)
	if err != nil {
		return billing.Head{}, nil, fmt.Errorf("%s: %w", found[0].Key, err)
	}
	var billed []core.RequestID
	writeID := head.WriteID
	for number := head.Number; number > step.After; number-- {
		name := rows.SegmentObjectName(step.Owner, number, writeID)
		content, exists, err := objects.Get(ctx, name)
		if err != nil {
			return billing.Head{}, nil, fmt.Errorf("read %s: %w", name, err)
		}
		if !exists {
			return billing.Head{}, nil, fmt.Errorf("read %s: the object is missing although the table refers to it; restore it from the object store's backup", name)
		}
		segment, err := rows.DecodeSegment(content)
		if err != nil {
			return billing.Head{}, nil, fmt.Errorf("read %s: %w", name, err)
		}
		for i := range segment.Bills {
			billed = append(billed, segment.Bills[i].Request)
		}
		writeID = segment.Previous
	}
	return head, billed, nil
}

// handle applies the outcome of a step.
func (r stepResult) handle(ctx context.Context, owned *state) {
	// A bill can be in the table before a peer has confirmed its copy.
	defer func() { owned.waits.endSettled(owned.pending.Settled()) }()
	switch {
	case r.conflict != nil:
		owned.counters.conflicts.Add(ctx, 1)
		for _, bill := range owned.pending.FinishConflict(r.step, *r.conflict) {
			owned.refund(ctx, bill)
		}
	case r.step.Kind == billing.StepRead:
		owned.pending.FinishRead(r.step, r.head, r.billed)
	default:
		owned.pending.FinishWrite(r.step)
		if r.step.Owner != owned.config.Self {
			owned.config.Log.Info("wrote bills of another host from their copies",
				zap.Stringer("host", r.step.Owner), zap.Int("bills", len(r.step.Segment.Bills)))
		}
	}
}
