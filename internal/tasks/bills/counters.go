package bills

import (
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// counters are the task's metrics, all in bills unless stated.
type counters struct {
	// sameZone counts copies sent to a peer in this host's zone, because no
	// peer of another zone was reachable.
	sameZone metric.Int64Counter
	// uncopied counts bills that no peer could take in time.
	uncopied metric.Int64Counter
	// duplicates counts bills dropped because their request was billed before.
	duplicates metric.Int64Counter
	// lost counts bills that came after the task had stopped.
	lost metric.Int64Counter
	// unanswered counts messages with copies that a peer did not answer.
	unanswered metric.Int64Counter
	// conflicts counts segments that took no effect.
	conflicts metric.Int64Counter
	// takeovers counts steps taken for hosts that are gone.
	takeovers metric.Int64Counter
	// pending is the number of bills that are not known to be in the table,
	// kept that of copies held for peers.
	pending, kept metric.Int64Gauge
	// retries counts repeated steps.
	retries metric.Int64Counter
}

func newCounters(meter metric.Meter) counters {
	if meter == nil {
		meter = noop.NewMeterProvider().Meter("")
	}
	// An invalid name is the only error, and then the counter is a no-op.
	counter := func(name string) metric.Int64Counter {
		created, _ := meter.Int64Counter("peridotreel_bills_" + name)
		return created
	}
	gauge := func(name string) metric.Int64Gauge {
		created, _ := meter.Int64Gauge("peridotreel_bills_" + name)
		return created
	}
	return counters{
		pending: gauge("pending"), kept: gauge("kept"),
		sameZone: counter("copied_same_zone"), uncopied: counter("uncopied"), duplicates: counter("duplicate"),
		lost: counter("lost"), unanswered: counter("copy_unanswered"), conflicts: counter("segment_conflicts"),
		takeovers: counter("takeover_steps"), retries: counter("step_retries"),
	}
}
