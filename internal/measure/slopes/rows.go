package slopes

import (
	"context"
	"fmt"

	"github.com/peridotreel/peridotreel/internal/measure"
)

// Rows measures all roles and returns the points and the line fitted through the
// points of each metric as rows.
func Rows(ctx context.Context, seed uint64) ([]measure.Row, error) {
	points, err := Run(ctx, Options{Seed: seed})
	if err != nil {
		return nil, err
	}
	var list []measure.Row
	add := func(metric string, value float64, unit string) {
		list = append(list, measure.Row{Measure: "slopes", Variant: measure.Product, Metric: metric, Value: value, Unit: unit})
	}
	for _, point := range points {
		add(fmt.Sprintf("%s: %s at %s %g", point.Role, point.Metric, point.Parameter, point.At), point.Value, point.Unit)
	}
	for _, fit := range Fits(points) {
		add(fmt.Sprintf("%s: %s per %s, slope", fit.Role, fit.Metric, fit.Parameter), fit.Slope, fit.Unit)
		add(fmt.Sprintf("%s: %s per %s, intercept", fit.Role, fit.Metric, fit.Parameter), fit.Intercept, fit.Unit)
	}
	return list, nil
}
