package origins

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/origin"
	"github.com/peridotreel/peridotreel/internal/rowstore"
)

// updateHistory reads a service's history and writes what has changed.
func (o *Origins) updateHistory(ctx context.Context, name core.ServiceName) {
	known, found := o.services[name]
	if !found || known.busy {
		return
	}
	known.busy = true
	listed := slices.Clone(known.listed)
	go func() { _ = o.inbox.Send(ctx, o.writeHistory(ctx, name, listed)) }()
}

// writeHistory brings the row up to date with the list. It does not access the task's
// state. A conflict means that another host has written the row.
func (o *Origins) writeHistory(ctx context.Context, name core.ServiceName, listed []string) historyResult {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	result, row := o.readHistory(ctx, name)
	if result.err != nil {
		return result
	}
	next, changed := result.history.Observe(listed, result.clock)
	if !changed {
		return result
	}
	put := row
	if put.Value, result.err = next.Encode(); result.err != nil {
		return result
	}
	if _, result.err = o.config.Store.Commit(ctx, rowstore.Commit{Expect: []rowstore.Row{row}, Puts: []rowstore.Row{put}}); result.err == nil {
		result.history = next
	}
	return result
}

// readHistory reads a service's history. It also returns the row that a commit has to
// expect.
func (o *Origins) readHistory(ctx context.Context, name core.ServiceName) (historyResult, rowstore.Row) {
	result := historyResult{service: name}
	expected := rowstore.Row{Table: Table, Part: string(name), Key: historyKey}
	rows, stamp, err := o.config.Store.Get(ctx, Table, string(name))
	if err != nil {
		result.err = err
		return result, expected
	}
	result.clock, result.era = stamp.Clock, stamp.Revision.Era
	for _, row := range rows {
		if row.Key == historyKey {
			expected.Revision = row.Revision
			result.history, result.err = origin.DecodeHistory(row.Value)
		}
	}
	return result, expected
}

func (o *Origins) handleHistory(ctx context.Context, m historyResult, now time.Time) {
	known, found := o.services[m.service]
	if !found {
		return
	}
	known.busy = false
	if m.err != nil || m.era < o.era {
		o.config.Log.Debug("the history of software versions could not be updated; retrying", zap.String("event", "software_history_failed"),
			zap.String("service", string(m.service)), zap.Error(m.err))
		o.updateLater(ctx, m.service, retryDelay)
		return
	}
	known.history, known.clock, known.readAt = m.history, m.clock, now
	o.config.Confirmed(m.service, slices.Collect(maps.Keys(m.history.Gone)))
	o.writeIfChanged(ctx, m.service, known)
}
