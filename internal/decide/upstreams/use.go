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

// Start counts an attempt as in flight.
func (v *View) Start(now time.Time, member *Member, estimate core.Tokens) {
	member.start(now, estimate)
	member.group.meanEstimate += (float64(estimate) - member.group.meanEstimate) * estimateSmoothing
}

// refusalTime is how long an upstream that refused work gets none while others
// can take it. It looks idle meanwhile, so the choice by load would send it
// nearly everything; a leaving one shows in its load report by then.
const refusalTime = time.Second

// Ending is how an attempt ended.
type Ending uint8

// The endings.
const (
	// Done means that the whole answer came.
	Done Ending = iota + 1
	// Broken means that the upstream failed or fell silent.
	Broken
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

// typicalRatio times the mean estimate bounds the work whose first-token time
// is compared between upstreams. Longer prompts take longer anywhere.
const typicalRatio = 4

func (g *Group) typical(estimate core.Tokens) bool {
	return float64(estimate) <= typicalRatio*g.meanEstimate
}

// FirstToken notes the time from dispatch to the first token.
func (v *View) FirstToken(now time.Time, pool Pool, target core.Target, elapsed time.Duration, estimate core.Tokens) {
	member := v.locate(pool, target)
	if member == nil || !member.group.typical(estimate) {
		return
	}
	member.unpend(now.Add(-elapsed))
	member.noteFirstToken(now, elapsed.Seconds())
	member.limit.sample(elapsed.Seconds(), member.ownPool)
}

// End notes the end of an attempt after elapsed with so many tokens received.
func (v *View) End(now time.Time, pool Pool, target core.Target, ending Ending, elapsed time.Duration, tokens int64, estimate core.Tokens) {
	member := v.locate(pool, target)
	if member == nil {
		return
	}
	member.end(now, estimate)
	typical := member.group.typical(estimate)
	if (tokens == 0 && typical) || len(member.pending) > member.ownPool {
		member.unpend(now.Add(-elapsed))
	}
	if tokens == 0 && typical && ending != Done && elapsed.Seconds() > member.group.usualFirstToken {
		// The first token would have come later still.
		member.noteFirstToken(now, elapsed.Seconds())
	}
	switch ending {
	case Done:
		member.failures = 0
		member.group.noteHold(elapsed)
		member.notePace(now, elapsed, tokens)
	case Broken:
		member.failures++
		member.failedAt = now
	case Refused:
		member.refusedUntil = now.Add(refusalTime)
	case Cancelled:
	}
}

// notePace uses the whole answer's time; a plain service's answer counts as
// its first token.
func (m *Member) notePace(now time.Time, elapsed time.Duration, tokens int64) {
	if m.group.pool.Service != "" {
		m.noteFirstToken(now, elapsed.Seconds())
		m.limit.sample(elapsed.Seconds(), m.ownPool+1)
		return
	}
	generating := elapsed.Seconds() - m.firstToken.mean()
	if tokens > 1 && generating > 0 {
		m.pace.add(now, float64(tokens-1)/generating)
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
	// Free is this host's even part of the places that batches have left by
	// the latest loads; it is negative if requests wait at the upstreams.
	Free float64
	// Sharers estimates how many hosts use the same upstreams. It is 0 if no
	// upstream has told its load, and Free is unknown then.
	Sharers int
}

// Capacities appends the capacity of each pool to list and returns it. A pool
// whose upstreams have all gone has no slots.
func (v *View) Capacities(now time.Time, list []Capacity) []Capacity {
	for pool, group := range v.groups {
		room, free, sharers := 0.0, 0.0, 0
		for _, member := range group.subset {
			if member.Usable() && !member.Ejected(now) {
				room += member.room(now)
				if member.fresh(now) && member.report.MaxRunning > 0 {
					sharers = group.sharers
					free += (member.batch() - member.Requests(now)) / float64(sharers)
				}
			}
		}
		slots := int(room)
		if room > 0 {
			slots = max(1, slots)
		}
		list = append(list, Capacity{Pool: pool, Slots: slots, Free: free, Sharers: sharers})
	}
	return list
}

// Usual is what is usual for the requests of a model.
type Usual struct {
	// FirstToken is the time to the first token; 0 if unknown.
	FirstToken time.Duration
	// Estimate is the mean estimate of work in tokens.
	Estimate core.Tokens
}

// Models calls yield for each model with a usable upstream.
func (v *View) Models(yield func(model core.ModelName, usual Usual)) {
	for pool, group := range v.groups {
		if pool.Model == "" {
			continue
		}
		for _, member := range group.subset {
			if member.Usable() {
				yield(pool.Model, Usual{
					FirstToken: time.Duration(group.usualFirstToken * float64(time.Second)),
					Estimate:   core.Tokens(group.meanEstimate),
				})
				break
			}
		}
	}
}

// Each calls yield for each member in use.
func (v *View) Each(yield func(pool Pool, member *Member)) {
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

// PoolOn returns the pool in which a target serves a model; for the model ""
// it is the plain service that the target offers.
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
	// Pace is tokens per second of one stream.
	Pace float64
}

// Status returns the members in use.
func (v *View) Status(now time.Time) []Status {
	var list []Status
	for pool, group := range v.groups {
		for _, member := range group.subset {
			list = append(list, Status{
				Target: member.target, Pool: pool, Leaving: member.leaving,
				Ejected: member.Ejected(now), InFlight: member.ownPool,
				Requests: int(member.Requests(now)), Limit: int(member.limit.value),
				FirstToken: time.Duration(member.firstToken.mean() * float64(time.Second)),
				Pace:       member.pace.mean(),
			})
		}
	}
	return list
}
