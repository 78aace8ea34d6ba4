package telemetry

import (
	"context"
	"errors"
	"fmt"

	"go.opentelemetry.io/otel/metric"
)

// HostLoad is how far a host keeps up with its requests.
type HostLoad struct {
	// LinkUse is the part of the network link that is used, 0 to 1, in the direction that
	// is used more.
	LinkUse float64
	// RejectedShare is the part of the requests that is rejected, 0 to 1.
	RejectedShare float64
	// Away is true while the host is out of the balancer's rotation because of its load.
	Away bool
}

// RegisterHostLoad adds the metrics of the host's load, which are observed from current.
func RegisterHostLoad(meter metric.Meter, current func() HostLoad) error {
	var errs []error
	gauge := func(name, description string) metric.Float64ObservableGauge {
		instrument, err := meter.Float64ObservableGauge(name, metric.WithDescription(description))
		errs = append(errs, err)
		return instrument
	}
	linkUse := gauge("peridotreel_link_use", "Part of the network link that is used, 0 to 1.")
	rejected := gauge("peridotreel_rejected_share", "Part of the requests that the host rejects because of its own load, 0 to 1.")
	away := gauge("peridotreel_away", "1 while the host is out of the balancer's rotation because of its load.")
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("create the metrics of the host's load: %w", err)
	}
	observe := func(_ context.Context, observer metric.Observer) error {
		load := current()
		observer.ObserveFloat64(linkUse, load.LinkUse)
		observer.ObserveFloat64(rejected, load.RejectedShare)
		value := 0.0
		if load.Away {
			value = 1
		}
		observer.ObserveFloat64(away, value)
		return nil
	}
	if _, err := meter.RegisterCallback(observe, linkUse, rejected, away); err != nil {
		return fmt.Errorf("register the metrics of the host's load: %w", err)
	}
	return nil
}
