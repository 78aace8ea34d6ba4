package upstreams

import (
	"cmp"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/rendezvous"
)

const (
	// MaxSubset bounds the upstreams of a pool that one host uses, so that
	// load reports fit into the limit for control traffic.
	MaxSubset = 16
	// otherZonePlaces of a subset are kept for other zones, so that a host
	// still reaches upstreams when those of its own zone fail together.
	otherZonePlaces = 4
	// tombstoneLifetime is how long a leaving incarnation is remembered. It
	// is well beyond the lag of the list and the longest expected partition.
	tombstoneLifetime = 24 * time.Hour
	// initialEstimate is the assumed size of a request before any was seen.
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
	hosts     int
	upstreams map[core.UpstreamID]*Upstream
	leaving   map[core.UpstreamID]tombstone
	groups    map[Pool]*Group
}

// Group is the view of one pool.
type Group struct {
	pool    Pool
	members []*Member
	subset  []*Member
	// sharers estimates how many hosts use one of the upstreams.
	sharers int

	usualFirstToken float64
	usualPace       float64
	usualBatch      float64
	meanEstimate    float64
	// level, growth, hold and the sums behind hold serve the type foreign.
	level      float64
	growth     float64
	hold       float64
	holdMean   float64
	holdSquare float64

	scratch []*Member
	values  []float64
}

// NewView returns an empty view of a host in a zone.
func NewView(self core.HostID, zone core.ZoneName) *View {
	return &View{
		self: self, zone: zone, hosts: 1,
		upstreams: make(map[core.UpstreamID]*Upstream),
		leaving:   make(map[core.UpstreamID]tombstone),
		groups:    make(map[Pool]*Group),
	}
}

// Zone returns the host's own zone.
func (v *View) Zone() core.ZoneName {
	return v.zone
}

// SetHosts tells how many hosts share the upstreams, from the next list on.
func (v *View) SetHosts(hosts int) {
	v.hosts = max(1, hosts)
}

// ApplyList replaces the listed upstreams. A list never revives a leaving
// incarnation and never replaces an incarnation by an earlier one.
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
	v.forget(now)
	for _, group := range v.groups {
		v.chooseSubset(group)
	}
}

// forget drops leaving marks of upstreams that have been gone for long. A
// listed upstream keeps its mark, as the list alone must not revive it.
func (v *View) forget(now time.Time) {
	for id, stone := range v.leaving {
		if _, known := v.upstreams[id]; !known && now.Sub(stone.at) > tombstoneLifetime {
			delete(v.leaving, id)
		}
	}
}

func (v *View) applyEntry(now time.Time, entry *Entry) {
	id := entry.Target.Upstream
	known, found := v.upstreams[id]
	if found && entry.Target.Incarnation < known.target.Incarnation {
		// The list lags behind a later process that was seen before.
		known.listed = true
		return
	}
	if entry.Leaving {
		v.Leave(now, id, entry.Target.Incarnation)
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
	// From the end, as removal moves the later ones.
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
			group = &Group{pool: pool, sharers: 1, usualBatch: 1, meanEstimate: initialEstimate}
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
	same := func(other *Member) bool { return other == member }
	group := member.group
	group.members = slices.DeleteFunc(group.members, same)
	group.subset = slices.DeleteFunc(group.subset, same)
	member.members = slices.DeleteFunc(member.members, same)
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
	stone, found := v.leaving[id]
	return found && incarnation <= stone.incarnation
}

// Leave notes that an incarnation is leaving, from whatever source. Only a
// higher incarnation of the upstream gets work again.
func (v *View) Leave(now time.Time, id core.UpstreamID, incarnation core.Incarnation) {
	if stone, found := v.leaving[id]; !found || incarnation >= stone.incarnation {
		v.leaving[id] = tombstone{incarnation: incarnation, at: now}
	}
	if upstream, found := v.upstreams[id]; found && upstream.target.Incarnation <= incarnation {
		upstream.leaving = true
	}
}

// ApplyReport takes over a load report. A report of another incarnation than
// the listed one only tells whether that one is leaving.
func (v *View) ApplyReport(now time.Time, report Report) {
	if report.Leaving {
		v.Leave(now, report.Upstream, report.Incarnation)
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

// ApplyAnswer takes over the counts that an answer of the target carried. They
// are as fresh as the answer, while a report lags. What only reports tell is
// kept from the last one.
func (v *View) ApplyAnswer(now time.Time, target core.Target, running, waiting, maxRunning int) {
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

// chooseSubset keeps the members that this host uses: its own zone first, by
// rendezvous hashing on the host, so that hosts spread over the upstreams.
func (v *View) chooseSubset(group *Group) {
	var own, other []*Member
	for _, member := range group.members {
		switch {
		case !member.Usable():
		case member.target.Zone == v.zone:
			own = append(own, member)
		default:
			other = append(other, member)
		}
	}
	slices.SortFunc(own, byRank)
	slices.SortFunc(other, byRank)
	ownPlaces := max(MaxSubset-otherZonePlaces, MaxSubset-len(other))
	own = own[:min(len(own), ownPlaces)]
	other = other[:min(len(other), MaxSubset-len(own))]
	group.subset = append(append(group.subset[:0], own...), other...)
	group.sharers = max(1, v.hosts*len(group.subset)/max(1, len(group.members)))
}

func byRank(a, b *Member) int {
	return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.target.Upstream, b.target.Upstream))
}
