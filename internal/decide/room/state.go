package room

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// sweepInterval is the time between two looks at all teams.
	sweepInterval = time.Second
	// enoughAfter is the time without a refusal after which room is no longer short.
	enoughAfter = 2 * time.Second
	// activeTokens and forgottenRequests are what a team or its requests weigh at least to
	// share what is short, and to be remembered.
	activeTokens      = 1.0
	forgottenRequests = 0.01
)

// Counts are decisions by rank since the start.
type Counts struct {
	Sent, Returned [Ranks]uint64
	// Refused is also by cause; Dismissed are those of them without a return time.
	Refused   [Ranks][len(Causes)]uint64
	Dismissed [Ranks]uint64
}

func (t *Table) count(rank int, verdict Verdict) {
	switch {
	case verdict.Send && verdict.Returning:
		t.counts.Returned[rank]++
	case verdict.Send:
		t.counts.Sent[rank]++
	default:
		t.counts.Refused[rank][verdict.Cause]++
		if verdict.ReturnIn == 0 {
			t.counts.Dismissed[rank]++
		}
	}
}

// Counts returns the decisions since the start.
func (t *Table) Counts() Counts { return t.counts }

// State is whether room is short, and for whom.
type State struct {
	Short bool
	// FreePerSecond is the rate at which this host's attempts end.
	FreePerSecond float64
	Pressure      float64
	// Team was refused most lately.
	Team core.TeamName
}

// State returns whether room is short now. Its Team is not set.
func (t *Table) State(now time.Time) State {
	return State{
		Short: !t.shortAt.IsZero() && now.Sub(t.shortAt) < enoughAfter, FreePerSecond: t.free(now), Pressure: t.Pressure(now),
	}
}

// Tick looks at all teams once in sweepInterval. It returns the state, and true if it has
// changed between short and enough.
func (t *Table) Tick(now time.Time) (State, bool) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return State{}, false
	}
	t.sweptAt, t.activeTeams = now, 0
	state := t.State(now)
	most := 0.0
	for name, known := range t.teams {
		if known.tokens.value(now, ratioHalfLife) >= activeTokens {
			t.activeTeams++
		}
		if refused := known.refused.value(now, rateHalfLife); refused > most {
			most, state.Team = refused, name
		}
		if known.all.asked.value(now, ratioHalfLife) < forgottenRequests {
			delete(t.teams, name)
		}
	}
	changed := state.Short != t.short
	t.short = state.Short
	return state, changed
}
