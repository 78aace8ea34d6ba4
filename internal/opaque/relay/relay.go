// Package relay is the filter that passes the answer to one attempt on to the
// caller, and says how the attempt ended.
package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/peridotreel/peridotreel/internal/decide/events"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/link"
	"github.com/peridotreel/peridotreel/internal/opaque/attempt"
)

// maxWholeBytes bounds an answer that is passed on whole.
const maxWholeBytes = 16 << 20

// Ending tells how an attempt ended.
type Ending string

// The endings.
const (
	// Delivered means that the caller has the whole answer.
	Delivered Ending = "delivered"
	// NotRun means that the upstream states that it did not run the request, or
	// that nothing was sent.
	NotRun Ending = "not_run"
	// Failed means that the upstream answered with a failure; Answer holds it.
	Failed Ending = "failed"
	// Broke means that the answer broke off or was none; the request may have
	// run.
	Broke Ending = "broke"
	// Silent means that nothing came within the patience of the attempt.
	Silent Ending = "silent"
	// TimeUp means that the deadline passed.
	TimeUp Ending = "time_up"
	// CallerGone means that the caller closed its connection.
	CallerGone Ending = "caller_gone"
)

// WholeAnswer is an answer that is held until it is complete.
type WholeAnswer struct {
	Head gateway.AnswerHead
	Body []byte
}

// Outcome tells how an attempt ended.
type Outcome struct {
	Ending Ending
	Err    error
	// Arrived is true if the request may have reached the upstream.
	Arrived bool
	// Status is that of the upstream's answer, 0 for none.
	Status int
	// Answer is set on Failed.
	Answer *WholeAnswer
}

// Progress is what the caller has of a streamed answer, over all attempts.
type Progress struct {
	Splitter events.Splitter
	// Events counts whole events delivered.
	Events int
	// FirstEvent is when the first event was delivered, zero before.
	FirstEvent time.Time
	// LongestPause is the longest time between two deliveries.
	LongestPause time.Duration
	last         time.Time
}

// Task describes what to relay.
type Task struct {
	Sent     *attempt.Sent
	Answer   gateway.Answer
	Stream   bool
	Progress *Progress
	// Patience is the longest silence before the attempt is given up; 0 waits
	// until the deadline.
	Patience time.Duration
	Now      func() time.Time
}

// Apply relays until the attempt has ended. ctx ends with the deadline or when
// the caller leaves.
func Apply(ctx context.Context, task Task) Outcome {
	defer task.Sent.End()
	r := &run{Task: task}
	outcome := r.collect(ctx)
	r.observe(outcome)
	return outcome
}

// run is one attempt being relayed.
type run struct {
	Task
	head  *gateway.AnswerHead
	whole []byte
	// armed is when the patience began.
	armed time.Time
	// streaming is true once the answer is passed on as it comes.
	streaming bool
}

func (r *run) collect(ctx context.Context) Outcome {
	var patience <-chan time.Time
	var timer *time.Timer
	if r.Patience > 0 {
		timer, r.armed = time.NewTimer(r.Patience), r.Now()
		defer timer.Stop()
		patience = timer.C
	}
	for {
		select {
		case event := <-r.Sent.Events:
			outcome, ended := r.take(event)
			if ended {
				return outcome
			}
			if timer != nil {
				timer.Reset(r.Patience)
				r.armed = r.Now()
			}
		case fired := <-patience:
			if r.paused(fired) {
				timer.Reset(r.Patience)
				r.armed = r.Now()
				continue
			}
			return r.ended(Silent, errors.New("the upstream sent nothing for too long"))
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return r.ended(TimeUp, ctx.Err())
			}
			return r.ended(CallerGone, ctx.Err())
		}
	}
}

// pauseTolerance is how late a timer may fire before the process is taken to
// have been suspended. What came meanwhile has not been read then.
const pauseTolerance = 150 * time.Millisecond

// paused reports whether the silence may be the host's own: the process was
// suspended, or parts of the answer wait to be taken.
func (r *run) paused(fired time.Time) bool {
	return len(r.Sent.Events) > 0 || fired.Sub(r.armed) > r.Patience+pauseTolerance || r.Now().Sub(fired) > pauseTolerance
}

func (r *run) ended(ending Ending, err error) Outcome {
	outcome := Outcome{Ending: ending, Err: err, Arrived: true}
	if r.head != nil {
		outcome.Status = r.head.Status
	}
	return outcome
}

// take handles one part of the answer and reports whether it was the last.
func (r *run) take(event link.Event) (Outcome, bool) {
	switch {
	case event.Head != nil:
		return r.takeHead(event.Head)
	case event.End != nil:
		return r.takeEnd(event.End), true
	case r.streaming:
		return r.forward(event.Data)
	default:
		r.whole = append(r.whole, event.Data...)
		if len(r.whole) > maxWholeBytes {
			return r.ended(Broke, errors.New("the answer is longer than this host accepts")), true
		}
		return Outcome{}, false
	}
}

func (r *run) takeHead(head *gateway.AnswerHead) (Outcome, bool) {
	r.head = head
	r.Sent.Observe(placement.Started, head.Load)
	if !head.Success() {
		return Outcome{}, false
	}
	if !head.Signed || head.ID == "" || head.Encoded {
		return r.ended(Broke, errors.New("the answer bears no signature of the upstream")), true
	}
	if !r.Stream {
		return Outcome{}, false
	}
	r.streaming = true
	if !r.Answer.Begun() {
		if err := r.Answer.Begin(head.Status, head.Fields); err != nil {
			return r.ended(CallerGone, err), true
		}
	}
	return Outcome{}, false
}

// forward passes on whole events.
func (r *run) forward(data []byte) (Outcome, bool) {
	whole, count := r.Progress.Splitter.Push(data)
	if r.Progress.Splitter.PartialTooLong() {
		return r.ended(Broke, errors.New("an event is longer than this host accepts")), true
	}
	if count == 0 {
		return Outcome{}, false
	}
	if err := r.Answer.Write(whole); err != nil {
		return r.ended(CallerGone, err), true
	}
	now := r.Now()
	if r.Progress.FirstEvent.IsZero() {
		r.Progress.FirstEvent = now
	} else {
		r.Progress.LongestPause = max(r.Progress.LongestPause, now.Sub(r.Progress.last))
	}
	r.Progress.last = now
	r.Progress.Events += count
	return Outcome{}, false
}

func (r *run) takeEnd(end *link.End) Outcome {
	switch {
	case end.Unsent:
		return Outcome{Ending: NotRun, Err: end.Err}
	case end.Err != nil:
		return r.ended(Broke, end.Err)
	case r.head == nil:
		return r.ended(Broke, link.ErrClosed)
	case r.streaming:
		return r.endStream()
	case r.head.NotRun || r.head.WrongInstance:
		return Outcome{Ending: NotRun, Arrived: true, Status: r.head.Status}
	}
	outcome := r.ended(Failed, nil)
	outcome.Answer = &WholeAnswer{Head: *r.head, Body: r.whole}
	if r.head.Success() {
		if err := r.Answer.Whole(r.head.Status, r.head.Fields, r.whole); err != nil {
			return r.ended(CallerGone, err)
		}
		outcome.Ending = Delivered
	}
	return outcome
}

func (r *run) endStream() Outcome {
	if r.Progress.Splitter.HasPartial() {
		return r.ended(Broke, errors.New("the stream ended within an event"))
	}
	if err := r.Answer.End(); err != nil {
		return r.ended(CallerGone, err)
	}
	return r.ended(Delivered, nil)
}

// signals maps endings to what they show about the upstream.
var signals = map[Ending]placement.Signal{
	Delivered: placement.Succeeded, Failed: placement.Failed, Broke: placement.Broke,
	Silent: placement.Silent, TimeUp: placement.Silent, CallerGone: placement.Abandoned,
}

func (r *run) observe(outcome Outcome) {
	signal := signals[outcome.Ending]
	var load *gateway.Load
	if r.head != nil {
		load = r.head.Load
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
		r.Sent.Observe(signal, load)
		return
	}
	r.Sent.Observe(signal, nil)
}
