// Package retrybudget bounds how often requests are sent to a service again,
// over all hosts, without the hosts having to talk.
package retrybudget

import "time"

// buckets is the number of steps of the sliding window.
const buckets = 20

// safety is the part of the bound that is used, as hosts that restart forget
// what they have sent.
const safety = 0.8

// Bound is the fleet-wide bound for one service.
type Bound struct {
	// Window is the span in which repeats are counted.
	Window time.Duration
	// Ratio is the repeats allowed for each first request.
	Ratio float64
	// Slack is the repeats allowed besides, for the whole fleet.
	Slack float64
}

// Budget counts the first requests and repeats of one service at one host.
type Budget struct {
	// start is the time of the first count; steps are numbered from it, on the
	// monotonic clock.
	start time.Time
	steps [buckets]step
}

type step struct {
	number   int64
	firsts   int
	repeated int
}

// First counts a request that a caller sent.
func (b *Budget) First(bound Bound, now time.Time) { b.at(bound, now).firsts++ }

// Repeat counts another arrival of a request and reports whether the budget
// allows it. What is not allowed is not counted.
func (b *Budget) Repeat(bound Bound, hosts int, now time.Time) bool {
	current := b.at(bound, now)
	firsts, repeated := 0, 0
	for i := range b.steps {
		if current.number-b.steps[i].number < buckets {
			firsts += b.steps[i].firsts
			repeated += b.steps[i].repeated
		}
	}
	allowed := safety * (bound.Ratio*float64(firsts) + bound.Slack/float64(max(hosts, 1)))
	if float64(repeated+1) > allowed {
		return false
	}
	current.repeated++
	return true
}

func (b *Budget) at(bound Bound, now time.Time) *step {
	if b.start.IsZero() {
		b.start = now
	}
	// Step 0 is that of unused entries.
	number := 1 + int64(now.Sub(b.start))/max(int64(bound.Window)/buckets, 1)
	current := &b.steps[number%buckets]
	if current.number != number {
		*current = step{number: number}
	}
	return current
}
