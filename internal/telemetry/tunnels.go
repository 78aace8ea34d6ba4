package telemetry

import (
	"context"
	"errors"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// TunnelTotals are counts of tunnels: those of this host through others, and those of
// others through this host.
type TunnelTotals struct {
	// OwnOpen and PeersOpen are open now.
	OwnOpen, PeersOpen int64
	// OwnRequests counts requests to other hosts by result, PeersRequests those of other
	// hosts by answer.
	OwnRequests, PeersRequests map[string]int64
}

// RegisterTunnels adds the metrics of tunnels, which are observed from one call of totals.
func RegisterTunnels(meter metric.Meter, totals func(context.Context) (TunnelTotals, error)) error {
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
	ownOpen := gauge("peridotreel_tunnels_open", "Open tunnels of this host through others.")
	peersOpen := gauge("peridotreel_tunnels_served", "Open tunnels of other hosts through this one.")
	ownRequests := counter("peridotreel_tunnel_requests", "Requests to other hosts for tunnels, by result.")
	peersRequests := counter("peridotreel_tunnel_answers", "Requests of other hosts for tunnels, by answer.")
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("create the metrics of tunnels: %w", err)
	}
	observe := func(ctx context.Context, observer metric.Observer) error {
		current, err := totals(ctx)
		if err != nil {
			return fmt.Errorf("read the counts of tunnels: %w", err)
		}
		observer.ObserveInt64(ownOpen, current.OwnOpen)
		observer.ObserveInt64(peersOpen, current.PeersOpen)
		for result, count := range current.OwnRequests {
			observer.ObserveInt64(ownRequests, count, metric.WithAttributes(attribute.String("result", result)))
		}
		for answer, count := range current.PeersRequests {
			observer.ObserveInt64(peersRequests, count, metric.WithAttributes(attribute.String("answer", answer)))
		}
		return nil
	}
	if _, err := meter.RegisterCallback(observe, ownOpen, peersOpen, ownRequests, peersRequests); err != nil {
		return fmt.Errorf("register the metrics of tunnels: %w", err)
	}
	return nil
}
