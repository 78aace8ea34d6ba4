package stream

import "time"

const (
	// minSilenceLimit is above the pause of some hundred milliseconds that
	// engines make when a long prompt joins the batch.
	minSilenceLimit = time.Second
	// initialSilenceLimit applies before the first token, when the gap between
	// tokens is not known. Queueing and prefill may take longer; a false
	// suspicion costs only a probe and a new connection, as the engine keeps
	// running the request. A stream on a silent connection must recover within
	// 2 s.
	initialSilenceLimit = 1500 * time.Millisecond
	// silenceGapFactor is the limit as a multiple of the stream's average gap:
	// the gaps of a slow stream are even, while a silent one stops.
	silenceGapFactor = 20
	// gapWeight is the weight of a new gap in the exponential moving average.
	gapWeight = 0.2
)

// Pace tracks the average gap between a stream's tokens and derives from it how
// long the stream may be silent.
type Pace struct {
	averageGap      time.Duration
	falseSuspicions int
}

// Observe adds the gap before a token.
func (p *Pace) Observe(gap time.Duration) {
	p.falseSuspicions = 0
	if p.averageGap == 0 {
		p.averageGap = gap
		return
	}
	p.averageGap += time.Duration(gapWeight * float64(gap-p.averageGap))
}

// DoubleLimit doubles the limit until the next token, because the limit passed
// although the upstream still answers. Repeated calls raise it at most 64-fold.
func (p *Pace) DoubleLimit() {
	p.falseSuspicions++
}

// Limit returns how long the stream may be silent before it is suspected to have
// stopped.
func (p *Pace) Limit() time.Duration {
	limit := initialSilenceLimit
	if p.averageGap > 0 {
		limit = max(minSilenceLimit, silenceGapFactor*p.averageGap)
	}
	return limit << min(p.falseSuspicions, 6)
}
