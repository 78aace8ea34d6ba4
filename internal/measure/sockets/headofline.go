package sockets

import (
	"context"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/measure"
	upstreamstandin "github.com/peridotreel/peridotreel/internal/standin/upstream"
)

const (
	// holLong of the jobs are holFactor times longer than the rest.
	holLong   = 0.05
	holFactor = 50
	holStep   = 12 * time.Millisecond
	holTokens = 6
	holSlots  = 8
	// holUsed is the part of what the engines can do that the load asks for.
	holUsed         = 0.85
	holLength       = 11 * time.Second
	holDeadline     = 5 * time.Second
	holLongDeadline = 20 * time.Second
)

// holSpan leaves out the time in which long jobs accumulate, which is about
// the length of one.
var holSpan = span{4 * time.Second, holLength}

func holLayout() *layout {
	return &layout{
		zones: 3, hostsPerZone: 3, engines: 10, deadline: holDeadline, longDeadline: holLongDeadline,
		engine: upstreamstandin.EngineSettings{StepTime: holStep, MaxRunning: holSlots, LoadLag: crestLag},
	}
}

func holDemand(l *layout) demand {
	mean := answerPart * holTokens * (1 - holLong + holLong*holFactor)
	rate := holUsed * l.tokensPerSecond() / mean
	return demand{
		rate: func(time.Duration) float64 { return rate }, peak: rate, length: holLength,
		tokens: holTokens, longPart: holLong, longTokens: holTokens * holFactor,
	}
}

// HeadOfLine measures short work beside jobs that are 50 times longer. The
// wait of short work is its time to the first token, since callers see no
// other.
func HeadOfLine(ctx context.Context, seed uint64) ([]measure.Row, error) {
	l := holLayout()
	load := holDemand(l)
	jobs := load.jobs(seed)
	shortOnly := slices.DeleteFunc(slices.Clone(jobs), func(j job) bool { return j.long })
	mixed, err := runLoad(ctx, productVariant, l, jobs, nil)
	if err != nil {
		return nil, err
	}
	alone, err := runLoad(ctx, productVariant, l, shortOnly, nil)
	if err != nil {
		return nil, err
	}
	fifo, err := runLoad(ctx, roundRobin, l, jobs, nil)
	if err != nil {
		return nil, err
	}
	return holRows(mixed, alone, fifo), nil
}

func holRows(mixed, alone, fifo []outcome) []measure.Row {
	rows := rowsOf("head-of-line")
	wait := func(outcomes []outcome) float64 { return quantile(firstTokens(outcomes, holSpan), 99) }
	longWork := func(outcomes []outcome) float64 {
		return goodput(outcomes, holSpan, func(j *job) bool { return j.long })
	}
	rows.add(measure.Product, "wait p99 of short work beside that without long jobs", wait(mixed)/wait(alone), "ratio", measure.AtMost(1.5))
	rows.add(measure.Product, "long work beside that of round-robin-fifo", longWork(mixed)/longWork(fifo), "ratio", measure.AtLeast(0.9))
	for _, run := range []struct {
		name     string
		outcomes []outcome
	}{{measure.Product, mixed}, {"product-without-long-jobs", alone}, {roundRobin.name, fifo}} {
		rows.add(run.name, "wait p50 of short work", quantile(firstTokens(run.outcomes, holSpan), 50), "s", nil)
		rows.add(run.name, "wait p99 of short work", wait(run.outcomes), "s", nil)
		rows.add(run.name, "long work", longWork(run.outcomes), "tokens/s", nil)
		rows.add(run.name, "answered", count(run.outcomes, answered), "requests", nil)
		rows.add(run.name, "refused before it ran", count(run.outcomes, refused), "requests", nil)
		rows.add(run.name, "accepted work later lost", count(run.outcomes, lost)+count(run.outcomes, wrong), "requests", nil)
	}
	return rows.list
}
