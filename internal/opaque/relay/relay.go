// Package relay is the filter that forwards the answer of an attempt to the caller and
// reports how the attempt ended. Several attempts of a request may be in flight, of
// which only one forwards its answer.
package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/peridotreel/peridotreel/internal/connpool"
	"github.com/peridotreel/peridotreel/internal/decide/events"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/opaque/attempt"
)

// maxBufferedBytes limits the part of an answer that is buffered, since hosts have
// some 100 MB for all requests. A longer success is forwarded as it arrives and can
// no longer be retried; a longer failure is not an answer of the platform's.
const maxBufferedBytes = 256 << 10

// Ending is the way in which an attempt ended.
type Ending string

// The endings.
const (
	// Delivered means that the whole answer was written to the caller.
	Delivered Ending = "delivered"
	// NotRun means that the upstream reports that it did not run the request, or
	// that nothing was sent.
	NotRun Ending = "not_run"
	// Failed means that the upstream answered with a failure, which is in
	// Outcome.Answer.
	Failed Ending = "failed"
	// Broke means that the answer was incomplete, invalid or missing; the
	// request may have run.
	Broke Ending = "broke"
	// Superseded means that another attempt of the request answers it.
	Superseded Ending = "superseded"
	// TimeUp means that the deadline passed.
	TimeUp Ending = "time_up"
	// CallerGone means that the caller closed its connection.
	CallerGone Ending = "caller_gone"
	// HostStopping means that the host stops before the upstream answered.
	HostStopping Ending = "host_stopping"
)

// Interrupted returns the ending of an attempt whose context has ended.
func Interrupted(ctx context.Context) Ending {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return TimeUp
	case errors.Is(context.Cause(ctx), gateway.ErrHostStopping):
		return HostStopping
	default:
		return CallerGone
	}
}

// BufferedAnswer is an answer that is buffered until it is complete.
type BufferedAnswer struct {
	Head gateway.AnswerHead
	Body []byte
}

// Outcome describes how an attempt ended.
type Outcome struct {
	Ending Ending
	Err    error
	// Arrived is true if the request may have reached the upstream.
	Arrived bool
	// Status is the HTTP status of the upstream's answer, 0 if there is none.
	Status int
	// Answer is set on Failed.
	Answer *BufferedAnswer
	// ClosedEarly is true if the connection ended before the upstream answered.
	ClosedEarly bool
}

// Progress describes how much of a streamed answer was delivered to the caller,
// over all attempts.
type Progress struct {
	// LastID is the id of the last event delivered that had one.
	LastID string
	// Events is the number of whole events delivered.
	Events int
	// FirstEvent is the time when the first event was delivered, zero before.
	FirstEvent time.Time
	// LongestPause is the longest time between two deliveries.
	LongestPause time.Duration
	lastEvent    time.Time
}

// Task describes what to relay.
type Task struct {
	Sent     *attempt.Sent
	Answer   gateway.Answer
	Stream   bool
	Progress *Progress
	// Memory holds what is buffered of the answer.
	Memory Memory
	// Began is called when the first event of the stream is about to be delivered.
	Began func()
	Now   func() time.Time
}

// Memory is the memory that the host has for the attempt's buffers.
type Memory interface {
	// Cover reports whether a number of bytes may be buffered.
	Cover(bytes int64) bool
	// Close gives back all that is held.
	Close()
}

// Attempt is the state of relaying one attempt. It is owned by the goroutine of the
// request.
type Attempt struct {
	Task
	head *gateway.AnswerHead
	body []byte
	// progressAt is when the attempt was sent or last made progress.
	progressAt time.Time
	// stalled is true if the upstream was reported as silent since then.
	stalled bool
	// streaming is true once the answer is forwarded as it arrives.
	streaming bool
	// unbuffered is true once an answer that is no stream is forwarded as it
	// arrives.
	unbuffered bool
	// splitter holds the part of an event that has arrived.
	splitter events.Splitter
	// events is the number of whole events that this attempt delivered.
	events int
	// observed is true once the attempt's end was reported.
	observed bool
}

// Begin starts to relay an attempt that was just sent.
func Begin(task Task) *Attempt { return &Attempt{Task: task, progressAt: task.Now()} }

// answeringEvents is the number of events from which an upstream is known to
// answer a request: one that crashes on it may still send the first.
const answeringEvents = 2

// answering reports whether the upstream is known to answer the request.
func (r *Attempt) answering() bool { return r.events >= answeringEvents }

// Handle relays one part of the answer and reports whether it was the last. The attempt
// has ended then.
func (r *Attempt) Handle(event connpool.Event) (Outcome, bool) {
	eventsBefore := r.events
	outcome, ended := r.handleEvent(event)
	if ended {
		r.end(outcome)
		return outcome, true
	}
	// Parts of an event are no progress of a stream: an upstream that is stuck may send
	// a byte now and then.
	if !r.streaming || event.Head != nil || r.events > eventsBefore {
		r.progressAt, r.stalled = r.Now(), false
	}
	return Outcome{}, false
}

// Stop ends the attempt before its answer is complete.
func (r *Attempt) Stop(ending Ending, err error) Outcome {
	outcome := r.outcome(ending, err)
	r.end(outcome)
	return outcome
}

func (r *Attempt) end(outcome Outcome) {
	r.Sent.End()
	r.Memory.Close()
	r.observe(outcome)
}

// Events returns the number of whole events that the attempt delivered.
func (r *Attempt) Events() int { return r.events }

// Forwards reports whether the attempt has written a part of its answer to the caller.
// The head of a stream is written with its first event.
func (r *Attempt) Forwards() bool { return r.events > 0 || r.unbuffered }

// Repeatable reports whether another attempt may still answer the request: the rest of
// an answer that is no stream can't be had from another upstream.
func (r *Attempt) Repeatable() bool { return !r.unbuffered }

// Stalled reports whether the attempt has made no progress since Stall was called.
func (r *Attempt) Stalled() bool { return r.stalled }

// SilentSince returns when the attempt was sent or last made progress.
func (r *Attempt) SilentSince() time.Time { return r.progressAt }

// Stall records that the upstream is silent. The attempt goes on.
func (r *Attempt) Stall() {
	if !r.stalled {
		r.stalled = true
		r.Sent.Observe(placement.Stalled, nil)
	}
}

// pauseTolerance is how late a timer may fire before the process is assumed to
// have been suspended, with parts of the answer still unread.
const pauseTolerance = 150 * time.Millisecond

// DelayedLocally reports whether this host may be the cause of the silence that a timer,
// due and fired at the given times, tells of: the process was suspended, or parts of the
// answer are still to be handled.
func (r *Attempt) DelayedLocally(due, fired time.Time) bool {
	return len(r.Sent.Events) > 0 || fired.Sub(due) > pauseTolerance || r.Now().Sub(fired) > pauseTolerance
}

func (r *Attempt) outcome(ending Ending, err error) Outcome {
	outcome := Outcome{Ending: ending, Err: err, Arrived: true}
	outcome.ClosedEarly = ending == Broke && errors.Is(err, connpool.ErrClosed) && !r.answering()
	if r.head != nil {
		outcome.Status = r.head.Status
	}
	return outcome
}

// handleEvent handles one part of the answer and reports whether it was the last.
func (r *Attempt) handleEvent(event connpool.Event) (Outcome, bool) {
	switch {
	case event.Head != nil:
		return r.handleHead(event.Head)
	case event.End != nil:
		return r.handleEnd(event.End), true
	case r.streaming:
		return r.forward(event.Data)
	case r.unbuffered:
		return r.write(event.Data)
	default:
		r.body = append(r.body, event.Data...)
		if len(r.body) > maxBufferedBytes || !r.Memory.Cover(int64(len(r.body))) {
			return r.stopBuffering()
		}
		return Outcome{}, false
	}
}

// stopBuffering starts to forward an answer that is too long to be buffered.
func (r *Attempt) stopBuffering() (Outcome, bool) {
	if !r.head.Success() {
		return r.outcome(Broke, errors.New("the failure answer exceeds the size limit of this host")), true
	}
	if err := r.Answer.Begin(r.head.Status, r.head.Fields); err != nil {
		return r.outcome(CallerGone, err), true
	}
	body := r.body
	r.body, r.unbuffered = nil, true
	return r.write(body)
}

func (r *Attempt) write(data []byte) (Outcome, bool) {
	if err := r.Answer.Write(data); err != nil {
		return r.outcome(CallerGone, err), true
	}
	return Outcome{}, false
}

func (r *Attempt) handleHead(head *gateway.AnswerHead) (Outcome, bool) {
	r.head = head
	r.Sent.Observe(placement.Started, head)
	if !head.Success() {
		return Outcome{}, false
	}
	if !head.Stamped || head.ID == "" || head.Encoded {
		return r.outcome(Broke, errors.New("the answer lacks a stamp or a request id, or has a content encoding")), true
	}
	if !r.Stream {
		return Outcome{}, false
	}
	r.streaming = true
	return Outcome{}, false
}

// begin begins the answer unless an attempt has done so.
func (r *Attempt) begin() error {
	if r.Answer.Begun() {
		return nil
	}
	return r.Answer.Begin(r.head.Status, r.head.Fields)
}

// forward writes the whole events received so far to the caller.
func (r *Attempt) forward(data []byte) (Outcome, bool) {
	whole, count := r.splitter.Push(data)
	if r.splitter.PartialTooLong() || !r.Memory.Cover(int64(r.splitter.PartialBytes())) {
		return r.outcome(Broke, errors.New("an event exceeds the size limit of this host")), true
	}
	if count == 0 {
		return Outcome{}, false
	}
	if r.Progress.Events == 0 && r.Began != nil {
		r.Began()
	}
	err := r.begin()
	if err == nil {
		err = r.Answer.Write(whole)
	}
	if err != nil {
		return r.outcome(CallerGone, err), true
	}
	if id := r.splitter.LastID(); id != "" {
		r.Progress.LastID = id
	}
	now := r.Now()
	if r.Progress.FirstEvent.IsZero() {
		r.Progress.FirstEvent = now
	} else {
		r.Progress.LongestPause = max(r.Progress.LongestPause, now.Sub(r.Progress.lastEvent))
	}
	r.Progress.lastEvent = now
	r.Progress.Events += count
	wasAnswering := r.answering()
	if r.events += count; r.answering() && !wasAnswering {
		r.Sent.Observe(placement.Progressed, nil)
	}
	return Outcome{}, false
}

func (r *Attempt) handleEnd(end *connpool.End) Outcome {
	switch {
	case end.Unsent:
		return Outcome{Ending: NotRun, Err: end.Err}
	case end.Err != nil:
		return r.outcome(Broke, end.Err)
	case r.head == nil:
		return r.outcome(Broke, connpool.ErrClosed)
	case r.streaming:
		return r.endStream(end)
	case r.unbuffered:
		return r.endAnswer()
	case r.head.NotRun || r.head.WrongInstance:
		return Outcome{Ending: NotRun, Arrived: true, Status: r.head.Status}
	case r.head.Success() && !end.Framed && len(r.body) == 0:
		// An upstream that stops within its head may still end it, without the length.
		return r.outcome(Broke, fmt.Errorf("%w: it delimits the body and sent none", connpool.ErrClosed))
	}
	outcome := r.outcome(Failed, nil)
	outcome.Answer = &BufferedAnswer{Head: *r.head, Body: r.body}
	if r.head.Success() {
		r.observeComplete()
		if err := r.Answer.Send(r.head.Status, r.head.Fields, r.body); err != nil {
			return r.outcome(CallerGone, err)
		}
		outcome.Ending = Delivered
	}
	return outcome
}

func (r *Attempt) endStream(end *connpool.End) Outcome {
	if r.splitter.HasPartial() {
		err := errors.New("the stream ended with an incomplete event")
		if !end.Framed {
			err = fmt.Errorf("%w: %w", connpool.ErrClosed, err)
		}
		return r.outcome(Broke, err)
	}
	if !end.Framed && r.events == 0 {
		return r.outcome(Broke, fmt.Errorf("%w: it delimits the stream and sent no event", connpool.ErrClosed))
	}
	if err := r.begin(); err != nil {
		return r.outcome(CallerGone, err)
	}
	return r.endAnswer()
}

func (r *Attempt) endAnswer() Outcome {
	r.observeComplete()
	if err := r.Answer.End(); err != nil {
		return r.outcome(CallerGone, err)
	}
	return r.outcome(Delivered, nil)
}

// signalByEnding maps endings to the signals that update the upstream's health.
var signalByEnding = map[Ending]placement.Signal{
	Delivered: placement.Succeeded, Failed: placement.Failed, Broke: placement.Broke,
	// A superseded attempt that was silent was reported as stalled.
	Superseded: placement.Abandoned,
	TimeUp:     placement.Silent, CallerGone: placement.Abandoned, HostStopping: placement.Abandoned,
}

// observeComplete reports that the upstream has answered, so that a caller that reads
// slowly does not count as load of the upstream.
func (r *Attempt) observeComplete() {
	r.observe(r.outcome(Delivered, nil))
	r.observed = true
}

func (r *Attempt) observe(outcome Outcome) {
	if r.observed {
		return
	}
	signal := signalByEnding[outcome.Ending]
	if outcome.ClosedEarly {
		signal = placement.ClosedEarly
	}
	if outcome.Ending == NotRun {
		signal = placement.Full
		if r.head != nil && r.head.WrongInstance {
			signal = placement.Misdirected
		}
		if !outcome.Arrived {
			signal = placement.Abandoned
		}
	}
	if outcome.Ending == Failed && outcome.Status < http.StatusInternalServerError {
		signal = placement.Succeeded
	}
	if outcome.Ending == TimeUp && r.head != nil {
		signal = placement.Abandoned
	}
	if outcome.Ending == NotRun {
		r.Sent.Observe(signal, r.head)
		return
	}
	r.Sent.Observe(signal, nil)
}
