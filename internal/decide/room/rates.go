package room

import (
	"math"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// rateHalfLife is the time after which an event counts half in a rate. Answers take a
	// few seconds, and a host with 3 requests a second needs as long for a usable rate.
	rateHalfLife = 3 * time.Second
	// ratioHalfLife is the same for what kinds and teams were served. It covers several
	// answers of a team that sends one request in a few seconds.
	ratioHalfLife = 20 * time.Second
	// pressureHalfLife smooths the expected waits: reports of load are 200 ms old.
	pressureHalfLife = 300 * time.Millisecond
	// minSample is the number of requests from which a ratio is taken for what it says.
	minSample = 4
)

// decaying is a sum whose terms lose weight exponentially with time.
type decaying struct {
	sum float64
	at  time.Time
}

func (d *decaying) value(now time.Time, halfLife time.Duration) float64 {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		if d.sum != 0 {
			d.sum *= math.Exp2(-float64(elapsed) / float64(halfLife))
		}
		d.at = now
	}
	return d.sum
}

func (d *decaying) add(term float64, now time.Time, halfLife time.Duration) {
	d.value(now, halfLife)
	d.sum += term
}

// perSecond returns the rate of events of which each has added 1.
func (d *decaying) perSecond(now time.Time) float64 {
	return d.value(now, rateHalfLife) * math.Ln2 / rateHalfLife.Seconds()
}

// served counts what a group of requests asked for and got. Callers that return are not
// counted as asking again.
type served struct{ asked, got decaying }

func (s *served) ask(now time.Time) { s.asked.add(1, now, ratioHalfLife) }
func (s *served) get(now time.Time) { s.got.add(1, now, ratioHalfLife) }

// below reports whether the group is served less often than a fraction of another one.
func (s *served) below(fraction float64, all *served, now time.Time) bool {
	asked, allAsked := s.asked.value(now, ratioHalfLife), all.asked.value(now, ratioHalfLife)
	if asked < minSample || allAsked < minSample {
		return false
	}
	return s.got.value(now, ratioHalfLife)*allAsked < fraction*all.got.value(now, ratioHalfLife)*asked
}

const (
	// largeQuantile is the quantile of sizes from which a request of its kind is large, and
	// quantileStep the relative step with which the estimate follows.
	largeQuantile = 0.9
	quantileStep  = 0.05
	// usualFades is the relative loss in a second of the longest time left that requests of
	// a kind arrived with, so that a change of what callers state is followed.
	usualFades = 0.01
	// workWeight is the weight of an answer's duration in the mean of its kind.
	workWeight = 0.05
)

// kind is what is known of the requests of a route.
type kind struct {
	all, large served
	// largeFrom is the estimated size of the smallest of the largest tenth.
	largeFrom float64
	// usual is the time left with which requests arrive that were not refused before.
	usual   time.Duration
	usualAt time.Time
	// work is the mean time from sending a request to the end of its answer.
	work time.Duration
}

// isLarge reports whether a request is among the largest tenth of its kind.
func (k *kind) isLarge(tokens core.Tokens) bool {
	size := float64(tokens)
	if k.largeFrom == 0 {
		k.largeFrom = max(size, 1)
	}
	if size >= k.largeFrom {
		k.largeFrom *= 1 + quantileStep*largeQuantile
		return true
	}
	k.largeFrom *= 1 - quantileStep*(1-largeQuantile)
	return false
}

// returns reports whether a request that arrives with a time left was refused before.
func (k *kind) returns(left time.Duration, now time.Time) bool {
	if elapsed := now.Sub(k.usualAt); elapsed > 0 {
		k.usual = time.Duration(float64(k.usual) * max(1-usualFades*elapsed.Seconds(), 0))
		k.usualAt = now
	}
	k.usual = max(k.usual, left)
	return k.usual-left > roundTrip
}

func (k *kind) ended(duration time.Duration) {
	if k.work == 0 {
		k.work = duration
	}
	k.work += time.Duration(workWeight * float64(duration-k.work))
}

// team is what is known of a team's requests.
type team struct {
	all     served
	tokens  decaying
	refused decaying
}
