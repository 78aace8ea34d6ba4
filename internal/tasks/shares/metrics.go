package shares

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/peridotreel/peridotreel/internal/fault"
)

type metrics struct {
	draws      metric.Int64Counter
	recalls    metric.Int64Counter
	refusals   metric.Int64Counter
	writtenOff metric.Int64Counter
}

func newMetrics(meter metric.Meter) metrics {
	counter := func(name, description string) metric.Int64Counter {
		created, err := meter.Int64Counter(name, metric.WithDescription(description))
		if err != nil {
			// The names are constants; if the meter rejects one, only its counts are lost.
			return noop.Int64Counter{}
		}
		return created
	}
	return metrics{
		draws:      counter("peridotreel_share_draws", "Draws that this host started."),
		recalls:    counter("peridotreel_share_recalls", "Recalls that this host sent for exhausted budgets."),
		writtenOff: counter("peridotreel_written_off_tokens", "Tokens billed on released shares that no budget could pay."),
		refusals:   counter("peridotreel_reservation_refusals", "Reservations refused, by code."),
	}
}

func (m metrics) countRefusal(ctx context.Context, code fault.Code) {
	m.refusals.Add(ctx, 1, metric.WithAttributes(attribute.String("code", string(code))))
}
