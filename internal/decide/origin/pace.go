package origin

import "time"

// Pace spaces the sends of a host: what is queued after a quiet time is sent almost at
// once, as a record that has not left the host is lost if all hosts are killed, and a
// busy host sends at most once in an interval.
type Pace struct {
	// last is the time of the last send, due that of the next one, zero if there is
	// nothing to send.
	last, due time.Time
}

// gatherTime is how long a send waits for more records after a quiet time.
const gatherTime = 5 * time.Millisecond

// Queue notes that there is something to send. It returns the time until the send, and
// whether that was not due before.
func (p *Pace) Queue(interval time.Duration, now time.Time) (time.Duration, bool) {
	if !p.due.IsZero() {
		return 0, false
	}
	p.due = now.Add(gatherTime)
	if next := p.last.Add(interval); next.After(p.due) {
		p.due = next
	}
	return p.due.Sub(now), true
}

// Sent notes that all that was queued is sent.
func (p *Pace) Sent(now time.Time) { p.last, p.due = now, time.Time{} }
