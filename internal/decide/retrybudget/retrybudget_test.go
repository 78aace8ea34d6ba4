package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against more repeats in any window than the fleet's bound, summed over
// hosts that do not talk.
func TestNoWindowHasMoreRepeatsThanTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := Bound{Window: 10 * time.Second, Ratio: 0.2, Slack: 58}
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		budgets := make([]Budget, hosts)
		now := time.Unix(1000, 0)
		type arrival struct {
			at     time.Time
			repeat bool
		}
		var arrivals []arrival
		for range rapid.IntRange(50, 400).Draw(t, "arrivals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			budget := &budgets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			if rapid.Bool().Draw(t, "repeat") {
				if budget.Repeat(bound, hosts, now) {
					arrivals = append(arrivals, arrival{now, true})
				}
				continue
			}
			budget.First(bound, now)
			arrivals = append(arrivals, arrival{now, false})
		}
		for i, first := range arrivals {
			firsts, repeats := 0, 0
			for _, later := range arrivals[i:] {
				if later.at.Sub(first.at) >= bound.Window {
					break
				}
				if later.repeat {
					repeats++
				}
			}
			// Requests of this window, or of the one half a window before it.
			for _, any := range arrivals {
				if age := any.at.Sub(first.at); !any.repeat && age >= -bound.Window && age < bound.Window {
					firsts++
				}
			}
			if float64(repeats) > bound.Ratio*float64(firsts)+bound.Slack {
				t.Fatalf("%d repeats for %d requests", repeats, firsts)
			}
		}
	})
}
