package fleet

import (
	"context"
	"fmt"

	"github.com/peridotreel/peridotreel/internal/measure"
)

const (
	// trafficBound and processorBound are what a host may spend on control in
	// all; membership and configuration are a part of it.
	trafficBound   = 8000
	processorBound = 0.027
	// inForceBound is the time in which a saved row is in force everywhere.
	inForceBound = 5
	// measuredPeriods keeps the measure of all sizes under 60 s.
	measuredPeriods = 32
)

// measuredSizes end at 100: with 300 hosts in one process the machine is
// overloaded, and hosts are suspected falsely.
var measuredSizes = []int{3, 10, 30, 100}

// Rows measures what membership and configuration cost a host at several
// sizes of the fleet.
func Rows(ctx context.Context, _ uint64) ([]measure.Row, error) {
	var list []measure.Row
	for _, hosts := range measuredSizes {
		slope, err := Measure(ctx, hosts, measuredPeriods)
		if err != nil {
			return nil, fmt.Errorf("%d hosts: %w", hosts, err)
		}
		add := func(metric string, value float64, unit string, target *measure.Target) {
			list = append(list, measure.Row{
				Measure: "membership", Variant: measure.Product, Metric: fmt.Sprintf("%s, %d hosts", metric, hosts),
				Value: value, Unit: unit, Target: target,
			})
		}
		add("traffic in and out of a host", slope.In+slope.Out, "B/s", measure.AtMost(trafficBound))
		add("processor time of a host", slope.CPU.Seconds(), "part", measure.AtMost(processorBound))
		add("memory of a host", slope.Memory, "B", nil)
		add("longest time until a saved row is in force", slope.InForce.Seconds(), "s", measure.AtMost(inForceBound))
		add("saved rows not in force by the next save", float64(slope.Late), "rows", measure.AtMost(0))
		add("live peers seen as not alive", float64(slope.NotAlive), "peers", nil)
	}
	return list, nil
}
