package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a window in which the retries of all hosts together exceed the
// fleet's bound, as hosts count without communicating.
func TestNoWindowHasMoreRepeatsThanTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := Bound{Window: 10 * time.Second, Ratio: 0.2, Slack: 58}
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		budgets := make([]Budget, hosts)
		now := time.Unix(1000, 0)
		type arrival struct {
			at    time.Time
			retry bool
		}
		var arrivals []arrival
		for range rapid.IntRange(50, 400).Draw(t, "arrivals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			budget := &budgets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			if rapid.Bool().Draw(t, "repeat") {
				if budget.AllowRetry(bound, bound.Slack/float64(hosts), now) {
					arrivals = append(arrivals, arrival{now, true})
				}
				continue
			}
			budget.RecordRequest(bound, now)
			arrivals = append(arrivals, arrival{now, false})
		}
		for i, first := range arrivals {
			requests, retries := 0, 0
			for _, later := range arrivals[i:] {
				if later.at.Sub(first.at) >= bound.Window {
					break
				}
				if later.retry {
					retries++
				}
			}
			// Requests count in the window, in the one before it, or in the one half a window
			// before it, whichever has most.
			for _, before := range []time.Duration{0, bound.Window / 2, bound.Window} {
				counted := 0
				for _, other := range arrivals {
					if age := other.at.Sub(first.at) + before; !other.retry && age >= 0 && age < bound.Window {
						counted++
					}
				}
				requests = max(requests, counted)
			}
			if float64(retries) > bound.Ratio*float64(requests)+bound.Slack {
				t.Fatalf("%d retries for %d requests", retries, requests)
			}
		}
	})
}
