// Package retrypolicy decides whether a request is retried at another upstream after
// a failed attempt.
package retrypolicy

import "github.com/peridotreel/peridotreel/internal/gateway"

const (
	// maxUnreachedAttempts limits the upstreams that could not be reached; each
	// of them costs the time until its connection attempt fails.
	maxUnreachedAttempts = 5
	// maxNotRunAttempts limits the upstreams that refused to run the request.
	maxNotRunAttempts = 4
)

// Decision is what follows a failed attempt.
type Decision uint8

// The decisions.
const (
	// Stop ends the request with its final answer.
	Stop Decision = iota
	// Retry sends the request to another upstream.
	Retry
)

// Attempt describes how an attempt ended.
type Attempt struct {
	// NotRun is true if the upstream reports that the request did not run, or if
	// nothing was sent.
	NotRun bool
	// Arrived is true if the request may have reached the upstream.
	Arrived bool
	// Final is true if no other attempt can help.
	Final bool
}

// State counts a request's attempts.
type State struct {
	rule        gateway.RetryRule
	maxAttempts int
	arrivals    int
	ran         int
	notRun      int
	unreached   int
}

// New returns the state of a request that has not been sent yet. maxAttempts
// limits the upstreams on which it may run.
func New(rule gateway.RetryRule, maxAttempts int) State {
	return State{rule: rule, maxAttempts: maxAttempts}
}

// RecordDelivered records an attempt whose answer was delivered.
func (s *State) RecordDelivered() {
	s.arrivals++
	s.ran++
}

// RecordFailed records an attempt that did not succeed and decides whether to
// retry.
func (s *State) RecordFailed(attempt Attempt) Decision {
	if attempt.Arrived {
		s.arrivals++
	}
	if attempt.NotRun {
		if s.notRun++; s.notRun > maxNotRunAttempts || attempt.Final {
			return Stop
		}
		return Retry
	}
	s.ran++
	if attempt.Final || !s.rule.MayRetry() || s.ran >= s.maxAttempts {
		return Stop
	}
	return Retry
}

// RecordUnreached records an upstream that could not be reached and reports whether
// another may be tried.
func (s *State) RecordUnreached() bool {
	s.unreached++
	return s.unreached <= maxUnreachedAttempts
}

// MayHaveRun reports whether an upstream may have run the request.
func (s *State) MayHaveRun() bool { return s.ran > 0 }

// Arrivals returns how many times the request may have reached an upstream.
func (s *State) Arrivals() int { return s.arrivals }

// MayAdd reports whether the request may be sent to one more upstream while attempts
// that may have run it are in flight.
func (s *State) MayAdd(inFlight int) bool {
	return s.rule.MayRetry() && s.ran+inFlight < s.maxAttempts && s.notRun <= maxNotRunAttempts
}
