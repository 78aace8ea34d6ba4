package upstreams

import "time"

// reportLifetime is the age after which a report says nothing about the
// present load. Reports lag by about 2 s and are polled every few seconds.
const reportLifetime = 10 * time.Second

// foreign estimates the requests of other hosts at an upstream. Demand moves
// all upstreams of a pool together, so the level of the pool is taken from the
// latest reports of all. How one upstream deviates from it is mostly noise by
// the time a report arrives, unless requests last longer than that; it is
// therefore averaged over reports.
type foreign struct {
	// count is that of the last report, less this host's requests then.
	count float64
	// deviation is the averaged difference to the level of the pool.
	deviation float64
}

func (u *Upstream) batch() float64 {
	return float64(max(1, u.report.MaxRunning))
}

// fresh reports whether the last report still says something.
func (u *Upstream) fresh(now time.Time) bool {
	return u.reported && now.Sub(u.report.MeasuredAt) <= reportLifetime
}

func (u *Upstream) applyReport(now time.Time, report Report) {
	u.foreign.count = float64(max(0, report.Running+report.Waiting-u.history.at(report.MeasuredAt, u.ownRequests)))
	wasFresh, previous := u.fresh(now), u.report.MeasuredAt
	u.report, u.reported = report, true
	if len(u.members) == 0 {
		return
	}
	group := u.members[0].group
	group.setLevel(now)
	part := 1.0
	if wasFresh && group.hold > 0 {
		// The part of the requests seen in one report that are still there
		// when the next one is used.
		part = group.hold / (group.hold + now.Sub(previous).Seconds())
	}
	u.foreign.deviation += (u.foreign.count - group.level*u.batch() - u.foreign.deviation) * part
}

// setLevel computes the requests of other hosts as a part of the batches, and
// by how much this host's own have grown since the reports were measured.
func (g *Group) setLevel(now time.Time) {
	count, grown, batches := 0.0, 0, 0.0
	for _, member := range g.subset {
		if member.fresh(now) {
			count += member.foreign.count
			grown += member.ownRequests - member.history.at(member.report.MeasuredAt, member.ownRequests)
			batches += member.batch()
		}
	}
	if batches > 0 {
		g.level = count / batches
		g.growth = max(0, float64(grown)/batches)
	}
}

// others estimates the requests of other hosts now.
func (u *Upstream) others(now time.Time) float64 {
	if !u.fresh(now) || len(u.members) == 0 {
		return 0
	}
	return max(0, u.members[0].group.level*u.batch()+u.foreign.deviation)
}

// holdSmoothing averages the time in flight over about a hundred requests.
const holdSmoothing = 0.01

// noteHold learns how long the requests last that are found in flight at a
// random moment: their mean weighted by duration, in seconds.
func (g *Group) noteHold(elapsed time.Duration) {
	seconds := elapsed.Seconds()
	g.holdMean += (seconds - g.holdMean) * holdSmoothing
	g.holdSquare += (seconds*seconds - g.holdSquare) * holdSmoothing
	if g.holdMean > 0 {
		g.hold = g.holdSquare / g.holdMean
	}
}
