// Package brittle keeps hosts from sending brittle upstreams what these have to turn
// away. A brittle upstream names how many requests it can turn away in a second for
// want of room; it falls over if it has to turn away more.
//
// The hosts divide the slots of each brittle upstream among them, by the list of
// hosts, so that those that know the same list together never exceed its room. Few of
// them may borrow free slots of others, and a host that is turned away sends nothing
// there for a time.
package brittle

import (
	"math"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

const (
	// freshFor is how long an upstream counts as brittle without saying so again. All
	// of its answers say so, and peers pass it on at least every 2 s.
	freshFor = 6 * time.Second
	// lingerTime is how long an attempt that was given up still counts: the upstream
	// notices the end of its connection late.
	lingerTime = time.Second
	// forgetAfter is longer than any host takes a service for brittle.
	forgetAfter = time.Minute
	// maxUpstreams bounds the upstreams that are known.
	maxUpstreams = 16384
	// MaxTolerance bounds the requests that an upstream may say it can turn away in a
	// second. No host sends so many to one upstream.
	MaxTolerance = 1 << 20
)

// naming is the latest answer that tells whether an upstream, or a service, is brittle.
type naming struct {
	// tolerance is the number of requests that the upstream can turn away in a second,
	// negative if it is not brittle.
	tolerance int
	at        time.Time
}

func (n naming) fresh(now time.Time) bool { return !n.at.IsZero() && now.Sub(n.at) <= freshFor }

// upstreamState is what this host knows of one start of an upstream.
type upstreamState struct {
	start int64
	naming
	// pausedUntil is when this host may send again after it was turned away, rejections
	// the number of times that it was turned away in a row.
	pausedUntil time.Time
	rejections  int
	// lingering are the ends of attempts that were given up, oldest first.
	lingering []time.Time
}

// Table is what one host knows of brittle upstreams. Its callers pass in the current
// time. Its maps are nil until an upstream is brittle.
type Table struct {
	self      core.HostID
	hosts     []string
	upstreams map[core.UpstreamID]*upstreamState
	services  map[core.ServiceName]*serviceState
	positions map[core.UpstreamID]int
}

// New returns the table of a host.
func New(self core.HostID) *Table {
	return &Table{self: self}
}

// SetHosts replaces the hosts that divide the slots.
func (t *Table) SetHosts(hosts []string) {
	t.hosts = hosts
	clear(t.positions)
}

// Answer is what an answer of an upstream tells.
type Answer struct {
	Upstream core.UpstreamID
	Service  core.ServiceName
	// StartMillis tells the starts of the upstream apart.
	StartMillis int64
	// Tolerance is the number of requests that the upstream can turn away in a second,
	// nil if it is not brittle.
	Tolerance *int
	// TurnedAway is true if the upstream had no room for the request.
	TurnedAway bool
}

// Answered records an answer to this host. It reports whether the service of the
// upstream counts as brittle from then on, and did not before.
func (t *Table) Answered(answer Answer, now time.Time) bool {
	service, known := t.services[answer.Service]
	brittleBefore := known && service.fresh(now)
	if answer.Tolerance == nil && !brittleBefore {
		delete(t.upstreams, answer.Upstream)
		return false
	}
	state := t.state(answer.Upstream, answer.StartMillis)
	if state == nil {
		return false
	}
	state.naming = naming{tolerance: -1, at: now}
	if answer.Tolerance == nil {
		state.rejections, state.pausedUntil = 0, time.Time{}
		return false
	}
	state.tolerance = min(max(*answer.Tolerance, 0), MaxTolerance)
	t.nameService(answer.Service, state.naming)
	switch {
	case answer.TurnedAway:
		state.rejections++
		state.pausedUntil = now.Add(t.pause(answer.Upstream, state.tolerance, state.rejections))
	case !now.Before(state.pausedUntil):
		state.rejections = 0
	}
	return !brittleBefore
}

// state returns the state of one start of an upstream. It replaces that of an earlier
// start, and returns nil for an earlier start than the known one or if there are too
// many upstreams.
func (t *Table) state(id core.UpstreamID, start int64) *upstreamState {
	state, found := t.upstreams[id]
	switch {
	case found && state.start > start, !found && len(t.upstreams) >= maxUpstreams:
		return nil
	case !found || state.start < start:
		state = &upstreamState{start: start}
		if t.upstreams == nil {
			t.upstreams = make(map[core.UpstreamID]*upstreamState)
		}
		t.upstreams[id] = state
	}
	return state
}

// GivenUp records that an attempt ended at this host which the upstream may still run.
func (t *Table) GivenUp(id core.UpstreamID, now time.Time) {
	if state, found := t.upstreams[id]; found && state.tolerance >= 0 {
		state.expireLingering(now)
		state.lingering = append(state.lingering, now)
	}
}

func (s *upstreamState) expireLingering(now time.Time) {
	for len(s.lingering) > 0 && now.Sub(s.lingering[0]) >= lingerTime {
		s.lingering = s.lingering[1:]
	}
}

// tolerance returns what an upstream that is listed can turn away in a second, and
// false if it does not count as brittle. An upstream that has not answered this host
// lately is taken for as brittle as its service.
func (t *Table) tolerance(upstream gateway.Upstream, now time.Time) (int, bool) {
	if state, found := t.upstreams[upstream.ID]; found && state.start == upstream.StartMillis && state.fresh(now) {
		return state.tolerance, state.tolerance >= 0
	}
	service, found := t.services[upstream.Service]
	if found && !service.at.IsZero() && now.Sub(service.at) <= freshFor+t.lapseDelay(upstream.ID) {
		return service.tolerance, true
	}
	return 0, false
}

// lapseDelay returns how much later than others this host takes an upstream for sound
// that nobody heard of. The hosts that try it first tell the others.
func (t *Table) lapseDelay(id core.UpstreamID) time.Duration {
	return time.Duration(math.Log2(float64(1+t.position(id))) * float64(time.Second))
}

// paused reports whether this host was turned away by an upstream and waits.
func (t *Table) paused(upstream gateway.Upstream, now time.Time) bool {
	state, found := t.upstreams[upstream.ID]
	return found && state.start == upstream.StartMillis && now.Before(state.pausedUntil)
}

// Brittle reports whether an upstream that is listed counts as brittle.
func (t *Table) Brittle(upstream gateway.Upstream, now time.Time) bool {
	_, brittle := t.tolerance(upstream, now)
	return brittle || t.paused(upstream, now)
}

// Forget removes upstreams that are not listed, and what is no longer fresh.
func (t *Table) Forget(listed func(core.UpstreamID) bool, now time.Time) {
	for id, state := range t.upstreams {
		if !listed(id) || (!state.fresh(now) && !now.Before(state.pausedUntil)) {
			delete(t.upstreams, id)
			delete(t.positions, id)
		}
	}
	for name, service := range t.services {
		if now.Sub(service.at) > forgetAfter {
			delete(t.services, name)
		}
	}
	if len(t.services) == 0 {
		clear(t.positions)
	}
}
