// Package again decides whether a request is sent to another upstream after an
// attempt.
package again

import "github.com/peridotreel/peridotreel/internal/gateway"

const (
	// maxUnreached bounds upstreams that could not be reached; trying one costs
	// the time to notice.
	maxUnreached = 5
	// maxNotRun bounds upstreams that refused to run the request.
	maxNotRun = 4
)

// Decision says what follows an attempt.
type Decision uint8

// The decisions.
const (
	// Stop gives the request its final answer.
	Stop Decision = iota
	// Repeat sends it to another upstream.
	Repeat
)

// Attempt tells how an attempt ended.
type Attempt struct {
	// NotRun is true if the upstream states that the request did not run, or if
	// nothing was sent.
	NotRun bool
	// Arrived is true if the request may have reached the upstream.
	Arrived bool
	// Final is true if no other attempt can help.
	Final bool
}

// State counts a request's attempts.
type State struct {
	rule        gateway.RepeatRule
	maxAttempts int
	arrivals    int
	ran         int
	notRun      int
	unreached   int
}

// New returns the state of a request that was not sent yet. maxAttempts bounds
// the upstreams on which it may run.
func New(rule gateway.RepeatRule, maxAttempts int) State {
	return State{rule: rule, maxAttempts: maxAttempts}
}

// Ran records an attempt that ran.
func (s *State) Ran() {
	s.arrivals++
	s.ran++
}

// After records an attempt that did not succeed and decides what follows.
func (s *State) After(attempt Attempt) Decision {
	if attempt.Arrived {
		s.arrivals++
	}
	if attempt.NotRun {
		if s.notRun++; s.notRun > maxNotRun || attempt.Final {
			return Stop
		}
		return Repeat
	}
	s.ran++
	if attempt.Final || !s.rule.MayRepeat() || s.ran >= s.maxAttempts {
		return Stop
	}
	return Repeat
}

// Unreached records an upstream that could not be reached and reports whether
// another may be tried.
func (s *State) Unreached() bool {
	s.unreached++
	return s.unreached <= maxUnreached
}

// MayHaveRun reports whether an upstream may have run the request.
func (s *State) MayHaveRun() bool { return s.ran > 0 }

// Arrivals returns how often the request may have reached an upstream.
func (s *State) Arrivals() int { return s.arrivals }

// MayRepeatOnce reports whether the request may run at one more upstream after
// the next attempt.
func (s *State) MayRepeatOnce() bool { return s.rule.MayRepeat() && s.ran+1 < s.maxAttempts }
