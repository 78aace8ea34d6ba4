package placement

import "time"

const (
	// minPatience, patienceObjectives and patiencePauses tell how long callers wait
	// for the first event of a stream, by the platform's description: the longest
	// of a time, and of multiples of the objective and of the allowed pause.
	minPatience        = 2 * time.Second
	patienceObjectives = 4
	patiencePauses     = 8
	// maxWaitFraction is the part of the caller's patience that a request may be
	// expected to wait. The rest is for what the estimate misses, such as requests
	// that other hosts send at the same moment.
	maxWaitFraction = 0.5
)

// MaxWait returns the longest expected wait for the first event with which a
// stream is worth sending: its caller would leave before it starts otherwise, and
// the upstream's work would be lost. left is the time until the deadline.
func MaxWait(objective, maxPause, left time.Duration) time.Duration {
	patience := min(left, max(minPatience, patienceObjectives*objective, patiencePauses*maxPause))
	return time.Duration(float64(patience) * maxWaitFraction)
}

// estimateWait estimates how long a request would wait for its first event, from
// the load of the upstream alone.
func (b *LoadBalancer) estimateWait(u *upstreamState, query Query, now time.Time) time.Duration {
	if query.Prompt == nil || query.Engine == nil {
		return 0
	}
	running, prefill := b.estimateLoad(u, now)
	wait := float64(prefill)/prefillTokensPerMs + msPerRunning*float64(running)
	if slots := query.Engine.Slots; slots > 0 && running >= slots {
		wait += msPerWaiting * float64(running-slots+1)
	}
	wait *= u.slowdown.mean(now, slowdownHalfLife, 1, 1)
	if unanswered := u.longestUnanswered(now); unanswered > unansweredGrace {
		wait += float64((unanswered - unansweredGrace).Milliseconds())
	}
	return time.Duration(wait) * time.Millisecond
}
