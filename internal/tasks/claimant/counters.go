package claimant

import (
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// counters are the task's metrics.
type counters struct {
	// unknown counts repeats that were told that the outcome is unknown.
	unknown metric.Int64Counter
	// unrecorded counts answers that were given before they were recorded,
	// because the platform gave no answer in time.
	unrecorded metric.Int64Counter
	// conflicts and retries count commits that failed and were repeated.
	conflicts, retries metric.Int64Counter
	// swept counts records deleted because of their age.
	swept metric.Int64Counter
}

func newCounters(meter metric.Meter) counters {
	if meter == nil {
		meter = noop.NewMeterProvider().Meter("")
	}
	// An invalid name is the only error, and then the counter is a no-op.
	counter := func(name string) metric.Int64Counter {
		created, _ := meter.Int64Counter("peridotreel_claims_" + name)
		return created
	}
	return counters{
		unknown: counter("outcome_unknown"), unrecorded: counter("unrecorded_answers"),
		conflicts: counter("commit_conflicts"), retries: counter("commit_retries"), swept: counter("swept"),
	}
}
