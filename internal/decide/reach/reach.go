// Package reach decides whether a host has lost its links to all upstreams of a service,
// from how its own attempts to set up connections end. A host that is cut off sets up
// connections through other hosts, and finds out by probes when the cut is over.
package reach

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// neededFailures is the number of upstreams that must be unreachable one after the
	// other, without one that is not, before a service counts as cut off. Four of nine may
	// be down at the same moment, as by a request that crashes them.
	neededFailures = 6
	// firstProbes is the number of upstreams that are probed after a first failure. Most
	// failures are those of a single upstream.
	firstProbes = 2
	// failureMemory is how long a failed attempt to connect counts. It exceeds the time in
	// which requests to a service of few upstreams try them one after the other.
	failureMemory = 3 * time.Second
	// staleAfter is the age from which the latest failure tells nothing about the present, as
	// on a host without requests. The next attempt is then made by the host itself.
	staleAfter = 3 * time.Second
	// answeredLately is the age up to which an answer shows that open connections still work.
	answeredLately = 500 * time.Millisecond
	// probeInterval is the time between two rounds of probes of a service. A cut lasts for
	// seconds, and a probe costs a connection.
	probeInterval = 500 * time.Millisecond
	// helplessAfter is for how long no other host must have helped before callers are to
	// move to other hosts, and awayTime for how long they are to after each request that
	// could not be helped. A host without requests finds out nothing, so the time is bounded.
	helplessAfter = 500 * time.Millisecond
	awayTime      = 2 * time.Second
)

// Table holds what a host knows of its own links. Its callers pass in the current time.
type Table struct {
	services map[core.ServiceName]*serviceState
}

type serviceState struct {
	// failed has the upstreams that were unreachable since the last connection.
	failed map[core.UpstreamID]time.Time
	// cutOff is true from the failures that show the cut until a connection.
	cutOff bool
	// failedAt is when an upstream was unreachable last, answeredAt when one answered over
	// a connection of this host.
	failedAt, answeredAt time.Time
	// probedAt is when the latest round of probes was sent, and probedWith the number of
	// failures known then.
	probedAt   time.Time
	probedWith int
	// helplessSince is when no other host could help with a request for the first time
	// since one could, the zero time if one could.
	helplessSince time.Time
}

// Change is what a result of an attempt to connect has changed.
type Change uint8

// The changes.
const (
	// None means that nothing has changed.
	None Change = iota
	// Lost means that the service counts as cut off from now on.
	Lost
	// Regained means that it does not any more.
	Regained
)

// New returns a table of a host that has lost nothing.
func New() *Table { return &Table{services: make(map[core.ServiceName]*serviceState)} }

func (t *Table) state(service core.ServiceName) *serviceState {
	state, found := t.services[service]
	if !found {
		state = &serviceState{failed: make(map[core.UpstreamID]time.Time)}
		t.services[service] = state
	}
	return state
}

// CutOff reports whether the host has lost its links to all upstreams of a service.
func (t *Table) CutOff(service core.ServiceName, now time.Time) bool {
	state, found := t.services[service]
	return found && state.cutOff && now.Sub(state.failedAt) < staleAfter
}

// Answered records that an upstream has answered over a connection of this host.
func (t *Table) Answered(service core.ServiceName, now time.Time) { t.state(service).answeredAt = now }

// AnsweredLately reports whether open connections to a service still work.
func (t *Table) AnsweredLately(service core.ServiceName, now time.Time) bool {
	state, found := t.services[service]
	return found && !state.answeredAt.IsZero() && now.Sub(state.answeredAt) < answeredLately
}

// Connected records that the host has set up a connection to an upstream itself.
func (t *Table) Connected(service core.ServiceName) Change {
	state, found := t.services[service]
	if !found {
		return None
	}
	clear(state.failed)
	if !state.cutOff {
		return None
	}
	state.cutOff, state.helplessSince = false, time.Time{}
	return Regained
}

// Helped records that another host has set up a connection to an upstream of a service.
func (t *Table) Helped(service core.ServiceName) {
	if state, found := t.services[service]; found {
		state.helplessSince = time.Time{}
	}
}

// Helpless records that no other host could help with a request to a service that is cut
// off. It returns until when callers are to move to other hosts, the zero time if they are
// not.
func (t *Table) Helpless(service core.ServiceName, now time.Time) time.Time {
	state, found := t.services[service]
	if !found || !t.CutOff(service, now) {
		return time.Time{}
	}
	if state.helplessSince.IsZero() {
		state.helplessSince = now
	}
	if now.Sub(state.helplessSince) < helplessAfter {
		return time.Time{}
	}
	return now.Add(awayTime)
}

// Unreachable records that the host could not connect to an upstream itself. listed is the
// number of upstreams of the service that may be used, 1 or more.
func (t *Table) Unreachable(service core.ServiceName, upstream core.UpstreamID, listed int, now time.Time) Change {
	state := t.state(service)
	state.failed[upstream], state.failedAt = now, now
	for id, at := range state.failed {
		if now.Sub(at) > failureMemory {
			delete(state.failed, id)
		}
	}
	if state.cutOff || len(state.failed) < min(neededFailures, max(listed, 1)) {
		return None
	}
	state.cutOff = true
	return Lost
}

// Drop forgets the failures of an upstream that may not be used any more.
func (t *Table) Drop(service core.ServiceName, upstream core.UpstreamID) {
	if state, found := t.services[service]; found {
		delete(state.failed, upstream)
	}
}

// TakeProbes returns the upstreams to probe now, none if the latest round was a moment ago.
// suspect is the upstream that gave the reason, "" if there is none; listed has the
// upstreams of the service that may be used, in an order that differs between rounds.
//
//   - A service of which an upstream was unreachable has two others probed, and if these are
//     as well, as many as would show a cut: requests need not find them one after the other.
//   - Else the suspect is probed, whose connections broke or are silent.
//   - One that is cut off has one upstream probed, which tells when the cut is over.
func (t *Table) TakeProbes(service core.ServiceName, suspect core.UpstreamID, listed []core.UpstreamID, now time.Time) []core.UpstreamID {
	state := t.state(service)
	// Further failures after a round of probes are followed up at once.
	followUp := !state.cutOff && len(state.failed) > max(state.probedWith, 1)
	if len(listed) == 0 || (now.Sub(state.probedAt) < probeInterval && !followUp) {
		return nil
	}
	state.probedAt, state.probedWith = now, len(state.failed)
	switch {
	case state.cutOff:
		return listed[:1]
	case len(state.failed) == 0 && suspect != "":
		return []core.UpstreamID{suspect}
	}
	limit := neededFailures - len(state.failed)
	if len(state.failed) == 1 {
		limit = firstProbes
	}
	var probes []core.UpstreamID
	for _, id := range listed {
		if _, failed := state.failed[id]; !failed && len(probes) < limit {
			probes = append(probes, id)
		}
	}
	return probes
}

// Retain forgets the services that are not listed any more.
func (t *Table) Retain(listed func(core.ServiceName) bool) {
	for service := range t.services {
		if !listed(service) {
			delete(t.services, service)
		}
	}
}
