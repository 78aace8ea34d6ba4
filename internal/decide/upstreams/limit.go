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
	// latencyTolerance times the long-term latency is not yet taken for
	// queueing.
	latencyTolerance = 1.5
	// longTermSamples is the window of the long-term latency.
	longTermSamples = 200
)

// limit is a concurrency limit that follows latency. It is the algorithm
// Gradient2 of Netflix's concurrency-limits: the limit shrinks by the ratio of
// long-term to present latency and otherwise grows by the square root of
// itself.
type limit struct {
	value           float64
	longTermLatency float64
}

func newLimit() limit {
	return limit{value: initialLimit}
}

// sample adjusts the limit to a latency in seconds that was measured with
// inFlight requests.
func (l *limit) sample(latency float64, inFlight int) {
	if latency <= 0 {
		return
	}
	if l.longTermLatency == 0 {
		l.longTermLatency = latency
	}
	l.longTermLatency += (latency - l.longTermLatency) * 2 / (longTermSamples + 1)
	if l.longTermLatency/latency > 2 {
		// Latency has fallen after a long overload; the long-term latency
		// follows faster.
		l.longTermLatency *= 0.95
	}
	if float64(inFlight) < l.value/2 {
		return
	}
	gradient := max(0.5, min(1, latencyTolerance*l.longTermLatency/latency))
	next := l.value*gradient + math.Sqrt(l.value)
	l.value = max(minLimit, min(maxLimit, l.value+(next-l.value)*limitSmoothing))
}
