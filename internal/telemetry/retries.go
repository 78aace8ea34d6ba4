package telemetry

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/peridotreel/peridotreel/internal/core"
)

// RetryTotals counts the decisions on retries to a service since the start.
type RetryTotals struct{ Allowed, Refused uint64 }

// RegisterRetries adds the metric of the retries to each service.
func RegisterRetries(meter metric.Meter, totals func(context.Context) (map[core.ServiceName]RetryTotals, error)) error {
	retries, err := meter.Int64ObservableCounter("peridotreel_retries", metric.WithDescription("Retries of requests, by service and by whether the retry budget allowed them."))
	if err != nil {
		return fmt.Errorf("create the metric of retries: %w", err)
	}
	observe := func(ctx context.Context, observer metric.Observer) error {
		current, err := totals(ctx)
		if err != nil {
			return fmt.Errorf("read the counts of retries: %w", err)
		}
		for service, counts := range current {
			name := attribute.String("service", string(service))
			observer.ObserveInt64(retries, int64(counts.Allowed), metric.WithAttributes(name, attribute.String("result", "allowed")))
			observer.ObserveInt64(retries, int64(counts.Refused), metric.WithAttributes(name, attribute.String("result", "refused")))
		}
		return nil
	}
	if _, err := meter.RegisterCallback(observe, retries); err != nil {
		return fmt.Errorf("register the metric of retries: %w", err)
	}
	return nil
}
