package placement

import (
	"math"
	"time"
)

const (
	// failureMemory is the time after which a failure counts half.
	failureMemory = 4 * time.Second
	// slownessMemory is the time after which a slowdown counts half; it changes
	// many times a second.
	slownessMemory = 300 * time.Millisecond
	// shunUnreachable is how long an upstream is avoided after a connection to
	// it could not be set up; it doubles with each further one.
	shunUnreachable = 400 * time.Millisecond
	// shunBroke is how long it is avoided after a connection broke.
	shunBroke = 250 * time.Millisecond
	// shunMost bounds the time for which an upstream is avoided, so that one
	// that returns is used again soon.
	shunMost = 3 * time.Second
	// shunFull is how long it is avoided after it refused work for lack of room.
	shunFull = 150 * time.Millisecond
	// shunMisdirected outlasts the lag of the list, which then names the
	// address's new owner.
	shunMisdirected = 3 * time.Second
	// maxStrikes bounds the doubling.
	maxStrikes = 4
)

// average is a mean whose samples lose weight with time.
type average struct {
	sum, weight float64
	at          time.Time
}

func (a *average) add(value float64, now time.Time, memory time.Duration) {
	a.decay(now, memory)
	a.sum += value
	a.weight++
}

func (a *average) decay(now time.Time, memory time.Duration) {
	if !a.at.IsZero() && now.After(a.at) {
		keep := math.Exp2(-float64(now.Sub(a.at)) / float64(memory))
		a.sum *= keep
		a.weight *= keep
	}
	a.at = now
}

// mean returns the mean, drawn towards prior by priorWeight samples of it.
func (a *average) mean(now time.Time, memory time.Duration, prior, priorWeight float64) float64 {
	a.decay(now, memory)
	return (a.sum + prior*priorWeight) / (a.weight + priorWeight)
}

// failureWeight is how much a signal counts as a failure of the upstream.
var failureWeight = map[Signal]float64{Failed: 0.4, Broke: 1, Silent: 1, Succeeded: 0, Full: 0.3}

// judge updates what is believed about the upstream's health.
func (u *unit) judge(signal Signal, now time.Time) {
	if weight, counted := failureWeight[signal]; counted {
		u.failures.add(weight, now, failureMemory)
	}
	switch signal {
	case Started, Succeeded, Failed:
		u.strikes = 0
	case Unreachable:
		u.strikes = min(u.strikes+1, maxStrikes)
		u.shun(now, shunUnreachable<<(u.strikes-1))
	case Broke, Silent:
		u.strikes = min(u.strikes+1, maxStrikes)
		u.shun(now, shunBroke<<(u.strikes-1))
	case Full:
		u.shun(now, shunFull)
	case Misdirected:
		u.shun(now, shunMisdirected)
	case Abandoned:
		// The caller's leaving says nothing about the upstream.
	}
}

func (u *unit) shun(now time.Time, length time.Duration) {
	if until := now.Add(min(length, shunMost)); until.After(u.shunUntil) {
		u.shunUntil = until
	}
}
