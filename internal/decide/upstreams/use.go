package upstreams

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Subset returns the members of a pool that this host uses. The caller must
// not change it; it is valid until the next change of the view.
func (v *View) Subset(pool Pool) []*Member {
	group, found := v.groups[pool]
	if !found {
		return nil
	}
	return group.subset
}

// Find returns the member of a pool with the given upstream, or nil.
func (v *View) Find(pool Pool, id core.UpstreamID) *Member {
	upstream, found := v.upstreams[id]
	if !found {
		return nil
	}
	return upstream.member(pool)
}

// StartAttempt counts an attempt as in flight.
func (v *View) StartAttempt(now time.Time, member *Member, estimate core.Tokens) {
	member.start(now, estimate)
	member.group.meanEstimate += (float64(estimate) - member.group.meanEstimate) * estimateSmoothing
}

// refusalBackoff is how long an upstream that refused work gets none while
// others can take it. It looks idle meanwhile, so the choice by load would send
// it nearly everything. An upstream that refuses because it is leaving shows
// that in its load report by then.
const refusalBackoff = time.Second

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	// Completed means that the whole answer came.
	Completed Outcome = iota + 1
	// Failed means that the upstream failed or stopped responding.
	Failed
	// Refused means that the upstream took no work.
	Refused
	// Cancelled means that this host ended the attempt.
	Cancelled
)

// locate returns the member that an attempt ran on, or nil if its process has
// been replaced.
func (v *View) locate(pool Pool, target core.Target) *Member {
	upstream, found := v.upstreams[target.Upstream]
	if !found || upstream.target.Incarnation != target.Incarnation {
		return nil
	}
	return upstream.member(pool)
}

// typicalSizeRatio times the mean estimate is the size up to which first-token
// times are compared between upstreams. Longer prompts take longer on any
// upstream.
const typicalSizeRatio = 4

func (g *Group) typicalSize(estimate core.Tokens) bool {
	return float64(estimate) <= typicalSizeRatio*g.meanEstimate
}

// RecordFirstToken records the time from dispatch to the first token.
func (v *View) RecordFirstToken(now time.Time, pool Pool, target core.Target, elapsed time.Duration, estimate core.Tokens) {
	member := v.locate(pool, target)
	if member == nil || !member.group.typicalSize(estimate) {
		return
	}
	member.removePending(now.Add(-elapsed))
	member.recordFirstToken(now, elapsed.Seconds())
	member.limit.sample(elapsed.Seconds(), member.ownPoolRequests)
}

// EndAttempt records that an attempt ended after elapsed with so many tokens
// received.
func (v *View) EndAttempt(now time.Time, pool Pool, target core.Target, outcome Outcome, elapsed time.Duration, tokens int64, estimate core.Tokens) {
	member := v.locate(pool, target)
	if member == nil {
		return
	}
	member.end(now, estimate)
	typicalSize := member.group.typicalSize(estimate)
	if (tokens == 0 && typicalSize) || len(member.pending) > member.ownPoolRequests {
		member.removePending(now.Add(-elapsed))
	}
	if tokens == 0 && typicalSize && outcome != Completed && elapsed.Seconds() > member.group.medianFirstToken {
		// The first token would have come later still.
		member.recordFirstToken(now, elapsed.Seconds())
	}
	switch outcome {
	case Completed:
		member.consecutiveFailures = 0
		member.group.recordDuration(elapsed)
		member.recordTokenRate(now, elapsed, tokens)
	case Failed:
		member.consecutiveFailures++
		member.lastFailureAt = now
	case Refused:
		member.refusedUntil = now.Add(refusalBackoff)
	case Cancelled:
	}
}

// recordTokenRate records the token rate of a complete answer; the time of a
// plain service's answer counts as its first-token time.
func (m *Member) recordTokenRate(now time.Time, elapsed time.Duration, tokens int64) {
	if m.group.pool.Service != "" {
		m.recordFirstToken(now, elapsed.Seconds())
		m.limit.sample(elapsed.Seconds(), m.ownPoolRequests+1)
		return
	}
	generationSeconds := elapsed.Seconds() - m.firstToken.mean()
	if tokens > 1 && generationSeconds > 0 {
		m.tokenRate.add(now, float64(tokens-1)/generationSeconds)
	}
}

// Evaluate compares the members of each pool and ejects outliers.
func (v *View) Evaluate(now time.Time) {
	for _, group := range v.groups {
		group.evaluate(now)
	}
}

// Capacity is how many requests of this host a pool should hold.
type Capacity struct {
	Pool  Pool
	Slots int
	// FreeSlots is this host's even share of the free batch slots by the latest
	// loads; it is negative if requests wait at the upstreams.
	FreeSlots float64
	// SharingHosts estimates how many hosts use the same upstreams. It is 0 if
	// no upstream has reported its load, and FreeSlots is unknown then.
	SharingHosts int
}

// Capacities appends the capacity of each pool to list and returns it. A pool
// whose upstreams have all gone has no slots.
func (v *View) Capacities(now time.Time, list []Capacity) []Capacity {
	for pool, group := range v.groups {
		allowed, free, sharingHosts := 0.0, 0.0, 0
		for _, member := range group.subset {
			if member.Usable() && !member.Ejected(now) {
				allowed += member.allowedRequests(now)
				if member.reportFresh(now) && member.report.MaxRunning > 0 {
					sharingHosts = group.sharingHosts
					free += (member.batchSize() - member.Requests(now)) / float64(sharingHosts)
				}
			}
		}
		slots := int(allowed)
		if allowed > 0 {
			slots = max(1, slots)
		}
		list = append(list, Capacity{Pool: pool, Slots: slots, FreeSlots: free, SharingHosts: sharingHosts})
	}
	return list
}

// ModelStats are statistics of the requests of a model.
type ModelStats struct {
	// MedianFirstToken is the median time to the first token; 0 if unknown.
	MedianFirstToken time.Duration
	// MeanEstimate is the mean estimate of a request's tokens.
	MeanEstimate core.Tokens
}

// Models calls yield for each model with a usable upstream.
func (v *View) Models(yield func(model core.ModelName, stats ModelStats)) {
	for pool, group := range v.groups {
		if pool.Model == "" {
			continue
		}
		for _, member := range group.subset {
			if member.Usable() {
				yield(pool.Model, ModelStats{
					MedianFirstToken: time.Duration(group.medianFirstToken * float64(time.Second)),
					MeanEstimate:     core.Tokens(group.meanEstimate),
				})
				break
			}
		}
	}
}

// EachMember calls yield for each member of this host's subsets.
func (v *View) EachMember(yield func(pool Pool, member *Member)) {
	for pool, group := range v.groups {
		for _, member := range group.subset {
			yield(pool, member)
		}
	}
}

// Knows reports whether the upstream is listed or has attempts in flight.
func (v *View) Knows(id core.UpstreamID) bool {
	_, found := v.upstreams[id]
	return found
}

// PoolOn returns the pool in which a target serves a model; for the model "" it
// is that of the plain service that the target offers.
func (v *View) PoolOn(target core.Target, model core.ModelName) Pool {
	if model != "" {
		return Pool{Model: model}
	}
	if upstream, found := v.upstreams[target.Upstream]; found {
		for _, member := range upstream.members {
			if member.group.pool.Service != "" {
				return member.group.pool
			}
		}
	}
	return Pool{}
}

// Status is an upstream as shown to operators.
type Status struct {
	Target   core.Target
	Pool     Pool
	Leaving  bool
	Ejected  bool
	InFlight int
	// Requests is the estimate for all hosts.
	Requests   int
	Limit      int
	FirstToken time.Duration
	// TokenRate is tokens per second of one stream.
	TokenRate float64
}

// Status returns the members of this host's subsets.
func (v *View) Status(now time.Time) []Status {
	var list []Status
	for pool, group := range v.groups {
		for _, member := range group.subset {
			list = append(list, Status{
				Target: member.target, Pool: pool, Leaving: member.leaving,
				Ejected: member.Ejected(now), InFlight: member.ownPoolRequests,
				Requests: int(member.Requests(now)), Limit: int(member.limit.value),
				FirstToken: time.Duration(member.firstToken.mean() * float64(time.Second)),
				TokenRate:  member.tokenRate.mean(),
			})
		}
	}
	return list
}
