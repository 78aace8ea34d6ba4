package fleet

import (
	"fmt"
	"testing"
)

// BenchmarkCosts reports the cost of membership and configuration per host for
// several fleet sizes: go test -bench Costs -benchtime 1x. With 300 hosts, one
// process used 6.4 of 10 busy cores and live hosts were suspected, so those
// figures are not the ones of a settled fleet.
func BenchmarkCosts(b *testing.B) {
	for _, hosts := range []int{3, 10, 30, 100, 300} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			for b.Loop() {
				cost, err := Measure(b.Context(), hosts, 60)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(cost.In, "in-B/s")
				b.ReportMetric(cost.Out, "out-B/s")
				b.ReportMetric(float64(cost.CPU.Microseconds()), "cpu-µs/s")
				b.ReportMetric(cost.Memory/bytesPerMB, "MB")
				b.ReportMetric(float64(cost.NotAlive), "not-alive")
				b.ReportMetric(cost.InForce.Seconds(), "in-force-s")
				b.ReportMetric(float64(cost.Late), "late")
			}
		})
	}
}
