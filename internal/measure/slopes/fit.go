package slopes

import (
	"cmp"
	"slices"
)

// Fit is the least-squares line through the points of one metric.
type Fit struct {
	Role      string  `json:"role"`
	Parameter string  `json:"parameter"`
	Metric    string  `json:"metric"`
	Unit      string  `json:"unit"`
	Points    int     `json:"points"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
}

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 {
	return f.Intercept + f.Slope*size
}

// Fits returns a line for each role, parameter and metric with at least two
// sizes, in the order of the points.
func Fits(points []Point) []Fit {
	type key struct{ role, parameter, metric, unit string }
	groups := make(map[key][]Point)
	var order []key
	for _, point := range points {
		group := key{point.Role, point.Parameter, point.Metric, point.Unit}
		if groups[group] == nil {
			order = append(order, group)
		}
		groups[group] = append(groups[group], point)
	}
	var fits []Fit
	for _, group := range order {
		intercept, slope, ok := fitLine(groups[group])
		if ok {
			fits = append(fits, Fit{
				Role: group.role, Parameter: group.parameter, Metric: group.metric, Unit: group.unit,
				Points: len(groups[group]), Intercept: intercept, Slope: slope,
			})
		}
	}
	return fits
}

// fitLine fits a line by least squares. ok is false if all points have the same
// size.
func fitLine(points []Point) (intercept, slope float64, ok bool) {
	var meanAt, meanValue, sumOfSquares, sumOfProducts float64
	for _, point := range points {
		meanAt += point.At / float64(len(points))
		meanValue += point.Value / float64(len(points))
	}
	for _, point := range points {
		sumOfSquares += (point.At - meanAt) * (point.At - meanAt)
		sumOfProducts += (point.At - meanAt) * (point.Value - meanValue)
	}
	if sumOfSquares == 0 {
		return meanValue, 0, false
	}
	slope = sumOfProducts / sumOfSquares
	return meanValue - slope*meanAt, slope, true
}

// Find returns the points of one metric, ordered by size.
func Find(points []Point, role, parameter, metric string) []Point {
	var found []Point
	for _, point := range points {
		if point.Role == role && point.Parameter == parameter && point.Metric == metric {
			found = append(found, point)
		}
	}
	slices.SortStableFunc(found, func(a, b Point) int { return cmp.Compare(a.At, b.At) })
	return found
}
