// Package shedding decides which requests a host rejects when it must reject a share of
// them: the least urgent ones first. It answers the load of a host that gets more than it
// can serve of work of different urgency, where rejecting at random turns away what callers
// wait for while less urgent work is served.
package shedding

// Urgencies is the number of degrees of urgency, of which 0 is the most urgent.
const Urgencies = 10

const (
	// retention is the part of the earlier counts that is left after a window. With
	// windows of 100 ms, the counts are those of the last second or two.
	retention = 0.92
	// maxRejected is the largest part that is rejected of one degree of urgency. The rest
	// shows callers of that degree when the host serves them again, and keeps the least
	// urgent work from being starved.
	maxRejected = 0.95
)

// Plan is the part of the requests of each urgency that is rejected, 0 to 1.
type Plan [Urgencies]float64

// Traffic is what a host was asked for lately. Its zero value is that of an idle host.
type Traffic struct {
	counts [Urgencies]float64
}

// EndWindow adds the requests of a window, by urgency.
func (t *Traffic) EndWindow(requests [Urgencies]int64) {
	for i, count := range requests {
		t.counts[i] = t.counts[i]*retention + float64(count)
	}
}

// Plan returns what to reject so that a share of all requests is rejected, 0 to 1.
func (t *Traffic) Plan(share float64) Plan {
	var plan Plan
	if share <= 0 {
		return plan
	}
	total := 0.0
	for _, count := range t.counts {
		total += count
	}
	left := share * total
	for i := Urgencies - 1; i >= 0; i-- {
		if t.counts[i] == 0 {
			// A degree that was not seen lately is treated like the whole.
			plan[i] = min(share, maxRejected)
			continue
		}
		plan[i] = min(left/t.counts[i], maxRejected)
		left = max(left-plan[i]*t.counts[i], 0)
	}
	return plan
}
