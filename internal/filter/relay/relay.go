// Package relay is the filter that forwards an upstream's events to the caller.
// It delivers only events of the request's own answer, in order, and withholds
// the finish event until the request is settled.
package relay

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/stream"
)

// Sink sends a streamed answer to the caller.
type Sink interface {
	// Token appends generated text to the answer.
	Token(text string) error
	// Flush sends the appended text. It blocks for a limited time while the
	// caller reads slowly.
	Flush() error
}

// Ending is the reason why the relay of an attempt ended.
type Ending uint8

// The endings.
const (
	// Finished means that the complete answer was received.
	Finished Ending = iota + 1
	// Broken means that the attempt failed before the answer was complete.
	Broken
	// Silent means that no event arrived in time.
	Silent
	// CallerGone means that the caller stopped reading the answer, or that
	// the request's deadline passed.
	CallerGone
)

// Outcome describes how the relay of one attempt ended.
type Outcome struct {
	Ending Ending
	// Finish is set when Ending is Finished.
	Finish core.Event
	// FirstToken is the time from the start of the attempt to its first token;
	// 0 if there was none.
	FirstToken time.Duration
	// Tokens counts the tokens delivered by this attempt.
	Tokens int64
	Err    error
}

// AnswerState is the state of one answer over all its attempts.
type AnswerState struct {
	Cursor *stream.Cursor
	Pace   stream.Pace
	// Patient is true if no attempt is ever reported as silent, as the work must not be
	// sent again.
	Patient bool
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

// Begin returns the relay of one attempt.
func (f *Filter) Begin(answer *AnswerState, results <-chan core.StreamResult, sink Sink) *Attempt {
	started := f.now()
	return &Attempt{answer: answer, results: results, sink: sink, started: started, lastToken: started, now: f.now}
}

// Run relays the attempt until it ends or is silent. It may be called again after an
// outcome that is Silent, as the upstream may go on. It handles all events that have
// arrived before it flushes, so that a burst needs only one write.
func (r *Attempt) Run(ctx context.Context) Outcome {
	timer := time.NewTimer(r.answer.Pace.Limit())
	defer timer.Stop()
	silence := timer.C
	if r.answer.Patient {
		silence = nil
	}
	for {
		select {
		case result, open := <-r.results:
			if r.handle(result, open) || r.handleBuffered() {
				return r.outcome
			}
			if err := r.sink.Flush(); err != nil {
				return r.end(CallerGone, err)
			}
			timer.Reset(r.answer.Pace.Limit())
		case <-silence:
			r.answer.Pace.DoubleLimit()
			return r.end(Silent, nil)
		case <-ctx.Done():
			return r.end(CallerGone, ctx.Err())
		}
	}
}

// Attempt is the state of relaying one attempt.
type Attempt struct {
	answer    *AnswerState
	results   <-chan core.StreamResult
	sink      Sink
	started   time.Time
	lastToken time.Time
	now       func() time.Time
	outcome   Outcome
}

func (r *Attempt) end(ending Ending, err error) Outcome {
	r.outcome.Ending = ending
	r.outcome.Err = err
	return r.outcome
}

// handleBuffered handles the results that are buffered in the channel. It
// returns true if the attempt has ended.
func (r *Attempt) handleBuffered() bool {
	for {
		select {
		case result, open := <-r.results:
			if r.handle(result, open) {
				return true
			}
		default:
			return false
		}
	}
}

// handle processes one result and returns true if the attempt has ended.
func (r *Attempt) handle(result core.StreamResult, open bool) bool {
	if !open {
		r.end(Broken, errTruncated)
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
		r.end(Broken, errForeign.WithCause(err))
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

func (r *Attempt) deliver(event *core.Event) bool {
	now := r.now()
	if r.outcome.Tokens == 0 {
		r.outcome.FirstToken = now.Sub(r.started)
		if r.answer.OnFirstToken != nil {
			r.answer.OnFirstToken(r.outcome.FirstToken)
		}
	} else {
		r.answer.Pace.Observe(now.Sub(r.lastToken))
	}
	r.lastToken = now
	r.outcome.Tokens++
	if err := r.sink.Token(event.Text); err != nil {
		r.end(CallerGone, err)
		return true
	}
	return false
}
