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

// RegisterEndings adds the metrics of how callers' requests and connections end. All are
// observed from one answer of totals, so that a scrape adds up.
func RegisterEndings(meter metric.Meter, totals func(context.Context) (endings.Totals, error)) error {
	instruments, err := newEndingInstruments(meter)
	if err != nil {
		return fmt.Errorf("create the metrics of ends: %w", err)
	}
	observe := func(ctx context.Context, observer metric.Observer) error {
		current, err := totals(ctx)
		if err != nil {
			return fmt.Errorf("read the counts of ends: %w", err)
		}
		instruments.observe(observer, current)
		return nil
	}
	if _, err = meter.RegisterCallback(observe, instruments.begun, instruments.ends, instruments.accepted, instruments.closes,
		instruments.unmatched, instruments.inFlight, instruments.open); err != nil {
		return fmt.Errorf("register the metrics of ends: %w", err)
	}
	return nil
}

func newEndingInstruments(meter metric.Meter) (*endingInstruments, error) {
	var errs []error
	counter := func(name, description string) metric.Int64ObservableCounter {
		instrument, err := meter.Int64ObservableCounter(name, metric.WithDescription(description))
		errs = append(errs, err)
		return instrument
	}
	gauge := func(name, description string) metric.Int64ObservableGauge {
		instrument, err := meter.Int64ObservableGauge(name, metric.WithDescription(description))
		errs = append(errs, err)
		return instrument
	}
	instruments := &endingInstruments{
		begun:     counter("peridotreel_requests_begun", "Requests of which the first byte was read."),
		ends:      counter("peridotreel_request_ends", "Requests that have ended, by what the caller got and why."),
		inFlight:  gauge("peridotreel_requests_in_flight", "Requests that have begun and not ended."),
		accepted:  counter("peridotreel_connections_accepted", "Connections of callers that were accepted."),
		closes:    counter("peridotreel_connection_closes", "Connections of callers that were closed, by cause and whether bytes were not read."),
		open:      gauge("peridotreel_connections_open", "Connections of callers that are open."),
		unmatched: counter("peridotreel_endings_unmatched", "Ends and closes of what had not begun or had ended before."),
	}
	return instruments, errors.Join(errs...)
}

func (i *endingInstruments) observe(observer metric.Observer, totals endings.Totals) {
	observer.ObserveInt64(i.begun, totals.RequestsBegun)
	observer.ObserveInt64(i.inFlight, totals.RequestsInFlight)
	for ending, count := range totals.Ends {
		observer.ObserveInt64(i.ends, count, metric.WithAttributes(
			attribute.String("end", string(ending.End)), attribute.String("cause", string(ending.Cause))))
	}
	observer.ObserveInt64(i.accepted, totals.ConnectionsAccepted)
	observer.ObserveInt64(i.open, totals.ConnectionsOpen)
	for closing, count := range totals.Closes {
		observer.ObserveInt64(i.closes, count, metric.WithAttributes(
			attribute.String("cause", string(closing.Cause)), attribute.Bool("unread_bytes", closing.UnreadBytes)))
	}
	observer.ObserveInt64(i.unmatched, totals.Unmatched)
}
