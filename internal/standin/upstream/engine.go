// Package upstream holds small stand-ins of engines and plain services for
// tests and for trying a fleet by hand.
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

// Engine is a model engine with continuous batching. Its task owns all
// streams; HTTP handlers reach it by messages.
type Engine struct {
	settings EngineSettings
	inbox    *task.Inbox[func(*engineState)]
}

// Counters is what an engine has done.
type Counters struct {
	// Runs counts how often generation was started for a request, resumptions
	// of a held stream excluded.
	Runs map[core.RequestID]int
	// Resumed counts requests that were answered from a held stream.
	Resumed int
	// Refused counts requests that were refused before they ran.
	Refused int
	// Cancelled counts streams that were cancelled before their end.
	Cancelled int
	// GeneratedTokens counts tokens over all streams.
	GeneratedTokens int64
	// PrefillTokens counts prompt tokens that were not cached.
	PrefillTokens int64
	// Orders lists the orders that were accepted.
	Orders []wire.Order
}

// NewEngine returns an engine that works once its Run method runs.
func NewEngine(settings EngineSettings) *Engine {
	return &Engine{settings: settings.withDefaults(), inbox: task.NewInbox[func(*engineState)](inboxCapacity)}
}

// Run generates until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	defer e.inbox.Close()
	owned := newEngineState(e.settings)
	defer owned.stepTimer.Stop()
	var reports <-chan time.Time
	if e.settings.LoadLag > 0 {
		ticker := time.NewTicker(e.settings.LoadLag)
		defer ticker.Stop()
		reports = ticker.C
	}
	for {
		select {
		case message := <-e.inbox.Messages():
			message(owned)
		case <-owned.stepTimer.C:
			owned.stepping = false
			owned.step(time.Now())
		case now := <-reports:
			owned.report(now)
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

// SetLeaving makes the engine refuse new work, or take it again.
func (e *Engine) SetLeaving(leaving bool) {
	e.control(func(owned *engineState) { owned.leaving = leaving })
}

// SetSlowdown multiplies the step time; 1 is normal.
func (e *Engine) SetSlowdown(factor float64) {
	e.control(func(owned *engineState) { owned.slowdown = max(factor, 0) })
}

// SetMisdelivery makes answers carry another request's id from a position on;
// 0 ends it.
func (e *Engine) SetMisdelivery(from int64) {
	e.control(func(owned *engineState) { owned.misdeliverFrom = from })
}

// Counters returns what the engine has done.
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
	held     map[core.RequestID]*stream
	// ended lists held streams that have ended, the oldest first.
	ended    []*stream
	waiting  waitingQueue
	running  []*stream
	serial   uint64
	prefixes *prefixCache

	stepTimer *time.Timer
	stepping  bool

	leaving        bool
	slowdown       float64
	misdeliverFrom int64
	fencing        int64
	counters       Counters

	published      wire.Load
	reportedAt     time.Time
	reportedTokens int64
}

func newEngineState(settings EngineSettings) *engineState {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	owned := &engineState{
		settings: settings, held: make(map[core.RequestID]*stream),
		prefixes: newPrefixCache(settings.KVTokens / 2), stepTimer: timer, slowdown: 1,
		counters: Counters{Runs: make(map[core.RequestID]int)},
	}
	owned.report(time.Now())
	return owned
}

// schedule starts the timer of the next step when there is work.
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

// step gives each running stream a token or a part of its prefill.
func (o *engineState) step(now time.Time) {
	still, load := o.running[:0], o.answerLoad()
	for _, s := range o.running {
		if s.progress.generated == 0 {
			s.progress.load = load
		}
		if s.step(o.settings.PrefillPerStep) {
			o.counters.GeneratedTokens++
		}
		if s.progress.finished {
			o.end(s, now)
		} else {
			still = append(still, s)
		}
	}
	clear(o.running[len(still):])
	o.running = still
	o.forget(now)
}

// end keeps a stream for resumption until its retention is over.
func (o *engineState) end(s *stream, now time.Time) {
	s.subscribers = nil
	s.expires = now.Add(o.settings.Retention)
	o.ended = append(o.ended, s)
}

// forget drops ended streams whose retention is over.
func (o *engineState) forget(now time.Time) {
	for len(o.ended) > 0 && !o.ended[0].expires.After(now) {
		if o.held[o.ended[0].id] == o.ended[0] {
			delete(o.held, o.ended[0].id)
		}
		o.ended = o.ended[1:]
	}
}

// cancel ends a stream early, unless a later attempt has resumed it. A later
// request of the same id runs anew.
func (o *engineState) cancel(id core.RequestID, attempt int) {
	if s, found := o.held[id]; found && attempt >= s.attempt {
		o.stop(s)
	}
}

// disconnect ends the stream of a broken connection, on an engine that holds
// no stream without one.
func (o *engineState) disconnect(id core.RequestID, serial uint64) {
	if s, found := o.held[id]; found && s.serial == serial {
		o.stop(s)
	}
}

func (o *engineState) stop(s *stream) {
	if s.progress.finished {
		return
	}
	delete(o.held, s.id)
	o.waiting.remove(s)
	o.running = slices.DeleteFunc(o.running, func(r *stream) bool { return r == s })
	s.progress.cancelled = true
	s.publish()
	o.counters.Cancelled++
}
