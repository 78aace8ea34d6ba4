package load

import "time"

// The usual lag of load reports, and that of the load with stragglers.
const (
	usualLag     = 500 * time.Millisecond
	stragglerLag = 2 * time.Second
)

// Comparison is one load under the product's decisions and the baselines.
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

// Crest is a swing of demand to ten times the usual within 2 s, for 20 s,
// while the engines can do four times the usual. Goodput counts from the
// moment that demand exceeds what the engines can do.
func Crest(seed uint64) Comparison {
	return compare(crestLoad(seed))
}

func crestLoad(seed uint64) load {
	const swing, height, ramp, top = 10 * time.Second, 10, 2 * time.Second, 20 * time.Second
	usual := shortCapacity / 4
	rate := func(at time.Duration) float64 {
		up := min(1, max(0, float64(at-swing)/float64(ramp)))
		down := min(1, max(0, float64(at-swing-ramp-top)/float64(ramp)))
		return usual * (1 + (height-1)*(up-down))
	}
	const exceeded = swing + ramp*(4-1)/(height-1)
	return load{
		seed: seed, rate: rate, peakRate: usual * height,
		shortDeadline: 2 * time.Second, reportLag: usualLag,
		length: swing + 2*ramp + top + 10*time.Second, from: exceeded, to: swing + ramp + top,
	}
}

// HeadOfLineResult is a load with and without the long jobs in it.
type HeadOfLineResult struct {
	Mixed Comparison
	// ShortOnly is the product with the same short jobs and no long ones.
	ShortOnly Result
	// SameLoad is the product with short jobs that are as much work together
	// as the mixed load.
	SameLoad Result
}

// headOfLineUsed is the load as a part of what the engines can do.
const headOfLineUsed = 0.85

// HeadOfLine is a steady load of 85% of what the engines can do, in which 5%
// of the jobs are 50 times longer than the rest.
func HeadOfLine(seed uint64) HeadOfLineResult {
	l := headOfLineLoad(seed)
	result := HeadOfLineResult{Mixed: compare(l)}
	l.dropLong = true
	result.ShortOnly = run(l, "short-only", newProduct)
	l = headOfLineLoad(seed)
	l.longPart, l.peakRate = 0, headOfLineUsed*shortCapacity
	l.rate = func(time.Duration) float64 { return l.peakRate }
	result.SameLoad = run(l, "same-load", newProduct)
	return result
}

func headOfLineLoad(seed uint64) load {
	const longPart = 0.05
	rate := headOfLineUsed * shortCapacity / (1 - longPart + longPart*longFactor)
	return load{
		seed: seed, rate: func(time.Duration) float64 { return rate }, peakRate: rate, longPart: longPart,
		shortDeadline: 5 * time.Second, longDeadline: 5 * time.Minute, reportLag: usualLag,
		length: 4 * time.Minute, from: time.Minute, to: 4 * time.Minute,
	}
}

// StragglersResult is a load with and without stragglers.
type StragglersResult struct {
	Slow Comparison
	// Steady is the product without stragglers.
	Steady Result
}

// Stragglers is a steady load of 60% while two of the ten engines are ten
// times slower for 5 s of each 20 s, not at once, and reports are 2 s late.
func Stragglers(seed uint64) StragglersResult {
	l := stragglersLoad(seed)
	result := StragglersResult{Slow: compare(l)}
	l.slow = nil
	result.Steady = run(l, "steady", newProduct)
	return result
}

func stragglersLoad(seed uint64) load {
	const used, spell, period = 0.60, 5 * time.Second, 20 * time.Second
	rate := used * shortCapacity
	return load{
		seed: seed, rate: func(time.Duration) float64 { return rate }, peakRate: rate,
		shortDeadline: 10 * time.Second, reportLag: stragglerLag,
		length: 3 * time.Minute, from: time.Minute, to: 3 * time.Minute,
		slow: func(engine int, at time.Duration) float64 {
			offset := time.Duration(engine) * 7 * time.Second
			if (engine == 2 || engine == 7) && (at+offset)%period < spell {
				return 0.1
			}
			return 1
		},
	}
}
