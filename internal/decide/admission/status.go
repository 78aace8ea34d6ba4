package admission

import (
	"cmp"
	"slices"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
)

// PoolStatus is the state of a pool as shown to operators.
type PoolStatus struct {
	Pool          upstreams.Pool
	Slots         int
	RunningShort  int
	RunningLong   int
	WaitingTokens core.Tokens
	// SlotRate is the tokens per second that one slot serves, or 0 if unknown.
	SlotRate float64
}

// TeamStatus is the state of a team with requests on this host.
type TeamStatus struct {
	Team        core.TeamName
	InFlight    int
	Waiting     int
	MaxInFlight int
	// Rate is this host's fraction of the team's tokens per second.
	Rate float64
}

// Status is the state of admission as shown to operators.
type Status struct {
	Waiting int
	Pools   []PoolStatus
	Teams   []TeamStatus
}

// Status returns the pools, and the teams that have requests on this host, both
// ordered by name.
func (c *Controller) Status() Status {
	status := Status{Waiting: c.waiting}
	for name, p := range c.pools {
		status.Pools = append(status.Pools, PoolStatus{
			Pool: name, Slots: p.capacity, RunningShort: p.running[short], RunningLong: p.running[long],
			WaitingTokens: p.waitingTokens[short] + p.waitingTokens[long], SlotRate: p.slotRate(),
		})
	}
	for name, t := range c.teams {
		if t.inFlight+t.waiting > 0 {
			status.Teams = append(status.Teams, TeamStatus{
				Team: name, InFlight: t.inFlight, Waiting: t.waiting, MaxInFlight: t.maxInFlight, Rate: t.rate,
			})
		}
	}
	slices.SortFunc(status.Pools, func(a, b PoolStatus) int {
		return cmp.Or(cmp.Compare(a.Pool.Model, b.Pool.Model), cmp.Compare(a.Pool.Service, b.Pool.Service))
	})
	slices.SortFunc(status.Teams, func(a, b TeamStatus) int { return cmp.Compare(a.Team, b.Team) })
	return status
}
