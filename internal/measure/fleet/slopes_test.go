package fleet

import (
	"fmt"
	"testing"
)

// BenchmarkSlopes reports what membership and configuration cost a host for
// several sizes of the fleet: go test -bench Slopes -benchtime 1x. With 300
// hosts one process used 6.4 of 10 busy cores, hosts were suspected falsely and
// the figures are not those of a settled fleet.
func BenchmarkSlopes(b *testing.B) {
	for _, hosts := range []int{3, 10, 30, 100, 300} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			for b.Loop() {
				slope, err := Measure(b.Context(), hosts, 60)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(slope.In, "in-B/s")
				b.ReportMetric(slope.Out, "out-B/s")
				b.ReportMetric(float64(slope.CPU.Microseconds()), "cpu-µs/s")
				b.ReportMetric(slope.Memory/bytesPerMB, "MB")
				b.ReportMetric(float64(slope.NotAlive), "not-alive")
				b.ReportMetric(slope.InForce.Seconds(), "in-force-s")
				b.ReportMetric(float64(slope.Late), "late")
			}
		})
	}
}
