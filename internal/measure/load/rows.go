package load

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/measure"
)

// The bounds are the same as those of the measurements over sockets.
// firstTokenBound is in seconds, lostBound in requests; the others are ratios.
const (
	goodputBound    = 0.95
	firstTokenBound = 0.36
	lostBound       = 0
	slowdownBound   = 1.5
	longWorkBound   = 0.9
	hedgeBound      = 0.05
)

// rowList collects the rows of one measurement.
type rowList struct {
	name string
	list []measure.Row
}

func (r *rowList) add(variant, metric string, value float64, unit string, target *measure.Target) {
	if variant != measure.Product {
		target = nil
	}
	r.list = append(r.list, measure.Row{
		Measure: r.name, Variant: variant, Metric: metric, Value: value, Unit: unit, Target: target,
	})
}

// addAll adds a metric of all three policies.
func (r *rowList) addAll(c *Comparison, metric, unit string, target *measure.Target, value func(*Result) float64) {
	for _, result := range []*Result{&c.Product, &c.RoundRobin, &c.LeastConnections} {
		r.add(result.Policy, metric, value(result), unit, target)
	}
}

// CrestRows returns the rows of Crest.
func CrestRows(_ context.Context, seed uint64) ([]measure.Row, error) {
	c := Crest(seed)
	rows := &rowList{name: "crest"}
	rows.addAll(&c, "goodput of what the engines can do", "part", measure.AtLeast(goodputBound), func(r *Result) float64 { return r.Goodput })
	rows.addAll(&c, "first token p95 of accepted work", "s", measure.AtMost(firstTokenBound), func(r *Result) float64 { return r.FirstToken95.Seconds() })
	rows.addAll(&c, "accepted work later lost", "requests", measure.AtMost(lostBound), func(r *Result) float64 { return float64(r.Lost) })
	return rows.list, nil
}

// HeadOfLineRows returns the rows of HeadOfLine. Without long jobs nothing
// waits, so the ratio compares the times to the first token, as the measurement
// over sockets does.
func HeadOfLineRows(_ context.Context, seed uint64) ([]measure.Row, error) {
	result := HeadOfLine(seed)
	c := &result.Mixed
	rows := &rowList{name: "head-of-line"}
	rows.add(measure.Product, "wait p99 of short work beside that without long jobs",
		ratio(c.Product.FirstToken99, result.ShortOnly.FirstToken99), "ratio", measure.AtMost(slowdownBound))
	rows.add(measure.Product, "long work beside that of "+c.RoundRobin.Policy,
		ratio(c.Product.LongWork, c.RoundRobin.LongWork), "ratio", measure.AtLeast(longWorkBound))
	rows.addAll(c, "first token p99 of short work", "s", nil, func(r *Result) float64 { return r.FirstToken99.Seconds() })
	rows.addAll(c, "wait p99 of short work", "s", nil, func(r *Result) float64 { return r.Wait99.Seconds() })
	return rows.list, nil
}

// StragglersRows returns the rows of Stragglers.
func StragglersRows(_ context.Context, seed uint64) ([]measure.Row, error) {
	result := Stragglers(seed)
	c := &result.Slow
	rows := &rowList{name: "stragglers"}
	rows.add(measure.Product, "first token p99 beside that without stragglers",
		ratio(c.Product.FirstToken99, result.Steady.FirstToken99), "ratio", measure.AtMost(slowdownBound))
	rows.add(measure.Product, "hedges", float64(c.Product.Hedges)/float64(c.Product.Accepted), "part", measure.AtMost(hedgeBound))
	rows.addAll(c, "first token p99", "s", nil, func(r *Result) float64 { return r.FirstToken99.Seconds() })
	return rows.list, nil
}

// ratio divides two times.
func ratio(value, base time.Duration) float64 {
	return value.Seconds() / base.Seconds()
}
