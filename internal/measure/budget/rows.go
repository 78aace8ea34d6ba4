package budget

import (
	"context"

	"github.com/peridotreel/peridotreel/internal/measure"
)

const (
	// overspendBound is in tokens: nothing may be spent beyond the prepaid amount.
	overspendBound = 0
	// falseRefusalBound is the largest fraction of requests that may be refused
	// while 5% or more of the budget is left and the platform is reachable.
	falseRefusalBound = 0.001
)

// OverspendRows returns what each policy spends beyond the prepaid budget.
func OverspendRows(_ context.Context, seed uint64) ([]measure.Row, error) {
	return rows(seed, "overspend", "tokens", measure.AtMost(overspendBound), func(r *Result) float64 {
		return float64(r.Overspend)
	}), nil
}

// FalseRefusalRows returns the fraction of requests that each policy refuses
// although budget is left.
func FalseRefusalRows(_ context.Context, seed uint64) ([]measure.Row, error) {
	return rows(seed, "false-refusals", "part", measure.AtMost(falseRefusalBound), func(r *Result) float64 {
		return r.FalseRefusalRatio()
	}), nil
}

func rows(seed uint64, name, unit string, target *measure.Target, value func(*Result) float64) []measure.Row {
	var list []measure.Row
	for _, result := range RunAll(seed) {
		row := measure.Row{Measure: name, Variant: result.Policy, Metric: result.Scenario, Value: value(&result), Unit: unit}
		if result.Policy == Product {
			row.Variant, row.Target = measure.Product, target
		}
		list = append(list, row)
	}
	return list
}
