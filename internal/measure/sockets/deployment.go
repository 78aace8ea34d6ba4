package sockets

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/peridotreel/peridotreel/internal/localfleet"
	"github.com/peridotreel/peridotreel/internal/measure"
	"github.com/peridotreel/peridotreel/internal/task"
)

// warmupTime lets hosts read the list of upstreams, the table and the first load
// reports before the load starts.
const warmupTime = 1500 * time.Millisecond

// deployment is a running variant with its stand-ins.
type deployment struct {
	fleet *localfleet.Fleet
	// addresses are those of the hosts or of the baseline's relays, for callers.
	addresses []string
	stops     []func() error
}

// stop stops the variant and then its stand-ins.
func (d *deployment) stop() error {
	var errs []error
	for i := len(d.stops) - 1; i >= 0; i-- {
		errs = append(errs, d.stops[i]())
	}
	return errors.Join(append(errs, d.fleet.Stop())...)
}

// variant is the product or a baseline that serves a load.
type variant struct {
	name  string
	begin func(ctx context.Context, l *layout, d *deployment) error
}

// start starts the stand-ins and then the variant that sends requests to them.
func (v variant) start(ctx context.Context, l *layout) (*deployment, error) {
	fleet, err := l.startStandins(ctx)
	if err != nil {
		return nil, err
	}
	d := &deployment{fleet: fleet}
	if err := v.begin(ctx, l, d); err != nil {
		return nil, errors.Join(err, d.stop())
	}
	return d, task.Sleep(ctx, warmupTime)
}

// productVariant serves with the hosts of the fleet.
var productVariant = variant{measure.Product, func(ctx context.Context, _ *layout, d *deployment) error {
	if err := d.fleet.StartHosts(ctx); err != nil {
		return err
	}
	for _, running := range d.fleet.Hosts {
		d.addresses = append(d.addresses, running.CallerAddress())
	}
	return nil
}}

// directVariant lets callers send to the engines directly. It measures what
// callers and engines cost without a relay.
var directVariant = variant{"direct", func(_ context.Context, _ *layout, d *deployment) error {
	for _, engine := range d.fleet.Engines {
		address, server, err := serveLoopback(withRequestID(engine.Handler()))
		if err != nil {
			return err
		}
		d.addresses = append(d.addresses, address)
		d.stops = append(d.stops, server.Close)
	}
	return nil
}}

// withRequestID adds the request ID that engines expect to a caller's request.
func withRequestID(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		setRequestID(r.Header)
		inner.ServeHTTP(w, r)
	})
}
