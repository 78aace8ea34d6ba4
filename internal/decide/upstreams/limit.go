package upstreams

import "math"

const (
	// initialLimit of one host's requests at one upstream is about half of
	// a usual batch; the limit adapts within some tens of samples.
	initialLimit = 32
	minLimit     = 2
	maxLimit     = 1024
	// limitSmoothing damps changes, as first-token times vary with prompts.
	limitSmoothing = 0.2
	// limitTolerance is the growth of latency that does not yet count as
	// queueing.
	limitTolerance = 1.5
	// longSamples is the window of the long-term latency.
	longSamples = 200
)

// limit is a concurrency limit that follows latency. It is the algorithm
// Gradient2 of Netflix's concurrency-limits: the limit shrinks by the ratio of
// long-term to present latency and otherwise grows by the square root of
// itself.
type limit struct {
	value float64
	long  float64
}

func newLimit() limit {
	return limit{value: initialLimit}
}

// sample adjusts the limit after a latency in seconds was seen with so many
// requests in flight.
func (l *limit) sample(latency float64, inFlight int) {
	if latency <= 0 {
		return
	}
	if l.long == 0 {
		l.long = latency
	}
	l.long += (latency - l.long) * 2 / (longSamples + 1)
	if l.long/latency > 2 {
		// Latency has fallen for good after a long overload; forget faster.
		l.long *= 0.95
	}
	if float64(inFlight) < l.value/2 {
		return
	}
	gradient := max(0.5, min(1, limitTolerance*l.long/latency))
	next := l.value*gradient + math.Sqrt(l.value)
	l.value = max(minLimit, min(maxLimit, l.value+(next-l.value)*limitSmoothing))
}
