// Package retry decides whether a failed attempt may be repeated or hedged,
// and after which delay.
package retry

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/fault"
)

const (
	// RetryPart is the part of a model's requests that may be retried, so
	// that retries can't multiply the load of a failing model.
	RetryPart = 0.10
	// HedgePart is the part of a model's requests that may be hedged.
	HedgePart = 0.05
	// floorPerSecond lets a quiet model retry now and then.
	floorPerSecond = 0.1
	// retryBurst and hedgeBurst bound what a busy model may have saved up.
	retryBurst = 20
	hedgeBurst = 5
	// firstBackoff is the mean delay before the second attempt. It is short,
	// since the next attempt goes to another upstream.
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
	// hedgeRatio times the usual first-token time is when a second attempt
	// is made. Less would hedge attempts that are merely queued.
	hedgeRatio    = 2
	minHedgeDelay = 50 * time.Millisecond
	// maxAttempts bounds the attempts of one request, whatever the budget.
	maxAttempts = 5
)

// Budget is a token bucket filled by requests and, slowly, by time. The zero
// value is not usable.
type Budget struct {
	part   float64
	burst  float64
	tokens float64
	last   time.Time
}

// NewRetryBudget returns the budget of a model's retries. It starts with one
// retry, so that the first request may be retried.
func NewRetryBudget(now time.Time) Budget {
	return Budget{part: RetryPart, burst: retryBurst, tokens: 1, last: now}
}

// NewHedgeBudget returns the budget of a model's hedged requests. It starts
// empty and has no floor, so that the part is never exceeded.
func NewHedgeBudget(now time.Time) Budget {
	return Budget{part: HedgePart, burst: hedgeBurst, last: now}
}

// Request notes a first attempt.
func (b *Budget) Request() {
	b.tokens = min(b.burst, b.tokens+b.part)
}

// Take takes one attempt from the budget if it has one.
func (b *Budget) Take(now time.Time) bool {
	if b.part == RetryPart {
		if elapsed := now.Sub(b.last); elapsed > 0 {
			// The floor saves up one retry at most.
			b.tokens = max(b.tokens, min(1, b.tokens+elapsed.Seconds()*floorPerSecond))
		}
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the delay before an attempt, counted from 1, given a random
// value in [0, 1). It is the "full jitter" of exponential backoff described in
// the AWS architecture blog.
func Backoff(attempt int, random float64) time.Duration {
	if attempt <= 1 {
		return 0
	}
	ceiling := min(maxBackoff, 2*firstBackoff<<min(attempt-2, 10))
	return time.Duration(random * float64(ceiling))
}

// Failure is a failed attempt of a request.
type Failure struct {
	// Attempt counts from 1.
	Attempt    int
	Idempotent bool
	Run        fault.RunState
	// Repeatable is false for errors that another upstream would return too.
	Repeatable bool
	Now        time.Time
	Deadline   time.Time
	// Expected is the usual time to the first token of another attempt.
	Expected time.Duration
}

// MayRetry reports whether another attempt may be made after delay. Work that
// must not run twice is repeated only if it certainly did not run.
func MayRetry(failure *Failure, delay time.Duration) bool {
	switch {
	case !failure.Repeatable || failure.Attempt >= maxAttempts:
		return false
	case !failure.Idempotent && failure.Run != fault.NotRun:
		return false
	}
	return failure.Now.Add(delay + failure.Expected).Before(failure.Deadline)
}

// MayHedge reports whether a second attempt may run beside the first. Only
// idempotent work without a token yet is hedged, once.
func MayHedge(idempotent bool, attempt int, tokens int64, now, deadline time.Time) bool {
	return idempotent && attempt == 1 && tokens == 0 && now.Before(deadline)
}

// HedgeDelay returns how long to wait for the first token before hedging,
// given its usual time and the size of the work relative to the usual one; 0
// if the time is not known, which means not to hedge.
func HedgeDelay(usual time.Duration, size float64) time.Duration {
	if usual <= 0 {
		return 0
	}
	return max(minHedgeDelay, time.Duration(hedgeRatio*max(1, size)*float64(usual)))
}
