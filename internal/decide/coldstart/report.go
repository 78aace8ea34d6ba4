package coldstart

import (
	"math"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/rendezvous"
)

const (
	// delayAge is how long the time until enough upstreams are warm is kept. It is
	// computed from all upstreams of a service, and asked for with each refusal.
	delayAge = 100 * time.Millisecond
	// minSpread is the shortest time over which refused requests return: their return
	// takes a round trip, and the upstreams warm up at slightly different times.
	minSpread = 250 * time.Millisecond
)

// delay is when enough upstreams of a service are warm.
type delay struct {
	at       time.Time
	enoughAt time.Time
	cold     bool
}

// ReturnDelay returns the delay to send to the n-th caller that is refused because the
// upstreams of a service that may take the request are cold, and false if none is cold.
// The delays of all hosts are spread over the time until half of the cold upstreams are
// warm, as a load that returns at once meets the same cold upstreams.
func (t *Table) ReturnDelay(name core.ServiceName, n uint64, now time.Time) (time.Duration, bool) {
	known, found := t.delays[name]
	if !found || now.Sub(known.at) > delayAge {
		known = t.computeDelay(name, now)
		t.delays[name] = known
	}
	if !known.cold {
		return 0, false
	}
	offset := float64(rendezvous.Weight(string(name), string(t.self))) / math.MaxUint64
	_, fraction := math.Modf(offset + float64(n)*math.Phi)
	spread := max(known.enoughAt.Sub(now), minSpread)
	return max(time.Duration(fraction*float64(spread)), time.Millisecond), true
}

func (t *Table) computeDelay(name core.ServiceName, now time.Time) delay {
	t.remaining = t.remaining[:0]
	for _, known := range t.states {
		if known.service != name {
			continue
		}
		if remaining := known.warmAt.Sub(now); remaining > 0 {
			t.remaining = append(t.remaining, min(remaining, t.services[name].coldFor))
		}
	}
	if len(t.remaining) == 0 {
		return delay{at: now}
	}
	slices.Sort(t.remaining)
	return delay{at: now, enoughAt: now.Add(t.remaining[(len(t.remaining)-1)/2]), cold: true}
}

// Change is the upstreams of a service and zone that have become cold, or warm again.
type Change struct {
	Service   core.ServiceName
	Zone      core.ZoneName
	Cold      bool
	Upstreams []core.UpstreamID
}

// Changes returns what has changed since it was called last.
func (t *Table) Changes(now time.Time) []Change {
	var changes []Change
	for id, known := range t.states {
		cold := known.cold(now)
		if cold == known.logged {
			continue
		}
		known.logged = cold
		index := slices.IndexFunc(changes, func(c Change) bool {
			return c.Service == known.service && c.Zone == known.zone && c.Cold == cold
		})
		if index < 0 {
			index = len(changes)
			changes = append(changes, Change{Service: known.service, Zone: known.zone, Cold: cold})
		}
		changes[index].Upstreams = append(changes[index].Upstreams, id)
	}
	return changes
}

// Any reports whether an upstream of a service may be cold.
func (t *Table) Any(name core.ServiceName) bool { return t.counts[name] > 0 }

// Count returns the number of cold upstreams.
func (t *Table) Count(now time.Time) int {
	count := 0
	for _, known := range t.states {
		if known.cold(now) {
			count++
		}
	}
	return count
}
