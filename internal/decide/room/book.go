package room

import (
	"math"
	"time"
)

const (
	// minReturn is the shortest return time: the load that callers meet is not known any
	// sooner.
	minReturn = 250 * time.Millisecond
	// honoured is the fraction of its time left up to which a caller honours a return time:
	// a third, less what passes until the refusal arrives.
	honoured = 0.3
	// bookedShare is the part of what becomes free, beyond what is more urgent, that is
	// booked, and minBookedShare that of all that becomes free. Bookings at several hosts
	// may meet at one.
	bookedShare    = 0.5
	minBookedShare = 0.1
)

// book returns when the caller of a refused request is to return: when the next place
// becomes free that is not booked. It returns 0 and books nothing if the caller would not
// come back, or not be served in time then.
func (t *Table) book(r Request, k *kind, now time.Time) time.Duration {
	free := t.free(now)
	rate := free
	for rank := range r.Rank {
		rate -= t.arrivals[rank].perSecond(now)
	}
	rate = max(bookedShare*rate, minBookedShare*free)
	interval := time.Duration(float64(time.Second) / rate)
	at := now.Add(minReturn)
	if t.nextFree.After(at) {
		at = t.nextFree
	}
	// Hosts refuse at the same moments, so that each booking is spread over its interval.
	t.refusals++
	_, fraction := math.Modf(float64(t.refusals) * math.Phi)
	in := at.Sub(now) + time.Duration(fraction*float64(min(interval, time.Second)))
	if in > time.Duration(honoured*float64(r.Left)) || r.Left-in < min(r.Wait, r.MaxWait)+k.work {
		return 0
	}
	t.nextFree = at.Add(interval)
	return in
}
