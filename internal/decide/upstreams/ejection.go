package upstreams

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxEjectedFraction bounds the members of a pool that are ejected at the
	// same time. If more of them are slow, the work is slow and not the
	// members.
	maxEjectedFraction = 0.30
	// outlierRatio is how many times slower than the median a member must be to
	// be ejected.
	outlierRatio = 3
	// minOutlierSamples is the decayed number of samples that a mean needs
	// before it is compared with the median.
	minOutlierSamples = 3
	// ejectAfterSlow is the number of consecutive slow first tokens that eject
	// a member too. At the start of a slow period the mean still contains many
	// normal samples.
	ejectAfterSlow = 3
	// ejectAfterFailures is the number of consecutive failures that eject a
	// member.
	ejectAfterFailures = 3
	// baseEjectionTime is the length of the first ejection. It doubles with
	// each further one up to maxEjectionTime. A slow period lasts seconds, and
	// a probe after it costs few requests.
	baseEjectionTime = 2 * time.Second
	maxEjectionTime  = 30 * time.Second
	// slowStartTime is the time over which a member regains its full load after
	// an ejection.
	slowStartTime = 5 * time.Second
	// minSlowStartFactor is the fraction of its load that a member gets at
	// first after an ejection.
	minSlowStartFactor = 0.1
)

// ejection is the ejection state of one member.
type ejection struct {
	until time.Time
	count int
	// samplesReset is false until the samples from before the end of the
	// ejection are dropped.
	samplesReset bool
}

// slowStartFactor returns the fraction of its usual load that a member should
// get. It grows from minSlowStartFactor to 1 after an ejection has ended.
func (e *ejection) slowStartFactor(now time.Time) float64 {
	if e.until.IsZero() {
		return 1
	}
	since := float64(now.Sub(e.until)) / float64(slowStartTime)
	return max(minSlowStartFactor, min(1, since))
}

func (e *ejection) eject(now time.Time) {
	e.until = now.Add(min(maxEjectionTime, baseEjectionTime<<min(e.count, 4)))
	e.count++
	e.samplesReset = false
}

// outlierScore returns how many times slower than its peers a member is, or a
// score that grows with its consecutive failures. It is 0 if the member is not
// to be ejected.
func (m *Member) outlierScore(now time.Time) float64 {
	if m.consecutiveFailures >= ejectAfterFailures {
		return float64(outlierRatio * m.consecutiveFailures)
	}
	score := 0.0
	if m.consecutiveSlow >= ejectAfterSlow {
		score = outlierRatio
	}
	if median := m.group.medianFirstToken; median > 0 {
		if m.firstToken.sampleCount(now) >= minOutlierSamples {
			score = max(score, m.firstToken.mean()/median)
		}
		score = max(score, m.oldestPending(now).Seconds()/median/2)
	}
	if median := m.group.medianTokenRate; median > 0 && m.tokenRate.sampleCount(now) >= minOutlierSamples && m.tokenRate.mean() > 0 {
		score = max(score, median/m.tokenRate.mean())
	}
	if score < outlierRatio {
		return 0
	}
	return score
}

// resetSamples drops the samples that the member is compared with its peers by.
func (m *Member) resetSamples() {
	m.consecutiveFailures = 0
	m.consecutiveSlow = 0
	m.firstToken = average{}
	m.tokenRate = average{}
}

// evaluate recomputes the medians of a group and ejects its worst outliers,
// never more than maxEjectedFraction of it.
func (g *Group) evaluate(now time.Time) {
	g.updateMedians(now)
	g.updateOtherLoad(now)
	ejectable := int(maxEjectedFraction * float64(len(g.subset)))
	outliers := g.scratch[:0]
	for _, member := range g.subset {
		if !member.Ejected(now) && !member.ejection.samplesReset {
			// Samples taken during the ejection belong to the slow period that
			// caused it.
			member.ejection.samplesReset = true
			member.resetSamples()
		}
		switch {
		case member.Ejected(now):
			ejectable--
		case member.outlierScore(now) > 0:
			outliers = append(outliers, member)
		case member.ejection.slowStartFactor(now) == 1 && now.Sub(member.ejection.until) > maxEjectionTime:
			member.ejection.count = 0
		}
	}
	slices.SortStableFunc(outliers, func(a, b *Member) int { return cmp.Compare(b.outlierScore(now), a.outlierScore(now)) })
	for _, member := range outliers[:max(0, min(ejectable, len(outliers)))] {
		member.ejection.eject(now)
		member.resetSamples()
	}
	g.scratch = outliers[:0]
}

// updateMedians recomputes the medians that members are compared with.
func (g *Group) updateMedians(now time.Time) {
	g.medianFirstToken = g.median(func(m *Member) float64 {
		if m.firstToken.sampleCount(now) < 1 {
			return 0
		}
		return m.firstToken.mean()
	}, g.medianFirstToken)
	g.medianTokenRate = g.median(func(m *Member) float64 {
		if m.tokenRate.sampleCount(now) < 1 {
			return 0
		}
		return m.tokenRate.mean()
	}, g.medianTokenRate)
	g.medianBatch = g.median(func(m *Member) float64 { return float64(m.report.MaxRunning) }, max(1, g.medianBatch))
}

// median returns the median of the positive values, or fallback if there is
// none.
func (g *Group) median(value func(*Member) float64, fallback float64) float64 {
	values := g.values[:0]
	for _, member := range g.subset {
		if v := value(member); v > 0 {
			values = append(values, v)
		}
	}
	g.values = values
	if len(values) == 0 {
		return fallback
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
