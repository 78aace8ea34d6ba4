// Package connshare divides the connections that an upstream takes from all hosts by use.
//
// Each host has an equal part. A host that uses little of its part lends some of it to
// one peer at a time, in the reply to that peer's report of what it lacks, and uses
// less itself until the loan has ended. No connection counts at two hosts, whichever
// messages are lost or late; a host that hears no peer has its equal part.
package connshare

import (
	"cmp"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// loanTime is how long a borrower uses a loan, from when it sent its report. A host
	// asks about seven peers a second, so that loans of many peers add up, and a
	// lender whose use rises has its part back within seconds.
	loanTime = 6 * time.Second
	// renewTime is how long before its end a loan is replaced. New loans take about as
	// long to come in; without it, loans that were given together end together, and a
	// busy host falls back to its equal part for a second.
	renewTime = 1500 * time.Millisecond
	// settleTime is how much longer the lender counts the loan: requests on borrowed
	// connections that began before its end are finished, and idle connections closed.
	settleTime = time.Second
	// minKept and keptFraction are what a host keeps of its part in any case: a number and
	// the reciprocal of a fraction. With one connection, a host of which two requests
	// meet now and then would turn away a tenth of all.
	minKept      = 2
	keptFraction = 4
	// shortFraction is the fraction of its equal part in use from which a host reports that
	// it lacks connections.
	shortFraction = 0.7
	// headroom is the connections that a host reckons with, as a multiple of the
	// largest number of its requests at once within window to two windows.
	headroom = 1.5
	window   = time.Second
	// smallLoan is what is lent at once whatever the half of the spare connections is. With
	// 66 hosts a part is 5 connections, and loans of one or two would not add up.
	smallLoan = 4
	// maxEntries bounds the entries of a report and of a reply. An entry takes about
	// 30 bytes.
	maxEntries = 24
	// maxLoans bounds the loans of one upstream that a host takes or gives.
	maxLoans = 64
)

// Want tells a peer that a host lacks connections to an upstream.
type Want struct {
	Upstream core.UpstreamID
	Count    int
}

// Grant lends connections to the host that wanted them.
type Grant struct {
	Upstream core.UpstreamID
	Count    int
	// For is how long they may be used, from when the host sent its report.
	For time.Duration
}

// Part is what a host has of an upstream's connections.
type Part struct {
	// Even is the host's equal part, 0 if the upstream's connections are not divided.
	Even int
	// InUse is the number of the host's requests that are at the upstream or wait for a
	// connection to it.
	InUse int
}

// Limit is the number of connections that a host may have to an upstream.
type Limit struct {
	Upstream core.UpstreamID
	Count    int
}

type loan struct {
	count int
	until time.Time
}

type loans []loan

// current returns the connections of the loans that have not ended, and drops the others.
func (l *loans) current(now time.Time) int {
	*l = slices.DeleteFunc(*l, func(one loan) bool { return !now.Before(one.until) })
	return l.lasting(now)
}

// lasting returns the connections of the loans that have not ended by a time.
func (l *loans) lasting(until time.Time) int {
	count := 0
	for _, one := range *l {
		if until.Before(one.until) {
			count += one.count
		}
	}
	return count
}

// share is what a host knows of one upstream.
type share struct {
	lent, borrowed loans
	// peak is the largest number of requests at once in the window that began at
	// windowAt, earlierPeak that in the window before.
	peak, earlierPeak int
	windowAt          time.Time
	// announced is true if Limits has named the upstream because of a loan.
	announced bool
}

func (s *share) observe(inUse int, now time.Time) {
	switch elapsed := now.Sub(s.windowAt); {
	case elapsed >= 2*window:
		s.peak, s.earlierPeak, s.windowAt = 0, 0, now
	case elapsed >= window:
		s.peak, s.earlierPeak, s.windowAt = 0, s.peak, now
	}
	s.peak = max(s.peak, inUse)
}

// demand returns the connections that the host reckons with.
func (s *share) demand() int {
	peak := max(s.peak, s.earlierPeak)
	return int(headroom*float64(peak) + 0.5)
}

func (s *share) limit(even int, now time.Time) int {
	// An equal part that has become smaller since it was lent leaves the least part all the
	// same.
	return max(even-s.lent.current(now), min(minKept, even)) + s.borrowed.current(now)
}

// Table is what one host knows of the division. Its callers pass in the current time.
type Table struct {
	shares map[core.UpstreamID]*share
}

// New returns a table without loans.
func New() *Table { return &Table{shares: make(map[core.UpstreamID]*share)} }

func (t *Table) share(id core.UpstreamID) *share {
	known, found := t.shares[id]
	if !found {
		known = &share{}
		t.shares[id] = known
	}
	return known
}

// Began records that a request is sent to an upstream, and returns how many connections
// this host may have to it. part includes the request.
func (t *Table) Began(id core.UpstreamID, part Part, now time.Time) int {
	known := t.share(id)
	known.observe(part.InUse, now)
	return known.limit(part.Even, now)
}

// Wants returns the upstreams to which this host lacks connections, those it lacks most
// first.
func (t *Table) Wants(partOf func(core.UpstreamID) Part, now time.Time) []Want {
	var wants []Want
	for id, known := range t.shares {
		part := partOf(id)
		if part.Even == 0 {
			continue
		}
		known.observe(part.InUse, now)
		limit := part.Even - known.lent.current(now) + known.borrowed.lasting(now.Add(renewTime))
		if float64(max(known.peak, known.earlierPeak)) < shortFraction*float64(part.Even) {
			continue
		}
		if lacks := known.demand() - limit; lacks > 0 {
			wants = append(wants, Want{id, lacks})
		}
	}
	slices.SortFunc(wants, func(a, b Want) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Upstream, b.Upstream))
	})
	return wants[:min(len(wants), maxEntries)]
}

// Grant lends a peer some of what this host does not need of its own part, up to what the
// peer wants. At most half of much is lent, so that something is left for the next peer
// that asks.
func (t *Table) Grant(wants []Want, partOf func(core.UpstreamID) Part, now time.Time) []Grant {
	var grants []Grant
	for _, want := range wants[:min(len(wants), maxEntries)] {
		part := partOf(want.Upstream)
		if part.Even == 0 {
			continue
		}
		known := t.share(want.Upstream)
		known.observe(part.InUse, now)
		own := part.Even - known.lent.current(now)
		spare := own - max(minKept, part.Even/keptFraction, known.demand())
		count := min(want.Count, spare, max(smallLoan, spare/2))
		if count <= 0 || len(known.lent) >= maxLoans {
			continue
		}
		known.lent = append(known.lent, loan{count, now.Add(loanTime + settleTime)})
		grants = append(grants, Grant{want.Upstream, count, loanTime})
	}
	return grants
}

// Accept adds what a peer lends in its reply to a report that was sent at askedAt.
func (t *Table) Accept(grants []Grant, askedAt, now time.Time) {
	for _, grant := range grants[:min(len(grants), maxEntries)] {
		known, found := t.shares[grant.Upstream]
		until := askedAt.Add(grant.For)
		if !found || grant.Count <= 0 || grant.For > loanTime || !now.Before(until) || len(known.borrowed) >= maxLoans {
			continue
		}
		known.borrowed = append(known.borrowed, loan{grant.Count, until})
	}
}

// Limits returns the limits that differ from the equal parts, and those that do so no
// more since the last call.
func (t *Table) Limits(partOf func(core.UpstreamID) Part, now time.Time) []Limit {
	var limits []Limit
	for id, known := range t.shares {
		loaned := known.lent.current(now)+known.borrowed.current(now) > 0
		even := partOf(id).Even
		if even == 0 {
			known.announced = false
			continue
		}
		if loaned || known.announced {
			limits = append(limits, Limit{id, known.limit(even, now)})
		}
		known.announced = loaned
	}
	return limits
}

// Totals returns the connections that this host lends and borrows.
func (t *Table) Totals(now time.Time) (lent, borrowed int) {
	for _, known := range t.shares {
		lent += known.lent.current(now)
		borrowed += known.borrowed.current(now)
	}
	return lent, borrowed
}

// Forget removes upstreams that no longer exist or that are not used any more.
func (t *Table) Forget(gone func(core.UpstreamID) bool, now time.Time) {
	for id, known := range t.shares {
		unused := now.Sub(known.windowAt) > 2*window && len(known.lent)+len(known.borrowed) == 0 && !known.announced
		if gone(id) || unused {
			delete(t.shares, id)
		}
	}
}
