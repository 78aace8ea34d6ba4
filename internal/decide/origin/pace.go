package origin

import "time"

const (
	// SaveSlot is the minimum time between two writes of a host's records to the store,
	// and savePerHost what is added for each host of the fleet: some 18 writes a second
	// for each of the 8 buckets at 65 hosts, 10 at 330.
	SaveSlot    = 45 * time.Millisecond
	savePerHost = 170 * time.Microsecond
	// SaveSlots is the number of rows that a host writes in turn for a bucket. A row is
	// written again once its records have expired, so that nothing grows.
	SaveSlots = int64(Retention/SaveSlot) + 2
)

// SaveInterval returns the minimum time between two writes of a host's records in a fleet
// of a number of hosts.
func SaveInterval(hosts int) time.Duration {
	return SaveSlot + time.Duration(hosts)*savePerHost
}

// Pace spaces the sends of a host: what is queued after a quiet time is sent almost at
// once, as a record that has not left the host is lost if all hosts are killed, and a
// busy host sends at most once in an interval.
type Pace struct {
	// Burst is the number of sends that a quiet time saves up, one in an interval. A
	// host starts without any.
	Burst int
	// next is the time of the next send if none is saved up, zero before the first.
	next time.Time
	// due is the time of the send that is arranged, zero if there is nothing to send.
	due time.Time
	// interval is the minimum mean time between two sends, as last given.
	interval time.Duration
}

// gatherTime is how long a send waits for more records after a quiet time.
const gatherTime = 5 * time.Millisecond

// Queue notes that there is something to send. It returns the time until the send, and
// whether that was not due before.
func (p *Pace) Queue(interval time.Duration, now time.Time) (time.Duration, bool) {
	if !p.due.IsZero() {
		return 0, false
	}
	p.interval = interval
	if p.next.IsZero() {
		p.next = now.Add(p.saved())
	}
	p.due = now.Add(gatherTime)
	if earliest := p.next.Add(-p.saved()); earliest.After(p.due) {
		p.due = earliest
	}
	return p.due.Sub(now), true
}

// Sent notes that all that was queued is sent.
func (p *Pace) Sent(now time.Time) {
	if now.After(p.next) {
		p.next = now
	}
	p.next, p.due = p.next.Add(p.interval), time.Time{}
}

// saved returns the time that a full burst saves.
func (p *Pace) saved() time.Duration { return time.Duration(p.Burst) * p.interval }
