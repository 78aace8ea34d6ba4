package sockets

import (
	"context"
	"errors"
	"time"

	"github.com/peridotreel/peridotreel/internal/measure"
	upstreamstandin "github.com/peridotreel/peridotreel/internal/standin/upstream"
)

const (
	// crestPeakFactor is the peak demand and crestCapacityFactor the engines'
	// capacity, both as multiples of the usual demand.
	crestPeakFactor     = 10
	crestCapacityFactor = 4
	crestStart          = 4 * time.Second
	crestRamp           = 2 * time.Second
	crestPlateau        = 6 * time.Second
	// crestStepTime and crestMaxTokens give answers of 24 tokens on average in
	// about a second, so that a peak of about 200 requests/s exceeds the capacity
	// of ten engines.
	crestStepTime  = 40 * time.Millisecond
	crestMaxTokens = 32
	crestSlots     = 8
	crestDeadline  = 3 * time.Second
	usualReportLag = 500 * time.Millisecond
	// meanAnswerFraction is the mean length of an answer as a fraction of its
	// token limit: the stand-in draws it uniformly between half of it and all of it.
	meanAnswerFraction = 0.75
)

func crestLayout() *layout {
	return &layout{
		zones: 3, hostsPerZone: 3, engines: 10, deadline: crestDeadline, longDeadline: crestDeadline,
		engine: upstreamstandin.EngineSettings{StepTime: crestStepTime, MaxRunning: crestSlots, LoadLag: usualReportLag},
	}
}

// tokensPerSecond returns the capacity of the layout's engines.
func (l *layout) tokensPerSecond() float64 {
	return float64(l.engines*l.engine.MaxRunning) / l.engine.StepTime.Seconds()
}

func crestDemand(l *layout) demand {
	usualRate := l.tokensPerSecond() / (meanAnswerFraction * crestMaxTokens) / crestCapacityFactor
	rate := func(at time.Duration) float64 {
		rise := min(1, max(0, float64(at-crestStart)/float64(crestRamp)))
		return usualRate * (1 + (crestPeakFactor-1)*rise)
	}
	return demand{rate: rate, peakRate: usualRate * crestPeakFactor, duration: crestStart + crestRamp + crestPlateau, maxTokens: crestMaxTokens}
}

// crestSpan returns the measured span. It begins when demand has exceeded the
// engines' capacity for the duration of an answer, since the engines are not
// fully used before.
func crestSpan() span {
	const overloadAt = crestStart + crestRamp*(crestCapacityFactor-1)/(crestPeakFactor-1)
	const answerTime = crestStepTime * crestMaxTokens
	return span{overloadAt + answerTime, crestStart + crestRamp + crestPlateau}
}

// Crest measures a demand surge to ten times the usual rate within 2 s, while
// the engines have capacity for four times the usual rate.
func Crest(ctx context.Context, seed uint64) ([]measure.Row, error) {
	l := crestLayout()
	load := crestDemand(l)
	jobs := load.jobs(seed)
	rows := newRowList("crest")
	for _, v := range append([]variant{productVariant}, overloadBaselines...) {
		outcomes, err := runLoad(ctx, v, l, jobs, nil)
		if err != nil {
			return nil, err
		}
		reportCrest(rows, v.name, l, outcomes)
	}
	return rows.list, nil
}

func reportCrest(rows *rowList, name string, l *layout, outcomes []outcome) {
	fraction := goodput(outcomes, crestSpan(), allJobs) / l.tokensPerSecond()
	times := firstTokens(outcomes, span{0, time.Hour})
	rows.addFor(name, "goodput of what the engines can do", fraction, "part", measure.AtLeast(0.95))
	rows.addFor(name, "first token p95 of accepted work", quantile(times, 95), "s", measure.AtMost(0.36))
	rows.addFor(name, "accepted work later lost", count(outcomes, lost)+count(outcomes, wrong), "requests", measure.AtMost(0))
	rows.addFor(name, "answered", count(outcomes, answered), "requests", nil)
	rows.addFor(name, "refused before it ran", count(outcomes, refused), "requests", nil)
}

// runLoad runs one variant on a load. Meanwhile inject, if not nil, injects
// faults into the stand-ins until its context ends.
func runLoad(ctx context.Context, v variant, l *layout, jobs []job, inject func(ctx context.Context, d *deployment)) (outcomes []outcome, err error) {
	d, err := v.start(ctx, l)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, d.stop()) }()
	injectCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if inject != nil {
			inject(injectCtx, d)
		}
	}()
	outcomes = sendAll(ctx, jobs, d.pickHost, func(j *job) time.Duration {
		if j.long {
			return l.longDeadline
		}
		return l.deadline
	})
	cancel()
	<-done
	return outcomes, ctx.Err()
}
