package upstreams

import (
	"math"
	"time"
)

// averageTimeConstant is the time constant of decaying averages. A slow period
// of an upstream lasts several seconds, so an average must follow within a few.
const averageTimeConstant = 4 * time.Second

// average is a mean whose samples lose weight exponentially with age.
type average struct {
	sum       float64
	weight    float64
	updatedAt time.Time
}

func (a *average) decayFactor(now time.Time) float64 {
	age := now.Sub(a.updatedAt)
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(averageTimeConstant))
}

func (a *average) add(now time.Time, sample float64) {
	factor := a.decayFactor(now)
	a.sum = a.sum*factor + sample
	a.weight = a.weight*factor + 1
	a.updatedAt = now
}

// mean returns the mean, or 0 if there was no sample.
func (a *average) mean() float64 {
	if a.weight == 0 {
		return 0
	}
	return a.sum / a.weight
}

// sampleCount returns the decayed number of samples.
func (a *average) sampleCount(now time.Time) float64 {
	return a.weight * a.decayFactor(now)
}
