package brittle

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// maxServices bounds the services that are known to be brittle, and the entries of
	// a report. An entry takes about 30 bytes.
	maxServices = 16
	// slotFreeingGain is the weight of the latest interval in the mean interval at
	// which attempts end.
	slotFreeingGain = 0.1
	// initialFreeing is the interval that is assumed before any attempt has ended.
	initialFreeing = 200 * time.Millisecond
	// minReturnDelay and maxReturnDelay bound the time after which a caller is told to
	// return.
	minReturnDelay = 100 * time.Millisecond
	maxReturnDelay = 10 * time.Second
)

// serviceState is what is known of a service whose upstreams say that they are brittle.
type serviceState struct {
	naming
	// freeing is the mean interval at which attempts of this host end, freedAt the
	// latest end.
	freeing time.Duration
	freedAt time.Time
	// returnsUntil is when the callers that were refused have all been told to return.
	returnsUntil time.Time
}

// Entry tells a peer that the upstreams of a service say that they are brittle.
type Entry struct {
	Service core.ServiceName
	// Tolerance is the number of requests that each can turn away in a second.
	Tolerance int
	// Age is the time since the latest answer that said so.
	Age time.Duration
}

// nameService records that an upstream of a service has said that it is brittle.
func (t *Table) nameService(name core.ServiceName, named naming) bool {
	service, found := t.services[name]
	if !found {
		if len(t.services) >= maxServices {
			return false
		}
		service = &serviceState{freeing: initialFreeing}
		if t.services == nil {
			t.services = make(map[core.ServiceName]*serviceState)
		}
		t.services[name] = service
	}
	if named.at.After(service.at) {
		service.naming = named
	}
	return true
}

// Report returns what to tell a peer.
func (t *Table) Report(now time.Time) []Entry {
	var entries []Entry
	for name, service := range t.services {
		if service.fresh(now) {
			entries = append(entries, Entry{Service: name, Tolerance: service.tolerance, Age: now.Sub(service.at)})
		}
	}
	return entries
}

// Merge adds what a peer reports. Services that are not listed and impossible values
// are ignored. It returns the services that count as brittle from then on and did not
// before.
func (t *Table) Merge(entries []Entry, listed func(core.ServiceName) bool, now time.Time) []core.ServiceName {
	var began []core.ServiceName
	for _, entry := range entries[:min(len(entries), maxServices)] {
		if entry.Tolerance < 0 || entry.Tolerance > MaxTolerance || entry.Age < 0 || entry.Age > freshFor || !listed(entry.Service) {
			continue
		}
		before, known := t.services[entry.Service]
		brittleBefore := known && before.fresh(now)
		if t.nameService(entry.Service, naming{tolerance: entry.Tolerance, at: now.Add(-entry.Age)}) && !brittleBefore {
			began = append(began, entry.Service)
		}
	}
	return began
}

// Freed records that an attempt of this host at an upstream of a service has ended.
func (t *Table) Freed(name core.ServiceName, now time.Time) {
	service, found := t.services[name]
	if !found {
		return
	}
	if !service.freedAt.IsZero() {
		interval := min(now.Sub(service.freedAt), maxReturnDelay)
		service.freeing += time.Duration(slotFreeingGain * float64(interval-service.freeing))
	}
	service.freedAt = now
}

// ReturnDelay returns after which time a caller whose request finds no room may return,
// and false if its service is not brittle. Each further caller returns as much later as
// this host's attempts take to free a slot, so that they find one each.
func (t *Table) ReturnDelay(name core.ServiceName, now time.Time) (time.Duration, bool) {
	service, found := t.services[name]
	if !found || !service.fresh(now) {
		return 0, false
	}
	from := now.Add(minReturnDelay)
	if service.returnsUntil.After(from) {
		from = service.returnsUntil
	}
	service.returnsUntil = from.Add(service.freeing)
	if latest := now.Add(maxReturnDelay); service.returnsUntil.After(latest) {
		service.returnsUntil = latest
	}
	return service.returnsUntil.Sub(now), true
}

// Active returns the number of services whose upstreams are brittle.
func (t *Table) Active(now time.Time) int {
	count := 0
	for _, service := range t.services {
		if service.fresh(now) {
			count++
		}
	}
	return count
}
