package telemetry

import (
	"context"
	"errors"
	"fmt"

	"go.opentelemetry.io/otel/metric"
)

// RegisterReaders adds the metrics of callers that do not take their answers at once. counts
// returns the number of such callers, that of the bytes that wait for them, and that of the
// answers that ended because they were not read.
func RegisterReaders(meter metric.Meter, counts func() (callers, waiting, cut int64)) error {
	callers, callersErr := meter.Int64ObservableGauge("peridotreel_slow_readers", metric.WithDescription("Callers for which bytes of answers wait."))
	waiting, waitingErr := meter.Int64ObservableGauge("peridotreel_answer_bytes_waiting", metric.WithDescription("Bytes of answers that wait for callers, beyond the kernel's buffers."))
	cut, cutErr := meter.Int64ObservableCounter("peridotreel_answers_not_read", metric.WithDescription("Answers that ended because their callers did not read them."))
	if err := errors.Join(callersErr, waitingErr, cutErr); err != nil {
		return fmt.Errorf("create the metrics of slow readers: %w", err)
	}
	observe := func(_ context.Context, observer metric.Observer) error {
		callersNow, waitingNow, cutNow := counts()
		observer.ObserveInt64(callers, callersNow)
		observer.ObserveInt64(waiting, waitingNow)
		observer.ObserveInt64(cut, cutNow)
		return nil
	}
	if _, err := meter.RegisterCallback(observe, callers, waiting, cut); err != nil {
		return fmt.Errorf("register the metrics of slow readers: %w", err)
	}
	return nil
}
