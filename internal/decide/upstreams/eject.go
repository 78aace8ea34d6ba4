package upstreams

import (
	"cmp"
	"slices"
	"time"
)

const (
	// ejectedPart is the largest part of a pool that may be ejected; more
	// slow members mean that the work is slow, not the members.
	ejectedPart = 0.30
	// ejectRatio is how many times slower than the median a member must be.
	ejectRatio = 3
	// ejectSamples is the decayed number of samples needed to judge.
	ejectSamples = 3
	// ejectSlowInRow first tokens beyond the ratio, one after the other, eject
	// a member too. At the start of a slow spell the mean still holds many
	// usual samples.
	ejectSlowInRow = 3
	// ejectFailures in a row eject a member.
	ejectFailures = 3
	// firstEjection doubles with each one up to lastEjection. A slow spell
	// lasts seconds, and a probe after it costs few requests.
	firstEjection = 2 * time.Second
	lastEjection  = 30 * time.Second
	// returnTime is the time over which a member regains its full part.
	returnTime = 5 * time.Second
	// minRamp is the part of its load that a returning member starts with.
	minRamp = 0.1
)

// ejection is the state of one member.
type ejection struct {
	until time.Time
	times int
	// judged is false until the samples from before the return are forgotten.
	judged bool
}

// ramp returns the part of its usual load that a member should get: it grows
// from minRamp to 1 after an ejection has ended.
func (e *ejection) ramp(now time.Time) float64 {
	if e.until.IsZero() {
		return 1
	}
	since := float64(now.Sub(e.until)) / float64(returnTime)
	return max(minRamp, min(1, since))
}

func (e *ejection) eject(now time.Time) {
	e.until = now.Add(min(lastEjection, firstEjection<<min(e.times, 4)))
	e.times++
	e.judged = false
}

// badness returns how much slower than its peers a member is; 0 if it is not
// to be ejected.
func (m *Member) badness(now time.Time) float64 {
	if m.failures >= ejectFailures {
		return float64(ejectRatio * m.failures)
	}
	worst := 0.0
	if m.slowInRow >= ejectSlowInRow {
		worst = ejectRatio
	}
	if usual := m.group.usualFirstToken; usual > 0 {
		if m.firstToken.confidence(now) >= ejectSamples {
			worst = max(worst, m.firstToken.mean()/usual)
		}
		worst = max(worst, m.oldestPending(now).Seconds()/usual/2)
	}
	if usual := m.group.usualPace; usual > 0 && m.pace.confidence(now) >= ejectSamples && m.pace.mean() > 0 {
		worst = max(worst, usual/m.pace.mean())
	}
	if worst < ejectRatio {
		return 0
	}
	return worst
}

// forget drops what the member was judged by.
func (m *Member) forget() {
	m.failures = 0
	m.slowInRow = 0
	m.firstToken = average{}
	m.pace = average{}
}

// evaluate recomputes what is usual in a group and ejects its worst members,
// never more than the permitted part.
func (g *Group) evaluate(now time.Time) {
	g.measure(now)
	g.setLevel(now)
	allowed := int(ejectedPart * float64(len(g.subset)))
	bad := g.scratch[:0]
	for _, member := range g.subset {
		if !member.Ejected(now) && !member.ejection.judged {
			// Answers that came during the ejection tell about its cause.
			member.ejection.judged = true
			member.forget()
		}
		switch {
		case member.Ejected(now):
			allowed--
		case member.badness(now) > 0:
			bad = append(bad, member)
		case member.ejection.ramp(now) == 1 && now.Sub(member.ejection.until) > lastEjection:
			member.ejection.times = 0
		}
	}
	slices.SortStableFunc(bad, func(a, b *Member) int { return cmp.Compare(b.badness(now), a.badness(now)) })
	for _, member := range bad[:max(0, min(allowed, len(bad)))] {
		member.ejection.eject(now)
		member.forget()
	}
	g.scratch = bad[:0]
}

// measure recomputes the medians that members are compared with.
func (g *Group) measure(now time.Time) {
	g.usualFirstToken = g.median(func(m *Member) float64 {
		if m.firstToken.confidence(now) < 1 {
			return 0
		}
		return m.firstToken.mean()
	}, g.usualFirstToken)
	g.usualPace = g.median(func(m *Member) float64 {
		if m.pace.confidence(now) < 1 {
			return 0
		}
		return m.pace.mean()
	}, g.usualPace)
	g.usualBatch = g.median(func(m *Member) float64 { return float64(m.report.MaxRunning) }, max(1, g.usualBatch))
}

// median returns the median of the positive values, or otherwise if there is
// none.
func (g *Group) median(value func(*Member) float64, otherwise float64) float64 {
	values := g.values[:0]
	for _, member := range g.subset {
		if v := value(member); v > 0 {
			values = append(values, v)
		}
	}
	g.values = values
	if len(values) == 0 {
		return otherwise
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
