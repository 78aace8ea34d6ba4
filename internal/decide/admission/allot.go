package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// LeaseTime is how long an allotment is valid. The limits of teams are soft,
	// so a lease may expire without agreement between hosts.
	LeaseTime = 2 * time.Second
	// unreportedFraction is the fraction of its even allotment that a host may use
	// without reporting demand. Most teams stay below it and cost no messages.
	unreportedFraction = 0.5
	// maxDemandsPerReport bounds the size of a report: 64 demands of some 30 bytes
	// each second are a quarter of a host's budget of 8 KB/s.
	maxDemandsPerReport = 64
	// demandTimeConstant is the time constant with which measured demand decays.
	demandTimeConstant = 2 * time.Second
)

// Demand is the fraction of a team's limits that a host or zone could use. It
// may exceed 1.
type Demand struct {
	Team core.TeamName
	Part float64
}

// recordRequest counts a request towards the team's demand, whether or not it is
// admitted.
func (t *team) recordRequest(now time.Time, estimate core.Tokens) {
	if age := now.Sub(t.requestedAt); age > 0 {
		t.requestedTokens *= math.Exp(-float64(age) / float64(demandTimeConstant))
		t.requestedAt = now
	}
	t.requestedTokens += float64(estimate)
}

func (t *team) demand(now time.Time) float64 {
	age := max(0, now.Sub(t.requestedAt))
	rate := t.requestedTokens * math.Exp(-float64(age)/float64(demandTimeConstant)) / demandTimeConstant.Seconds()
	return max(rate/float64(max(1, t.row.TokensPerSecond)),
		float64(t.inFlight+t.waiting)/float64(max(1, t.row.MaxInFlight)))
}

// Demands returns the demand of the teams that may need more than an even
// fraction of their limits, the largest first.
func (c *Controller) Demands(now time.Time) []Demand {
	var list []Demand
	for name, t := range c.teams {
		if fraction := t.demand(now); fraction > unreportedFraction/float64(c.hosts) {
			list = append(list, Demand{Team: name, Part: fraction})
		}
	}
	slices.SortFunc(list, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Part, a.Part), cmp.Compare(a.Team, b.Team))
	})
	return list[:min(len(list), maxDemandsPerReport)]
}

type demandReport struct {
	fraction   float64
	reportedAt time.Time
}

// DemandReports holds the demand that was reported to the owner of a team's
// limits: by the hosts of a zone to the owner in that zone, or by the zones to the
// owner in the fleet.
type DemandReports struct {
	reports map[core.TeamName]map[string]demandReport
}

// NewDemandReports returns an empty DemandReports.
func NewDemandReports() *DemandReports {
	return &DemandReports{reports: make(map[core.TeamName]map[string]demandReport)}
}

// Record stores the demand of a host or zone, in place of its earlier report.
func (r *DemandReports) Record(now time.Time, from string, demands []Demand) {
	for _, demand := range demands {
		if r.reports[demand.Team] == nil {
			r.reports[demand.Team] = make(map[string]demandReport)
		}
		r.reports[demand.Team][from] = demandReport{fraction: demand.Part, reportedAt: now}
	}
}

// Expire drops reports that are older than a lease.
func (r *DemandReports) Expire(now time.Time) {
	for team, reports := range r.reports {
		for from, report := range reports {
			if now.Sub(report.reportedAt) > LeaseTime {
				delete(reports, from)
			}
		}
		if len(reports) == 0 {
			delete(r.reports, team)
		}
	}
}

// Totals returns the sum of the reported demand of each team, ordered by team.
func (r *DemandReports) Totals() []Demand {
	list := make([]Demand, 0, len(r.reports))
	for team, reports := range r.reports {
		total := 0.0
		for _, report := range reports {
			total += report.fraction
		}
		list = append(list, Demand{Team: team, Part: total})
	}
	slices.SortFunc(list, func(a, b Demand) int { return cmp.Compare(a.Team, b.Team) })
	return list
}

// Allotment returns the fraction of a team's limits that one of the members gets
// out of a base fraction. A member without a report counts with the demand that
// it need not report.
func (r *DemandReports) Allotment(team core.TeamName, from string, members []string, base float64) float64 {
	index := slices.Index(members, from)
	if index < 0 || base <= 0 {
		return 0
	}
	demands := make([]float64, len(members))
	for i, member := range members {
		demands[i] = unreportedFraction / float64(len(members))
		if report, found := r.reports[team][member]; found {
			demands[i] = report.fraction / base
		}
	}
	return base * Divide(demands)[index]
}
