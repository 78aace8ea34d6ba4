package budget

import (
	"context"

	"github.com/peridotreel/peridotreel/internal/measure"
)

const (
	// overspendBound is the promise: nothing is spent beyond what was prepaid.
	overspendBound = 0
	// falseRefusalBound is the largest part of requests that may be refused
	// while 5% or more of the budget is left and the platform is reachable.
	falseRefusalBound = 0.001
)

// OverspendRows returns what each contender spends beyond the prepaid budget.
func OverspendRows(_ context.Context, seed uint64) ([]measure.Row, error) {
	return rows(seed, "overspend", "tokens", measure.AtMost(overspendBound), func(r *Result) float64 {
		return float64(r.Overspend)
	}), nil
}

// FalseRefusalRows returns the part of requests that each contender refuses
// although there is budget left.
func FalseRefusalRows(_ context.Context, seed uint64) ([]measure.Row, error) {
	return rows(seed, "false-refusals", "part", measure.AtMost(falseRefusalBound), func(r *Result) float64 {
		return r.FalseRefusalShare()
	}), nil
}

func rows(seed uint64, name, unit string, target *measure.Target, value func(*Result) float64) []measure.Row {
	var list []measure.Row
	for _, result := range RunAll(seed) {
		row := measure.Row{Measure: name, Variant: result.Contender, Metric: result.Scenario, Value: value(&result), Unit: unit}
		if result.Contender == Product {
			row.Variant, row.Target = measure.Product, target
		}
		list = append(list, row)
	}
	return list
}
