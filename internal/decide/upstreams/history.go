package upstreams

import "time"

const (
	// historyStep is the resolution of a history. It is well below the lag of a
	// report.
	historyStep = 250 * time.Millisecond
	// historySteps cover 4 s, twice the usual lag of a report.
	historySteps = 16
)

// history records how many requests this host recently had at an upstream, so
// that a late report can be compared with the number at the time it was
// measured.
type history struct {
	counts [historySteps]int32
	step   int64
}

func stepOf(now time.Time) int64 {
	return now.UnixNano() / int64(historyStep)
}

// record sets the count from now on; previous is the count until now.
func (h *history) record(now time.Time, previous, count int) {
	step := stepOf(now)
	if step > h.step {
		for s := max(h.step+1, step-historySteps+1); s <= step; s++ {
			h.counts[s%historySteps] = int32(previous)
		}
		h.step = step
	}
	h.counts[h.step%historySteps] = int32(count)
}

// at returns the count at time t; current is the count now. For a time before
// the recorded ones it returns the oldest.
func (h *history) at(t time.Time, current int) int {
	step := stepOf(t)
	if step >= h.step {
		return current
	}
	return int(h.counts[max(step, h.step-historySteps+1, 0)%historySteps])
}
