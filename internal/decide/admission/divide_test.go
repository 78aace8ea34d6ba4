package admission

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Guards against allotments that add up to more than the team's limits, and
// against a host that gets less than another with lower demand.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 3), 1, 40).Draw(t, "demands")
		allotments := Divide(demands)
		sum, total := 0.0, 0.0
		for i := range allotments {
			sum += allotments[i]
			total += demands[i]
			if allotments[i] < evenFraction/float64(len(allotments))-1e-9 {
				t.Fatalf("allotment %d is %f, below its even fraction", i, allotments[i])
			}
			for j := range allotments {
				if demands[i] > demands[j] && allotments[i] < allotments[j]-1e-9 {
					t.Fatalf("demand %f gets %f, demand %f gets %f", demands[i], allotments[i], demands[j], allotments[j])
				}
			}
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Fatalf("the allotments add up to %f", sum)
		}
		for i := range allotments {
			if total <= 1-evenFraction && allotments[i] < demands[i]-1e-9 {
				t.Fatalf("demand %f gets %f although all demand fits", demands[i], allotments[i])
			}
		}
	})
}
