package admission

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Guards against parts of a team's limits that add up to more than the limits,
// and against a host with demand that gets less than one without.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 3), 1, 40).Draw(t, "demands")
		parts := Divide(demands)
		sum, total := 0.0, 0.0
		for i := range parts {
			sum += parts[i]
			total += demands[i]
			if parts[i] < evenPart/float64(len(parts))-1e-9 {
				t.Fatalf("part %d is %f, below its even part", i, parts[i])
			}
			for j := range parts {
				if demands[i] > demands[j] && parts[i] < parts[j]-1e-9 {
					t.Fatalf("demand %f gets %f, demand %f gets %f", demands[i], parts[i], demands[j], parts[j])
				}
			}
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Fatalf("the parts add up to %f", sum)
		}
		for i := range parts {
			if total <= 1-evenPart && parts[i] < demands[i]-1e-9 {
				t.Fatalf("demand %f gets %f although all demand fits", demands[i], parts[i])
			}
		}
	})
}
