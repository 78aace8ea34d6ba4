// Package selfload decides which part of its requests a host rejects because it cannot
// keep up itself. It answers the load of a few callers with much traffic that all reach
// one small host, while its peers are idle: what it rejects at once is served by a peer
// within its objective, and what it holds is late and delays all the rest.
package selfload

import "time"

const (
	// Window is the time over which lateness is averaged.
	Window = 100 * time.Millisecond
	// maxSample bounds a sample, so that a suspension of the process does not count as
	// load.
	maxSample = 500 * time.Millisecond
	// targetLateness is the mean lateness of timers that a host bears. A request takes
	// some six steps of this kind to its upstream and back, and most objectives are 300
	// ms or more.
	targetLateness = 40 * time.Millisecond
	// raise is added to the rejected share in each window above the target, and twice
	// that in one above twice the target; lower is taken off it in each window below.
	raise = 0.05
	lower = 0.02
	// maxShare leaves requests by which the host can tell that it keeps up again.
	maxShare = 0.9
	// awayShare is the rejected share from which the host asks for no new connections,
	// for awayAfter windows in a row, until nothing was rejected for backAfter windows.
	awayShare = 0.2
	awayAfter = 10
	backAfter = 30
	// maxAway bounds the part of the time in which a host is away: it is back for as
	// long as it was away before it may be away again.
	maxAway = 60
)

// State is how far a host keeps up. Its zero value is that of an idle host.
type State struct {
	sum     time.Duration
	samples int
	// share is the part of the requests that is rejected.
	share float64
	// high and calm count windows in a row with a share of awayShare or more, and with
	// none. since counts the windows since the host went away or came back, and rest
	// those that it has to be back before it may be away again.
	high, calm, since, rest int
	away                    bool
}

// Observe records how late a timer fired.
func (s *State) Observe(lateness time.Duration) {
	s.sum += min(max(lateness, 0), maxSample)
	s.samples++
}

// EndWindow ends a window.
func (s *State) EndWindow() {
	mean := time.Duration(0)
	if s.samples > 0 {
		mean = s.sum / time.Duration(s.samples)
	}
	s.sum, s.samples = 0, 0
	switch {
	case mean > 2*targetLateness:
		s.share = min(s.share+2*raise, maxShare)
	case mean > targetLateness:
		s.share = min(s.share+raise, maxShare)
	default:
		s.share = max(s.share-lower, 0)
	}
	s.updateAway()
}

func (s *State) updateAway() {
	s.since++
	s.high, s.calm = s.high+1, s.calm+1
	if s.share < awayShare {
		s.high = 0
	}
	if s.share > 0 {
		s.calm = 0
	}
	switch {
	case s.away && (s.calm >= backAfter || s.since >= maxAway):
		s.away, s.rest, s.since, s.high = false, s.since, 0, 0
	case !s.away && s.high >= awayAfter && s.since >= s.rest:
		s.away, s.since = true, 0
	}
}

// Share returns the part of the requests that is rejected, 0 to 1.
func (s *State) Share() float64 { return s.share }

// Away reports whether the host asks for no new connections and ends those that it has
// after an answer, so that callers move to its peers.
func (s *State) Away() bool { return s.away }
