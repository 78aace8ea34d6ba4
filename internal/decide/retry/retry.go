// Package retry decides whether a failed attempt may be retried or hedged, and
// after which delay.
package retry

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/fault"
)

const (
	// RetryFraction is the fraction of a model's requests that may be retried,
	// so that retries can't multiply the load of a failing model.
	RetryFraction = 0.10
	// HedgeFraction is the fraction of a model's requests that may be hedged.
	HedgeFraction = 0.05
	// minRetriesPerSecond lets a model with few requests retry occasionally.
	minRetriesPerSecond = 0.1
	// retryBurst and hedgeBurst are the capacities of the token buckets.
	retryBurst = 20
	hedgeBurst = 5
	// baseBackoff is the mean delay before the second attempt. It is short,
	// since the next attempt goes to another upstream.
	baseBackoff = 20 * time.Millisecond
	maxBackoff  = time.Second
	// hedgeRatio times the median first-token time is the delay before a hedge.
	// A shorter one would hedge attempts that are merely queued.
	hedgeRatio    = 2
	minHedgeDelay = 50 * time.Millisecond
	// maxAttempts bounds the attempts of one request, whatever the budget.
	maxAttempts = 5
)

// Budget is a token bucket that requests fill and, slowly, time. The zero value
// is not usable.
type Budget struct {
	fraction  float64
	burst     float64
	tokens    float64
	updatedAt time.Time
}

// NewRetryBudget returns the budget of a model's retries. It starts with one
// retry, so that the first request may be retried.
func NewRetryBudget(now time.Time) Budget {
	return Budget{fraction: RetryFraction, burst: retryBurst, tokens: 1, updatedAt: now}
}

// NewHedgeBudget returns the budget of a model's hedges. It starts empty and is
// not filled by time, so that the fraction is never exceeded.
func NewHedgeBudget(now time.Time) Budget {
	return Budget{fraction: HedgeFraction, burst: hedgeBurst, updatedAt: now}
}

// RecordRequest adds what the first attempt of a request earns: a fraction of a
// token.
func (b *Budget) RecordRequest() {
	b.tokens = min(b.burst, b.tokens+b.fraction)
}

// Take takes the token for one attempt and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	if b.fraction == RetryFraction {
		if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
			// Time alone fills up to one token.
			b.tokens = max(b.tokens, min(1, b.tokens+elapsed.Seconds()*minRetriesPerSecond))
		}
	}
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the delay before an attempt, counted from 1, given a random
// value in [0, 1). It is exponential backoff with "full jitter", as the AWS
// Architecture Blog describes it.
func Backoff(attempt int, random float64) time.Duration {
	if attempt <= 1 {
		return 0
	}
	ceiling := min(maxBackoff, 2*baseBackoff<<min(attempt-2, 10))
	return time.Duration(random * float64(ceiling))
}

// Failure describes a failed attempt of a request.
type Failure struct {
	// Attempt counts from 1.
	Attempt    int
	Idempotent bool
	Run        fault.RunState
	// Retryable is false for errors that another upstream would return too.
	Retryable bool
	Now       time.Time
	Deadline  time.Time
	// ExpectedFirstToken is the usual first-token time of another attempt.
	ExpectedFirstToken time.Duration
}

// MayRetry reports whether another attempt may be made after delay. Work that
// is not idempotent is retried only if it certainly did not run.
func MayRetry(failure *Failure, delay time.Duration) bool {
	switch {
	case !failure.Retryable || failure.Attempt >= maxAttempts:
		return false
	case !failure.Idempotent && failure.Run != fault.NotRun:
		return false
	}
	return failure.Now.Add(delay + failure.ExpectedFirstToken).Before(failure.Deadline)
}

// MayHedge reports whether a second attempt may run beside the first. Only
// idempotent work that has no token yet is hedged, and only once.
func MayHedge(idempotent bool, attempt int, tokens int64, now, deadline time.Time) bool {
	return idempotent && attempt == 1 && tokens == 0 && now.Before(deadline)
}

// HedgeDelay returns how long to wait for the first token before hedging, given
// its median time and the size of the work relative to the mean; 0, which means
// not to hedge, if the median is not known.
func HedgeDelay(medianFirstToken time.Duration, relativeSize float64) time.Duration {
	if medianFirstToken <= 0 {
		return 0
	}
	return max(minHedgeDelay, time.Duration(hedgeRatio*max(1, relativeSize)*float64(medianFirstToken)))
}
