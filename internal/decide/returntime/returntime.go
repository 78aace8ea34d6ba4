// Package returntime tells the callers of refused requests when to return: not all at the
// same time, and only if they may be served then.
package returntime

import "time"

const (
	// honoured is the fraction of its time left up to which a caller honours a return time:
	// a third, less what passes until the refusal arrives.
	honoured = 0.3
	// spread is the length of the window over which returns are spread, as a multiple of the
	// earliest time, and maxWindow bounds it. Of a burst of 200 callers before 150 places a
	// second, 119 were refused twice with a multiple of 1, and 63 with 3.
	spread    = 3
	maxWindow = time.Second
)

// Refused describes a request that is refused.
type Refused struct {
	// Earliest is after which time a request may be served.
	Earliest time.Duration
	// Certain is true if none is served before Earliest. Otherwise the time is a guess, and
	// a caller that cannot wait as long returns earlier.
	Certain bool
	// Spread is true if Earliest differs by caller already.
	Spread bool
	// Left is the caller's time left, and Work what the request takes of it.
	Left, Work time.Duration
}

// In returns after which time the caller is to return, 0 if that would serve it no more.
// fraction, from 0 to 1, is the place of the caller in the window.
func In(r Refused, fraction float64) time.Duration {
	latest := min(time.Duration(honoured*float64(r.Left)), r.Left-r.Work)
	if latest <= 0 || (r.Certain && r.Earliest > latest) {
		return 0
	}
	if r.Spread {
		return min(r.Earliest, latest)
	}
	first := r.Earliest
	if !r.Certain {
		first = min(first, latest/2)
	}
	window := min(spread*r.Earliest, maxWindow, latest-first)
	return first + time.Duration(fraction*float64(window))
}
