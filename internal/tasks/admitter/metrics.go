package admitter

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
)

type metrics struct {
	refusals metric.Int64Counter
}

func newMetrics(meter metric.Meter, log *zap.Logger) metrics {
	refusals, err := meter.Int64Counter("peridotreel.admission.refusals",
		metric.WithDescription("requests refused before they got a slot"))
	if err != nil {
		log.Warn("failed to create the counter of refusals", zap.Error(err))
	}
	return metrics{refusals: refusals}
}

func (m *metrics) recordRefusal(ctx context.Context, work *core.Work, err *fault.Error) {
	m.refusals.Add(ctx, 1, metric.WithAttributes(
		attribute.String("team", string(work.Caller.Team.Team)),
		attribute.String("class", string(work.Class.Name)),
		attribute.String("code", string(err.Code))))
}
