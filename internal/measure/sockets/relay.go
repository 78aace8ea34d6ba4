package sockets

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/peridotreel/peridotreel/internal/measure"
	upstreamstandin "github.com/peridotreel/peridotreel/internal/standin/upstream"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// relayStreams concurrent streams with relayStepTime between chunks send
	// 33,000 chunks/s, the peak of a host in the capacity plan.
	relayStreams  = 340
	relayStepTime = 10 * time.Millisecond
	// relayEngines is enough for all streams under a host's initial limit of 32
	// requests per engine.
	relayEngines = 12
	// relayMaxTokens gives answers of 232 tokens on average, the 33,000 tokens/s
	// in 142 requests/s of the capacity plan.
	relayMaxTokens = 310
	// relayLongMaxTokens gives answers that outlast a window, so that no request
	// begins or ends in it.
	relayLongMaxTokens = 3000
	relayWarmUp        = 1200 * time.Millisecond
	relayWindow        = 2 * time.Second
	relayPause         = 300 * time.Millisecond
	// relayRounds is how often the variants are measured in turn. Medians over the
	// rounds are reported, because noise on the machine lasts for seconds.
	relayRounds = 4
	// relayDeadline is longer than any answer takes.
	relayDeadline = time.Minute
)

var errInvalidMeasurement = errors.New("measurement is invalid: a request failed or its answer is incomplete")

func relayLayout() *layout {
	return &layout{
		zones: 1, hostsPerZone: 1, engines: relayEngines, deadline: relayDeadline, longDeadline: relayDeadline,
		engine: upstreamstandin.EngineSettings{StepTime: relayStepTime, MaxRunning: 64},
	}
}

// resourceUsage is what the process has used up to a point in time.
type resourceUsage struct {
	at     time.Time
	cpu    time.Duration
	allocs uint64
	chunks int64
}

func processCPU() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

func (d *deployment) usage() resourceUsage {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return resourceUsage{at: time.Now(), cpu: processCPU(), allocs: memory.Mallocs, chunks: generatedTokens(d.fleet)}
}

// relayCost holds the values of one variant, one per window.
type relayCost struct {
	name string
	// cpu is in microseconds per chunk, rates in chunks per second.
	cpu         []float64
	rates       []float64
	firstTokens []time.Duration
	// allocs and streamAllocs are allocations per chunk, under the planned load and
	// in windows in which no request begins or ends.
	allocs       []float64
	streamAllocs []float64
}

func (c *relayCost) add(from, to resourceUsage) {
	chunks := float64(to.chunks - from.chunks)
	c.cpu = append(c.cpu, float64((to.cpu-from.cpu)/time.Microsecond)/chunks)
	c.rates = append(c.rates, chunks/to.at.Sub(from.at).Seconds())
	c.allocs = append(c.allocs, float64(to.allocs-from.allocs)/chunks)
}

func (c *relayCost) addStreams(from, to resourceUsage) {
	c.streamAllocs = append(c.streamAllocs, float64(to.allocs-from.allocs)/float64(to.chunks-from.chunks))
}

// median returns the middle value, or the mean of the two middle ones.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// Relay measures the cost of relaying at the planned peak of a host. All parts
// run in one process, so the processor time of a relay is that of its run minus
// that of a run in which the same callers send to the same engines directly.
func Relay(ctx context.Context, seed uint64) (rows []measure.Row, err error) {
	variants := []variant{directVariant, bareVariant, productVariant}
	costs, deployments := make([]relayCost, len(variants)), make([]*deployment, len(variants))
	defer func() {
		for _, d := range deployments {
			if d != nil {
				err = errors.Join(err, d.stop())
			}
		}
	}()
	for i, v := range variants {
		costs[i].name = v.name
		if deployments[i], err = v.start(ctx, relayLayout()); err != nil {
			return nil, err
		}
	}
	for range relayRounds {
		for i, d := range deployments {
			if err := relayRound(ctx, d, relayJobs(seed, relayMaxTokens), &costs[i], (*relayCost).add); err != nil {
				return nil, err
			}
		}
	}
	for i, d := range deployments {
		if err := relayRound(ctx, d, relayJobs(seed, relayLongMaxTokens), &costs[i], (*relayCost).addStreams); err != nil {
			return nil, err
		}
	}
	return relayRows(&costs[0], &costs[1], &costs[2]), nil
}

func relayJobs(seed uint64, tokens int64) []job {
	load := demand{rate: func(time.Duration) float64 { return 1 }, peakRate: 1, duration: relayStreams * time.Second, maxTokens: tokens}
	return load.jobs(seed)
}

// relayRound lets each caller send requests one after the other, records the cost
// of one window and cancels the requests that are still open.
func relayRound(ctx context.Context, d *deployment, jobs []job, cost *relayCost, add func(c *relayCost, from, to resourceUsage)) error {
	caller := newCountingCaller()
	defer caller.close()
	callersCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan callerResult, relayStreams)
	for number := range relayStreams {
		j := &jobs[number%len(jobs)]
		go func() { results <- repeatJob(callersCtx, caller, d.pickHost(j), j) }()
	}
	if err := task.Sleep(ctx, relayWarmUp); err != nil {
		return err
	}
	from := d.usage()
	if err := task.Sleep(ctx, relayWindow); err != nil {
		return err
	}
	add(cost, from, d.usage())
	cancel()
	var failed error
	for range relayStreams {
		result := <-results
		if result.err != nil {
			failed = fmt.Errorf("%w: %s: %w", errInvalidMeasurement, cost.name, result.err)
		}
		cost.firstTokens = append(cost.firstTokens, result.firstTokens...)
	}
	return errors.Join(failed, task.Sleep(ctx, relayPause))
}

// callerResult is what one caller measured.
type callerResult struct {
	firstTokens []time.Duration
	err         error
}

// repeatJob repeats a job until ctx ends or it fails. All callers begin at the
// same time, so their first requests don't represent the steady load and are left
// out of the times to the first token.
func repeatJob(ctx context.Context, caller *countingCaller, address string, j *job) callerResult {
	var result callerResult
	for number := 0; ; number++ {
		answer, err := caller.send(ctx, address, j)
		if err == nil {
			err = answer.check(j)
		}
		if number > 0 && answer.firstToken > 0 {
			result.firstTokens = append(result.firstTokens, answer.firstToken)
		}
		switch {
		case ctx.Err() != nil:
			return result
		case err != nil:
			return callerResult{err: err}
		}
	}
}

func relayRows(direct, bare, product *relayCost) []measure.Row {
	rows := newRowList("relay")
	directCPU := median(direct.cpu)
	bareCPU, productCPU := median(bare.cpu)-directCPU, median(product.cpu)-directCPU
	rows.add(measure.Product, "throughput for the same relay CPU, beside the bare relay", bareCPU/productCPU, "ratio", measure.AtLeast(0.85))
	rows.add(measure.Product, "relay CPU", productCPU, "us/chunk", nil)
	rows.add(bare.name, "relay CPU", bareCPU, "us/chunk", nil)
	rows.add(measure.Product, "relay CPU at 33,000 chunks/s", productCPU*33_000/1e6, "cores", measure.AtMost(1))
	rows.add(bare.name, "relay CPU at 33,000 chunks/s", bareCPU*33_000/1e6, "cores", nil)
	rows.add(measure.Product, "allocations beyond the bare relay's within streams",
		median(product.streamAllocs)-median(bare.streamAllocs), "1/chunk", measure.AtMost(0))
	for _, c := range []*relayCost{product, bare, direct} {
		rows.add(c.name, "chunks relayed", median(c.rates), "1/s", nil)
		rows.add(c.name, "CPU of the whole process", median(c.cpu), "us/chunk", nil)
		rows.add(c.name, "allocations of the whole process", median(c.allocs), "1/chunk", nil)
		rows.add(c.name, "allocations of the whole process within streams", median(c.streamAllocs), "1/chunk", nil)
		rows.add(c.name, "first token p50", quantile(c.firstTokens, 50), "s", nil)
		rows.add(c.name, "first token p99", quantile(c.firstTokens, 99), "s", nil)
	}
	for _, percent := range []float64{50, 99} {
		name, base := fmt.Sprintf("added to first token p%.0f", percent), quantile(direct.firstTokens, percent)
		rows.add(measure.Product, name, quantile(product.firstTokens, percent)-base, "s", nil)
		rows.add(bare.name, name, quantile(bare.firstTokens, percent)-base, "s", nil)
	}
	return rows.list
}

// rowList collects the rows of one measurement.
type rowList struct {
	name string
	list []measure.Row
}

func newRowList(name string) *rowList {
	return &rowList{name: name}
}

func (r *rowList) add(variant, metric string, value float64, unit string, target *measure.Target) {
	r.list = append(r.list, measure.Row{
		Measure: r.name, Variant: variant, Metric: metric, Value: value, Unit: unit, Target: target,
	})
}

// addFor adds a row whose target applies to the product only.
func (r *rowList) addFor(variant, metric string, value float64, unit string, target *measure.Target) {
	if variant != measure.Product {
		target = nil
	}
	r.add(variant, metric, value, unit, target)
}
