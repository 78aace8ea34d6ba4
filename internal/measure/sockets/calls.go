package sockets

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/peridotreel/peridotreel/internal/client"
	"github.com/peridotreel/peridotreel/internal/core"
	upstreamstandin "github.com/peridotreel/peridotreel/internal/standin/upstream"
	"github.com/peridotreel/peridotreel/internal/task"
)

// maxInFlight bounds the open requests of a load.
const maxInFlight = 800

// job is one request of a load.
type job struct {
	at        time.Duration
	team      int
	entry     uint32
	long      bool
	maxTokens int64
	prompt    string
}

func (j *job) class() core.ClassName {
	if j.long {
		return long
	}
	return short
}

// expected is the answer that every engine gives.
func (j *job) expected() core.CompletionAnswer {
	return upstreamstandin.ExpectedAnswer(model, []core.Message{{Role: "user", Content: j.prompt}}, core.Tokens(j.maxTokens))
}

// ending says how a request ended for its caller.
type ending uint8

const (
	// answered means the whole right answer within the deadline.
	answered ending = iota + 1
	// wrong means a clean end with a text that is not the answer.
	wrong
	// refused means a typed refusal of a request that did not run.
	refused
	// lost means everything else: cut off, failed or late.
	lost
)

// outcome is what a caller saw of its request.
type outcome struct {
	job    *job
	answer client.Answer
	ending ending
	// ended is counted from the start of the load.
	ended time.Duration
	err   error
}

// callers holds one client per team.
type callers []*client.Client

func newCallers() callers {
	var list callers
	for i := range teamCount {
		list = append(list, client.New(keyOf(i)))
	}
	return list
}

func (c callers) close() {
	for _, one := range c {
		one.Close()
	}
}

// replyGrace is how much longer than the deadline a caller listens, so that it
// sees the answer with which a host ends a late request.
const replyGrace = 500 * time.Millisecond

// send performs a job at an address within a deadline.
func (c callers) send(ctx context.Context, address string, j *job, deadline time.Duration) outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deadline+replyGrace)
	defer cancel()
	answer, err := c[j.team].Complete(ctx, address, client.Request{
		Model: string(model), Class: string(j.class()), Prompt: j.prompt, MaxTokens: j.maxTokens, Stream: true,
	})
	result := outcome{job: j, answer: answer, ending: judge(j, answer, err), err: err}
	if result.ending == answered && answer.Total > deadline {
		result.ending = lost
	}
	return result
}

func judge(j *job, answer client.Answer, err error) ending {
	var typed *client.Error
	switch {
	case errors.As(err, &typed) && typed.Run == "not_run":
		return refused
	case err != nil:
		return lost
	case answer.Text != j.expected().Text:
		return wrong
	}
	return answered
}

// entries gives the address at which a job enters.
type entries func(j *job) string

func (f *front) spread(j *job) string {
	return f.addresses[int(j.entry)%len(f.addresses)]
}

// play sends jobs at their times and returns what became of them, in the
// order of their ends. When ctx ends, it sends no more.
func play(ctx context.Context, jobs []job, enter entries, deadline func(*job) time.Duration) []outcome {
	sending := newCallers()
	defer sending.close()
	results := make(chan outcome, len(jobs))
	open := make(chan struct{}, maxInFlight)
	started := time.Now()
	sent := 0
	for i := range jobs {
		j := &jobs[i]
		if task.Sleep(ctx, time.Until(started.Add(j.at))) != nil {
			break
		}
		open <- struct{}{}
		sent++
		go func() {
			defer func() { <-open }()
			result := sending.send(ctx, enter(j), j, deadline(j))
			result.ended = time.Since(started)
			results <- result
		}()
	}
	outcomes := make([]outcome, 0, sent)
	for range sent {
		outcomes = append(outcomes, <-results)
	}
	return outcomes
}

// demand describes the arrivals of a load.
type demand struct {
	// rate returns the arrivals per second; peak bounds it.
	rate   func(at time.Duration) float64
	peak   float64
	length time.Duration
	// tokens bounds the answers; an answer has between half and all of it.
	tokens int64
	// longPart of the jobs are long, with longTokens.
	longPart   float64
	longTokens int64
}

// jobs draws a Poisson process with a varying rate by thinning one with the
// peak rate. Arrivals depend on the seed alone.
func (d *demand) jobs(seed uint64) []job {
	random := rand.New(rand.NewPCG(seed, 1))
	var list []job
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / d.peak * float64(time.Second))
		if at >= d.length {
			return list
		}
		j := job{
			// A few teams send most of the work.
			at: at, team: min(random.IntN(teamCount), random.IntN(teamCount)), entry: random.Uint32(),
			prompt: fmt.Sprintf("What do you pay for card %d?", random.IntN(1_000_000)), maxTokens: d.tokens,
		}
		if j.long = random.Float64() < d.longPart; j.long {
			j.maxTokens = d.longTokens
		}
		if random.Float64()*d.peak < d.rate(at) {
			list = append(list, j)
		}
	}
}

// quantile returns a quantile in seconds, or 0 of nothing.
func quantile(times []time.Duration, percent float64) float64 {
	histogram := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	for _, t := range times {
		_ = histogram.RecordValue(int64(t / time.Microsecond))
	}
	return (time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond).Seconds()
}

// span is a part of a load, counted from its start.
type span struct{ from, to time.Duration }

func (s span) holds(at time.Duration) bool { return at >= s.from && at < s.to }

// firstTokens returns the times to the first token of short work that arrived
// in a span.
func firstTokens(outcomes []outcome, in span) []time.Duration {
	var times []time.Duration
	for i := range outcomes {
		if o := &outcomes[i]; !o.job.long && in.holds(o.job.at) && o.answer.FirstToken > 0 {
			times = append(times, o.answer.FirstToken)
		}
	}
	return times
}

func count(outcomes []outcome, of ending) float64 {
	total := 0
	for i := range outcomes {
		if outcomes[i].ending == of {
			total++
		}
	}
	return float64(total)
}

// goodput returns the tokens of right answers that were generated within a
// span, in tokens a second. An answer's tokens are spread evenly over the time
// from its first to its last.
func goodput(outcomes []outcome, in span, only func(*job) bool) float64 {
	total := 0.0
	for i := range outcomes {
		o := &outcomes[i]
		if o.ending != answered || !only(o.job) {
			continue
		}
		began := o.ended - o.answer.Total + o.answer.FirstToken
		overlap := min(o.ended, in.to) - max(began, in.from)
		if length := o.ended - began; overlap > 0 && length > 0 {
			total += float64(o.answer.GeneratedTokens) * float64(overlap) / float64(length)
		}
	}
	return total / (in.to - in.from).Seconds()
}

func allJobs(*job) bool { return true }
