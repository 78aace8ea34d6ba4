package retrybudget

import "time"

// Share is a host's part of the slack of the fleet's bounds.
type Share struct {
	// began is when the process of the host started.
	began time.Time
	// hosts is 0 until the number of hosts is known.
	hosts int
}

// NewShare returns the part of a process that started at began.
func NewShare(began time.Time) *Share { return &Share{began: began} }

// SetHosts sets the number of hosts among which the slack is divided, 1 or more.
func (s *Share) SetHosts(count int) { s.hosts = count }

// Hosts returns the number of hosts among which the slack is divided, 0 if it is not known.
func (s *Share) Hosts() int { return s.hosts }

// Slack returns the host's part of a bound's slack. It is 0 until the number of hosts is
// known, and until the process has run for a window: an earlier process of the host may have
// used the part within that window. What a ratio of requests allows needs no such wait, since
// each request counts at one process only.
func (s *Share) Slack(bound Bound, now time.Time) float64 {
	if s.hosts == 0 || now.Sub(s.began) < bound.Window {
		return 0
	}
	return bound.Slack / float64(s.hosts)
}
