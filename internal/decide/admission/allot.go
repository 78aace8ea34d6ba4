package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// LeaseTime is how long an allotment holds. Limits of teams are soft, so
	// a lease may expire without agreement.
	LeaseTime = 2 * time.Second
	// quietPart of an even part is what a host may use without reporting
	// demand. Most teams stay below it and cost no messages.
	quietPart = 0.5
	// maxDemands bounds one report; 64 of some 30 bytes a second are a
	// quarter of a host's 8 KB/s.
	maxDemands = 64
	// askedLifetime is the time constant of the measured demand.
	askedLifetime = 2 * time.Second
)

// Demand is the part of a team's limits that a host or zone could use. It may
// exceed 1.
type Demand struct {
	Team core.TeamName
	Part float64
}

// ask notes work that a team asks for, whether or not it is let in.
func (t *team) ask(now time.Time, estimate core.Tokens) {
	if age := now.Sub(t.askedAt); age > 0 {
		t.asked *= math.Exp(-float64(age) / float64(askedLifetime))
		t.askedAt = now
	}
	t.asked += float64(estimate)
}

func (t *team) demand(now time.Time) float64 {
	age := max(0, now.Sub(t.askedAt))
	rate := t.asked * math.Exp(-float64(age)/float64(askedLifetime)) / askedLifetime.Seconds()
	return max(rate/float64(max(1, t.row.TokensPerSecond)),
		float64(t.inFlight+t.waiting)/float64(max(1, t.row.MaxInFlight)))
}

// Demands returns the demand of the teams that may need more than an even
// part, the largest first.
func (m *Machine) Demands(now time.Time) []Demand {
	var list []Demand
	for name, t := range m.teams {
		if part := t.demand(now); part > quietPart/float64(m.hosts) {
			list = append(list, Demand{Team: name, Part: part})
		}
	}
	slices.SortFunc(list, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Part, a.Part), cmp.Compare(a.Team, b.Team))
	})
	return list[:min(len(list), maxDemands)]
}

type claim struct {
	part float64
	at   time.Time
}

// Ledger holds the demand that hosts reported to the owner of a team's limits
// in a zone, or that zones reported to the owner in the fleet.
type Ledger struct {
	claims map[core.TeamName]map[string]claim
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{claims: make(map[core.TeamName]map[string]claim)}
}

// Report notes the demand of a host or zone.
func (l *Ledger) Report(now time.Time, from string, demands []Demand) {
	for _, demand := range demands {
		if l.claims[demand.Team] == nil {
			l.claims[demand.Team] = make(map[string]claim)
		}
		l.claims[demand.Team][from] = claim{part: demand.Part, at: now}
	}
}

// Forget drops demand that is older than a lease.
func (l *Ledger) Forget(now time.Time) {
	for team, claims := range l.claims {
		for from, c := range claims {
			if now.Sub(c.at) > LeaseTime {
				delete(claims, from)
			}
		}
		if len(claims) == 0 {
			delete(l.claims, team)
		}
	}
}

// Total returns the reported demand of each team, by name.
func (l *Ledger) Total() []Demand {
	list := make([]Demand, 0, len(l.claims))
	for team, claims := range l.claims {
		total := 0.0
		for _, c := range claims {
			total += c.part
		}
		list = append(list, Demand{Team: team, Part: total})
	}
	slices.SortFunc(list, func(a, b Demand) int { return cmp.Compare(a.Team, b.Team) })
	return list
}

// Part returns what one of the members gets of a base part of a team's limits.
// Members that reported nothing count with the part they may use unreported.
func (l *Ledger) Part(team core.TeamName, from string, members []string, base float64) float64 {
	index := slices.Index(members, from)
	if index < 0 || base <= 0 {
		return 0
	}
	demands := make([]float64, len(members))
	for i, member := range members {
		demands[i] = quietPart / float64(len(members))
		if c, found := l.claims[team][member]; found {
			demands[i] = c.part / base
		}
	}
	return base * Divide(demands)[index]
}
