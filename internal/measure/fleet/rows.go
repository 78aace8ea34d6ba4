package fleet

import (
	"context"
	"fmt"

	"github.com/peridotreel/peridotreel/internal/measure"
)

const (
	// trafficBound in bytes/s and cpuBound as a fraction of one core limit all
	// control work of a host; membership and configuration are a part of it.
	trafficBound = 8000
	cpuBound     = 0.027
	// inForceBound is the time in seconds until a saved row is in force on all hosts.
	inForceBound = 5
	// measuredPeriods keeps the measurement of all sizes under 60 s.
	measuredPeriods = 32
)

// measuredSizes ends at 100 hosts: 300 hosts in one process overload the
// machine, and live hosts are suspected.
var measuredSizes = []int{3, 10, 30, 100}

// Rows measures the cost of membership and configuration per host at several
// fleet sizes.
func Rows(ctx context.Context, _ uint64) ([]measure.Row, error) {
	var list []measure.Row
	for _, hosts := range measuredSizes {
		cost, err := Measure(ctx, hosts, measuredPeriods)
		if err != nil {
			return nil, fmt.Errorf("%d hosts: %w", hosts, err)
		}
		add := func(metric string, value float64, unit string, target *measure.Target) {
			list = append(list, measure.Row{
				Measure: "membership", Variant: measure.Product, Metric: fmt.Sprintf("%s, %d hosts", metric, hosts),
				Value: value, Unit: unit, Target: target,
			})
		}
		add("traffic in and out of a host", cost.In+cost.Out, "B/s", measure.AtMost(trafficBound))
		add("processor time of a host", cost.CPU.Seconds(), "part", measure.AtMost(cpuBound))
		add("memory of a host", cost.Memory, "B", nil)
		add("longest time until a saved row is in force", cost.InForce.Seconds(), "s", measure.AtMost(inForceBound))
		add("saved rows not in force by the next save", float64(cost.Late), "rows", measure.AtMost(0))
		add("live peers seen as not alive", float64(cost.NotAlive), "peers", nil)
	}
	return list, nil
}
