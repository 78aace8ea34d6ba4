package sockets

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/measure"
	upstreamstandin "github.com/peridotreel/peridotreel/internal/standin/upstream"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	stragglerStepTime  = 15 * time.Millisecond
	stragglerMaxTokens = 16
	stragglerSlots     = 8
	// stragglerLag is the delay of the engines' load reports.
	stragglerLag = 2 * time.Second
	// stragglerSlowdown is how many times slower a straggler is while it is slow.
	stragglerSlowdown    = 10
	stragglerUtilization = 0.60
	stragglerSlowTime    = 3 * time.Second
	// stragglersAt is when the first engine becomes slow. When it recovers, the
	// second one becomes slow.
	stragglersAt      = 3 * time.Second
	stragglerDuration = 9500 * time.Millisecond
	stragglerDeadline = 5 * time.Second
)

var stragglerSpan = span{2 * time.Second, stragglerDuration}

func stragglerLayout() *layout {
	return &layout{
		zones: 3, hostsPerZone: 3, engines: 10, deadline: stragglerDeadline, longDeadline: stragglerDeadline,
		engine: upstreamstandin.EngineSettings{StepTime: stragglerStepTime, MaxRunning: stragglerSlots, LoadLag: stragglerLag},
	}
}

// slowInTurn slows down two engines, one after the other.
func slowInTurn(ctx context.Context, d *deployment) {
	if task.Sleep(ctx, stragglersAt) != nil {
		return
	}
	for _, number := range []int{2, 7} {
		engine := d.fleet.Engines[number]
		engine.SetSlowdown(stragglerSlowdown)
		err := task.Sleep(ctx, stragglerSlowTime)
		engine.SetSlowdown(1)
		if err != nil {
			return
		}
	}
}

// Stragglers measures the time to the first token while two of ten engines are
// temporarily ten times slower and load reports are late.
func Stragglers(ctx context.Context, seed uint64) ([]measure.Row, error) {
	l := stragglerLayout()
	rate := stragglerUtilization * l.tokensPerSecond() / (meanAnswerFraction * stragglerMaxTokens)
	load := demand{rate: func(time.Duration) float64 { return rate }, peakRate: rate, duration: stragglerDuration, maxTokens: stragglerMaxTokens}
	jobs := load.jobs(seed)
	extraRuns := 0.0
	// countRuns counts the engines' runs at the end of the load.
	countRuns := func(ctx context.Context, d *deployment) {
		slowInTurn(ctx, d)
		<-ctx.Done()
		extraRuns = float64(startedRuns(d) - len(jobs))
	}
	rows := newRowList("stragglers")
	slow, err := runLoad(ctx, productVariant, l, jobs, countRuns)
	if err != nil {
		return nil, err
	}
	steady, err := runLoad(ctx, productVariant, l, jobs, nil)
	if err != nil {
		return nil, err
	}
	firstToken := func(outcomes []outcome, percent float64) float64 {
		return quantile(firstTokens(outcomes, stragglerSpan), percent)
	}
	rows.add(measure.Product, "first token p99 beside that without stragglers", firstToken(slow, 99)/firstToken(steady, 99), "ratio", measure.AtMost(1.5))
	ran := float64(len(jobs)) - count(slow, refused)
	rows.add(measure.Product, "runs beyond one a request", (extraRuns+count(slow, refused))/ran, "part", measure.AtMost(0.05))
	report := func(name string, outcomes []outcome) {
		rows.add(name, "first token p50", firstToken(outcomes, 50), "s", nil)
		rows.add(name, "first token p99", firstToken(outcomes, 99), "s", nil)
		rows.add(name, "refused before it ran", count(outcomes, refused), "requests", nil)
		rows.add(name, "accepted work later lost", count(outcomes, lost)+count(outcomes, wrong), "requests", nil)
	}
	report(measure.Product, slow)
	report("product-without-stragglers", steady)
	for _, v := range overloadBaselines {
		outcomes, err := runLoad(ctx, v, l, jobs, slowInTurn)
		if err != nil {
			return nil, err
		}
		report(v.name, outcomes)
	}
	return rows.list, nil
}

// startedRuns returns the number of requests that the engines have started.
func startedRuns(d *deployment) int {
	total := 0
	for _, engine := range d.fleet.Engines {
		for _, times := range engine.Counters().Runs {
			total += times
		}
	}
	return total
}
