// Package upstream implements stand-ins for model engines and plain services,
// for tests and for running a fleet locally.
package upstream

import (
	"container/heap"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/upstream/wire"
)

// inboxCapacity bounds the messages that wait for a stand-in's task.
const inboxCapacity = 1024

// Engine simulates a model engine with continuous batching. Its task owns all
// streams; HTTP handlers send messages to it.
type Engine struct {
	settings EngineSettings
	inbox    *task.Inbox[func(*engineState)]
}

// Counters holds an engine's totals since its start.
type Counters struct {
	// Runs counts how often generation was started for each request. Resumed
	// streams don't count.
	Runs map[core.RequestID]int
	// Resumed counts requests that resumed an existing stream.
	Resumed int
	// Refused counts requests that were refused before they ran.
	Refused int
	// Cancelled counts streams that were cancelled before they finished.
	Cancelled int
	// GeneratedTokens counts tokens over all streams.
	GeneratedTokens int64
	// PrefillTokens counts prompt tokens that were not cached.
	PrefillTokens int64
	// Orders lists the orders that were accepted.
	Orders []wire.Order
}

// NewEngine returns an engine that handles requests once its Run method runs.
func NewEngine(settings EngineSettings) *Engine {
	return &Engine{settings: settings.withDefaults(), inbox: task.NewInbox[func(*engineState)](inboxCapacity)}
}

// Run handles requests and generates tokens until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	defer e.inbox.Close()
	owned := newEngineState(e.settings)
	defer owned.stepTimer.Stop()
	var reportTicks <-chan time.Time
	if e.settings.LoadLag > 0 {
		ticker := time.NewTicker(e.settings.LoadLag)
		defer ticker.Stop()
		reportTicks = ticker.C
	}
	for {
		select {
		case message := <-e.inbox.Messages():
			message(owned)
		case <-owned.stepTimer.C:
			owned.stepping = false
			owned.step(time.Now())
		case now := <-reportTicks:
			owned.publishLoad(now)
		case <-ctx.Done():
			return
		}
		owned.schedule()
	}
}

// ask runs a function in the engine's task and returns its result.
func ask[R any](ctx context.Context, e *Engine, function func(*engineState) R) (R, error) {
	return task.Ask(ctx, e.inbox, func(replies chan<- R) func(*engineState) {
		return func(owned *engineState) { replies <- function(owned) }
	})
}

// control runs a function in the engine's task; it does nothing when the task
// has ended.
func (e *Engine) control(function func(*engineState)) {
	_, err := ask(context.Background(), e, func(owned *engineState) struct{} {
		function(owned)
		return struct{}{}
	})
	_ = err // the only error is task.ErrStopped
}

// SetLeaving makes the engine refuse new work, or accept it again.
func (e *Engine) SetLeaving(leaving bool) {
	e.control(func(owned *engineState) { owned.leaving = leaving })
}

// SetSlowdown multiplies the step time; 1 is normal.
func (e *Engine) SetSlowdown(factor float64) {
	e.control(func(owned *engineState) { owned.slowdown = max(factor, 0) })
}

// SetMisdelivery makes answers carry another request's id from the given token
// position on; 0 turns this off.
func (e *Engine) SetMisdelivery(from int64) {
	e.control(func(owned *engineState) { owned.misdeliverFrom = from })
}

// Counters returns a copy of the engine's totals.
func (e *Engine) Counters() Counters {
	var counters Counters
	e.control(func(owned *engineState) {
		counters = owned.counters
		counters.Runs = maps.Clone(owned.counters.Runs)
		counters.Orders = slices.Clone(owned.counters.Orders)
	})
	return counters
}

// engineState belongs to the engine's task.
type engineState struct {
	settings EngineSettings
	streams  map[core.RequestID]*stream
	// retained lists the finished streams that can still be resumed, the
	// oldest first.
	retained   []*stream
	waiting    waitingQueue
	running    []*stream
	lastSerial uint64
	prefixes   *prefixCache

	stepTimer *time.Timer
	stepping  bool

	leaving        bool
	slowdown       float64
	misdeliverFrom int64
	fencing        int64
	counters       Counters

	publishedLoad  wire.Load
	reportedAt     time.Time
	reportedTokens int64
}

func newEngineState(settings EngineSettings) *engineState {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	owned := &engineState{
		settings: settings, streams: make(map[core.RequestID]*stream),
		prefixes: newPrefixCache(settings.KVTokens / 2), stepTimer: timer, slowdown: 1,
		counters: Counters{Runs: make(map[core.RequestID]int)},
	}
	owned.publishLoad(time.Now())
	return owned
}

// schedule admits waiting streams to the batch and starts the timer of the next
// step when the batch is not empty.
func (o *engineState) schedule() {
	if o.stepping {
		return
	}
	for len(o.running) < o.settings.MaxRunning && len(o.waiting) > 0 {
		o.running = append(o.running, heap.Pop(&o.waiting).(*stream))
	}
	if len(o.running) == 0 {
		return
	}
	step := o.settings.StepTime + time.Duration(len(o.running)-1)*o.settings.StepTimePerStream
	o.stepTimer.Reset(time.Duration(float64(step) * o.slowdown))
	o.stepping = true
}

// step advances each running stream by one token or by a part of its prefill.
func (o *engineState) step(now time.Time) {
	unfinished, load := o.running[:0], o.answerLoad()
	for _, s := range o.running {
		if s.progress.generated == 0 {
			s.progress.load = load
		}
		if s.step(o.settings.PrefillPerStep) {
			o.counters.GeneratedTokens++
		}
		if s.progress.finished {
			o.retain(s, now)
		} else {
			unfinished = append(unfinished, s)
		}
	}
	clear(o.running[len(unfinished):])
	o.running = unfinished
	o.expireStreams(now)
}

// retain keeps a finished stream for resumption until its retention ends.
func (o *engineState) retain(s *stream, now time.Time) {
	s.subscribers = nil
	s.expires = now.Add(o.settings.Retention)
	o.retained = append(o.retained, s)
}

// expireStreams drops finished streams whose retention has ended.
func (o *engineState) expireStreams(now time.Time) {
	for len(o.retained) > 0 && !o.retained[0].expires.After(now) {
		if o.streams[o.retained[0].id] == o.retained[0] {
			delete(o.streams, o.retained[0].id)
		}
		o.retained = o.retained[1:]
	}
}

// cancel cancels a stream unless a later attempt has resumed it. A later request
// with the same id starts a new stream.
func (o *engineState) cancel(id core.RequestID, attempt int) {
	if s, found := o.streams[id]; found && attempt >= s.attempt {
		o.cancelStream(s)
	}
}

// disconnect cancels the stream of a broken connection, on an engine without
// resumption.
func (o *engineState) disconnect(id core.RequestID, serial uint64) {
	if s, found := o.streams[id]; found && s.serial == serial {
		o.cancelStream(s)
	}
}

func (o *engineState) cancelStream(s *stream) {
	if s.progress.finished {
		return
	}
	delete(o.streams, s.id)
	o.waiting.remove(s)
	o.running = slices.DeleteFunc(o.running, func(r *stream) bool { return r == s })
	s.progress.cancelled = true
	s.publish()
	o.counters.Cancelled++
}
