package sockets

import (
	"context"
	"errors"
	"time"

	"github.com/peridotreel/peridotreel/internal/measure"
	upstreamstandin "github.com/peridotreel/peridotreel/internal/standin/upstream"
)

const (
	// crestHeight is the peak of demand, and crestCapacity what the engines
	// can do, both as multiples of the usual demand.
	crestHeight   = 10
	crestCapacity = 4
	crestStart    = 4 * time.Second
	crestRamp     = 2 * time.Second
	crestTop      = 6 * time.Second
	// crestStep and crestTokens give answers of 24 tokens in about a second,
	// so that a peak of some 200 requests a second exceeds ten engines.
	crestStep     = 40 * time.Millisecond
	crestTokens   = 32
	crestSlots    = 8
	crestDeadline = 3 * time.Second
	crestLag      = 500 * time.Millisecond
	// answerPart is the mean length of an answer as a part of its bound: the
	// stand-in draws it evenly between a half and the whole.
	answerPart = 0.75
)

func crestLayout() *layout {
	return &layout{
		zones: 3, hostsPerZone: 3, engines: 10, deadline: crestDeadline, longDeadline: crestDeadline,
		engine: upstreamstandin.EngineSettings{StepTime: crestStep, MaxRunning: crestSlots, LoadLag: crestLag},
	}
}

// tokensPerSecond is what the engines of a layout can do at most.
func (l *layout) tokensPerSecond() float64 {
	return float64(l.engines*l.engine.MaxRunning) / l.engine.StepTime.Seconds()
}

func crestDemand(l *layout) demand {
	usual := l.tokensPerSecond() / (answerPart * crestTokens) / crestCapacity
	rate := func(at time.Duration) float64 {
		up := min(1, max(0, float64(at-crestStart)/float64(crestRamp)))
		return usual * (1 + (crestHeight-1)*up)
	}
	return demand{rate: rate, peak: usual * crestHeight, length: crestStart + crestRamp + crestTop, tokens: crestTokens}
}

// crestSpan begins when demand has exceeded what the engines can do for as
// long as an answer takes, since they are not full before.
func crestSpan() span {
	const exceeded = crestStart + crestRamp*(crestCapacity-1)/(crestHeight-1)
	const answer = crestStep * crestTokens
	return span{exceeded + answer, crestStart + crestRamp + crestTop}
}

// Crest measures a swing of demand to ten times the usual within 2 s, while
// the engines can do four times the usual.
func Crest(ctx context.Context, seed uint64) ([]measure.Row, error) {
	l := crestLayout()
	load := crestDemand(l)
	jobs := load.jobs(seed)
	rows := rowsOf("crest")
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
	part := goodput(outcomes, crestSpan(), allJobs) / l.tokensPerSecond()
	firsts := firstTokens(outcomes, span{0, time.Hour})
	rows.addFor(name, "goodput of what the engines can do", part, "part", measure.AtLeast(0.95))
	rows.addFor(name, "first token p95 of accepted work", quantile(firsts, 95), "s", measure.AtMost(0.36))
	rows.addFor(name, "accepted work later lost", count(outcomes, lost)+count(outcomes, wrong), "requests", measure.AtMost(0))
	rows.addFor(name, "answered", count(outcomes, answered), "requests", nil)
	rows.addFor(name, "refused before it ran", count(outcomes, refused), "requests", nil)
}

// runLoad runs one variant on a load. During it, disturb acts on the stand-ins.
func runLoad(ctx context.Context, v variant, l *layout, jobs []job, disturb func(ctx context.Context, f *front)) (outcomes []outcome, err error) {
	f, err := v.start(ctx, l)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.stop()) }()
	disturbing, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if disturb != nil {
			disturb(disturbing, f)
		}
	}()
	outcomes = play(ctx, jobs, f.spread, func(j *job) time.Duration {
		if j.long {
			return l.longDeadline
		}
		return l.deadline
	})
	cancel()
	<-done
	return outcomes, ctx.Err()
}
