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

// job is one request of a load. at is its time of arrival.
type job struct {
	at         time.Duration
	team       int
	hostRandom uint32
	long       bool
	maxTokens  int64
	prompt     string
}

func (j *job) class() core.ClassName {
	if j.long {
		return longClass
	}
	return shortClass
}

// expected returns the answer that every engine gives to the job.
func (j *job) expected() core.CompletionAnswer {
	return upstreamstandin.ExpectedAnswer(model, []core.Message{{Role: "user", Content: j.prompt}}, core.Tokens(j.maxTokens))
}

// resultKind is the result of a request as seen by its caller.
type resultKind uint8

const (
	// answered means that the complete, correct answer came within the deadline.
	answered resultKind = iota + 1
	// wrong means that the answer ended without an error but has the wrong text.
	wrong
	// refused means an error that says that the request did not run.
	refused
	// lost means any other result: the answer was cut off, failed or late.
	lost
)

// outcome is a completed request as seen by its caller.
type outcome struct {
	job    *job
	answer client.Answer
	result resultKind
	// endedAt is the time since the start of the load.
	endedAt time.Duration
	err     error
}

// callers holds one client per team.
type callers []*client.Client

func newCallers() callers {
	var list callers
	for i := range teamCount {
		list = append(list, client.New(apiKey(i)))
	}
	return list
}

func (c callers) close() {
	for _, caller := range c {
		caller.Close()
	}
}

// replyGrace is how long a caller waits beyond the deadline, so that it receives
// the error with which a host ends a late request.
const replyGrace = 500 * time.Millisecond

// send sends a job to an address and waits for its answer until the deadline.
func (c callers) send(ctx context.Context, address string, j *job, deadline time.Duration) outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deadline+replyGrace)
	defer cancel()
	answer, err := c[j.team].Complete(ctx, address, client.Request{
		Model: string(model), Class: string(j.class()), Prompt: j.prompt, MaxTokens: j.maxTokens, Stream: true,
	})
	o := outcome{job: j, answer: answer, result: classify(j, answer, err), err: err}
	if o.result == answered && answer.Total > deadline {
		o.result = lost
	}
	return o
}

func classify(j *job, answer client.Answer, err error) resultKind {
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

// hostPicker returns the address of the host that a job is sent to.
type hostPicker func(j *job) string

func (d *deployment) pickHost(j *job) string {
	return d.addresses[int(j.hostRandom)%len(d.addresses)]
}

// sendAll sends jobs at their arrival times and returns their outcomes in the
// order in which they ended. When ctx ends, it stops sending.
func sendAll(ctx context.Context, jobs []job, pick hostPicker, deadline func(*job) time.Duration) []outcome {
	clients := newCallers()
	defer clients.close()
	results := make(chan outcome, len(jobs))
	slots := make(chan struct{}, maxInFlight)
	started := time.Now()
	sent := 0
	for i := range jobs {
		j := &jobs[i]
		if task.Sleep(ctx, time.Until(started.Add(j.at))) != nil {
			break
		}
		slots <- struct{}{}
		sent++
		go func() {
			defer func() { <-slots }()
			o := clients.send(ctx, pick(j), j, deadline(j))
			o.endedAt = time.Since(started)
			results <- o
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
	// rate returns the arrivals per second; peakRate is its maximum.
	rate     func(at time.Duration) float64
	peakRate float64
	duration time.Duration
	// maxTokens is the token limit of a request; an answer has between half of it
	// and all of it.
	maxTokens int64
	// longFraction is the fraction of jobs that are long, with a limit of
	// longMaxTokens.
	longFraction  float64
	longMaxTokens int64
}

// jobs generates arrivals of a Poisson process with a varying rate by thinning
// one with the peak rate. The seed determines the jobs.
func (d *demand) jobs(seed uint64) []job {
	random := rand.New(rand.NewPCG(seed, 1))
	var list []job
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / d.peakRate * float64(time.Second))
		if at >= d.duration {
			return list
		}
		j := job{
			// A few teams send most of the work.
			at: at, team: min(random.IntN(teamCount), random.IntN(teamCount)), hostRandom: random.Uint32(),
			prompt: fmt.Sprintf("What do you pay for card %d?", random.IntN(1_000_000)), maxTokens: d.maxTokens,
		}
		if j.long = random.Float64() < d.longFraction; j.long {
			j.maxTokens = d.longMaxTokens
		}
		if random.Float64()*d.peakRate < d.rate(at) {
			list = append(list, j)
		}
	}
}

// quantile returns a quantile in seconds, or 0 if there are no times.
func quantile(times []time.Duration, percent float64) float64 {
	histogram := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	for _, t := range times {
		_ = histogram.RecordValue(int64(t / time.Microsecond))
	}
	return (time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond).Seconds()
}

// span is a time interval relative to the start of the load, without its end.
type span struct{ from, to time.Duration }

func (s span) contains(at time.Duration) bool { return at >= s.from && at < s.to }

// firstTokens returns the times to the first token of short jobs that arrived in
// a span.
func firstTokens(outcomes []outcome, in span) []time.Duration {
	var times []time.Duration
	for i := range outcomes {
		if o := &outcomes[i]; !o.job.long && in.contains(o.job.at) && o.answer.FirstToken > 0 {
			times = append(times, o.answer.FirstToken)
		}
	}
	return times
}

func count(outcomes []outcome, result resultKind) float64 {
	total := 0
	for i := range outcomes {
		if outcomes[i].result == result {
			total++
		}
	}
	return float64(total)
}

// goodput returns the rate of tokens of correct answers generated within a span,
// in tokens/s. The tokens of an answer are spread evenly over the time from the
// first to the last.
func goodput(outcomes []outcome, in span, only func(*job) bool) float64 {
	total := 0.0
	for i := range outcomes {
		o := &outcomes[i]
		if o.result != answered || !only(o.job) {
			continue
		}
		startedAt := o.endedAt - o.answer.Total + o.answer.FirstToken
		overlap := min(o.endedAt, in.to) - max(startedAt, in.from)
		if length := o.endedAt - startedAt; overlap > 0 && length > 0 {
			total += float64(o.answer.GeneratedTokens) * float64(overlap) / float64(length)
		}
	}
	return total / (in.to - in.from).Seconds()
}

func allJobs(*job) bool { return true }
