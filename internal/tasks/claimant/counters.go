package claimant

import (
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// counters are the task's metrics.
type counters struct {
	// outcomeUnknown counts requests refused because the outcome of an earlier
	// claim is unknown.
	outcomeUnknown metric.Int64Counter
	// unrecordedAnswers counts answers that were sent before they were
	// recorded, because the platform did not respond in time.
	unrecordedAnswers metric.Int64Counter
	// conflicts counts commits rejected because a condition failed, and
	// retries counts retries of commits and of writes to the object store.
	conflicts, retries metric.Int64Counter
	// swept counts the records that sweeps deleted.
	swept metric.Int64Counter
}

func newCounters(meter metric.Meter) counters {
	if meter == nil {
		meter = noop.NewMeterProvider().Meter("")
	}
	// Int64Counter fails only for an invalid name, and then returns a no-op.
	counter := func(name string) metric.Int64Counter {
		created, _ := meter.Int64Counter("peridotreel_claims_" + name)
		return created
	}
	return counters{
		outcomeUnknown: counter("outcome_unknown"), unrecordedAnswers: counter("unrecorded_answers"),
		conflicts: counter("commit_conflicts"), retries: counter("commit_retries"), swept: counter("swept"),
	}
}
