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

// settleTime lets hosts read the list of machines, the table and the first
// load reports before the load starts.
const settleTime = 1500 * time.Millisecond

// front is what callers see of a running variant.
type front struct {
	fleet *localfleet.Fleet
	// addresses of the hosts, or of the baseline's relays.
	addresses []string
	stops     []func() error
}

// stop ends the variant and its stand-ins.
func (f *front) stop() error {
	var errs []error
	for i := len(f.stops) - 1; i >= 0; i-- {
		errs = append(errs, f.stops[i]())
	}
	return errors.Join(append(errs, f.fleet.Stop())...)
}

// variant is one way to serve a load.
type variant struct {
	name  string
	begin func(ctx context.Context, l *layout, f *front) error
}

// start runs the stand-ins and the variant before them.
func (v variant) start(ctx context.Context, l *layout) (*front, error) {
	fleet, err := l.startStandins(ctx)
	if err != nil {
		return nil, err
	}
	f := &front{fleet: fleet}
	if err := v.begin(ctx, l, f); err != nil {
		return nil, errors.Join(err, f.stop())
	}
	return f, task.Sleep(ctx, settleTime)
}

// productVariant serves with the hosts of the fleet.
var productVariant = variant{measure.Product, func(ctx context.Context, _ *layout, f *front) error {
	if err := f.fleet.StartHosts(ctx); err != nil {
		return err
	}
	for _, running := range f.fleet.Hosts {
		f.addresses = append(f.addresses, running.CallerAddress())
	}
	return nil
}}

// directVariant lets callers reach the engines themselves; it tells what
// callers and engines take without a relay.
var directVariant = variant{"direct", func(_ context.Context, _ *layout, f *front) error {
	for _, engine := range f.fleet.Engines {
		address, server, err := serveLoopback(withRequestID(engine.Handler()))
		if err != nil {
			return err
		}
		f.addresses = append(f.addresses, address)
		f.stops = append(f.stops, server.Close)
	}
	return nil
}}

// withRequestID gives a caller's request the identity that engines expect.
func withRequestID(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		setRequestID(r.Header)
		inner.ServeHTTP(w, r)
	})
}
