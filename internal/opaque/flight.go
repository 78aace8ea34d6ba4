package opaque

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/connpool"
	"github.com/peridotreel/peridotreel/internal/decide/retrypolicy"
	"github.com/peridotreel/peridotreel/internal/opaque/attempt"
	"github.com/peridotreel/peridotreel/internal/opaque/relay"
)

const (
	// maxInFlight is the number of attempts of a request that may be in flight at once: all
	// but the newest are silent.
	maxInFlight = 4
	// hedgeRetryInterval is the time after which another upstream is looked for again if
	// none could be used.
	hedgeRetryInterval = 250 * time.Millisecond
)

var errSuperseded = errors.New("another upstream answers the request")

// flight is the attempts of a request that are in flight. An upstream that is silent may
// be sound and go on, so its attempt is not ended for that: the request is also sent to
// another upstream, and the first of them that answers ends the others.
type flight struct {
	request  *requestRun
	attempts []*attemptInFlight // the oldest first
	// preparing receives the next attempt while it is prepared, nil otherwise.
	preparing chan preparation
	// silence fires at silenceDue if another attempt may be sent, to tell whether the
	// newest is silent.
	silence    *time.Timer
	silenceDue time.Time
}

// attemptInFlight is an attempt in flight, with what the log tells of it.
type attemptInFlight struct {
	*relay.Attempt
	startedAt time.Time
	// sentAfter is the time from startedAt until the request was sent.
	sentAfter time.Duration
}

// preparation is the result of preparing an attempt.
type preparation struct {
	startedAt time.Time
	prepared  *attempt.Prepared
	err       error
}

func newFlight(request *requestRun, sent *attempt.Sent, startedAt time.Time) *flight {
	f := &flight{request: request, silence: time.NewTimer(0)}
	f.silence.Stop()
	f.add(sent, startedAt)
	return f
}

// add relays an attempt that was sent.
func (f *flight) add(sent *attempt.Sent, startedAt time.Time) {
	r := f.request
	r.plan.Excluded = append(r.plan.Excluded, sent.Placed.Upstream.ID)
	f.attempts = append(f.attempts, &attemptInFlight{
		Attempt: relay.Begin(relay.Task{
			Sent: sent, Answer: r.answer, Stream: r.matched.Route.Retry.Stream(), Progress: &r.progress,
			Memory: r.pipeline.Buffers.Account(), Now: r.pipeline.Now, Began: r.recordOrigin(sent.Placed.Upstream.Software),
		}),
		startedAt: startedAt, sentAfter: r.pipeline.Now().Sub(startedAt),
	})
	f.awaitSilence()
}

// run relays until the request is answered or no attempt is in flight. ctx ends at the
// deadline or when the caller closes its connection.
func (f *flight) run(ctx context.Context) {
	preparations, cancel := context.WithCancel(ctx)
	defer cancel()
	defer f.silence.Stop()
	defer f.abandonPreparation()
	for len(f.attempts) > 0 {
		select {
		case event := <-f.events(0):
			f.handle(f.attempts[0], event)
		case event := <-f.events(1):
			f.handle(f.attempts[1], event)
		case event := <-f.events(2):
			f.handle(f.attempts[2], event)
		case event := <-f.events(3):
			f.handle(f.attempts[3], event)
		case result := <-f.preparing:
			f.preparing = nil
			f.dispatch(ctx, result)
		case fired := <-f.silence.C:
			f.handleSilence(preparations, fired)
		case <-ctx.Done():
			f.stopOthers(nil, relay.Interrupted(ctx), context.Cause(ctx))
		}
	}
}

// events returns the channel of an attempt, nil if there is none with that index.
func (f *flight) events(index int) <-chan connpool.Event {
	if index >= len(f.attempts) {
		return nil
	}
	return f.attempts[index].Sent.Events
}

func (f *flight) handle(a *attemptInFlight, event connpool.Event) {
	outcome, ended := a.Handle(event)
	if ended {
		f.record(a, outcome)
	}
	if len(f.attempts) == 0 {
		return
	}
	switch {
	case outcome.Ending == relay.CallerGone:
		f.stopOthers(nil, outcome.Ending, outcome.Err)
	case outcome.Ending == relay.Delivered:
		f.stopOthers(nil, relay.Superseded, errSuperseded)
	case !ended && a.Forwards() && !a.Stalled() && len(f.attempts) > 1:
		f.stopOthers(a, relay.Superseded, errSuperseded)
	}
}

// stopOthers ends all attempts but kept, which may be nil.
func (f *flight) stopOthers(kept *attemptInFlight, ending relay.Ending, err error) {
	for _, a := range slices.Clone(f.attempts) {
		if a != kept {
			f.record(a, a.Stop(ending, err))
		}
	}
}

// record removes an attempt that has ended and decides whether another may follow.
func (f *flight) record(a *attemptInFlight, outcome relay.Outcome) {
	r := f.request
	f.attempts = slices.DeleteFunc(f.attempts, func(other *attemptInFlight) bool { return other == a })
	placed := a.Sent.Placed
	r.attempts = append(r.attempts, attemptRecord{
		upstream: placed.Upstream.ID, software: placed.Upstream.Software, cost: placed.Cost, affinity: placed.Affinity, newConnection: a.Sent.Fresh, tunnelled: a.Sent.Fresh && placed.Tunnel,
		ending: outcome.Ending, status: outcome.Status, events: a.Events(),
		duration: r.pipeline.Now().Sub(a.startedAt), sentAfter: a.sentAfter, err: outcome.Err,
	})
	if outcome.Ending != relay.Superseded {
		r.lastOutcome = outcome
	}
	if outcome.Ending == relay.Delivered {
		r.retryState.RecordDelivered()
		return
	}
	if outcome.Answer != nil {
		r.failureAnswer = outcome.Answer
	}
	r.decision = r.retryState.RecordFailed(retrypolicy.Attempt{
		NotRun: outcome.Ending == relay.NotRun, Arrived: outcome.Arrived,
		Final: isFinal(outcome) || (r.answer.Begun() && !r.matched.Route.Retry.Stream()),
	})
	r.plan.Retry = r.retryState.Arrivals() > 0
	r.plan.ClosedEarly = outcome.ClosedEarly
	r.updatePlan()
	f.awaitSilence()
}

// isFinal reports whether no other attempt can help: the request ends, or the upstream
// rejected the request itself, as any other upstream would too.
func isFinal(outcome relay.Outcome) bool {
	switch outcome.Ending {
	case relay.TimeUp, relay.CallerGone, relay.HostStopping:
		return true
	case relay.Failed:
		return outcome.Status < 500
	default:
		return false
	}
}

// awaitSilence sets the timer to when the newest attempt will have been silent for too
// long, unless it makes progress.
func (f *flight) awaitSilence() {
	f.silence.Stop()
	if len(f.attempts) > 0 && f.preparing == nil && f.mayAdd() {
		f.setSilence(f.newest().SilentSince().Add(f.silenceLimit()))
	}
}

func (f *flight) setSilence(due time.Time) {
	f.silenceDue = due
	f.silence.Reset(due.Sub(f.request.pipeline.Now()))
}

func (f *flight) newest() *attemptInFlight { return f.attempts[len(f.attempts)-1] }

func (f *flight) silenceLimit() time.Duration { return silenceLimit(f.request.matched.Route) }

// mayAdd reports whether the request may be sent to one more upstream.
func (f *flight) mayAdd() bool {
	return f.silenceLimit() > 0 && len(f.attempts) < maxInFlight && f.request.retryState.MayAdd(len(f.attempts)) &&
		!slices.ContainsFunc(f.attempts, func(a *attemptInFlight) bool { return !a.Repeatable() })
}

// handleSilence starts to prepare an attempt at another upstream if the newest is silent.
func (f *flight) handleSilence(ctx context.Context, fired time.Time) {
	newest, now := f.newest(), f.request.pipeline.Now()
	if newest.DelayedLocally(f.silenceDue, fired) {
		f.setSilence(now.Add(f.silenceLimit()))
		return
	}
	if due := newest.SilentSince().Add(f.silenceLimit()); due.After(now) {
		f.setSilence(due)
		return
	}
	newest.Stall()
	r := f.request
	r.updatePlan()
	plan := r.plan
	plan.Retry, plan.ClosedEarly, plan.Excluded = true, false, slices.Clone(r.plan.Excluded)
	f.preparing = make(chan preparation, 1)
	go func(result chan<- preparation, startedAt time.Time) {
		prepared, err := r.pipeline.Attempt.Prepare(ctx, r.matched, plan)
		result <- preparation{startedAt: startedAt, prepared: prepared, err: err}
	}(f.preparing, now)
}

// dispatch sends a prepared attempt, unless it is no longer needed.
func (f *flight) dispatch(ctx context.Context, result preparation) {
	newest := f.newest()
	switch {
	case result.err != nil:
		f.request.notRepeated = result.err
		if f.mayPrepareAgain(result) {
			f.setSilence(f.request.pipeline.Now().Add(hedgeRetryInterval))
		}
		return
	case !newest.Stalled() || !f.mayAdd():
		result.prepared.Cancel()
	case result.prepared.Evacuated():
		// Writing to the caller may have taken seconds since the preparation.
		result.prepared.Cancel()
		f.setSilence(f.request.pipeline.Now())
		return
	default:
		f.add(result.prepared.Send(ctx), result.startedAt)
	}
	f.awaitSilence()
}

// mayPrepareAgain reports whether another attempt may be prepared after one failed.
func (f *flight) mayPrepareAgain(failed preparation) bool {
	var unreached *attempt.UnreachableError
	if errors.As(failed.err, &unreached) && !f.request.passOver(failed.err, failed.startedAt) {
		return false
	}
	return f.mayAdd()
}

// abandonPreparation gives back what an attempt that is still being prepared gets.
func (f *flight) abandonPreparation() {
	if f.preparing == nil {
		return
	}
	go func(result <-chan preparation) {
		if got := <-result; got.prepared != nil {
			got.prepared.Cancel()
		}
	}(f.preparing)
}
