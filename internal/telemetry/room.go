package telemetry

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// RoomTotals are decisions on room at engines by rank, and the present state.
type RoomTotals struct {
	// Decisions counts by rank and result, Dismissed the refusals without a return time.
	Decisions []map[string]uint64
	Dismissed []uint64
	Short     bool
	Pressure  float64
	// FreePerSecond is the rate at which attempts of this host leave engines.
	FreePerSecond float64
}

// RegisterRoom adds the metrics of room at engines, which are observed from one call of
// totals.
func RegisterRoom(meter metric.Meter, totals func(context.Context) (RoomTotals, error)) error {
	decisions, decisionsErr := meter.Int64ObservableCounter("peridotreel_room_decisions", metric.WithDescription("Decisions whether a request is sent to an engine, by rank and result."))
	dismissed, dismissedErr := meter.Int64ObservableCounter("peridotreel_room_dismissed", metric.WithDescription("Requests refused for want of room that no return in time would serve, by rank."))
	short, shortErr := meter.Int64ObservableGauge("peridotreel_room_short", metric.WithDescription("1 while requests are refused for want of room at engines."))
	pressure, pressureErr := meter.Float64ObservableGauge("peridotreel_room_pressure", metric.WithDescription("Mean expected wait at engines, as a fraction of the longest with which requests are sent."))
	free, freeErr := meter.Float64ObservableGauge("peridotreel_room_free_per_second", metric.WithDescription("Places at engines that requests of this host leave, per second."))
	if err := errors.Join(decisionsErr, dismissedErr, shortErr, pressureErr, freeErr); err != nil {
		return fmt.Errorf("create the metrics of room at engines: %w", err)
	}
	observe := func(ctx context.Context, observer metric.Observer) error {
		current, err := totals(ctx)
		if err != nil {
			return fmt.Errorf("read the decisions on room at engines: %w", err)
		}
		for rank, results := range current.Decisions {
			name := attribute.String("rank", strconv.Itoa(rank))
			for result, count := range results {
				observer.ObserveInt64(decisions, int64(count), metric.WithAttributes(name, attribute.String("result", result)))
			}
			observer.ObserveInt64(dismissed, int64(current.Dismissed[rank]), metric.WithAttributes(name))
		}
		isShort := int64(0)
		if current.Short {
			isShort = 1
		}
		observer.ObserveInt64(short, isShort)
		observer.ObserveFloat64(pressure, current.Pressure)
		observer.ObserveFloat64(free, current.FreePerSecond)
		return nil
	}
	if _, err := meter.RegisterCallback(observe, decisions, dismissed, short, pressure, free); err != nil {
		return fmt.Errorf("register the metrics of room at engines: %w", err)
	}
	return nil
}
