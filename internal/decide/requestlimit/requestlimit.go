// Package requestlimit keeps to the request limits that upstreams name for all
// hosts together, without a message per request.
//
// Few hosts, the users of a limited upstream, share its limit in equal parts; all
// others send it nothing. Who they are follows from the list of hosts, so that
// hosts that know the same list agree. What an upstream named last spreads among
// the hosts, and lapses.
package requestlimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/rendezvous"
)

const (
	// bucketSize is the number of requests that a user may send at once. With one
	// user for each request a second, the users together send at most 6 times the
	// limit in 4 s, or 4 times the limit plus 2; the platform allows 6 times plus 5.
	bucketSize = 2.0
	// minRate is the rate in requests per second that is used of a lower limit.
	// Without any request, the end of the limit would not be noticed.
	minRate = 0.1
	// freshFor is how long a limit holds without being named again, and
	// freshIntervals how many of the upstream's intervals between requests at
	// least. The users hear from the upstream with each request.
	freshFor       = 6 * time.Second
	freshIntervals = 3
	// doublingInterval is the time in which the number of users doubles once the
	// limit is no longer fresh. The first of them to be answered tells the others
	// whether it still holds.
	doublingInterval = time.Second
	// noLimit stands for no limit.
	noLimit = -1.0
	// maxUpstreams bounds the upstreams whose limits are known.
	maxUpstreams = 4096
)

// Member is a host of the fleet.
type Member struct {
	Host core.HostID
	Zone core.ZoneName
}

// limit is what is known of one upstream.
type limit struct {
	// perSecond is the limit, negative if the upstream named none.
	perSecond float64
	// namedAt is when an answer last named the limit, or none.
	namedAt time.Time
	// heardAt is when an answer to this host last did so.
	heardAt time.Time
	// zone is the upstream's.
	zone core.ZoneName
	// rank is this host's position among the upstream's users, -1 for none.
	rank int
	// tokens are the requests that this host may send, as of filledAt.
	tokens   float64
	filledAt time.Time
	// sendsLeft is how many more times the limit is told to a peer; toldAt is when
	// this host last began to tell it.
	sendsLeft int
	toldAt    time.Time
}

// Table is what one host knows of limits. Its callers pass in the current time.
type Table struct {
	self    core.HostID
	members []Member
	limits  map[core.UpstreamID]*limit
}

// New returns the table of a host.
func New(self core.HostID) *Table {
	return &Table{self: self, limits: make(map[core.UpstreamID]*limit)}
}

// SetMembers replaces the hosts that may be users.
func (t *Table) SetMembers(members []Member) {
	t.members = members
	for id, known := range t.limits {
		known.rank = t.rank(id, known.zone)
	}
}

// Change is a change of what an upstream names. A negative limit stands for none.
type Change struct {
	Upstream      core.UpstreamID
	Before, After float64
}

// Named records the limit that an answer of an upstream to this host named, nil
// for none. It returns true if that is a change.
func (t *Table) Named(id core.UpstreamID, zone core.ZoneName, perSecond *float64, now time.Time) (Change, bool) {
	known, found := t.limits[id]
	named := noLimit
	if perSecond != nil {
		named = *perSecond
	}
	if !found {
		if named < 0 {
			return Change{}, false
		}
		if known = t.add(id, zone, now); known == nil {
			return Change{}, false
		}
	}
	known.heardAt = now
	return known.update(id, named, now)
}

// add returns the entry of an upstream whose limit was not known, or nil if there
// are too many.
func (t *Table) add(id core.UpstreamID, zone core.ZoneName, now time.Time) *limit {
	if len(t.limits) >= maxUpstreams {
		return nil
	}
	known := &limit{perSecond: noLimit, zone: zone, rank: t.rank(id, zone), filledAt: now}
	t.limits[id] = known
	return known
}

// update sets what the upstream named at a time. It returns true if that is a
// change. The end of a limit is told once, a limit is told again and again.
func (l *limit) update(id core.UpstreamID, perSecond float64, at time.Time) (Change, bool) {
	change := Change{Upstream: id, Before: l.perSecond, After: perSecond}
	changed := perSecond != l.perSecond
	if !changed && perSecond < 0 {
		return Change{}, false
	}
	switch {
	case changed:
		l.sendsLeft, l.toldAt = changeSends, at
	case at.Sub(l.toldAt) >= retellInterval:
		l.sendsLeft, l.toldAt = renewalSends, at
	}
	l.perSecond, l.namedAt = perSecond, at
	return change, changed
}

// rank returns this host's position in the order in which hosts become users of
// an upstream: hosts of its zone first, by rendezvous hashing.
func (t *Table) rank(id core.UpstreamID, zone core.ZoneName) int {
	if len(t.members) == 0 {
		return 0 // no other host is known
	}
	ranked := slices.Clone(t.members)
	other := func(m Member) int {
		if m.Zone == zone {
			return 0
		}
		return 1
	}
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(other(a), other(b)),
			cmp.Compare(rendezvous.Weight(string(id), string(b.Host)), rendezvous.Weight(string(id), string(a.Host))), cmp.Compare(a.Host, b.Host))
	})
	return slices.IndexFunc(ranked, func(m Member) bool { return m.Host == t.self })
}

// holds reports whether the limit applies: it was named, and hosts are still kept
// off although it is not fresh.
func (t *Table) holds(known *limit, now time.Time) bool {
	return known.perSecond >= 0 && (now.Sub(known.namedAt) <= known.freshTime() || known.users(now) < len(t.members))
}

// freshTime returns how long the limit holds without being named again.
func (l *limit) freshTime() time.Duration {
	return max(freshFor, time.Duration(freshIntervals/l.rate()*float64(time.Second)))
}

// rate returns the requests a second that the users may send together.
func (l *limit) rate() float64 { return max(l.perSecond, minRate) }

// users returns the number of hosts that may send to the upstream.
func (l *limit) users(now time.Time) int {
	users := max(1, math.Floor(min(l.rate(), math.MaxInt32)))
	if stale := now.Sub(l.namedAt) - l.freshTime(); stale > 0 {
		users *= math.Exp2(min(math.Ceil(float64(stale)/float64(doublingInterval)), 32))
	}
	return int(min(users, math.MaxInt32))
}

// ownRate returns the requests a second that this host may send.
func (t *Table) ownRate(l *limit, now time.Time) float64 {
	users := min(l.users(now), max(len(t.members), 1))
	if l.rank < 0 || l.rank >= users {
		return 0
	}
	return l.rate() / float64(users)
}

// fill adds the tokens that have accrued.
func (t *Table) fill(l *limit, now time.Time) {
	if elapsed := now.Sub(l.filledAt); elapsed > 0 {
		l.tokens = min(bucketSize, l.tokens+t.ownRate(l, now)*elapsed.Seconds())
		l.filledAt = now
	}
}

// Wait returns how long this host must wait before it may send a request to an
// upstream: 0 if it may now, and a negative value if it is not a user of the
// upstream.
func (t *Table) Wait(id core.UpstreamID, now time.Time) time.Duration {
	known, found := t.limits[id]
	if !found || !t.holds(known, now) {
		return 0
	}
	t.fill(known, now)
	if known.tokens >= 1 {
		return 0
	}
	rate := t.ownRate(known, now)
	if rate == 0 {
		return -1
	}
	return max(time.Duration((1-known.tokens)/rate*float64(time.Second)), 1)
}

// Sent records a request that this host sendsLeft to an upstream.
func (t *Table) Sent(id core.UpstreamID, now time.Time) {
	if known, found := t.limits[id]; found && t.holds(known, now) {
		t.fill(known, now)
		known.tokens = max(known.tokens-1, 0)
	}
}

// Forget removes upstreams that no longer exist, and limits that have lapsed.
func (t *Table) Forget(gone func(core.UpstreamID) bool, now time.Time) {
	for id, known := range t.limits {
		if gone(id) || (!t.holds(known, now) && now.Sub(known.namedAt) > forgetAfter) {
			delete(t.limits, id)
		}
	}
}

// Active returns the number of limits that hold.
func (t *Table) Active(now time.Time) int {
	count := 0
	for _, known := range t.limits {
		if t.holds(known, now) {
			count++
		}
	}
	return count
}
