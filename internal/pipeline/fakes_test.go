package pipeline

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/teamtable"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/filter/admit"
	"github.com/peridotreel/peridotreel/internal/filter/attempt"
	"github.com/peridotreel/peridotreel/internal/filter/authenticate"
	"github.com/peridotreel/peridotreel/internal/filter/claim"
	"github.com/peridotreel/peridotreel/internal/filter/classify"
	"github.com/peridotreel/peridotreel/internal/filter/lifetime"
	"github.com/peridotreel/peridotreel/internal/filter/relay"
	"github.com/peridotreel/peridotreel/internal/filter/reserve"
	"github.com/peridotreel/peridotreel/internal/filter/route"
	"github.com/peridotreel/peridotreel/internal/filter/settle"
)

const (
	testKey  = "secret"
	testULID = "01JEABCDEFGHJKMNPQRSTVWXYZ"
)

const (
	// streamCapacity is enough for the results that arrive late on one stream.
	streamCapacity = 16
	// silencePause exceeds the first silence limit of a stream.
	silencePause = 2 * time.Second
)

// fakes implements the interfaces of all filters and records the calls. It
// needs no lock, because a test runs one request at a time.
type fakes struct {
	// script returns the results of each attempt in order.
	script []func(attempt.Request) []core.StreamResult
	// silentCalls is how many calls get no answer.
	silentCalls   int
	serviceErrors []error
	requests      []attempt.Request
	probeErr      error
	linksLost     bool
	// goOn, if set, sends what a silent stream delivers after silencePause.
	goOn          func(request attempt.Request, results chan<- attempt.Result)
	unlisted      []core.UpstreamID
	nonIdempotent bool
	picks         []route.Query
	observed      []route.ObservationKind
	settled       []core.Tokens
	bills         []core.Bill
	slots         int
	reserveErr    error
	recorded      *core.Answer
	claims        []string
	earlierTarget *core.Target
	stopsAt       time.Time
}

func (f *fakes) Current() *teamtable.Snapshot {
	row := &core.TeamRow{
		Team: "shop", Budget: "b", Deadline: time.Minute,
		Classes: []core.ClassRow{{Name: "chat", MaxTokens: 10, NonIdempotent: f.nonIdempotent}},
	}
	return &teamtable.Snapshot{
		ByKeyDigest: map[string]*core.TeamRow{authenticate.Digest(testKey): row},
		Services: map[core.ServiceName]*core.ServiceRow{"ledger": {
			Service: "ledger", Cost: 5, Rules: []core.ServiceRule{{Method: "GET", PathPrefix: "/", Idempotent: true}},
		}},
	}
}

func (f *fakes) StopsAt() time.Time { return f.stopsAt }

func (f *fakes) Serves(model core.ModelName) bool { return model == "m" }

func (f *fakes) Enter(context.Context, *core.Work) (admit.Slot, error) {
	f.slots++
	return admit.Slot{}, nil
}
func (f *fakes) Leave(admit.Slot, core.Tokens) { f.slots-- }

func (f *fakes) Reserve(_ context.Context, budget core.BudgetID, amount core.Tokens) (core.Reservation, error) {
	return core.Reservation{Share: core.ShareID{Budget: budget}, Amount: amount}, f.reserveErr
}
func (f *fakes) Settle(_ core.Reservation, cost core.Tokens) { f.settled = append(f.settled, cost) }
func (f *fakes) Record(_ context.Context, bill core.Bill)    { f.bills = append(f.bills, bill) }
func (f *fakes) Backlogged() bool                            { return false }
func (f *fakes) Done(Summary)                                {}
func (f *fakes) Begin(core.RequestID)                        {}
func (f *fakes) Located(core.RequestID, core.Target)         {}
func (f *fakes) Finished(core.RequestID)                     {}
func (f *fakes) Observe(observation route.Observation) {
	f.observed = append(f.observed, observation.Kind)
}
func (f *fakes) Probe(context.Context, core.Target) error { return f.probeErr }

func (f *fakes) LinksLost(context.Context, core.Target) bool { return f.linksLost }

func (f *fakes) Find(context.Context, core.RequestID) (core.Target, bool) {
	if f.earlierTarget == nil {
		return core.Target{}, false
	}
	return *f.earlierTarget, true
}

func (f *fakes) Pick(_ context.Context, query route.Query) (core.Target, error) {
	query.Excluded = append([]core.UpstreamID(nil), query.Excluded...)
	f.picks = append(f.picks, query)
	if query.Resume != "" {
		return core.Target{Upstream: query.Resume}, nil
	}
	for _, name := range []core.UpstreamID{"u1", "u2"} {
		if !slices.Contains(query.Excluded, name) && !slices.Contains(f.unlisted, name) {
			return core.Target{Upstream: name}, nil
		}
	}
	return core.Target{}, fault.Refuse(fault.NoUpstream, "no upstream")
}

func (f *fakes) Stream(_ context.Context, request attempt.Request) <-chan attempt.Result {
	f.requests = append(f.requests, request)
	step := f.script[0]
	f.script = f.script[1:]
	results := step(request)
	channel := make(chan attempt.Result, len(results)+streamCapacity)
	for _, result := range results {
		channel <- result
	}
	switch {
	case results != nil:
		close(channel)
	case f.goOn != nil:
		time.AfterFunc(silencePause, func() { f.goOn(request, channel) })
	}
	return channel
}

func (f *fakes) Call(ctx context.Context, request attempt.Request) (*core.ServiceAnswer, error) {
	f.requests = append(f.requests, request)
	if f.silentCalls > 0 {
		f.silentCalls--
		<-ctx.Done()
		return nil, fault.New(fault.UpstreamFailed, fault.Unknown, "no answer")
	}
	if len(f.serviceErrors) > 0 {
		err := f.serviceErrors[0]
		f.serviceErrors = f.serviceErrors[1:]
		return nil, err
	}
	return &core.ServiceAnswer{Status: 200, Body: []byte("ok")}, nil
}

func (f *fakes) Claim(context.Context, *core.Work) (*core.Answer, error) {
	f.claims = append(f.claims, "claim")
	return f.recorded, nil
}
func (f *fakes) Complete(context.Context, *core.Work, *core.Answer) {
	f.claims = append(f.claims, "complete")
}
func (f *fakes) Release(*core.Work) { f.claims = append(f.claims, "release") }
func (f *fakes) Abandon(*core.Work) { f.claims = append(f.claims, "abandon") }

func (f *fakes) pipeline() *Pipeline {
	now := time.Now
	return &Pipeline{
		Filters: Filters{
			Authenticate: authenticate.New(f), Classify: classify.New(f, f), Lifetime: lifetime.New(f),
			Claim: claim.New(f, func(string, time.Time) error { return nil }),
			Admit: admit.New(f), Reserve: reserve.New(f), Route: route.New(f),
			Attempt: attempt.New(f), Relay: relay.New(now), Settle: settle.New(f, f),
		},
		Registry: f, Backlog: f, Recorder: f, Now: now,
	}
}

// recordingSink collects what the caller receives.
type recordingSink struct {
	text  strings.Builder
	final *core.Answer
}

func (a *recordingSink) Begin(*core.Work)                {}
func (a *recordingSink) Token(text string) error         { a.text.WriteString(text); return nil }
func (a *recordingSink) Flush() error                    { return nil }
func (a *recordingSink) Finish(final *core.Answer) error { a.final = final; return nil }

// tokens returns the tokens of the correct answer "abcd" that follow position
// after, up to and including position through.
func tokens(request attempt.Request, after, through int64) []core.StreamResult {
	var results []core.StreamResult
	for position := after + 1; position <= through; position++ {
		results = append(results, core.StreamResult{Event: core.Event{
			Kind: core.EventToken, Request: request.Work.ID, Attempt: request.Attempt,
			Position: position, Text: "abcd"[position-1 : position],
		}})
	}
	return results
}

func finish(request attempt.Request) core.StreamResult {
	return core.StreamResult{Event: core.Event{
		Kind: core.EventFinish, Request: request.Work.ID, Attempt: request.Attempt, Position: 5,
		FinishReason: "stop", Usage: core.Usage{Prompt: 3, Generated: 4},
	}}
}

func completeStream(request attempt.Request) []core.StreamResult {
	return append(tokens(request, request.After, 4), finish(request))
}

func brokenStream(through int64) func(attempt.Request) []core.StreamResult {
	return func(request attempt.Request) []core.StreamResult {
		return append(tokens(request, request.After, through), core.StreamResult{
			Err: fault.New(fault.UpstreamFailed, fault.Unknown, "connection reset"),
		})
	}
}

func silentStream(attempt.Request) []core.StreamResult { return nil }

func refusedStream(attempt.Request) []core.StreamResult {
	return []core.StreamResult{{Err: fault.Refuse(fault.UpstreamFailed, "the upstream took no work; retry")}}
}

func completionCall() *core.Call {
	return &core.Call{Kind: core.KindCompletion, BearerKey: testKey, Completion: &core.Completion{
		Model: "m", Messages: []core.Message{{Role: "user", Content: "hello"}}, Stream: true,
	}}
}

func serviceCall(method string) *core.Call {
	return &core.Call{Kind: core.KindService, BearerKey: testKey, IdempotencyKey: testULID,
		Service: &core.ServiceCall{Service: "ledger", Method: method, Path: "/payouts"}}
}
