package telemetry

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/metric"
)

// RegisterColdUpstreams adds the gauge of cold upstreams.
func RegisterColdUpstreams(meter metric.Meter, count func(context.Context) (int, error)) error {
	observe := func(ctx context.Context, observer metric.Int64Observer) error {
		current, err := count(ctx)
		if err != nil {
			return fmt.Errorf("count the cold upstreams: %w", err)
		}
		observer.Observe(int64(current))
		return nil
	}
	_, err := meter.Int64ObservableGauge("peridotreel_cold_upstreams",
		metric.WithDescription("Upstreams that this host counts as cold."), metric.WithInt64Callback(observe))
	if err != nil {
		return fmt.Errorf("create the gauge of cold upstreams: %w", err)
	}
	return nil
}
