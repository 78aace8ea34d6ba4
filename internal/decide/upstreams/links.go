package upstreams

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// PoolsAt returns the listed upstream at an address and its pools, none if there is none.
func (v *View) PoolsAt(address string) (core.Target, []Pool) {
	for _, upstream := range v.upstreams {
		if upstream.target.Address != address || !upstream.listed || upstream.leaving {
			continue
		}
		pools := make([]Pool, len(upstream.members))
		for i, member := range upstream.members {
			pools[i] = member.group.pool
		}
		return upstream.target, pools
	}
	return core.Target{}, nil
}

// UsableOf returns the upstreams of a pool that may be used, also those outside of this
// host's subset.
func (v *View) UsableOf(pool Pool) []core.Target {
	group, found := v.groups[pool]
	if !found {
		return nil
	}
	var targets []core.Target
	for _, member := range group.members {
		if member.Usable() {
			targets = append(targets, member.target)
		}
	}
	return targets
}

// EachPool calls yield for each pool.
func (v *View) EachPool(yield func(pool Pool)) {
	for pool := range v.groups {
		yield(pool)
	}
}

// Listed returns the listed process of an upstream and whether it leaves.
func (v *View) Listed(id core.UpstreamID) (target core.Target, leaving, listed bool) {
	upstream, found := v.upstreams[id]
	if !found || !upstream.listed {
		return core.Target{}, false, false
	}
	return upstream.target, upstream.leaving, true
}

// ForgetFailures forgets the failures and refusals of a pool's members, which were those
// of this host's links.
func (v *View) ForgetFailures(pool Pool) {
	group, found := v.groups[pool]
	if !found {
		return
	}
	for _, member := range group.members {
		member.consecutiveFailures = 0
		member.refusedUntil, member.lastFailureAt = time.Time{}, time.Time{}
	}
}
