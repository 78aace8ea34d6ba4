package upstream

import (
	"container/heap"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/upstream/wire"
)

// submission is a decoded completion request.
type submission struct {
	id        core.RequestID
	attempt   int
	priority  int
	after     int64
	prompt    prompt
	maxTokens int64
	// partialOutput is the text to continue if the engine has no such stream.
	partialOutput string
}

// refusalReason says why a submission was refused.
type refusalReason uint8

const (
	notRefused refusalReason = iota
	refusedLeaving
	refusedFull
	// refusedUnknownStream means that the engine neither has the stream nor
	// received the text to continue.
	refusedUnknownStream
)

// submitResult is the engine's decision about a submission.
type submitResult struct {
	refusal        refusalReason
	updates        <-chan progress
	length         int64
	finishReason   string
	misdeliverFrom int64
	// cancelSerial identifies the stream to cancel when its connection breaks;
	// it is 0 for a stream that can be resumed.
	cancelSerial uint64
	// load includes the request itself.
	load wire.AnswerLoad
}

// submit resumes a stream or starts a new one.
func (o *engineState) submit(request submission, now time.Time) submitResult {
	o.expireStreams(now)
	length, finishReason := request.prompt.length(request.maxTokens)
	answer := submitResult{length: length, finishReason: finishReason, misdeliverFrom: o.misdeliverFrom}
	if s, found := o.streams[request.id]; found && !o.settings.DisableResumption {
		o.counters.Resumed++
		s.attempt = max(s.attempt, request.attempt)
		answer.updates, answer.load = s.subscribe(), o.answerLoad()
		return answer
	}
	if answer.refusal = o.refusalFor(request, length); answer.refusal != notRefused {
		o.counters.Refused++
		return answer
	}
	s := o.startStream(request, length)
	answer.updates, answer.load = s.subscribe(), o.answerLoad()
	if o.settings.DisableResumption {
		answer.cancelSerial = s.serial
	}
	return answer
}

func (o *engineState) refusalFor(request submission, length int64) refusalReason {
	switch {
	case request.after > length || request.partialOutput != request.prompt.textUpTo(request.after):
		return refusedUnknownStream
	case o.leaving:
		return refusedLeaving
	case len(o.waiting) >= o.settings.MaxWaiting:
		return refusedFull
	}
	return notRefused
}

func (o *engineState) startStream(request submission, length int64) *stream {
	o.lastSerial++
	s := &stream{
		id: request.id, prompt: request.prompt, length: length,
		priority: request.priority, attempt: request.attempt, serial: o.lastSerial,
		progress: progress{generated: request.after},
	}
	s.prefill = max(0, request.prompt.tokens+request.after-o.prefixes.lookupAndInsert(request.prompt.text))
	o.counters.PrefillTokens += s.prefill
	o.counters.Runs[request.id]++
	o.streams[request.id] = s
	heap.Push(&o.waiting, s)
	return s
}

// answerLoad is the load that an answer carries. It is always current.
func (o *engineState) answerLoad() wire.AnswerLoad {
	return wire.AnswerLoad{Running: len(o.running), Waiting: len(o.waiting), MaxRunning: o.settings.MaxRunning}
}

// publishLoad replaces the published load report by a current one.
func (o *engineState) publishLoad(now time.Time) {
	rate := 0.0
	if elapsed := now.Sub(o.reportedAt).Seconds(); !o.reportedAt.IsZero() && elapsed > 0 {
		rate = float64(o.counters.GeneratedTokens-o.reportedTokens) / elapsed
	}
	used := o.prefixes.usedTokens()
	for _, s := range o.running {
		used += s.prompt.tokens + s.progress.generated
	}
	o.publishedLoad = wire.Load{
		Upstream: string(o.settings.ID), Incarnation: uint64(o.settings.Incarnation), Leaving: o.leaving,
		Running: len(o.running), Waiting: len(o.waiting), MaxRunning: o.settings.MaxRunning,
		KVUsed: used, KVTotal: o.settings.KVTokens, TokensPerSecond: rate, MeasuredAt: now,
	}
	o.reportedAt, o.reportedTokens = now, o.counters.GeneratedTokens
}

// visibleLoad returns the published load report, or a current one without a lag.
func (o *engineState) visibleLoad(now time.Time) wire.Load {
	if o.settings.LoadLag == 0 {
		o.publishLoad(now)
	}
	return o.publishedLoad
}

// acceptOrder records an order, unless fencing is checked and the order's number
// is lower than the highest seen. It returns the highest number.
func (o *engineState) acceptOrder(order wire.Order) (highest int64, ok bool) {
	if o.settings.ChecksFencing && order.Fencing < o.fencing {
		return o.fencing, false
	}
	o.fencing = max(o.fencing, order.Fencing)
	o.counters.Orders = append(o.counters.Orders, order)
	return o.fencing, true
}
