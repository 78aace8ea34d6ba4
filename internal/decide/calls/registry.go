// Package calls decides where the location of a running keyed request is kept,
// so that a retry at another host continues it instead of running it again.
// Locations are hints: a lost one costs a second run of an idempotent request.
package calls

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/rendezvous"
)

const (
	// Expiry bounds how long a location is kept.
	Expiry = 10 * time.Minute
	// FinishedExpiry is how long engines hold a finished stream.
	FinishedExpiry = time.Minute
	// MaxEntries bounds the registry. At three times the planned peak of 142
	// requests a second, two copies and a minute after the end, about 51,000
	// finished requests are kept; an entry uses about 250 bytes.
	MaxEntries = 100_000
)

// Update is what a host reports of a request it runs.
type Update struct {
	Request core.RequestID
	Target  core.Target
	// At is when the request went to the target, in Unix nanoseconds of the
	// reporting host; the latest one counts.
	At       int64
	Finished bool
}

type entry struct {
	target  core.Target
	at      int64
	expires time.Time
}

// expiring notes when to look at an entry; the entry may have gone or may
// expire at another time by then.
type expiring struct {
	request core.RequestID
	at      time.Time
}

// Registry holds locations in bounded memory. It is not safe for concurrent
// use; a task owns it.
type Registry struct {
	entries map[core.RequestID]entry
	// running and finished are ordered by time, as each has one delay.
	running, finished []expiring
	evicted           int
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{entries: make(map[core.RequestID]entry)}
}

// Apply takes in an update, which may be late or repeated.
func (r *Registry) Apply(update Update, now time.Time) {
	r.expire(now)
	known, found := r.entries[update.Request]
	if found && known.at > update.At {
		return
	}
	kept := entry{target: update.Target, at: update.At, expires: now.Add(Expiry)}
	queue := &r.running
	if update.Finished {
		kept.expires = now.Add(FinishedExpiry)
		queue = &r.finished
	}
	if found && known.at == update.At && known.expires.Before(kept.expires) {
		return
	}
	r.entries[update.Request] = kept
	*queue = append(*queue, expiring{update.Request, kept.expires})
	r.evict()
}

// Find returns where a request runs or has just run.
func (r *Registry) Find(request core.RequestID, now time.Time) (core.Target, bool) {
	found, exists := r.entries[request]
	if !exists || !now.Before(found.expires) {
		return core.Target{}, false
	}
	return found.target, true
}

// Size returns the number of entries, and how many were dropped for room.
func (r *Registry) Size() (entries, evicted int) {
	return len(r.entries), r.evicted
}

func (r *Registry) expire(now time.Time) {
	for _, queue := range []*[]expiring{&r.running, &r.finished} {
		for len(*queue) > 0 && !now.Before((*queue)[0].at) {
			r.drop(queue)
		}
	}
}

// drop removes the first note of a queue, and its entry unless the entry has
// another expiry by now.
func (r *Registry) drop(queue *[]expiring) bool {
	first := (*queue)[0]
	*queue = (*queue)[1:]
	if kept, found := r.entries[first.request]; found && kept.expires.Equal(first.at) {
		delete(r.entries, first.request)
		return true
	}
	return false
}

// evict keeps the bounds: finished requests go first, then the oldest. The
// notes are bounded too, as many of them may be outdated.
func (r *Registry) evict() {
	for len(r.entries) > MaxEntries || len(r.running)+len(r.finished) > 2*MaxEntries {
		queue := &r.finished
		if len(r.finished) == 0 || len(r.running) > MaxEntries {
			queue = &r.running
		}
		if r.drop(queue) {
			r.evicted++
		}
	}
}

// Keepers returns the hosts that keep the location of a request: the first in
// rendezvous order, and the next one of another zone if there is one.
func Keepers(request core.RequestID, hosts []core.Peer) []core.Peer {
	key := request.String()
	first := heaviest(key, hosts, func(core.Peer) bool { return true })
	if first < 0 {
		return nil
	}
	second := heaviest(key, hosts, func(peer core.Peer) bool { return peer.Zone != hosts[first].Zone })
	if second < 0 {
		second = heaviest(key, hosts, func(peer core.Peer) bool { return peer.Ref != hosts[first].Ref })
	}
	if second < 0 {
		return []core.Peer{hosts[first]}
	}
	return []core.Peer{hosts[first], hosts[second]}
}

// heaviest returns the index of the host with the highest weight, or -1.
func heaviest(key string, hosts []core.Peer, matches func(core.Peer) bool) int {
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
