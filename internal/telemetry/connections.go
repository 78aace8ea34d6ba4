package telemetry

import (
	"context"
	"errors"
	"fmt"

	"go.opentelemetry.io/otel/metric"
)

// RegisterConnections adds the metrics of the connections to upstreams that hosts lend to
// each other.
func RegisterConnections(meter metric.Meter, totals func(context.Context) (lent, borrowed int, err error)) error {
	lentGauge, lentErr := meter.Int64ObservableGauge("peridotreel_connections_lent", metric.WithDescription("Connections to upstreams that this host leaves to others for a time."))
	borrowedGauge, borrowedErr := meter.Int64ObservableGauge("peridotreel_connections_borrowed", metric.WithDescription("Connections to upstreams beyond its equal part that this host may use."))
	if err := errors.Join(lentErr, borrowedErr); err != nil {
		return fmt.Errorf("create the metrics of connections: %w", err)
	}
	observe := func(ctx context.Context, observer metric.Observer) error {
		lent, borrowed, err := totals(ctx)
		if err != nil {
			return fmt.Errorf("read the counts of connections: %w", err)
		}
		observer.ObserveInt64(lentGauge, int64(lent))
		observer.ObserveInt64(borrowedGauge, int64(borrowed))
		return nil
	}
	if _, err := meter.RegisterCallback(observe, lentGauge, borrowedGauge); err != nil {
		return fmt.Errorf("register the metrics of connections: %w", err)
	}
	return nil
}
