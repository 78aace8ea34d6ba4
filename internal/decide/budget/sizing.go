package budget

import (
	"math"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// demandCoverage is how much demand a share covers: long enough that a
	// host draws on a budget about once in ten seconds, short enough that a
	// crashed host strands little.
	demandCoverage = 10 * time.Second
	// lowWatermarkDivisor divides the target to give the level at which the
	// next draw starts: 2.5 s of demand, many times the duration of a draw.
	lowWatermarkDivisor = 4
	// demandWindow is the time constant of the moving average of demand.
	demandWindow = 5 * time.Second
	// IdleAfter is how long a share is unused before its tokens are returned.
	IdleAfter = time.Minute
	// StrandedAfter is how long a share may go without renewal before it is
	// shown to operators as stranded.
	StrandedAfter = 30 * time.Second
	// RenewInterval allows two failed renewals before a share is shown as
	// stranded.
	RenewInterval = 10 * time.Second
)

// demandEstimate is an exponentially decaying average of tokens per second.
type demandEstimate struct {
	rate    float64
	updated time.Time
}

func (d *demandEstimate) add(amount core.Tokens, now time.Time) {
	d.rate = d.rateAt(now) + float64(amount)/demandWindow.Seconds()
	d.updated = now
}

func (d *demandEstimate) rateAt(now time.Time) float64 {
	elapsed := now.Sub(d.updated).Seconds()
	if elapsed <= 0 {
		return d.rate
	}
	return d.rate * math.Exp(-elapsed/demandWindow.Seconds())
}

// targetTokens returns the tokens that cover the demand for demandCoverage.
func (d *demandEstimate) targetTokens(now time.Time) core.Tokens {
	return core.Tokens(d.rateAt(now) * demandCoverage.Seconds())
}

// FleetSize is the size of the fleet among which a budget is divided.
type FleetSize struct {
	Zones int
	// Hosts counts the live hosts of the requester's zone.
	Hosts int
}

// DrawSize returns how much of the remaining tokens a draw is granted. Need
// covers the reservations that wait at the host, want also its estimated
// demand. What is granted beyond need is bounded: a zone gets at most
// 1/(2 × zones) of what remains, divided by its hosts, so that draws shrink
// towards the end of the budget and any host can draw the last tokens. Need
// may exceed that bound.
func DrawSize(need, want, remaining core.Tokens, fleet FleetSize) core.Tokens {
	if remaining <= 0 || (need <= 0 && want <= 0) {
		return 0
	}
	parts := core.Tokens(2 * max(fleet.Zones, 1) * max(fleet.Hosts, 1))
	return min(remaining, max(need, min(want, remaining/parts)))
}
