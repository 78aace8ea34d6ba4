package placement

import (
	"math"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// failureHalfLife is the time after which a failure counts half as much.
	failureHalfLife = 4 * time.Second
	// slowdownHalfLife is the time after which a reported slowdown counts half as
	// much. It is short because the slowdown changes many times a second.
	slowdownHalfLife = 300 * time.Millisecond
	// cooldownUnreachable is the cooldown after a connection could not be
	// established; it doubles with each consecutive failure.
	cooldownUnreachable = 400 * time.Millisecond
	// cooldownBroke is the cooldown after a connection broke or was silent for too
	// long; it doubles likewise.
	cooldownBroke = 250 * time.Millisecond
	// maxCooldown bounds each cooldown, so that an upstream that recovers is used
	// again soon.
	maxCooldown = 3 * time.Second
	// cooldownFull is the cooldown after the upstream refused work because it was
	// full.
	cooldownFull = 150 * time.Millisecond
	// cooldownMisdirected is the cooldown after another upstream answered at the
	// address. It exceeds the lag of the upstream list, which afterwards names the
	// address's new owner.
	cooldownMisdirected = 3 * time.Second
	// maxConnectionFailures bounds how often a cooldown doubles.
	maxConnectionFailures = 4
)

// decayingMean is a mean whose samples lose weight exponentially with time.
type decayingMean struct {
	sum, weight float64
	at          time.Time
}

func (a *decayingMean) add(value float64, now time.Time, halfLife time.Duration) {
	a.decay(now, halfLife)
	a.sum += value
	a.weight++
}

func (a *decayingMean) decay(now time.Time, halfLife time.Duration) {
	if !a.at.IsZero() && now.After(a.at) {
		keep := math.Exp2(-float64(now.Sub(a.at)) / float64(halfLife))
		a.sum *= keep
		a.weight *= keep
	}
	a.at = now
}

// mean returns the mean of the samples and of priorWeight more samples with the
// value prior.
func (a *decayingMean) mean(now time.Time, halfLife time.Duration, prior, priorWeight float64) float64 {
	a.decay(now, halfLife)
	return (a.sum + prior*priorWeight) / (a.weight + priorWeight)
}

// failureWeight is how much a signal counts as a failure of the upstream.
var failureWeight = map[Signal]float64{Failed: 0.4, Broke: 1, ClosedEarly: 1, Stalled: 1, Silent: 1, Succeeded: 0, Full: 0.3}

// updateHealth updates the health estimate of an upstream from a signal.
func (u *upstreamState) updateHealth(signal Signal, now time.Time) {
	if weight, counted := failureWeight[signal]; counted {
		u.failureRatio.add(weight, now, failureHalfLife)
	}
	switch signal {
	case Started, Progressed, Succeeded, Failed:
		u.connectionFailures = 0
	case Unreachable:
		u.connectionFailures = min(u.connectionFailures+1, maxConnectionFailures)
		u.startCooldown(now, cooldownUnreachable<<(u.connectionFailures-1))
	case Broke, ClosedEarly, Stalled, Silent:
		u.connectionFailures = min(u.connectionFailures+1, maxConnectionFailures)
		u.startCooldown(now, cooldownBroke<<(u.connectionFailures-1))
	case Full:
		u.startCooldown(now, cooldownFull)
	case Misdirected:
		u.startCooldown(now, cooldownMisdirected)
	case Connected:
		// An upstream that accepts connections may still not answer.
	case Abandoned:
		// A caller that disconnects says nothing about the upstream's health.
	}
}

// ClearCooldowns ends the cooldowns of a service's upstreams, as it is known that the links
// of this host were the cause.
func (b *LoadBalancer) ClearCooldowns(service core.ServiceName) {
	for _, u := range b.byService[service] {
		u.connectionFailures, u.cooldownUntil = 0, time.Time{}
	}
}

func (u *upstreamState) startCooldown(now time.Time, duration time.Duration) {
	if until := now.Add(min(duration, maxCooldown)); until.After(u.cooldownUntil) {
		u.cooldownUntil = until
	}
}
