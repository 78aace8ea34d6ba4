package teams

import (
	"context"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/decide/teamtable"
)

type metrics struct {
	accepted, invalid metric.Int64Counter
}

func newMetrics(t *Task) metrics {
	meter := t.config.Meter
	if meter == nil {
		meter = noop.Meter{}
	}
	var m metrics
	var errs [4]error
	m.accepted, errs[0] = meter.Int64Counter("peridotreel_table_rows_accepted",
		metric.WithDescription("Row versions put in force."))
	m.invalid, errs[1] = meter.Int64Counter("peridotreel_table_rows_invalid",
		metric.WithDescription("Row versions that failed validation on this host."))
	_, errs[2] = meter.Int64ObservableGauge("peridotreel_table_revision",
		metric.WithDescription("Revision of the table in force."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(t.Status().Revision)
			return nil
		}))
	_, errs[3] = meter.Float64ObservableGauge("peridotreel_table_age", metric.WithUnit("s"),
		metric.WithDescription("Time since the rows in force were last confirmed to be the latest."),
		metric.WithFloat64Callback(func(_ context.Context, observer metric.Float64Observer) error {
			observer.Observe(t.Status().Age.Seconds())
			return nil
		}))
	for _, err := range errs {
		if err != nil {
			t.config.Log.Error("failed to create a metric of the operators' table", zap.Error(err))
		}
	}
	return m
}

func (m *metrics) record(result teamtable.Result) {
	ctx := context.Background()
	if result.Accepted > 0 {
		m.accepted.Add(ctx, int64(result.Accepted))
	}
	if result.Invalid > 0 {
		m.invalid.Add(ctx, int64(result.Invalid))
	}
}
