package stream

import "time"

const (
	// silenceFloor is the shortest silence that raises suspicion. Engines
	// pause for some hundred milliseconds when a long prompt joins the batch.
	silenceFloor = time.Second
	// firstSilence is the limit before the first token, when no pace is
	// known. Queueing and prefill may take longer; a false suspicion costs a
	// probe and a new connection, as the engine goes on. A stream on a silent
	// connection must recover within 2 s.
	firstSilence = 1500 * time.Millisecond
	// silenceFactor relates the limit to the stream's own pace: slow streams
	// are slow evenly, silent ones stop.
	silenceFactor = 20
	// paceWeight is the weight of a new gap in the moving average.
	paceWeight = 0.2
)

// Pace follows the gaps between a stream's tokens.
type Pace struct {
	average time.Duration
	strikes int
}

// Observe adds the gap before a token.
func (p *Pace) Observe(gap time.Duration) {
	p.strikes = 0
	if p.average == 0 {
		p.average = gap
		return
	}
	p.average += time.Duration(paceWeight * float64(gap-p.average))
}

// Strike notes that the limit passed although the upstream answers, which
// doubles the limit until the next token.
func (p *Pace) Strike() {
	p.strikes++
}

// Limit returns how long the stream may be silent before it is suspected.
func (p *Pace) Limit() time.Duration {
	limit := firstSilence
	if p.average > 0 {
		limit = max(silenceFloor, silenceFactor*p.average)
	}
	return limit << min(p.strikes, 6)
}
