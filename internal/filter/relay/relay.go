// Package relay is the filter that passes an upstream's events on to the
// caller. It delivers only the next event of the request's own answer, and it
// holds back the finish event until the request is settled.
package relay

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/stream"
)

// Sink is the caller's side of a streamed answer.
type Sink interface {
	// Token adds generated text to the answer.
	Token(text string) error
	// Flush sends what was added to the caller. It blocks while the caller
	// is slow, for a bounded time.
	Flush() error
}

// Ending says why the relay of an attempt ended.
type Ending uint8

// The endings.
const (
	// Finished means that the whole answer was received.
	Finished Ending = iota + 1
	// Broken means that the attempt ended early with an error.
	Broken
	// Silent means that no event came in time.
	Silent
	// CallerGone means that the caller took no more of the answer, or that
	// its deadline passed.
	CallerGone
)

// Outcome is what the relay of one attempt came to.
type Outcome struct {
	Ending Ending
	// Finish is set when Ending is Finished.
	Finish core.Event
	// FirstToken is the time from the start to the first token; 0 if none.
	FirstToken time.Duration
	// Tokens counts the tokens delivered by this attempt.
	Tokens int64
	Err    error
}

// Answer is the state of one answer across attempts.
type Answer struct {
	Cursor *stream.Cursor
	Pace   stream.Pace
	// OnFirstToken, if set, is called with the time from the start of an
	// attempt to its first token.
	OnFirstToken func(elapsed time.Duration)
}

// Filter relays answers.
type Filter struct {
	now func() time.Time
}

// New returns the filter.
func New(now func() time.Time) *Filter {
	return &Filter{now: now}
}

// Apply relays one attempt until it ends. It takes all events that have
// arrived before it flushes, so that a burst costs one write.
func (f *Filter) Apply(ctx context.Context, answer *Answer, results <-chan core.StreamResult, sink Sink) Outcome {
	run := relayRun{answer: answer, sink: sink, started: f.now(), now: f.now}
	run.last = run.started
	silence := time.NewTimer(answer.Pace.Limit())
	defer silence.Stop()
	for {
		select {
		case result, open := <-results:
			if run.take(result, open) || run.drain(results) {
				return run.outcome
			}
			if err := sink.Flush(); err != nil {
				return run.end(CallerGone, err)
			}
			silence.Reset(answer.Pace.Limit())
		case <-silence.C:
			answer.Pace.DoubleLimit()
			return run.end(Silent, nil)
		case <-ctx.Done():
			return run.end(CallerGone, ctx.Err())
		}
	}
}

// relayRun is the state of one call of Apply.
type relayRun struct {
	answer  *Answer
	sink    Sink
	started time.Time
	last    time.Time
	now     func() time.Time
	outcome Outcome
}

func (r *relayRun) end(ending Ending, err error) Outcome {
	r.outcome.Ending = ending
	r.outcome.Err = err
	return r.outcome
}

// drain takes the events that wait in the channel. It returns true when the
// attempt has ended.
func (r *relayRun) drain(results <-chan core.StreamResult) bool {
	for {
		select {
		case result, open := <-results:
			if r.take(result, open) {
				return true
			}
		default:
			return false
		}
	}
}

// take handles one result and returns true when the attempt has ended.
func (r *relayRun) take(result core.StreamResult, open bool) bool {
	if !open {
		r.end(Broken, errEndedEarly)
		return true
	}
	if result.Err != nil {
		r.end(Broken, result.Err)
		return true
	}
	verdict, err := r.answer.Cursor.Accept(&result.Event)
	switch verdict {
	case stream.Drop:
		return false
	case stream.Abort:
		r.end(Broken, err)
		return true
	case stream.Deliver:
	}
	if result.Event.Kind == core.EventFinish {
		r.outcome.Finish = result.Event
		r.end(Finished, nil)
		return true
	}
	return r.deliver(&result.Event)
}

func (r *relayRun) deliver(event *core.Event) bool {
	now := r.now()
	if r.outcome.Tokens == 0 {
		r.outcome.FirstToken = now.Sub(r.started)
		if r.answer.OnFirstToken != nil {
			r.answer.OnFirstToken(r.outcome.FirstToken)
		}
	} else {
		r.answer.Pace.Observe(now.Sub(r.last))
	}
	r.last = now
	r.outcome.Tokens++
	if err := r.sink.Token(event.Text); err != nil {
		r.end(CallerGone, err)
		return true
	}
	return false
}
