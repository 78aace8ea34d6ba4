// Package helpers chooses the host through which another host reaches the upstreams of a
// service that it does not reach itself.
package helpers

import (
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// failureBackoff is how long a host that did not answer, or does not reach the service
	// either, is not asked for it again. Cuts last seconds.
	failureBackoff = 2 * time.Second
	// unsupportedBackoff is that of a host that does not know tunnels, as during a change
	// of versions. It holds for all services.
	unsupportedBackoff = 5 * time.Second
	// busyBackoff is that of a host without room, for all services: short requests end in
	// less.
	busyBackoff = 250 * time.Millisecond
	// lately is how long a result counts: a host that worked is preferred, and two failed
	// hosts of a zone make hosts of others preferred.
	lately = 10 * time.Second
	// zoneFailures is how many hosts of a zone have to fail for that.
	zoneFailures = 2
	// unreachableFailures is how many upstreams in a row a host must fail to reach before
	// it counts as cut off: it may not have noticed yet.
	unreachableFailures = 2
	// untriedPenalty is how many more tunnels a host that worked may have open before one
	// that is not known to work is tried in its place.
	untriedPenalty = 4
)

// Host is a host of the fleet.
type Host struct {
	ID      core.HostID
	Zone    core.ZoneName
	Address string
}

// Result is how a host answered a request for a tunnel.
type Result uint8

// The results.
const (
	// Opened means that it opened the tunnel.
	Opened Result = iota + 1
	// Answered means that it answered in a way that says nothing about whether it reaches
	// the service, as about an upstream that leaves.
	Answered
	// Unreachable means that it reaches the service, but could not connect to the upstream.
	Unreachable
	// CutOff means that it does not reach the service.
	CutOff
	// Busy means that it has no room.
	Busy
	// Failed means that it could not be connected to, or did not answer.
	Failed
	// Unsupported means that it closed the connection without an answer.
	Unsupported
)

// String returns the result as it is used in metrics.
func (r Result) String() string {
	switch r {
	case Opened:
		return "opened"
	case Answered:
		return "answered"
	case Unreachable:
		return "unreachable"
	case CutOff:
		return "cut_off"
	case Busy:
		return "busy"
	case Failed:
		return "failed"
	case Unsupported:
		return "unsupported"
	default:
		return "unknown"
	}
}

// Query describes the helper that is wanted.
type Query struct {
	Service core.ServiceName
	// Zone is the upstream's.
	Zone core.ZoneName
	// Excluded has the hosts that were tried for the same request.
	Excluded []core.HostID
}

// Helpers is what one host knows of the others as helpers. Its callers pass in the
// current time.
type Helpers struct {
	self     core.HostID
	zone     core.ZoneName
	hosts    []Host
	services map[key]*experience
	machines map[core.HostID]*machine
}

type key struct {
	host    core.HostID
	service core.ServiceName
}

// experience is that with a host for one service.
type experience struct {
	worked, failed, backoffUntil time.Time
	// unreachable counts upstreams in a row that the host did not reach.
	unreachable int
}

// machine is what holds for a host whatever the service.
type machine struct {
	backoffUntil time.Time
	// open counts the open tunnels of this host through it.
	open int
}

// New returns the state of a host in a zone.
func New(self core.HostID, zone core.ZoneName) *Helpers {
	return &Helpers{self: self, zone: zone, services: make(map[key]*experience), machines: make(map[core.HostID]*machine)}
}

// SetHosts sets the hosts of the fleet, and forgets what is known of others except their
// open tunnels.
func (h *Helpers) SetHosts(hosts []Host) {
	h.hosts = slices.DeleteFunc(slices.Clone(hosts), func(host Host) bool { return host.ID == h.self || host.Address == "" })
	listed := make(map[core.HostID]bool, len(h.hosts))
	for _, host := range h.hosts {
		listed[host.ID] = true
	}
	for id, known := range h.machines {
		if !listed[id] && known.open == 0 {
			delete(h.machines, id)
		}
	}
	for of := range h.services {
		if !listed[of.host] {
			delete(h.services, of)
		}
	}
}

// Choose returns the host to ask next, false if none is left. random returns a number
// from 0 to n-1. Hosts of the own zone come first, then those of the upstream's, as bytes
// between zones have a price; zones of which hosts have failed come last, except for
// hosts in them that have worked.
func (h *Helpers) Choose(query Query, now time.Time, random func(n int) int) (Host, bool) {
	left := h.leftZones(query.Service, now)
	var tier []Host
	best := -1
	for _, host := range h.hosts {
		if !h.usable(host.ID, query.Service, now) || slices.Contains(query.Excluded, host.ID) {
			continue
		}
		rank := h.rank(host, query, left, now)
		if best < 0 || rank < best {
			best, tier = rank, tier[:0]
		}
		if rank == best {
			tier = append(tier, host)
		}
	}
	if len(tier) == 0 {
		return Host{}, false
	}
	return h.leastLoaded(tier, query.Service, now, random), true
}

// rank orders hosts by zone; lower is better.
func (h *Helpers) rank(host Host, query Query, left map[core.ZoneName]bool, now time.Time) int {
	switch {
	case left[host.Zone] && !h.workedLately(host.ID, query.Service, now):
		return 3
	case host.Zone == h.zone:
		return 0
	case host.Zone == query.Zone:
		return 1
	default:
		return 2
	}
}

// leastLoaded returns the one of two hosts through which fewer tunnels are open: one that
// has worked, if there is any, and one of all.
func (h *Helpers) leastLoaded(tier []Host, service core.ServiceName, now time.Time, random func(n int) int) Host {
	worked := slices.DeleteFunc(slices.Clone(tier), func(host Host) bool { return !h.workedLately(host.ID, service, now) })
	if len(worked) == 0 {
		worked = tier
	}
	first, second := worked[random(len(worked))], tier[random(len(tier))]
	if h.load(second.ID, service, now) < h.load(first.ID, service, now) {
		return second
	}
	return first
}

func (h *Helpers) load(id core.HostID, service core.ServiceName, now time.Time) int {
	load := 0
	if known, found := h.machines[id]; found {
		load = known.open
	}
	if !h.workedLately(id, service, now) {
		load += untriedPenalty
	}
	return load
}

// usable reports whether a host may be asked now.
func (h *Helpers) usable(id core.HostID, service core.ServiceName, now time.Time) bool {
	if known, found := h.machines[id]; found && now.Before(known.backoffUntil) {
		return false
	}
	known, found := h.services[key{id, service}]
	return !found || !now.Before(known.backoffUntil)
}

func (h *Helpers) workedLately(id core.HostID, service core.ServiceName, now time.Time) bool {
	known, found := h.services[key{id, service}]
	return found && !known.worked.IsZero() && known.worked.After(known.failed) && now.Sub(known.worked) < lately
}

// leftZones returns the zones of which at least zoneFailures hosts have failed lately.
func (h *Helpers) leftZones(service core.ServiceName, now time.Time) map[core.ZoneName]bool {
	failures := make(map[core.ZoneName]int)
	left := make(map[core.ZoneName]bool)
	for _, host := range h.hosts {
		known, found := h.services[key{host.ID, service}]
		if !found || known.failed.IsZero() || known.worked.After(known.failed) || now.Sub(known.failed) >= lately {
			continue
		}
		if failures[host.Zone]++; failures[host.Zone] >= zoneFailures {
			left[host.Zone] = true
		}
	}
	return left
}

// Usable reports whether a host is left that may be asked now.
func (h *Helpers) Usable(service core.ServiceName, now time.Time) bool {
	return slices.ContainsFunc(h.hosts, func(host Host) bool { return h.usable(host.ID, service, now) })
}

// Tried records the result of a request to a host.
func (h *Helpers) Tried(id core.HostID, service core.ServiceName, result Result, now time.Time) {
	switch result {
	case Opened:
		known := h.experience(id, service)
		known.worked, known.unreachable, known.backoffUntil = now, 0, time.Time{}
		h.machine(id).open++
	case Unreachable:
		known := h.experience(id, service)
		if known.unreachable++; known.unreachable >= unreachableFailures {
			known.fail(now)
		}
	case CutOff, Failed:
		h.experience(id, service).fail(now)
	case Unsupported:
		h.experience(id, service).fail(now)
		h.machine(id).backoffUntil = now.Add(unsupportedBackoff)
	case Busy:
		h.machine(id).backoffUntil = now.Add(busyBackoff)
	case Answered:
	}
}

// Closed records that a tunnel that was opened has ended.
func (h *Helpers) Closed(id core.HostID) { h.machine(id).open-- }

// fail starts the back-off.
func (e *experience) fail(now time.Time) {
	e.failed, e.unreachable, e.backoffUntil = now, 0, now.Add(failureBackoff)
}

func (h *Helpers) experience(id core.HostID, service core.ServiceName) *experience {
	known, found := h.services[key{id, service}]
	if !found {
		known = &experience{}
		h.services[key{id, service}] = known
	}
	return known
}

func (h *Helpers) machine(id core.HostID) *machine {
	known, found := h.machines[id]
	if !found {
		known = &machine{}
		h.machines[id] = known
	}
	return known
}
