// Package shortage decides which requests a host refuses at once because requests of the
// same team have just been refused for want of tokens. It answers the load of a team that
// goes on sending when its balance is used up, or cannot be had: each of its requests asked
// the owners of every zone one after the other, and was refused after some 150 ms, often
// more than the eighth of the objective for which callers lose nothing by waiting.
package shortage

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
)

const (
	// lastingMemory is how long a refusal counts if its cause ends with the end of requests
	// or a top-up, and passingMemory if one call of the store or a peer may end it.
	lastingMemory = 600 * time.Millisecond
	passingMemory = 250 * time.Millisecond
	// hostProbeInterval is the time between two requests of a short team that ask the
	// owners all the same, for each host of the fleet: so that all hosts together notice
	// within some 20 ms that tokens have become free, and ask no more often than that. Each
	// host waits minProbeInterval at least, and maxProbeInterval at most.
	hostProbeInterval = 20 * time.Millisecond
	minProbeInterval  = 100 * time.Millisecond
	maxProbeInterval  = time.Second
	// maxTeams bounds the teams that are remembered.
	maxTeams = 4096
)

// Table has what one host knows of short teams. Its callers pass in the current time.
type Table[T any] struct {
	teams map[core.TeamName]*state[T]
	// probeInterval is the time between two requests of a short team that ask the owners.
	probeInterval time.Duration
}

type state[T any] struct {
	// amount is the smallest one that was refused, and detail what the refusal said.
	amount  core.Tokens
	detail  T
	until   time.Time
	probeAt time.Time
}

// New returns a table without teams. T is what is kept of a refusal.
func New[T any]() *Table[T] {
	return &Table[T]{teams: make(map[core.TeamName]*state[T]), probeInterval: minProbeInterval}
}

// SetHosts sets the number of hosts that look for tokens.
func (t *Table[T]) SetHosts(count int) {
	t.probeInterval = min(max(time.Duration(count)*hostProbeInterval, minProbeInterval), maxProbeInterval)
}

// Reset forgets all refusals, as after a change of the teams' totals.
func (t *Table[T]) Reset() { clear(t.teams) }

// Verdict tells what to do with a request.
type Verdict uint8

// The verdicts.
const (
	// Ask means that the owners are asked, and that the team is not known to be short.
	Ask Verdict = iota
	// Probe means that the owners are asked although the team is short.
	Probe
	// Refuse means that the request is refused at once.
	Refuse
)

// Decide tells what to do with a request for an amount, and what the latest refusal said.
// Smaller amounts than those that were refused are asked for, as they may still be had.
func (t *Table[T]) Decide(team core.TeamName, amount core.Tokens, now time.Time) (Verdict, T) {
	var none T
	known, found := t.teams[team]
	if !found {
		return Ask, none
	}
	switch {
	case now.After(known.until):
		delete(t.teams, team)
		return Ask, none
	case amount < known.amount:
		return Probe, none
	case !now.Before(known.probeAt):
		known.probeAt = now.Add(t.probeInterval)
		return Probe, none
	default:
		return Refuse, known.detail
	}
}

// Refused records that the owners did not grant an amount, and why.
func (t *Table[T]) Refused(team core.TeamName, amount core.Tokens, cause allowance.Cause, detail T, now time.Time) {
	known, found := t.teams[team]
	if !found {
		if len(t.teams) >= maxTeams {
			t.forget(now)
		}
		if len(t.teams) >= maxTeams {
			return
		}
		known = &state[T]{amount: amount, probeAt: now.Add(t.probeInterval)}
		t.teams[team] = known
	}
	known.amount, known.detail = min(known.amount, amount), detail
	if until := now.Add(t.memory(cause)); until.After(known.until) {
		known.until = until
	}
}

// Granted records that the owners granted an amount to a team that was short. Smaller
// amounts than those that were refused tell nothing about these.
func (t *Table[T]) Granted(team core.TeamName, amount core.Tokens) {
	if known, found := t.teams[team]; found && amount >= known.amount {
		delete(t.teams, team)
	}
}

// Short returns the number of teams that are short.
func (t *Table[T]) Short(now time.Time) int {
	t.forget(now)
	return len(t.teams)
}

func (t *Table[T]) forget(now time.Time) {
	for team, known := range t.teams {
		if now.After(known.until) {
			delete(t.teams, team)
		}
	}
}

// memory returns how long a refusal counts. Where hosts ask less often, it lasts until the
// next request asks.
func (t *Table[T]) memory(cause allowance.Cause) time.Duration {
	switch cause {
	case allowance.CauseInDoubt, allowance.CauseStoreReturn, allowance.CauseReserved, allowance.CauseUnreachable, allowance.CauseSpent:
		return max(lastingMemory, t.probeInterval+t.probeInterval/2)
	default:
		return passingMemory
	}
}
