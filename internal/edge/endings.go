package edge

import (
	"context"

	"go.uber.org/zap"

	counts "github.com/peridotreel/peridotreel/internal/decide/endings"
	"github.com/peridotreel/peridotreel/internal/tasks/endings"
)

// endingsReporter is the task that logs the counts of ends as it stops. It is started
// before the front end, so that all ends have been reported by then.
type endingsReporter struct {
	endings *endings.Endings
	log     *zap.Logger
}

// Run waits until ctx ends and logs the counts.
func (r endingsReporter) Run(ctx context.Context) {
	<-ctx.Done()
	totals, err := r.endings.Totals(context.WithoutCancel(ctx))
	if err != nil {
		r.log.Warn("the counts of ends are not known", zap.String("event", "endings"), zap.Error(err))
		return
	}
	r.log.Info("how callers' requests and connections ended", append([]zap.Field{zap.String("event", "endings")}, totalFields(totals)...)...)
}

func totalFields(totals counts.Totals) []zap.Field {
	ends, closes := make(map[string]int64), make(map[string]int64)
	for ending, count := range totals.Ends {
		name := string(ending.End)
		if ending.Cause != "" {
			name += "/" + string(ending.Cause)
		}
		ends[name] += count
	}
	for closing, count := range totals.Closes {
		name := string(closing.Cause)
		if closing.UnreadBytes {
			name += "/unread"
		}
		closes[name] += count
	}
	return []zap.Field{
		zap.Int64("requests_begun", totals.RequestsBegun), zap.Int64("requests_in_flight", totals.RequestsInFlight), zap.Any("ends", ends),
		zap.Int64("connections_accepted", totals.ConnectionsAccepted), zap.Int64("connections_open", totals.ConnectionsOpen),
		zap.Any("closes", closes), zap.Int64("unmatched", totals.Unmatched),
	}
}

// inFlightFields returns what has not ended yet.
func (e *Edge) inFlightFields(ctx context.Context) []zap.Field {
	totals, err := e.endings.Totals(ctx)
	if err != nil {
		return []zap.Field{zap.NamedError("endings_error", err)}
	}
	return []zap.Field{zap.Int64("requests_in_flight", totals.RequestsInFlight), zap.Int64("connections_open", totals.ConnectionsOpen)}
}
