package budget

import (
	"math"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// coverage is the demand that a share covers: long enough that the table
	// sees one draw per budget and host in ten seconds, short enough that a
	// host death strands little.
	coverage = 10 * time.Second
	// lowPart of the covered demand is left when the next draw starts, which
	// is 2.5 s of demand and many times the duration of a draw.
	lowPart = 4
	// demandWindow is the time constant of the demand estimate.
	demandWindow = 5 * time.Second
	// IdleAfter is how long a share stays unused before it is returned.
	IdleAfter = time.Minute
	// StrandedAfter is how long a share may stay unrenewed before operators
	// see it as stranded.
	StrandedAfter = 30 * time.Second
	// RenewEvery leaves two failed renewals before a share looks stranded.
	RenewEvery = 10 * time.Second
)

// demand estimates tokens per second with exponential forgetting.
type demand struct {
	rate    float64
	updated time.Time
}

func (d *demand) add(amount core.Tokens, now time.Time) {
	d.rate = d.perSecond(now) + float64(amount)/demandWindow.Seconds()
	d.updated = now
}

func (d *demand) perSecond(now time.Time) float64 {
	elapsed := now.Sub(d.updated).Seconds()
	if elapsed <= 0 {
		return d.rate
	}
	return d.rate * math.Exp(-elapsed/demandWindow.Seconds())
}

func (d *demand) covered(now time.Time) core.Tokens {
	return core.Tokens(d.perSecond(now) * coverage.Seconds())
}

// Fleet is the number of hosts among which a budget is divided.
type Fleet struct {
	Zones int
	// Hosts counts the live hosts of the requester's zone.
	Hosts int
}

// Size returns how much of what remains a draw gets. Need is what waits at
// the host now and want is what would cover its demand. The part of one zone
// is at most 1/(2 × zones) of what remains and is divided over its hosts, so
// that sizes shrink as the budget ends and the last tokens stay where any
// host can draw them; need alone may exceed that bound.
func Size(need, want, remaining core.Tokens, fleet Fleet) core.Tokens {
	if remaining <= 0 || (need <= 0 && want <= 0) {
		return 0
	}
	parts := core.Tokens(2 * max(fleet.Zones, 1) * max(fleet.Hosts, 1))
	return min(remaining, max(need, min(want, remaining/parts)))
}
