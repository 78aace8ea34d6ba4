package edge

import (
	"context"

	"go.uber.org/zap"

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
	r.log.Info("how callers' requests and connections ended", endings.Fields(totals)...)
}

// inFlightFields returns what has not ended yet.
func (e *Edge) inFlightFields(ctx context.Context) []zap.Field {
	totals, err := e.endings.Totals(ctx)
	if err != nil {
		return []zap.Field{zap.NamedError("endings_error", err)}
	}
	return []zap.Field{zap.Int64("requests_in_flight", totals.RequestsInFlight), zap.Int64("connections_open", totals.ConnectionsOpen)}
}
