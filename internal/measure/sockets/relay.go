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
	// relayStreams at relayStep send 33,000 chunks/s, the peak of a host in
	// the capacity plan.
	relayStreams = 340
	relayStep    = 10 * time.Millisecond
	// relayEngines are enough for all streams under the limit of 32 requests
	// at an engine with which a host begins.
	relayEngines = 12
	// relayTokens gives answers of 232 tokens on average, as the plan's
	// 33,000 tokens/s in 142 requests/s.
	relayTokens = 310
	// longTokens gives answers that outlast a window, so that no request
	// begins or ends in it.
	longTokens   = 3000
	relayWarmUp  = 1200 * time.Millisecond
	relayWindow  = 2 * time.Second
	relayRecover = 300 * time.Millisecond
	// relayRounds repeats the variants in turn, and medians are taken, as the
	// machine's noise lasts for some seconds.
	relayRounds = 4
	// relayDeadline is above any answer's time.
	relayDeadline = time.Minute
)

var errRelayAnswers = errors.New("an answer was not whole, so the figures would mean nothing")

func relayLayout() *layout {
	return &layout{
		zones: 1, hostsPerZone: 1, engines: relayEngines, deadline: relayDeadline, longDeadline: relayDeadline,
		engine: upstreamstandin.EngineSettings{StepTime: relayStep, MaxRunning: 64},
	}
}

// usage is what the process used up to a moment.
type usage struct {
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

func (f *front) usage() usage {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return usage{at: time.Now(), cpu: processCPU(), allocs: memory.Mallocs, chunks: generated(f.fleet)}
}

// relayCost is what the windows of one variant showed.
type relayCost struct {
	name string
	// cpu is in microseconds a chunk, rates in chunks a second.
	cpu    []float64
	rates  []float64
	firsts []time.Duration
	// allocs are counted a chunk, of the planned load and of streams alone.
	allocs       []float64
	streamAllocs []float64
}

func (c *relayCost) add(from, to usage) {
	chunks := float64(to.chunks - from.chunks)
	c.cpu = append(c.cpu, float64((to.cpu-from.cpu)/time.Microsecond)/chunks)
	c.rates = append(c.rates, chunks/to.at.Sub(from.at).Seconds())
	c.allocs = append(c.allocs, float64(to.allocs-from.allocs)/chunks)
}

func (c *relayCost) addStreams(from, to usage) {
	c.streamAllocs = append(c.streamAllocs, float64(to.allocs-from.allocs)/float64(to.chunks-from.chunks))
}

// median returns the middle value, the mean of two.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// Relay measures what relaying costs at the planned peak of a host. All parts
// run in one process, so the CPU of a relay is that of its run less that of a
// run in which the same callers reach the same engines without one.
func Relay(ctx context.Context, seed uint64) (rows []measure.Row, err error) {
	variants := []variant{directVariant, bareVariant, productVariant}
	costs, fronts := make([]relayCost, len(variants)), make([]*front, len(variants))
	defer func() {
		for _, f := range fronts {
			if f != nil {
				err = errors.Join(err, f.stop())
			}
		}
	}()
	for i, v := range variants {
		costs[i].name = v.name
		if fronts[i], err = v.start(ctx, relayLayout()); err != nil {
			return nil, err
		}
	}
	for range relayRounds {
		for i, f := range fronts {
			if err := relayRound(ctx, f, relayJobs(seed, relayTokens), &costs[i], (*relayCost).add); err != nil {
				return nil, err
			}
		}
	}
	for i, f := range fronts {
		if err := relayRound(ctx, f, relayJobs(seed, longTokens), &costs[i], (*relayCost).addStreams); err != nil {
			return nil, err
		}
	}
	return relayRows(&costs[0], &costs[1], &costs[2]), nil
}

func relayJobs(seed uint64, tokens int64) []job {
	load := demand{rate: func(time.Duration) float64 { return 1 }, peak: 1, length: relayStreams * time.Second, tokens: tokens}
	return load.jobs(seed)
}

// relayRound lets each caller send one request after the other, takes the cost
// of a window and ends the answers that are still open.
func relayRound(ctx context.Context, f *front, jobs []job, cost *relayCost, add func(c *relayCost, from, to usage)) error {
	sending := newCountingCaller()
	defer sending.close()
	loops, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan relayLoop, relayStreams)
	for number := range relayStreams {
		j := &jobs[number%len(jobs)]
		go func() { results <- loop(loops, sending, f.spread(j), j) }()
	}
	if err := task.Sleep(ctx, relayWarmUp); err != nil {
		return err
	}
	from := f.usage()
	if err := task.Sleep(ctx, relayWindow); err != nil {
		return err
	}
	add(cost, from, f.usage())
	cancel()
	var failed error
	for range relayStreams {
		ended := <-results
		if ended.err != nil {
			failed = fmt.Errorf("%w: %s: %w", errRelayAnswers, cost.name, ended.err)
		}
		cost.firsts = append(cost.firsts, ended.firsts...)
	}
	return errors.Join(failed, task.Sleep(ctx, relayRecover))
}

// relayLoop is what one caller saw.
type relayLoop struct {
	firsts []time.Duration
	err    error
}

// loop repeats a job until ctx ends or it fails. All callers begin at once, so
// their first requests tell nothing about the usual load and are left out of
// the times to the first token.
func loop(ctx context.Context, sending *countingCaller, address string, j *job) relayLoop {
	var seen relayLoop
	for number := 0; ; number++ {
		answer, err := sending.send(ctx, address, j)
		if err == nil {
			err = answer.check(j)
		}
		if number > 0 && answer.firstToken > 0 {
			seen.firsts = append(seen.firsts, answer.firstToken)
		}
		switch {
		case ctx.Err() != nil:
			return seen
		case err != nil:
			return relayLoop{err: err}
		}
	}
}

func relayRows(direct, bare, product *relayCost) []measure.Row {
	rows := rowsOf("relay")
	none := median(direct.cpu)
	bareCPU, productCPU := median(bare.cpu)-none, median(product.cpu)-none
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
		rows.add(c.name, "first token p50", quantile(c.firsts, 50), "s", nil)
		rows.add(c.name, "first token p99", quantile(c.firsts, 99), "s", nil)
	}
	for _, percent := range []float64{50, 99} {
		name, base := fmt.Sprintf("added to first token p%.0f", percent), quantile(direct.firsts, percent)
		rows.add(measure.Product, name, quantile(product.firsts, percent)-base, "s", nil)
		rows.add(bare.name, name, quantile(bare.firsts, percent)-base, "s", nil)
	}
	return rows.list
}

// rowList collects the rows of one measure.
type rowList struct {
	name string
	list []measure.Row
}

func rowsOf(name string) *rowList {
	return &rowList{name: name}
}

func (r *rowList) add(variant, metric string, value float64, unit string, target *measure.Target) {
	r.list = append(r.list, measure.Row{
		Measure: r.name, Variant: variant, Metric: metric, Value: value, Unit: unit, Target: target,
	})
}

// addFor adds a row whose target holds for the product only.
func (r *rowList) addFor(variant, metric string, value float64, unit string, target *measure.Target) {
	if variant != measure.Product {
		target = nil
	}
	r.add(variant, metric, value, unit, target)
}
