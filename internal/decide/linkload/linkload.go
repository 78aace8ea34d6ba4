// Package linkload decides what a host does as its network link fills up. It answers the
// load of one caller, or of few, that reach a single host by the balancer's hash and send
// more than its link carries, while the links of its peers are idle. Bytes that wait in
// the link are invisible to the host: its timers are on time, but requests, answers of
// upstreams, and calls to peers and the store arrive seconds late.
//
// Rejecting requests does not empty the link, as their bodies have arrived by then, but
// saves the answers of upstreams, and callers return to another host. Leaving the
// balancer's rotation moves the callers themselves.
package linkload

import "time"

const (
	// Window is the time over which the use of the link is measured.
	Window = 100 * time.Millisecond
	// smoothing is the weight of the latest window in the mean use. A prompt of 70 kB
	// fills a link of 10 Mbit/s for half a window, so single windows tell little.
	smoothing = 0.25
	// awayUse is the part of the link from which the host leaves the rotation. The balancer
	// takes up to three seconds to notice, in which the load may still rise.
	awayUse = 0.7
	// rejectUse is the part of the link from which requests are rejected. What is left
	// carries the calls to owners of balances, peers and the store.
	rejectUse = 0.8
	// raise is added to the rejected share in each window above rejectUse, and lower is
	// taken off it in each window below.
	raise = 0.1
	lower = 0.04
	// maxShare leaves requests by which callers notice that the host serves again.
	maxShare = 0.9
	// minAway is how long the host is away at least. A caller that has filled the link is
	// mostly still there when the host returns, and is then served late for the three
	// seconds that the balancer takes; it may pass several small hosts, three seconds each,
	// before it reaches one that carries it. The time doubles each time that the load is back
	// within calmTime of the return, up to maxAway.
	minAway  = 45 * time.Second
	maxAway  = 2 * time.Minute
	calmTime = 30 * time.Second
)

// State is how much of its link a host uses. Its zero value is that of an idle host.
type State struct {
	use   float64
	share float64
	// away is true while the host is out of the rotation.
	away bool
	// left are the windows of the present absence that are left, and stay its length.
	left, stay int
	// calm counts the windows since the latest return.
	calm int
}

// EndWindow ends a window in which a part of the link was used: the larger one of its two
// directions. It may exceed 1 after a pause of the process, which then reads what has
// arrived meanwhile.
func (s *State) EndWindow(use float64) {
	s.use += smoothing * (min(use, 1) - s.use)
	if s.use > rejectUse {
		s.share = min(s.share+raise, maxShare)
	} else {
		s.share = max(s.share-lower, 0)
	}
	s.updateAway()
}

func (s *State) updateAway() {
	if s.away {
		// The time runs only once the load is gone: callers that could not move yet would
		// find the host back in the rotation.
		if s.use < awayUse {
			s.left--
		}
		if s.left <= 0 {
			s.away, s.calm = false, 0
		}
		return
	}
	s.calm++
	if s.use < awayUse {
		return
	}
	s.stay = min(2*s.stay, windows(maxAway))
	if s.stay == 0 || s.calm > windows(calmTime) {
		s.stay = windows(minAway)
	}
	s.away, s.left = true, s.stay
}

// windows returns the number of windows in a time.
func windows(duration time.Duration) int { return int(duration / Window) }

// Use returns the part of the link that is used, 0 to 1.
func (s *State) Use() float64 { return s.use }

// Share returns the part of the requests that is rejected, 0 to 1.
func (s *State) Share() float64 { return s.share }

// Away reports whether the host asks the balancer for no new connections and ends those
// that it has after an answer, so that callers move to its peers.
func (s *State) Away() bool { return s.away }

// Full reports whether calls may fail for want of room in the link, so that their failure
// tells nothing about whom they were sent to.
func (s *State) Full() bool { return s.use > awayUse }
