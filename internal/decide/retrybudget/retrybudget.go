// Package retrybudget limits the retries sent to a service by the whole fleet,
// without communication between hosts.
package retrybudget

import "time"

// bucketCount is the number of buckets in the sliding window. One more is kept, as the
// window begins within a bucket.
const bucketCount = 20

// safetyFactor is the fraction of the bound that is used. Retries arrive later than they
// are sent, and the windows of the bound are not those of the hosts.
const safetyFactor = 0.8

// Bound is the fleet-wide bound for one service.
type Bound struct {
	// Window is the length of the sliding window in which retries are counted.
	Window time.Duration
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries that the whole fleet is allowed in
	// addition.
	Slack float64
}

// Budget counts the requests and retries of one service at one host.
type Budget struct {
	// start is the time of the first count. Buckets are numbered from it, on the
	// monotonic clock.
	start   time.Time
	buckets [bucketCount + 1]bucket
}

type bucket struct {
	index    int64
	requests int
	retries  int
}

// RecordRequest counts the first attempt of a request.
func (b *Budget) RecordRequest(bound Bound, now time.Time) { b.bucketAt(bound, now).requests++ }

// Usage is what a host has sent to a service within the window. Of the bucket within which
// the window begins, all retries count and no requests, so that no more is allowed than the
// bound does.
type Usage struct {
	Requests, Retries int
	// Allowed is the number of retries that the budget allows.
	Allowed float64
}

// Usage returns what was sent within the window that ends now. slack is the host's part of
// the bound's slack; see Share.
func (b *Budget) Usage(bound Bound, slack float64, now time.Time) Usage {
	current := b.bucketAt(bound, now)
	var usage Usage
	for _, bucket := range b.buckets {
		age := current.index - bucket.index
		if age < bucketCount {
			usage.Requests += bucket.requests
		}
		if age <= bucketCount {
			usage.Retries += bucket.retries
		}
	}
	usage.Allowed = safetyFactor * (bound.Ratio*float64(usage.Requests) + slack)
	return usage
}

// AllowRetry reports whether the budget allows a retry, and counts it if so.
func (b *Budget) AllowRetry(bound Bound, slack float64, now time.Time) bool {
	usage := b.Usage(bound, slack, now)
	if float64(usage.Retries+1) > usage.Allowed {
		return false
	}
	b.bucketAt(bound, now).retries++
	return true
}

func (b *Budget) bucketAt(bound Bound, now time.Time) *bucket {
	if b.start.IsZero() {
		b.start = now
	}
	// Index 0 marks unused buckets.
	index := 1 + int64(now.Sub(b.start))/max(int64(bound.Window)/bucketCount, 1)
	current := &b.buckets[index%int64(len(b.buckets))]
	if current.index != index {
		*current = bucket{index: index}
	}
	return current
}
