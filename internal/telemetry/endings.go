package telemetry

import (
	"context"
	"errors"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/peridotreel/peridotreel/internal/decide/endings"
)

// endingInstruments are the metrics of how requests and connections end.
type endingInstruments struct {
	begun, ends, accepted, closes, unmatched metric.Int64ObservableCounter
	inFlight, open                           metric.Int64ObservableGauge
}

func newEndingInstruments(meter metric.Meter) (*endingInstruments, error) {
	var created endingInstruments
	for _, counter := range []struct {
		target            *metric.Int64ObservableCounter
		name, description string
	}{
		{&created.begun, "peridotreel_requests_begun", "Callers' requests that have begun."},
		{&created.ends, "peridotreel_request_ends", "Callers' requests by how they ended, and why."},
		{&created.accepted, "peridotreel_connections_accepted", "Callers' connections that were accepted."},
		{&created.closes, "peridotreel_connection_closes", "Callers' connections by why they were closed, and whether bytes were thrown away."},
		{&created.unmatched, "peridotreel_endings_unmatched", "Ends and closes of what had not begun; 0 unless the host has a fault."},
	} {
		instrument, err := meter.Int64ObservableCounter(counter.name, metric.WithDescription(counter.description))
		if err != nil {
			return nil, fmt.Errorf("create the counter %s: %w", counter.name, err)
		}
		*counter.target = instrument
	}
	inFlight, err := meter.Int64ObservableGauge("peridotreel_requests_in_flight", metric.WithDescription("Callers' requests that have not ended."))
	open, openErr := meter.Int64ObservableGauge("peridotreel_connections_open", metric.WithDescription("Callers' connections that are open."))
	if err = errors.Join(err, openErr); err != nil {
		return nil, fmt.Errorf("create the gauges of requests and connections: %w", err)
	}
	created.inFlight, created.open = inFlight, open
	return &created, nil
}

// ObserveEndings registers the metrics of how callers' requests and connections end. All
// values of a scrape come from one call of totals, so that they agree with each other.
func ObserveEndings(meter metric.Meter, totals func(ctx context.Context) (endings.Totals, error)) error {
	instruments, err := newEndingInstruments(meter)
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(ctx context.Context, observer metric.Observer) error {
		current, err := totals(ctx)
		if err != nil {
			return err
		}
		instruments.observe(observer, current)
		return nil
	}, instruments.begun, instruments.ends, instruments.accepted, instruments.closes, instruments.unmatched,
		instruments.inFlight, instruments.open)
	return err
}

func (i *endingInstruments) observe(observer metric.Observer, totals endings.Totals) {
	observer.ObserveInt64(i.begun, totals.RequestsBegun)
	observer.ObserveInt64(i.inFlight, totals.RequestsInFlight)
	observer.ObserveInt64(i.accepted, totals.ConnectionsAccepted)
	observer.ObserveInt64(i.open, totals.ConnectionsOpen)
	observer.ObserveInt64(i.unmatched, totals.Unmatched)
	for ending, count := range totals.Ends {
		observer.ObserveInt64(i.ends, count, metric.WithAttributes(
			attribute.String("end", string(ending.End)), attribute.String("cause", string(ending.Cause))))
	}
	for closing, count := range totals.Closes {
		observer.ObserveInt64(i.closes, count, metric.WithAttributes(
			attribute.String("cause", string(closing.Cause)), attribute.Bool("unread_bytes", closing.UnreadBytes)))
	}
}
