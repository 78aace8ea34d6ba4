package upstreams

import (
	"cmp"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/rendezvous"
)

const (
	// MaxSubset bounds the upstreams of a pool that one host uses, so that load
	// reports stay within the limit for control traffic.
	MaxSubset = 16
	// otherZoneMembers of a subset are reserved for other zones, so that a host
	// still reaches upstreams when all those of its own zone fail together.
	otherZoneMembers = 4
	// tombstoneLifetime is how long the tombstone of a leaving incarnation is
	// kept. It is well beyond the lag of the list and the longest expected
	// partition.
	tombstoneLifetime = 24 * time.Hour
	// initialEstimate is the assumed size of a request in tokens before the
	// first one.
	initialEstimate = 500
	// estimateSmoothing averages over about a hundred requests.
	estimateSmoothing = 0.01
)

type tombstone struct {
	incarnation core.Incarnation
	at          time.Time
}

// View is one host's view of all upstreams.
type View struct {
	self      core.HostID
	zone      core.ZoneName
	hostCount int
	upstreams map[core.UpstreamID]*Upstream
	leaving   map[core.UpstreamID]tombstone
	groups    map[Pool]*Group
}

// Group is the part of a view that concerns one pool.
type Group struct {
	pool    Pool
	members []*Member
	subset  []*Member
	// sharingHosts estimates how many hosts use each of the upstreams.
	sharingHosts int

	medianFirstToken float64
	medianTokenRate  float64
	medianBatch      float64
	meanEstimate     float64
	// These fields serve to estimate the requests of other hosts;
	// inFlightDuration is computed from the two means.
	otherLoad          float64
	ownGrowth          float64
	inFlightDuration   float64
	meanDuration       float64
	meanSquareDuration float64

	scratch []*Member
	values  []float64
}

// NewView returns an empty view of a host in a zone.
func NewView(self core.HostID, zone core.ZoneName) *View {
	return &View{
		self: self, zone: zone, hostCount: 1,
		upstreams: make(map[core.UpstreamID]*Upstream),
		leaving:   make(map[core.UpstreamID]tombstone),
		groups:    make(map[Pool]*Group),
	}
}

// Zone returns the host's own zone.
func (v *View) Zone() core.ZoneName {
	return v.zone
}

// SetHostCount sets how many hosts share the upstreams; it takes effect with the
// next list.
func (v *View) SetHostCount(hosts int) {
	v.hostCount = max(1, hosts)
}

// ApplyList replaces the listed upstreams. A list never makes a leaving
// incarnation usable again and never replaces an incarnation by an earlier one.
func (v *View) ApplyList(now time.Time, entries []Entry) {
	for _, upstream := range v.upstreams {
		upstream.listed = false
	}
	for i := range entries {
		v.applyEntry(now, &entries[i])
	}
	for id, upstream := range v.upstreams {
		if !upstream.listed && upstream.ownRequests == 0 {
			v.detach(upstream)
			delete(v.upstreams, id)
		}
	}
	v.expireTombstones(now)
	for _, group := range v.groups {
		v.chooseSubset(group)
	}
}

// expireTombstones drops the old tombstones of upstreams that are gone. A
// listed upstream keeps its tombstone, as the list alone must not make it
// usable again.
func (v *View) expireTombstones(now time.Time) {
	for id, mark := range v.leaving {
		if _, known := v.upstreams[id]; !known && now.Sub(mark.at) > tombstoneLifetime {
			delete(v.leaving, id)
		}
	}
}

func (v *View) applyEntry(now time.Time, entry *Entry) {
	id := entry.Target.Upstream
	known, found := v.upstreams[id]
	if found && entry.Target.Incarnation < known.target.Incarnation {
		// The list lags behind: a later process of the upstream is known
		// already.
		known.listed = true
		return
	}
	if entry.Leaving {
		v.MarkLeaving(now, id, entry.Target.Incarnation)
	}
	if found && entry.Target.Incarnation > known.target.Incarnation {
		v.detach(known)
		found = false
	}
	if !found {
		known = newUpstream(entry.Target)
		v.upstreams[id] = known
	}
	known.target = entry.Target
	known.listed = true
	known.leaving = v.isLeaving(id, entry.Target.Incarnation)
	v.attach(known, entry.Pools)
}

// attach makes the upstream a member of exactly the given pools.
func (v *View) attach(upstream *Upstream, pools []Pool) {
	// Iterates from the end, as a removal shifts the later ones.
	for i := len(upstream.members) - 1; i >= 0; i-- {
		if !slices.Contains(pools, upstream.members[i].group.pool) {
			v.remove(upstream.members[i])
		}
	}
	for _, pool := range pools {
		if upstream.member(pool) != nil {
			continue
		}
		group, found := v.groups[pool]
		if !found {
			group = &Group{pool: pool, sharingHosts: 1, medianBatch: 1, meanEstimate: initialEstimate}
			v.groups[pool] = group
		}
		member := newMember(upstream, group)
		member.rank = rendezvous.Weight(string(v.self), string(upstream.target.Upstream))
		upstream.members = append(upstream.members, member)
		group.members = append(group.members, member)
	}
}

func (v *View) detach(upstream *Upstream) {
	for _, member := range slices.Clone(upstream.members) {
		v.remove(member)
	}
}

func (v *View) remove(member *Member) {
	isMember := func(other *Member) bool { return other == member }
	group := member.group
	group.members = slices.DeleteFunc(group.members, isMember)
	group.subset = slices.DeleteFunc(group.subset, isMember)
	member.members = slices.DeleteFunc(member.members, isMember)
}

func (u *Upstream) member(pool Pool) *Member {
	for _, member := range u.members {
		if member.group.pool == pool {
			return member
		}
	}
	return nil
}

func (v *View) isLeaving(id core.UpstreamID, incarnation core.Incarnation) bool {
	mark, found := v.leaving[id]
	return found && incarnation <= mark.incarnation
}

// MarkLeaving marks an incarnation as leaving, whatever the source. Only a
// higher incarnation of the upstream gets work again.
func (v *View) MarkLeaving(now time.Time, id core.UpstreamID, incarnation core.Incarnation) {
	if mark, found := v.leaving[id]; !found || incarnation >= mark.incarnation {
		v.leaving[id] = tombstone{incarnation: incarnation, at: now}
	}
	if upstream, found := v.upstreams[id]; found && upstream.target.Incarnation <= incarnation {
		upstream.leaving = true
	}
}

// ApplyReport stores a load report. A report of another incarnation than the
// listed one only shows whether that one is leaving.
func (v *View) ApplyReport(now time.Time, report Report) {
	if report.Leaving {
		v.MarkLeaving(now, report.Upstream, report.Incarnation)
	}
	upstream, found := v.upstreams[report.Upstream]
	if !found || upstream.target.Incarnation != report.Incarnation {
		return
	}
	if upstream.reported && report.MeasuredAt.Before(upstream.report.MeasuredAt) {
		return
	}
	if report.MeasuredAt.After(now) {
		// The upstream's clock is ahead of this host's.
		report.MeasuredAt = now
	}
	upstream.applyReport(now, report)
}

// ApplyAnswerLoad stores the request counts that an answer of the target
// carried. They are as recent as the answer, while a report lags. The fields
// that only reports carry keep their last values.
func (v *View) ApplyAnswerLoad(now time.Time, target core.Target, running, waiting, maxRunning int) {
	upstream, found := v.upstreams[target.Upstream]
	if !found || upstream.target.Incarnation != target.Incarnation {
		return
	}
	report := upstream.report
	report.Upstream, report.Incarnation = target.Upstream, target.Incarnation
	report.Running, report.Waiting, report.MaxRunning = running, waiting, maxRunning
	report.MeasuredAt = now
	upstream.applyReport(now, report)
}

// chooseSubset chooses the members that this host uses, those of its own zone
// first, by rendezvous hashing on the host, so that hosts spread over the
// upstreams.
func (v *View) chooseSubset(group *Group) {
	var ownZone, otherZones []*Member
	for _, member := range group.members {
		switch {
		case !member.Usable():
		case member.target.Zone == v.zone:
			ownZone = append(ownZone, member)
		default:
			otherZones = append(otherZones, member)
		}
	}
	slices.SortFunc(ownZone, byRank)
	slices.SortFunc(otherZones, byRank)
	ownZoneMembers := max(MaxSubset-otherZoneMembers, MaxSubset-len(otherZones))
	ownZone = ownZone[:min(len(ownZone), ownZoneMembers)]
	otherZones = otherZones[:min(len(otherZones), MaxSubset-len(ownZone))]
	group.subset = append(append(group.subset[:0], ownZone...), otherZones...)
	group.sharingHosts = max(1, v.hostCount*len(group.subset)/max(1, len(group.members)))
}

func byRank(a, b *Member) int {
	return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.target.Upstream, b.target.Upstream))
}
