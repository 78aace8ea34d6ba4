package bills

import (
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// counters are the task's metrics. They count bills unless stated otherwise.
type counters struct {
	// sameZone counts copies sent to a peer in this host's zone because no
	// peer in another zone was reachable.
	sameZone metric.Int64Counter
	// uncopied counts answers released without a copy of their bill at a peer, and
	// before the bill was in the table.
	uncopied metric.Int64Counter
	// duplicates counts bills dropped because their request is already billed.
	duplicates metric.Int64Counter
	// lost counts bills that the task had not secured when it stopped.
	lost metric.Int64Counter
	// unanswered counts batches of copies that a peer did not confirm.
	unanswered metric.Int64Counter
	// conflicts counts segment writes rejected because of a conflict.
	conflicts metric.Int64Counter
	// takeovers counts steps started to write the bills of other hosts.
	takeovers metric.Int64Counter
	// pending is the number of bills that are not known to be in the table,
	// heldCopies that of copies held for peers.
	pending, heldCopies metric.Int64Gauge
	// onlyHere is the number of pending bills without a copy at a peer.
	onlyHere metric.Int64Gauge
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
		pending: gauge("pending"), heldCopies: gauge("kept"), onlyHere: gauge("pending_uncopied"),
		sameZone: counter("copied_same_zone"), uncopied: counter("uncopied"), duplicates: counter("duplicate"),
		lost: counter("lost"), unanswered: counter("copy_unanswered"), conflicts: counter("segment_conflicts"),
		takeovers: counter("takeover_steps"), retries: counter("step_retries"),
	}
}
