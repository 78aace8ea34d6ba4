// Package coldstart keeps to what upstreams bear while they are cold, without a
// message per request.
//
// Few hosts, the users of a cold upstream, share what it bears; all others send it
// nothing. Who they are follows from the list of hosts, so that hosts that know the same
// list agree, and the shares leave room for those that do not.
package coldstart

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

const (
	// listLag is how old the state that an entry of the list describes may be. An entry
	// that is read sooner after a failure may have been written before a restart.
	listLag = 2 * time.Second
	// lostHold bounds how long an upstream whose connections failed, and that neither
	// answers nor writes its entry, counts as cold. An upstream that is down is gone
	// from the list within seconds; without the store, that is not known.
	lostHold = 30 * time.Second
	// retention is how long an upstream that is warm is remembered. An entry that was
	// written before its start, or requests within the last second, then no longer matter.
	retention = 10 * time.Second
)

// Member is a host of the fleet.
type Member struct {
	Host core.HostID
	Zone core.ZoneName
}

// state is what is known of one start of an upstream.
type state struct {
	service core.ServiceName
	zone    core.ZoneName
	// start is the upstream's start, in Unix milliseconds.
	start int64
	// left is how much longer the upstream stays cold, as of namedAt.
	left    time.Duration
	namedAt time.Time
	// heardAt is when this host last learned of coldness other than from the list.
	heardAt time.Time
	// lost is true from a failure of a connection, at lostAt, to the next answer.
	lost   bool
	lostAt time.Time
	// markedAt is when the upstream was marked as cold, zero if it was not.
	markedAt time.Time
	// warmAt is when the coldness ends that follows from the above.
	warmAt time.Time
	// logged is what Changes last reported.
	logged bool
	// rank is this host's position among the hosts that may be users, -1 for none, as
	// of the list of hosts with the number rankedBy.
	rank     int
	rankedBy uint64
	// tokens are the requests that this host may send, as of filledAt.
	tokens   float64
	filledAt time.Time
}

// Table is what one host knows of cold upstreams. Its callers pass in the current time.
type Table struct {
	self     core.HostID
	bound    Bound
	services map[core.ServiceName]service
	hosts    hostList
	states   map[core.UpstreamID]*state
	// counts has the number of states by service.
	counts map[core.ServiceName]int
	delays map[core.ServiceName]delay
	// remaining is the buffer for the times that are left of the upstreams of a service.
	remaining []time.Duration
}

// service is what the configuration says of the upstreams of a service.
type service struct {
	coldFor   time.Duration
	perSecond float64
	share     share
}

// New returns the table of a host.
func New(self core.HostID, bound Bound) *Table {
	return &Table{
		self: self, bound: bound, services: make(map[core.ServiceName]service), hosts: newHostList(self),
		states: make(map[core.UpstreamID]*state), counts: make(map[core.ServiceName]int), delays: make(map[core.ServiceName]delay),
	}
}

// Configure replaces the services.
func (t *Table) Configure(services map[core.ServiceName]gateway.Service) {
	clear(t.services)
	for name, configured := range services {
		if configured.ColdFor > 0 && configured.ColdPerSecond > 0 {
			t.services[name] = service{coldFor: configured.ColdFor, perSecond: configured.ColdPerSecond}
		}
	}
	t.divide()
	for _, known := range t.states {
		t.setWarmAt(known)
	}
}

// SetMembers replaces the hosts that may be users.
func (t *Table) SetMembers(members []Member, now time.Time) {
	if t.hosts.set(members, now) {
		t.divide()
	}
}

// divide computes the shares of the services.
func (t *Table) divide() {
	for name, s := range t.services {
		s.share = t.bound.divide(s.perSecond, len(t.hosts.present))
		t.services[name] = s
	}
}

// Listed records an entry of the list that its upstream has written anew. first is true
// if the upstream was not listed before, or with an earlier start.
func (t *Table) Listed(upstream gateway.Upstream, first bool, now time.Time) {
	known, found := t.states[upstream.ID]
	switch {
	case !found && upstream.ColdLeft <= 0:
		return
	case !found:
		known = t.add(upstream, now)
		if first {
			// No host can have sent it anything before it was listed.
			known.tokens = bucketSize
		}
	case upstream.StartMillis < known.start:
		return // from an older copy of the store
	case upstream.StartMillis == known.start && now.Sub(known.heardAt) < listLag &&
		(known.lost || upstream.ColdLeft < known.left-now.Sub(known.namedAt)):
		return // may have been written before what this host heard
	}
	t.name(known, upstream.ColdLeft, now)
	known.start, known.lost = upstream.StartMillis, false
	t.setWarmAt(known)
}

// Answered records an answer of an upstream. remaining is how much longer it stays cold,
// nil if the answer does not say.
func (t *Table) Answered(upstream gateway.Upstream, remaining *time.Duration, now time.Time) {
	known, found := t.states[upstream.ID]
	if remaining == nil {
		if found && known.lost {
			// It may have been restarted; this is its first answer since.
			t.name(known, t.services[known.service].coldFor, now)
			known.lost, known.heardAt = false, now
			t.setWarmAt(known)
		}
		return
	}
	if !found {
		if *remaining <= 0 {
			return
		}
		known = t.add(upstream, now)
	}
	t.name(known, *remaining, now)
	known.lost, known.heardAt = false, now
	t.setWarmAt(known)
}

// Lost records that a connection to an upstream failed. It may have been restarted.
func (t *Table) Lost(upstream gateway.Upstream, now time.Time) {
	if _, bounded := t.services[upstream.Service]; !bounded {
		return
	}
	known := t.known(upstream, now)
	t.interrupt(known, now)
	known.lost, known.lostAt, known.heardAt = true, now, now
	t.setWarmAt(known)
}

// Mark records that an upstream counts as cold from a moment on for its service's time,
// whatever the list and its answers say.
func (t *Table) Mark(upstream gateway.Upstream, from, now time.Time) {
	configured, bounded := t.services[upstream.Service]
	if !bounded || now.Sub(from) >= configured.coldFor {
		return
	}
	known := t.known(upstream, now)
	t.interrupt(known, now)
	known.markedAt, known.heardAt = from, now
	t.setWarmAt(known)
}

func (t *Table) known(upstream gateway.Upstream, now time.Time) *state {
	if known, found := t.states[upstream.ID]; found {
		return known
	}
	return t.add(upstream, now)
}

func (t *Table) add(upstream gateway.Upstream, now time.Time) *state {
	known := &state{service: upstream.Service, zone: upstream.Zone, start: upstream.StartMillis, filledAt: now}
	t.states[upstream.ID] = known
	t.counts[upstream.Service]++
	return known
}

// name sets how much longer an upstream stays cold.
func (t *Table) name(known *state, left time.Duration, now time.Time) {
	if left > 0 {
		t.interrupt(known, now)
	}
	known.left, known.namedAt = max(left, 0), now
}

// interrupt empties the bucket of an upstream that was warm: it may have got many requests
// within the last second.
func (t *Table) interrupt(known *state, now time.Time) {
	if !known.warmAt.IsZero() && !known.cold(now) {
		known.tokens, known.filledAt = 0, now
	}
}

// Cold reports whether an upstream is cold.
func (t *Table) Cold(id core.UpstreamID, now time.Time) bool {
	known, found := t.states[id]
	return found && known.cold(now)
}

func (s *state) cold(now time.Time) bool { return now.Before(s.warmAt) }

// setWarmAt computes when the coldness of an upstream ends.
func (t *Table) setWarmAt(known *state) {
	configured, bounded := t.services[known.service]
	if !bounded {
		known.warmAt = time.Time{}
		return
	}
	known.warmAt = known.namedAt.Add(min(known.left, configured.coldFor))
	extend := func(until time.Time) {
		if until.After(known.warmAt) {
			known.warmAt = until
		}
	}
	if !known.markedAt.IsZero() {
		extend(known.markedAt.Add(configured.coldFor))
	}
	if known.lost {
		extend(known.lostAt.Add(max(lostHold, configured.coldFor)))
	}
}

// Wait returns how long this host must wait before it may send a request to an upstream:
// 0 if it may now, and a negative value if it is not a user of the upstream.
func (t *Table) Wait(id core.UpstreamID, now time.Time) time.Duration {
	known, found := t.states[id]
	if !found || !known.cold(now) {
		return 0
	}
	rate := t.fill(id, known, now)
	if rate == 0 {
		return -1
	}
	if known.tokens >= 1 {
		return 0
	}
	return max(time.Duration((1-known.tokens)/rate*float64(time.Second)), 1)
}

// Sent records a request that this host sends to an upstream.
func (t *Table) Sent(id core.UpstreamID, now time.Time) {
	if known, found := t.states[id]; found && known.cold(now) {
		t.fill(id, known, now)
		known.tokens = max(known.tokens-1, 0)
	}
}

// fill adds the tokens that have accrued, and returns the requests per second that this
// host may send, 0 if it is not a user.
func (t *Table) fill(id core.UpstreamID, known *state, now time.Time) float64 {
	if number := t.hosts.number(now); known.rankedBy != number {
		known.rank, known.rankedBy = t.hosts.rank(id, known.zone), number
	}
	share := t.services[known.service].share
	if known.rank < 0 || known.rank >= share.users {
		known.tokens, known.filledAt = 0, now
		return 0
	}
	if elapsed := now.Sub(known.filledAt); elapsed > 0 {
		known.tokens = min(bucketSize, known.tokens+share.rate*elapsed.Seconds())
		known.filledAt = now
	}
	return share.rate
}

// Remove forgets an upstream that is not listed any more.
func (t *Table) Remove(id core.UpstreamID) {
	if known, found := t.states[id]; found {
		t.counts[known.service]--
		delete(t.states, id)
	}
}

// Forget removes upstreams that have been warm for some time.
func (t *Table) Forget(now time.Time) {
	for id, known := range t.states {
		latest := known.warmAt
		for _, at := range []time.Time{known.namedAt, known.heardAt} {
			if at.After(latest) {
				latest = at
			}
		}
		if !known.logged && now.Sub(latest) > retention {
			t.counts[known.service]--
			delete(t.states, id)
		}
	}
}
