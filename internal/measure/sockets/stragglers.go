package sockets

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/measure"
	upstreamstandin "github.com/peridotreel/peridotreel/internal/standin/upstream"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	stragglerStep   = 15 * time.Millisecond
	stragglerTokens = 16
	stragglerSlots  = 8
	// stragglerLag is how late engines report their load.
	stragglerLag = 2 * time.Second
	// stragglerFactor is how much slower a straggler is in a spell.
	stragglerFactor = 10
	stragglerUsed   = 0.60
	stragglerSpell  = 3 * time.Second
	// stragglersAt is when the first spell begins; the second follows at its
	// end on another engine.
	stragglersAt      = 3 * time.Second
	stragglerLength   = 9500 * time.Millisecond
	stragglerDeadline = 5 * time.Second
)

var stragglerSpan = span{2 * time.Second, stragglerLength}

func stragglerLayout() *layout {
	return &layout{
		zones: 3, hostsPerZone: 3, engines: 10, deadline: stragglerDeadline, longDeadline: stragglerDeadline,
		engine: upstreamstandin.EngineSettings{StepTime: stragglerStep, MaxRunning: stragglerSlots, LoadLag: stragglerLag},
	}
}

// slowInTurn slows two engines down, one after the other.
func slowInTurn(ctx context.Context, f *front) {
	if task.Sleep(ctx, stragglersAt) != nil {
		return
	}
	for _, number := range []int{2, 7} {
		engine := f.fleet.Engines[number]
		engine.SetSlowdown(stragglerFactor)
		err := task.Sleep(ctx, stragglerSpell)
		engine.SetSlowdown(1)
		if err != nil {
			return
		}
	}
}

// Stragglers measures the first token while two of ten engines are ten times
// slower in spells and reports come late.
func Stragglers(ctx context.Context, seed uint64) ([]measure.Row, error) {
	l := stragglerLayout()
	rate := stragglerUsed * l.tokensPerSecond() / (answerPart * stragglerTokens)
	load := demand{rate: func(time.Duration) float64 { return rate }, peak: rate, length: stragglerLength, tokens: stragglerTokens}
	jobs := load.jobs(seed)
	extra := 0.0
	// countRuns ends with the load, so it sees what the engines ran.
	countRuns := func(ctx context.Context, f *front) {
		slowInTurn(ctx, f)
		<-ctx.Done()
		extra = float64(runs(f) - len(jobs))
	}
	rows := rowsOf("stragglers")
	slow, err := runLoad(ctx, productVariant, l, jobs, countRuns)
	if err != nil {
		return nil, err
	}
	steady, err := runLoad(ctx, productVariant, l, jobs, nil)
	if err != nil {
		return nil, err
	}
	first := func(outcomes []outcome, percent float64) float64 {
		return quantile(firstTokens(outcomes, stragglerSpan), percent)
	}
	rows.add(measure.Product, "first token p99 beside that without stragglers", first(slow, 99)/first(steady, 99), "ratio", measure.AtMost(1.5))
	ran := float64(len(jobs)) - count(slow, refused)
	rows.add(measure.Product, "runs beyond one a request", (extra+count(slow, refused))/ran, "part", measure.AtMost(0.05))
	report := func(name string, outcomes []outcome) {
		rows.add(name, "first token p50", first(outcomes, 50), "s", nil)
		rows.add(name, "first token p99", first(outcomes, 99), "s", nil)
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

// runs returns how often engines began to generate.
func runs(f *front) int {
	total := 0
	for _, engine := range f.fleet.Engines {
		for _, times := range engine.Counters().Runs {
			total += times
		}
	}
	return total
}
