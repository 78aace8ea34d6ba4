package sockets

import (
	"context"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/measure"
	upstreamstandin "github.com/peridotreel/peridotreel/internal/standin/upstream"
)

const (
	// headOfLineLongFraction of the jobs are headOfLineLongFactor times longer
	// than the rest.
	headOfLineLongFraction = 0.05
	headOfLineLongFactor   = 50
	headOfLineStepTime     = 12 * time.Millisecond
	headOfLineMaxTokens    = 6
	headOfLineSlots        = 8
	// headOfLineUtilization is the load as a fraction of the engines' capacity.
	headOfLineUtilization  = 0.85
	headOfLineDuration     = 11 * time.Second
	headOfLineDeadline     = 5 * time.Second
	headOfLineLongDeadline = 20 * time.Second
)

// headOfLineSpan is the measured span. It leaves out the time in which long jobs
// accumulate, which is about the duration of one.
var headOfLineSpan = span{4 * time.Second, headOfLineDuration}

func headOfLineLayout() *layout {
	return &layout{
		zones: 3, hostsPerZone: 3, engines: 10, deadline: headOfLineDeadline, longDeadline: headOfLineLongDeadline,
		engine: upstreamstandin.EngineSettings{StepTime: headOfLineStepTime, MaxRunning: headOfLineSlots, LoadLag: usualReportLag},
	}
}

func headOfLineDemand(l *layout) demand {
	meanTokens := meanAnswerFraction * headOfLineMaxTokens * (1 - headOfLineLongFraction + headOfLineLongFraction*headOfLineLongFactor)
	rate := headOfLineUtilization * l.tokensPerSecond() / meanTokens
	return demand{
		rate: func(time.Duration) float64 { return rate }, peakRate: rate, duration: headOfLineDuration,
		maxTokens: headOfLineMaxTokens, longFraction: headOfLineLongFraction, longMaxTokens: headOfLineMaxTokens * headOfLineLongFactor,
	}
}

// HeadOfLine measures the wait of short jobs in a load with jobs that are 50
// times longer. The wait is the time to the first token, since callers see no
// other.
func HeadOfLine(ctx context.Context, seed uint64) ([]measure.Row, error) {
	l := headOfLineLayout()
	load := headOfLineDemand(l)
	jobs := load.jobs(seed)
	shortOnly := slices.DeleteFunc(slices.Clone(jobs), func(j job) bool { return j.long })
	mixed, err := runLoad(ctx, productVariant, l, jobs, nil)
	if err != nil {
		return nil, err
	}
	shortOnlyOutcomes, err := runLoad(ctx, productVariant, l, shortOnly, nil)
	if err != nil {
		return nil, err
	}
	fifo, err := runLoad(ctx, roundRobinVariant, l, jobs, nil)
	if err != nil {
		return nil, err
	}
	return headOfLineRows(mixed, shortOnlyOutcomes, fifo), nil
}

func headOfLineRows(mixed, shortOnly, fifo []outcome) []measure.Row {
	rows := newRowList("head-of-line")
	wait := func(outcomes []outcome) float64 { return quantile(firstTokens(outcomes, headOfLineSpan), 99) }
	longWork := func(outcomes []outcome) float64 {
		return goodput(outcomes, headOfLineSpan, func(j *job) bool { return j.long })
	}
	rows.add(measure.Product, "wait p99 of short work beside that without long jobs", wait(mixed)/wait(shortOnly), "ratio", measure.AtMost(1.5))
	rows.add(measure.Product, "long work beside that of round-robin-fifo", longWork(mixed)/longWork(fifo), "ratio", measure.AtLeast(0.9))
	for _, run := range []struct {
		name     string
		outcomes []outcome
	}{{measure.Product, mixed}, {"product-without-long-jobs", shortOnly}, {roundRobinVariant.name, fifo}} {
		rows.add(run.name, "wait p50 of short work", quantile(firstTokens(run.outcomes, headOfLineSpan), 50), "s", nil)
		rows.add(run.name, "wait p99 of short work", wait(run.outcomes), "s", nil)
		rows.add(run.name, "long work", longWork(run.outcomes), "tokens/s", nil)
		rows.add(run.name, "answered", count(run.outcomes, answered), "requests", nil)
		rows.add(run.name, "refused before it ran", count(run.outcomes, refused), "requests", nil)
		rows.add(run.name, "accepted work later lost", count(run.outcomes, lost)+count(run.outcomes, wrong), "requests", nil)
	}
	return rows.list
}
