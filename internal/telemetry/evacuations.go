package telemetry

import (
	"context"
	"errors"
	"fmt"

	"go.opentelemetry.io/otel/metric"
)

// EvacuationTotals are counts of evacuations on this host.
type EvacuationTotals struct {
	// Zones are evacuated, and Attempts of this host are in progress in them.
	Zones, Attempts int64
}

// RegisterEvacuations adds the metrics of evacuated zones, which are observed from one call
// of totals.
func RegisterEvacuations(meter metric.Meter, totals func(context.Context) (EvacuationTotals, error)) error {
	zones, zonesErr := meter.Int64ObservableGauge("peridotreel_evacuated_zones", metric.WithDescription("Zones whose upstreams get no new requests, as an operator has evacuated them."))
	attempts, attemptsErr := meter.Int64ObservableGauge("peridotreel_evacuated_attempts", metric.WithDescription("Attempts of this host that are in progress in evacuated zones."))
	if err := errors.Join(zonesErr, attemptsErr); err != nil {
		return fmt.Errorf("create the metrics of evacuations: %w", err)
	}
	observe := func(ctx context.Context, observer metric.Observer) error {
		current, err := totals(ctx)
		if err != nil {
			return fmt.Errorf("read the counts of evacuations: %w", err)
		}
		observer.ObserveInt64(zones, current.Zones)
		observer.ObserveInt64(attempts, current.Attempts)
		return nil
	}
	if _, err := meter.RegisterCallback(observe, zones, attempts); err != nil {
		return fmt.Errorf("register the metrics of evacuations: %w", err)
	}
	return nil
}
