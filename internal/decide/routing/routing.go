// Package routing decides which upstream gets an attempt.
package routing

import (
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
)

const (
	// affinityLoadRatio is the load relative to the mean above which a prompt
	// goes elsewhere although its prefix is cached there.
	affinityLoadRatio = 1.25
	// affinityBusyOccupancy is the fraction of its batch slots above which an
	// upstream may have no more than the mean load: its batch will be full at
	// times, and waiting for a slot costs more than a cached prefix saves.
	affinityBusyOccupancy = 0.6
	// affinityMaxOccupancy is the fraction of its batch slots above which an
	// upstream gets no work for a cached prefix alone. A load on an answer is
	// as old as the host's last request there, and the last quarter of a batch
	// may be taken in that time.
	affinityMaxOccupancy = 0.75
	// zoneSpillRatio is how many times less loaded an upstream of another zone
	// must be. It covers the longer network path and the traffic between zones.
	zoneSpillRatio = 1.25
)

// Request describes the attempt that needs an upstream.
type Request struct {
	Pool     upstreams.Pool
	Estimate core.Tokens
	// PrefixHash identifies the start of the prompt; 0 for none.
	PrefixHash uint64
	Excluded   []core.UpstreamID
	// Resume is the upstream that holds the answer's state, if any.
	Resume core.UpstreamID
	// Bytes is the length of the request.
	Bytes int64
	// Random decides between upstreams of equal load.
	Random uint64
}

// candidates is a set of members that needs no allocation.
type candidates struct {
	list [upstreams.MaxSubset]*upstreams.Member
	// ownZone counts the members in the host's zone, which come first.
	ownZone int
	count   int
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
	if member := set.prefixMember(now, request); member != nil {
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
		if !member.Usable() || slices.Contains(request.Excluded, target.Upstream) || !member.MayHold(request.Bytes) || !accept(member) {
			continue
		}
		c.list[c.count] = member
		c.count++
		if target.Zone == zone {
			c.ownZone++
		}
	}
}

// mix distributes a hash over all bits; it is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// prefixMember returns the first member in rendezvous order for the prompt's
// prefix, or nil if its load is too high.
func (c *candidates) prefixMember(now time.Time, request *Request) *upstreams.Member {
	if request.PrefixHash == 0 {
		return nil
	}
	eligible := c.list[:c.count]
	if c.ownZone > 0 {
		eligible = c.list[:c.ownZone]
	}
	var best *upstreams.Member
	var bestWeight uint64
	total, bestLoad := 0.0, 0.0
	for _, member := range eligible {
		weight, load := mix(request.PrefixHash^member.Hash()), member.Load(now)
		total += load
		if best == nil || weight > bestWeight {
			best, bestWeight, bestLoad = member, weight, load
		}
	}
	maxLoad, occupancy := total/float64(len(eligible)), best.Occupancy(now)
	if occupancy < affinityBusyOccupancy {
		maxLoad *= affinityLoadRatio
	}
	if bestLoad > maxLoad || occupancy >= affinityMaxOccupancy {
		return nil
	}
	return best
}

// leastLoaded compares the members of the host's zone and goes to another zone
// only if a member there is clearly less loaded. All are compared, as the loads
// on answers are recent and a subset has at most 16 members.
func (c *candidates) leastLoaded(now time.Time, request *Request) *upstreams.Member {
	ownZone, otherZones := c.list[:c.ownZone], c.list[c.ownZone:c.count]
	if len(ownZone) == 0 {
		member, _ := leastLoadedOf(otherZones, now, request.Random)
		return member
	}
	best, load := leastLoadedOf(ownZone, now, request.Random)
	if len(otherZones) == 0 {
		return best
	}
	other, otherLoad := leastLoadedOf(otherZones, now, mix(request.Random))
	if otherLoad*zoneSpillRatio < load {
		return other
	}
	return best
}

// leastLoadedOf returns the least loaded member and its load. The search starts
// at a random member, which wins among equals.
func leastLoadedOf(list []*upstreams.Member, now time.Time, random uint64) (*upstreams.Member, float64) {
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

// leastInFlight returns the member with the fewest requests. Among equals the
// host's zone wins, and within a zone a random member.
func (c *candidates) leastInFlight(now time.Time, request *Request) *upstreams.Member {
	var best *upstreams.Member
	fewest := 0.0
	for zonePenalty, list := range [2][]*upstreams.Member{c.list[:c.ownZone], c.list[c.ownZone:c.count]} {
		for i := range list {
			member := list[(uint64(i)+request.Random)%uint64(len(list))]
			// Another zone must have clearly fewer requests.
			requests := member.Requests(now) + float64(zonePenalty)
			if best == nil || requests < fewest {
				best, fewest = member, requests
			}
		}
	}
	return best
}
