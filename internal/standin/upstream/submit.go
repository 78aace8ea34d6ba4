package upstream

import (
	"container/heap"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/upstream/wire"
)

// submission is a decoded request for an answer.
type submission struct {
	id        core.RequestID
	attempt   int
	priority  int
	after     int64
	prompt    prompt
	maxTokens int64
	// partial is the text that an engine without the stream continues.
	partial string
}

// refusalKind says why a submission was refused.
type refusalKind uint8

const (
	accepted refusalKind = iota
	refusedLeaving
	refusedFull
	// refusedUnknown means that the engine neither holds the stream nor got
	// the text that it should continue.
	refusedUnknown
)

// acceptance is the engine's answer to a submission.
type acceptance struct {
	refused        refusalKind
	updates        <-chan progress
	length         int64
	finishReason   string
	misdeliverFrom int64
	// serial names the stream if it ends with its connection, else it is 0.
	serial uint64
	// load counts the request itself.
	load wire.AnswerLoad
}

// submit continues a held stream or starts a new one.
func (o *engineState) submit(request submission, now time.Time) acceptance {
	o.forget(now)
	length, finishReason := request.prompt.length(request.maxTokens)
	answer := acceptance{length: length, finishReason: finishReason, misdeliverFrom: o.misdeliverFrom}
	if s, found := o.held[request.id]; found && !o.settings.ForgetsStreams {
		o.counters.Resumed++
		s.attempt = max(s.attempt, request.attempt)
		answer.updates, answer.load = s.subscribe(), o.answerLoad()
		return answer
	}
	if answer.refused = o.refuse(request, length); answer.refused != accepted {
		o.counters.Refused++
		return answer
	}
	s := o.start(request, length)
	answer.updates, answer.load = s.subscribe(), o.answerLoad()
	if o.settings.ForgetsStreams {
		answer.serial = s.serial
	}
	return answer
}

func (o *engineState) refuse(request submission, length int64) refusalKind {
	switch {
	case request.after > length || request.partial != request.prompt.textUpTo(request.after):
		return refusedUnknown
	case o.leaving:
		return refusedLeaving
	case len(o.waiting) >= o.settings.MaxWaiting:
		return refusedFull
	}
	return accepted
}

func (o *engineState) start(request submission, length int64) *stream {
	o.serial++
	s := &stream{
		id: request.id, prompt: request.prompt, length: length,
		priority: request.priority, attempt: request.attempt, serial: o.serial,
		progress: progress{generated: request.after},
	}
	s.prefill = max(0, request.prompt.tokens+request.after-o.prefixes.use(request.prompt.text))
	o.counters.PrefillTokens += s.prefill
	o.counters.Runs[request.id]++
	o.held[request.id] = s
	heap.Push(&o.waiting, s)
	return s
}

// answerLoad is the load that an answer carries, which is not late.
func (o *engineState) answerLoad() wire.AnswerLoad {
	return wire.AnswerLoad{Running: len(o.running), Waiting: len(o.waiting), MaxRunning: o.settings.MaxRunning}
}

// report publishes a load report.
func (o *engineState) report(now time.Time) {
	rate := 0.0
	if elapsed := now.Sub(o.reportedAt).Seconds(); !o.reportedAt.IsZero() && elapsed > 0 {
		rate = float64(o.counters.GeneratedTokens-o.reportedTokens) / elapsed
	}
	used := o.prefixes.tokens()
	for _, s := range o.running {
		used += s.prompt.tokens + s.progress.generated
	}
	o.published = wire.Load{
		Upstream: string(o.settings.ID), Incarnation: uint64(o.settings.Incarnation), Leaving: o.leaving,
		Running: len(o.running), Waiting: len(o.waiting), MaxRunning: o.settings.MaxRunning,
		KVUsed: used, KVTotal: o.settings.KVTokens, TokensPerSecond: rate, MeasuredAt: now,
	}
	o.reportedAt, o.reportedTokens = now, o.counters.GeneratedTokens
}

// load returns the report that is visible now.
func (o *engineState) load(now time.Time) wire.Load {
	if o.settings.LoadLag == 0 {
		o.report(now)
	}
	return o.published
}

// order accepts an order unless its fencing number is old and checked. It
// returns the highest number seen.
func (o *engineState) order(order wire.Order) (highest int64, ok bool) {
	if o.settings.ChecksFencing && order.Fencing < o.fencing {
		return o.fencing, false
	}
	o.fencing = max(o.fencing, order.Fencing)
	o.counters.Orders = append(o.counters.Orders, order)
	return o.fencing, true
}
