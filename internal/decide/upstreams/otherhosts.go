package upstreams

import "time"

// maxReportAge is the age beyond which a report no longer describes the present
// load. Reports lag by about 2 s and are requested every few seconds.
const maxReportAge = 10 * time.Second

// otherHosts estimates the requests of other hosts at an upstream. Demand
// changes at all upstreams of a pool together, so the mean load of the pool is
// computed from the latest reports of all. The deviation of one upstream from
// it is mostly noise by the time a report arrives, unless requests last longer
// than reports lag; it is therefore averaged over reports.
type otherHosts struct {
	// lastCount is the count of the last report, less this host's requests at
	// the time it was measured.
	lastCount float64
	// deviation is the averaged difference, in requests, from the mean load of
	// the pool.
	deviation float64
}

func (u *Upstream) batchSize() float64 {
	return float64(max(1, u.report.MaxRunning))
}

// reportFresh reports whether the last report is recent enough to be used.
func (u *Upstream) reportFresh(now time.Time) bool {
	return u.reported && now.Sub(u.report.MeasuredAt) <= maxReportAge
}

func (u *Upstream) applyReport(now time.Time, report Report) {
	u.otherHosts.lastCount = float64(max(0, report.Running+report.Waiting-u.history.at(report.MeasuredAt, u.ownRequests)))
	wasFresh, previousAt := u.reportFresh(now), u.report.MeasuredAt
	u.report, u.reported = report, true
	if len(u.members) == 0 {
		return
	}
	group := u.members[0].group
	group.updateOtherLoad(now)
	weight := 1.0
	if wasFresh && group.inFlightDuration > 0 {
		// The fraction of the requests counted in one report that are still
		// there when the next one is used.
		weight = group.inFlightDuration / (group.inFlightDuration + now.Sub(previousAt).Seconds())
	}
	u.otherHosts.deviation += (u.otherHosts.lastCount - group.otherLoad*u.batchSize() - u.otherHosts.deviation) * weight
}

// updateOtherLoad computes the requests of other hosts per batch slot, and by
// how many per batch slot this host's own have grown since the reports were
// measured.
func (g *Group) updateOtherLoad(now time.Time) {
	others, grownBy, batchSlots := 0.0, 0, 0.0
	for _, member := range g.subset {
		if member.reportFresh(now) {
			others += member.otherHosts.lastCount
			grownBy += member.ownRequests - member.history.at(member.report.MeasuredAt, member.ownRequests)
			batchSlots += member.batchSize()
		}
	}
	if batchSlots > 0 {
		g.otherLoad = others / batchSlots
		g.ownGrowth = max(0, float64(grownBy)/batchSlots)
	}
}

// otherRequests estimates the requests that other hosts have there now.
func (u *Upstream) otherRequests(now time.Time) float64 {
	if !u.reportFresh(now) || len(u.members) == 0 {
		return 0
	}
	return max(0, u.members[0].group.otherLoad*u.batchSize()+u.otherHosts.deviation)
}

// durationSmoothing averages durations over about a hundred requests.
const durationSmoothing = 0.01

// recordDuration updates the mean duration, in seconds, of the requests found
// in flight at a random moment: a mean weighted by duration.
func (g *Group) recordDuration(elapsed time.Duration) {
	seconds := elapsed.Seconds()
	g.meanDuration += (seconds - g.meanDuration) * durationSmoothing
	g.meanSquareDuration += (seconds*seconds - g.meanSquareDuration) * durationSmoothing
	if g.meanDuration > 0 {
		g.inFlightDuration = g.meanSquareDuration / g.meanDuration
	}
}
