package room

import "time"

const (
	// planInterval is the time for which the shares of the ranks hold.
	planInterval = 50 * time.Millisecond
	// aim is the expected wait, as a fraction of MaxWait, at which as much is sent as ends,
	// and gain how much more or less is sent per unit of difference. A higher gain lets
	// hosts that read the same old reports swing together.
	aim  = 0.4
	gain = 0.8
	// minScale and maxScale bound the effect of one plan.
	minScale, maxScale = 0.2, 1.5
	// returnShare is the part of what becomes free that callers which return get before
	// all others. The rest keeps requests that only look like returning ones from taking
	// all.
	returnShare = 0.7
	// maxCredit bounds what a rank saves up, and sparedCredit is what teams that have had
	// more than others leave of it.
	maxCredit    = 4.0
	sparedCredit = 2.0
	// entitledDebt is how far requests overdraw to which a floor entitles their group.
	entitledDebt = 3.0
	// returnBurst is the time of becoming free places that callers which return may take at
	// once.
	returnBurst = 0.5
)

// plan is how what becomes free is divided.
type plan struct {
	at time.Time
	// share is the part of the arrivals of each rank that is sent.
	share [Ranks]float64
	// credit is what each rank may send now, in requests.
	credit [Ranks]float64
	// returns is what callers that return may send now.
	returns float64
}

// replan divides what becomes free: each rank gets a part of its arrivals, the rest goes to
// the most urgent first.
func (t *Table) replan(now time.Time) {
	p := &t.plan
	elapsed := now.Sub(p.at)
	if elapsed < planInterval {
		return
	}
	p.at = now
	free := t.free(now)
	p.returns = min(p.returns+returnShare*free*elapsed.Seconds(), max(1, returnShare*free*returnBurst))
	var rates [Ranks]float64
	arrivals := 0.0
	for rank := range rates {
		rates[rank] = t.arrivals[rank].perSecond(now)
		arrivals += rates[rank]
	}
	scale := min(max(1+gain*(aim-t.Pressure(now)), minScale), maxScale)
	available := max(free*scale-t.returned.perSecond(now), 0)
	overall := 1.0
	if arrivals > 0 {
		overall = min(available/arrivals, 1)
	}
	left := available * (1 - kindFloor)
	for rank, rate := range rates {
		p.share[rank] = kindFloor * overall
		if rate > 0 {
			extra := min(left, rate*(1-p.share[rank]))
			left -= extra
			p.share[rank] += extra / rate
		}
	}
}

// take takes a request of a rank from what the rank may send. over is true if its team has
// had more than others, entitled if its group has had too little.
func (p *plan) take(rank int, entitled, over bool) bool {
	p.credit[rank] = min(p.credit[rank]+p.share[rank], maxCredit)
	needed := 1.0
	switch {
	case entitled:
		needed = 1 - entitledDebt
	case over:
		needed = 1 + sparedCredit
	}
	if p.credit[rank] < needed {
		return false
	}
	p.credit[rank]--
	return true
}

func (p *plan) takeReturn() bool {
	if p.returns < 1 {
		return false
	}
	p.returns--
	return true
}

// Pressure returns the mean expected wait as a fraction of MaxWait.
func (t *Table) Pressure(now time.Time) float64 {
	count := t.waitCount.value(now, pressureHalfLife)
	if count == 0 {
		return 0
	}
	return t.waits.value(now, pressureHalfLife) / count
}
