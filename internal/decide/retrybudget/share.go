package retrybudget

import (
	"slices"
	"time"
)

// Share is a host's part of the slack of the fleet's bounds.
type Share struct {
	// began is when the process of the host started.
	began time.Time
	// hosts is 0 until the number of hosts is known.
	hosts int
	// earlier are larger numbers of hosts before, the largest first.
	earlier []earlierCount
}

// earlierCount is a number of hosts that was valid until a time.
type earlierCount struct {
	hosts int
	until time.Time
}

// NewShare returns the part of a process that started at began.
func NewShare(began time.Time) *Share { return &Share{began: began} }

// SetHosts sets the number of hosts among which the slack is divided, 1 or more.
func (s *Share) SetHosts(count int, now time.Time) {
	if count < s.hosts {
		s.earlier = append(s.earlier, earlierCount{s.hosts, now})
	}
	s.hosts = count
	s.earlier = slices.DeleteFunc(s.earlier, func(e earlierCount) bool { return e.hosts <= count })
}

// Hosts returns the number of hosts among which the slack is divided, 0 if it is not known.
// Hosts that have left within the window count, because what they sent is still in it.
func (s *Share) Hosts(bound Bound, now time.Time) int {
	s.earlier = slices.DeleteFunc(s.earlier, func(e earlierCount) bool { return now.Sub(e.until) >= bound.Window })
	if len(s.earlier) > 0 {
		return s.earlier[0].hosts
	}
	return s.hosts
}

// Slack returns the host's part of a bound's slack. It is 0 until the number of hosts is
// known, and until the process has run for a window: an earlier process of the host may have
// used the part within that window. What a ratio of requests allows needs no such wait, since
// each request counts at one process only.
func (s *Share) Slack(bound Bound, now time.Time) float64 {
	hosts := s.Hosts(bound, now)
	if hosts == 0 || now.Sub(s.began) < bound.Window {
		return 0
	}
	return bound.Slack / float64(hosts)
}
