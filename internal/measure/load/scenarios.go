package load

import "time"

// The lag of load reports, usually and in the load with stragglers.
const (
	usualReportLag      = 500 * time.Millisecond
	stragglersReportLag = 2 * time.Second
)

// Comparison holds the results of the product and the baselines on one load.
type Comparison struct {
	Product          Result
	RoundRobin       Result
	LeastConnections Result
}

func compare(l load) Comparison {
	return Comparison{
		Product:          run(l, "product", newProduct),
		RoundRobin:       run(l, "round-robin", newRoundRobin),
		LeastConnections: run(l, "least-conn", newLeastConnections),
	}
}

// Crest simulates a demand surge to ten times the usual rate: demand rises
// within 2 s and stays high for 20 s, while the engines have capacity for four
// times the usual rate. Goodput is measured from the time at which demand
// exceeds the capacity.
func Crest(seed uint64) Comparison {
	return compare(crestLoad(seed))
}

func crestLoad(seed uint64) load {
	const surgeAt, peakFactor, ramp, plateau = 10 * time.Second, 10, 2 * time.Second, 20 * time.Second
	usualRate := shortCapacity / 4
	rate := func(at time.Duration) float64 {
		rise := min(1, max(0, float64(at-surgeAt)/float64(ramp)))
		fall := min(1, max(0, float64(at-surgeAt-ramp-plateau)/float64(ramp)))
		return usualRate * (1 + (peakFactor-1)*(rise-fall))
	}
	const overloadAt = surgeAt + ramp*(4-1)/(peakFactor-1)
	return load{
		seed: seed, rate: rate, peakRate: usualRate * peakFactor,
		shortDeadline: 2 * time.Second, reportLag: usualReportLag,
		duration: surgeAt + 2*ramp + plateau + 10*time.Second, measureFrom: overloadAt, measureTo: surgeAt + ramp + plateau,
	}
}

// HeadOfLineResult holds the results of a load with and without its long jobs.
type HeadOfLineResult struct {
	Mixed Comparison
	// ShortOnly is the product's result with the same short jobs and no long ones.
	ShortOnly Result
	// SameLoad is the product's result with short jobs only, at a rate that needs
	// the same total engine time as the mixed load.
	SameLoad Result
}

// headOfLineUtilization is the load as a fraction of the engines' capacity.
const headOfLineUtilization = 0.85

// HeadOfLine simulates a constant load of 85% of the engines' capacity in which
// 5% of the jobs are 50 times longer than the rest.
func HeadOfLine(seed uint64) HeadOfLineResult {
	l := headOfLineLoad(seed)
	result := HeadOfLineResult{Mixed: compare(l)}
	l.dropLong = true
	result.ShortOnly = run(l, "short-only", newProduct)
	l = headOfLineLoad(seed)
	l.longFraction, l.peakRate = 0, headOfLineUtilization*shortCapacity
	l.rate = func(time.Duration) float64 { return l.peakRate }
	result.SameLoad = run(l, "same-load", newProduct)
	return result
}

func headOfLineLoad(seed uint64) load {
	const longFraction = 0.05
	rate := headOfLineUtilization * shortCapacity / (1 - longFraction + longFraction*longFactor)
	return load{
		seed: seed, rate: func(time.Duration) float64 { return rate }, peakRate: rate, longFraction: longFraction,
		shortDeadline: 5 * time.Second, longDeadline: 5 * time.Minute, reportLag: usualReportLag,
		duration: 4 * time.Minute, measureFrom: time.Minute, measureTo: 4 * time.Minute,
	}
}

// StragglersResult holds the results of a load with and without stragglers.
type StragglersResult struct {
	Slow Comparison
	// Steady is the product's result without stragglers.
	Steady Result
}

// Stragglers simulates a constant load of 60% of the engines' capacity while
// two of the ten engines are ten times slower for 5 s of each 20 s, at different
// times, and load reports are 2 s late.
func Stragglers(seed uint64) StragglersResult {
	l := stragglersLoad(seed)
	result := StragglersResult{Slow: compare(l)}
	l.speed = nil
	result.Steady = run(l, "steady", newProduct)
	return result
}

func stragglersLoad(seed uint64) load {
	const utilization, slowFor, period = 0.60, 5 * time.Second, 20 * time.Second
	rate := utilization * shortCapacity
	return load{
		seed: seed, rate: func(time.Duration) float64 { return rate }, peakRate: rate,
		shortDeadline: 10 * time.Second, reportLag: stragglersReportLag,
		duration: 3 * time.Minute, measureFrom: time.Minute, measureTo: 3 * time.Minute,
		speed: func(engine int, now time.Duration) float64 {
			offset := time.Duration(engine) * 7 * time.Second
			if (engine == 2 || engine == 7) && (now+offset)%period < slowFor {
				return 0.1
			}
			return 1
		},
	}
}
