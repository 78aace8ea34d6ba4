// Package slopes measures the cost of one unit of load for each part of a host,
// in commits, reads, bytes, processor time and memory. It measures at several
// sizes, so that docs/CAPACITY.md can extrapolate to the planned fleet size. It
// runs the product's tasks in one process against in-memory stand-ins.
package slopes

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// Options are the settings of a run.
type Options struct {
	// Seed determines the arrivals of requests.
	Seed uint64
	// Duration is that of the measurements that run in real time. The default of
	// 12 s covers several billing segments.
	Duration time.Duration
	// Repeats is how often processor time is measured; the minimum is reported.
	// The default is 3.
	Repeats int
}

const (
	defaultDuration = 12 * time.Second
	defaultRepeats  = 3
)

// Point is one measured value.
type Point struct {
	Role string `json:"role"`
	// Parameter is the name of the varied parameter, and At its value.
	Parameter string  `json:"parameter"`
	At        float64 `json:"at"`
	Metric    string  `json:"metric"`
	Value     float64 `json:"value"`
	Unit      string  `json:"unit"`
}

// roles are the measured parts of a host. They are measured one after the other,
// so that the processor time of one is not counted for another.
var roles = []struct {
	name string
	run  func(context.Context, Options) ([]Point, error)
}{
	{"budgets", budgets},
	{"billing", billing},
	{"claims", claims},
	{"calls", registry},
	{"routing", routes},
	{"admission", admissions},
	{"entry", entries},
	{"metrics", metrics},
}

// Roles returns the names of the roles in the order of their measurement.
func Roles() []string {
	names := make([]string, len(roles))
	for i, role := range roles {
		names[i] = role.name
	}
	return names
}

// Run measures all roles, or those named. It takes under 60 s.
func Run(ctx context.Context, options Options, only ...string) ([]Point, error) {
	if options.Duration == 0 {
		options.Duration = defaultDuration
	}
	if options.Repeats == 0 {
		options.Repeats = defaultRepeats
	}
	for _, name := range only {
		if !slices.Contains(Roles(), name) {
			return nil, fmt.Errorf("unknown role %q; the roles are %v", name, Roles())
		}
	}
	var points []Point
	for _, role := range roles {
		if len(only) > 0 && !slices.Contains(only, role.name) {
			continue
		}
		measured, err := role.run(ctx, options)
		if err != nil {
			return points, fmt.Errorf("measure %s: %w", role.name, err)
		}
		points = append(points, measured...)
	}
	return points, ctx.Err()
}
