package balancer

import (
	"context"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
)

type metrics struct {
	missingReports metric.Int64Counter
	refusedRetries metric.Int64Counter
}

func newMetrics(meter metric.Meter, log *zap.Logger) metrics {
	counter := func(name, description string) metric.Int64Counter {
		c, err := meter.Int64Counter(name, metric.WithDescription(description))
		if err != nil {
			log.Warn("failed to create a metric counter", zap.String("name", name), zap.Error(err))
		}
		return c
	}
	return metrics{
		missingReports: counter("peridotreel.balancer.reports_missing", "load reports that an upstream did not give"),
		refusedRetries: counter("peridotreel.balancer.repeats_refused", "retries and hedges refused for lack of budget"),
	}
}

func (m *metrics) countMissingReport() {
	m.missingReports.Add(context.Background(), 1)
}

func (m *metrics) countRefusedRetry() {
	m.refusedRetries.Add(context.Background(), 1)
}
