// Package calls decides which hosts store the location of an idempotent call
// with an idempotency key, so that a retry at another host continues the call
// instead of running it again. The location is the upstream that runs the call.
// It is a hint: if it is lost, the call may run a second time.
package calls

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/rendezvous"
)

const (
	// LocationTTL is how long the location of a running call is kept after an
	// update.
	LocationTTL = 10 * time.Minute
	// FinishedTTL is how long the location of a finished call is kept, which
	// is as long as engines hold a finished stream.
	FinishedTTL = time.Minute
	// MaxEntries limits the registry. At three times the planned peak load of
	// 142 requests per second and host, with two replicas and FinishedTTL, a
	// host keeps about 51,000 finished calls; an entry uses about 250 bytes.
	MaxEntries = 100_000
)

// Update reports the location of a call.
type Update struct {
	Request core.RequestID
	Target  core.Target
	// At is when the call was sent to the target, in Unix nanoseconds on the
	// clock of the reporting host. The update with the latest time wins.
	At       int64
	Finished bool
}

type entry struct {
	target       core.Target
	dispatchedAt int64
	expires      time.Time
}

// queuedExpiry is when an entry was to expire when it was queued. The entry may
// have been removed or updated since.
type queuedExpiry struct {
	id core.RequestID
	at time.Time
}

// Registry holds locations in bounded memory. It is not safe for concurrent
// use; a task owns it.
type Registry struct {
	entries map[core.RequestID]entry
	// runningExpiries and finishedExpiries are in order of expiry, because all
	// entries of a queue have the same time to live.
	runningExpiries, finishedExpiries []queuedExpiry
	evicted                           int
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{entries: make(map[core.RequestID]entry)}
}

// Apply applies an update, which may be late or duplicated.
func (r *Registry) Apply(update Update, now time.Time) {
	r.expire(now)
	known, found := r.entries[update.Request]
	if found && known.dispatchedAt > update.At {
		return
	}
	updated := entry{target: update.Target, dispatchedAt: update.At, expires: now.Add(LocationTTL)}
	queue := &r.runningExpiries
	if update.Finished {
		updated.expires = now.Add(FinishedTTL)
		queue = &r.finishedExpiries
	}
	if found && known.dispatchedAt == update.At && known.expires.Before(updated.expires) {
		return
	}
	r.entries[update.Request] = updated
	*queue = append(*queue, queuedExpiry{update.Request, updated.expires})
	r.evict()
}

// Find returns where a call runs or has just run.
func (r *Registry) Find(id core.RequestID, now time.Time) (core.Target, bool) {
	found, exists := r.entries[id]
	if !exists || !now.Before(found.expires) {
		return core.Target{}, false
	}
	return found.target, true
}

// Size returns the number of entries, and how many were evicted so far.
func (r *Registry) Size() (entries, evicted int) {
	return len(r.entries), r.evicted
}

func (r *Registry) expire(now time.Time) {
	for _, queue := range []*[]queuedExpiry{&r.runningExpiries, &r.finishedExpiries} {
		for len(*queue) > 0 && !now.Before((*queue)[0].at) {
			r.removeFirst(queue)
		}
	}
}

// removeFirst removes the first item of a queue, and its entry unless the entry
// has another expiry by now. It reports whether it removed the entry.
func (r *Registry) removeFirst(queue *[]queuedExpiry) bool {
	first := (*queue)[0]
	*queue = (*queue)[1:]
	if kept, found := r.entries[first.id]; found && kept.expires.Equal(first.at) {
		delete(r.entries, first.id)
		return true
	}
	return false
}

// evict enforces the limits. It removes the oldest finished calls first, then
// the oldest running ones. The queues have a limit too, because many of their
// items may be outdated.
func (r *Registry) evict() {
	for len(r.entries) > MaxEntries || len(r.runningExpiries)+len(r.finishedExpiries) > 2*MaxEntries {
		queue := &r.finishedExpiries
		if len(r.finishedExpiries) == 0 || len(r.runningExpiries) > MaxEntries {
			queue = &r.runningExpiries
		}
		if r.removeFirst(queue) {
			r.evicted++
		}
	}
}

// Replicas returns the hosts that store the location of a call: the first by
// rendezvous hashing, and the next one, in another zone if there is one.
func Replicas(id core.RequestID, hosts []core.Peer) []core.Peer {
	key := id.String()
	first := highestWeight(key, hosts, func(core.Peer) bool { return true })
	if first < 0 {
		return nil
	}
	second := highestWeight(key, hosts, func(peer core.Peer) bool { return peer.Zone != hosts[first].Zone })
	if second < 0 {
		second = highestWeight(key, hosts, func(peer core.Peer) bool { return peer.Ref != hosts[first].Ref })
	}
	if second < 0 {
		return []core.Peer{hosts[first]}
	}
	return []core.Peer{hosts[first], hosts[second]}
}

// highestWeight returns the index of the host with the highest weight, or -1.
func highestWeight(key string, hosts []core.Peer, matches func(core.Peer) bool) int {
	best, bestWeight := -1, uint64(0)
	for i := range hosts {
		if !matches(hosts[i]) {
			continue
		}
		weight := rendezvous.Weight(key, string(hosts[i].Ref.Host))
		if best < 0 || weight > bestWeight || weight == bestWeight && hosts[i].Ref.Host < hosts[best].Ref.Host {
			best, bestWeight = i, weight
		}
	}
	return best
}
