package upstreams

import "time"

const (
	// historyStep is the resolution at which this host remembers how many
	// requests it had at an upstream. It is well below the lag of a report.
	historyStep = 250 * time.Millisecond
	// historySteps cover 4 s, twice the usual lag of a report.
	historySteps = 16
)

// history remembers recent counts of own requests, so that a late report can
// be compared with what this host had in flight when it was measured.
type history struct {
	counts [historySteps]int32
	step   int64
}

func stepOf(now time.Time) int64 {
	return now.UnixNano() / int64(historyStep)
}

// record notes the count from now on; before is the count until now.
func (h *history) record(now time.Time, before, count int) {
	step := stepOf(now)
	if step > h.step {
		for s := max(h.step+1, step-historySteps+1); s <= step; s++ {
			h.counts[s%historySteps] = int32(before)
		}
		h.step = step
	}
	h.counts[h.step%historySteps] = int32(count)
}

// at returns the count at a time; current is the count now. A time before the
// remembered ones yields the oldest.
func (h *history) at(when time.Time, current int) int {
	step := stepOf(when)
	if step >= h.step {
		return current
	}
	return int(h.counts[max(step, h.step-historySteps+1, 0)%historySteps])
}
