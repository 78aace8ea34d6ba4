package quarantine

import "time"

const (
	// recentTime is how long answers to single requests are remembered at least.
	recentTime = 20 * time.Second
	// maxRecent bounds the answers that are remembered, to half a megabyte.
	maxRecent = 4096
)

// recentAnswers remembers which single requests were answered lately. Most are never sent
// again; one that is sent again and again, and was answered, does not crash upstreams.
type recentAnswers struct {
	// current has the answers since, previous those of the time before. The values are
	// the times of answers, zero for failures.
	current, previous map[string]time.Time
	since             time.Time
}

// add remembers an answer, or a failure if answered is false: an upstream that answers
// with a failure may do so before it runs the request.
func (r *recentAnswers) add(trait string, answered bool, now time.Time) {
	if r.current == nil || now.Sub(r.since) > recentTime || len(r.current) >= maxRecent/2 {
		r.previous, r.current, r.since = r.current, make(map[string]time.Time), now
	}
	if answered {
		r.current[trait] = now
	} else if _, known := r.find(trait); !known {
		r.current[trait] = time.Time{}
	}
}

// find returns when a request was answered last, zero if only with failures.
func (r *recentAnswers) find(trait string) (time.Time, bool) {
	if at, known := r.current[trait]; known {
		return at, true
	}
	at, known := r.previous[trait]
	return at, known
}
