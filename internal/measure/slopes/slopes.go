// Package slopes measures what one unit of load costs each part of a host:
// commits, reads, bytes, processor time and memory, each at several sizes, so
// that docs/CAPACITY.md can be computed for the size to design for. It runs
// the product's tasks in one process against stand-ins in memory.
package slopes

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// Options bound a run.
type Options struct {
	// Seed decides the arrival of requests.
	Seed uint64
	// Length is the duration of the parts that run in real time; 0 takes 12 s,
	// which covers several billing segments.
	Length time.Duration
	// Repeats is how often processor time is measured, of which the minimum
	// counts; 0 takes 3.
	Repeats int
}

const (
	defaultLength  = 12 * time.Second
	defaultRepeats = 3
)

// Point is one measured value.
type Point struct {
	Role string `json:"role"`
	// Parameter and At are the name and value of what was varied.
	Parameter string  `json:"parameter"`
	At        float64 `json:"at"`
	Metric    string  `json:"metric"`
	Value     float64 `json:"value"`
	Unit      string  `json:"unit"`
}

// roles are measured one after the other, so that the processor time of one
// is not counted for another.
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
	if options.Length == 0 {
		options.Length = defaultLength
	}
	if options.Repeats == 0 {
		options.Repeats = defaultRepeats
	}
	for _, name := range only {
		if !slices.Contains(Roles(), name) {
			return nil, fmt.Errorf("no role is named %q; choose from %v", name, Roles())
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
