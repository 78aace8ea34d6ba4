// Package routing decides which upstream gets an attempt.
package routing

import (
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
)

const (
	// affinityYield is the load relative to the mean above which a prompt
	// goes elsewhere although its prefix is cached there.
	affinityYield = 1.25
	// affinityOccupancy is the part of its batch above which an upstream may
	// have no more than the mean load: its batch will be full at times, and
	// waiting for a place costs more than a cached prefix saves.
	affinityOccupancy = 0.6
	// affinityEnd is the part of its batch above which an upstream gets no
	// work for a cached prefix alone. A load on an answer is as old as the
	// host's last request there, and the last quarter of a batch may be taken
	// in that time.
	affinityEnd = 0.75
	// spillRatio is how much less loaded an upstream of another zone must
	// be. It covers the longer way and the traffic between zones.
	spillRatio = 1.25
)

// Request describes the attempt to place.
type Request struct {
	Pool     upstreams.Pool
	Estimate core.Tokens
	// PrefixHash identifies the start of the prompt; 0 for none.
	PrefixHash uint64
	Excluded   []core.UpstreamID
	// Resume is the upstream that holds the answer's state, if any.
	Resume core.UpstreamID
	// Random decides between upstreams of equal load.
	Random uint64
}

// candidates is a set of members without allocation.
type candidates struct {
	list [upstreams.MaxSubset]*upstreams.Member
	// own counts those of the host's zone, which come first.
	own   int
	count int
}

// Pick returns the member that gets the attempt, or nil if none may.
func Pick(view *upstreams.View, now time.Time, request *Request) *upstreams.Member {
	if request.Resume != "" {
		if member := view.Find(request.Pool, request.Resume); member != nil && member.Usable() {
			return member
		}
	}
	var set candidates
	set.collect(view, now, request)
	switch {
	case set.count == 0:
		return nil
	case request.Pool.Service != "":
		return set.leastInFlight(now, request)
	}
	if member := set.byPrefix(now, request); member != nil {
		return member
	}
	return set.leastLoaded(now, request)
}

// collect gathers the members that may be picked. The failing ones, those at
// their limit and the ejected ones are used only when there are no others.
func (c *candidates) collect(view *upstreams.View, now time.Time, request *Request) {
	subset := view.Subset(request.Pool)
	c.add(subset, view.Zone(), request, func(m *upstreams.Member) bool {
		return !m.Ejected(now) && !m.AtLimit(now) && !m.Failing(now)
	})
	if c.count == 0 {
		c.add(subset, view.Zone(), request, func(m *upstreams.Member) bool { return !m.Ejected(now) && !m.AtLimit(now) })
	}
	if c.count == 0 {
		c.add(subset, view.Zone(), request, func(m *upstreams.Member) bool { return !m.Ejected(now) })
	}
	if c.count == 0 {
		c.add(subset, view.Zone(), request, func(*upstreams.Member) bool { return true })
	}
}

func (c *candidates) add(subset []*upstreams.Member, zone core.ZoneName, request *Request, accept func(*upstreams.Member) bool) {
	for _, member := range subset {
		target := member.Target()
		if !member.Usable() || slices.Contains(request.Excluded, target.Upstream) || !accept(member) {
			continue
		}
		c.list[c.count] = member
		c.count++
		if target.Zone == zone {
			c.own++
		}
	}
}

// mix spreads a hash over all bits; it is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// byPrefix returns the first member in rendezvous order for the prompt's
// prefix, or nil if that one is too loaded.
func (c *candidates) byPrefix(now time.Time, request *Request) *upstreams.Member {
	if request.PrefixHash == 0 {
		return nil
	}
	near := c.list[:c.count]
	if c.own > 0 {
		near = c.list[:c.own]
	}
	var best *upstreams.Member
	var bestWeight uint64
	total, bestLoad := 0.0, 0.0
	for _, member := range near {
		weight, load := mix(request.PrefixHash^member.Hash()), member.Load(now)
		total += load
		if best == nil || weight > bestWeight {
			best, bestWeight, bestLoad = member, weight, load
		}
	}
	allowed, occupancy := total/float64(len(near)), best.Occupancy(now)
	if occupancy < affinityOccupancy {
		allowed *= affinityYield
	}
	if bestLoad > allowed || occupancy >= affinityEnd {
		return nil
	}
	return best
}

// leastLoaded compares the members of the own zone and goes to another zone
// only if one there is clearly less loaded. All are compared, as the loads on
// answers are fresh; a subset has at most 16.
func (c *candidates) leastLoaded(now time.Time, request *Request) *upstreams.Member {
	near, far := c.list[:c.own], c.list[c.own:c.count]
	if len(near) == 0 {
		member, _ := least(far, now, request.Random)
		return member
	}
	best, load := least(near, now, request.Random)
	if len(far) == 0 {
		return best
	}
	other, otherLoad := least(far, now, mix(request.Random))
	if otherLoad*spillRatio < load {
		return other
	}
	return best
}

// least returns the least loaded member. The search starts at a random one,
// which goes first among equals.
func least(list []*upstreams.Member, now time.Time, random uint64) (*upstreams.Member, float64) {
	var best *upstreams.Member
	lowest := 0.0
	for i := range list {
		member := list[(uint64(i)+random)%uint64(len(list))]
		if load := member.Load(now); best == nil || load < lowest {
			best, lowest = member, load
		}
	}
	return best, lowest
}

// leastInFlight returns the member with the fewest requests; the own zone and
// then a random one go first among equals.
func (c *candidates) leastInFlight(now time.Time, request *Request) *upstreams.Member {
	var best *upstreams.Member
	fewest := 0.0
	for part, list := range [2][]*upstreams.Member{c.list[:c.own], c.list[c.own:c.count]} {
		for i := range list {
			member := list[(uint64(i)+request.Random)%uint64(len(list))]
			// Another zone must have clearly fewer requests.
			requests := member.Requests(now) + float64(part)
			if best == nil || requests < fewest {
				best, fewest = member, requests
			}
		}
	}
	return best
}
