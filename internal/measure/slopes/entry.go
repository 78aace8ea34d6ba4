package slopes

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/teamtable"
	"github.com/peridotreel/peridotreel/internal/filter/admit"
	"github.com/peridotreel/peridotreel/internal/filter/attempt"
	"github.com/peridotreel/peridotreel/internal/filter/authenticate"
	"github.com/peridotreel/peridotreel/internal/filter/claim"
	"github.com/peridotreel/peridotreel/internal/filter/classify"
	"github.com/peridotreel/peridotreel/internal/filter/relay"
	"github.com/peridotreel/peridotreel/internal/filter/reserve"
	"github.com/peridotreel/peridotreel/internal/filter/route"
	"github.com/peridotreel/peridotreel/internal/filter/settle"
	"github.com/peridotreel/peridotreel/internal/pipeline"
)

// entryKey is the API key of the measured team.
const entryKey = "measured"

// chunkCapacity is the capacity of the channel between the upstream client and
// the relay.
const chunkCapacity = 16

// fakeUpstream is a fake of the upstream client that answers with a number of
// tokens. It is also the fake of the tasks, so that only the pipeline is measured.
type fakeUpstream struct {
	snapshot teamtable.Snapshot
	tokens   int
	// opened receives a value when a stream has sent its first token; the stream
	// then waits for proceed. Both are nil for streams that don't wait.
	opened  chan struct{}
	proceed chan struct{}
}

func newFakeUpstream(tokens int) *fakeUpstream {
	row := &core.TeamRow{
		Team: "team-00001", Budget: budgetName(1), Deadline: time.Hour,
		Classes: []core.ClassRow{{Name: "chat", MaxTokens: core.Tokens(tokens)}},
	}
	return &fakeUpstream{tokens: tokens, snapshot: teamtable.Snapshot{
		ByKeyDigest: map[string]*core.TeamRow{authenticate.Digest(entryKey): row},
	}}
}

func (f *fakeUpstream) Current() *teamtable.Snapshot { return &f.snapshot }
func (f *fakeUpstream) Serves(core.ModelName) bool   { return true }
func (f *fakeUpstream) Enter(context.Context, *core.Work) (admit.Slot, error) {
	return admit.Slot{}, nil
}
func (f *fakeUpstream) Leave(admit.Slot, core.Tokens)        {}
func (f *fakeUpstream) Settle(core.Reservation, core.Tokens) {}
func (f *fakeUpstream) Record(context.Context, core.Bill)    {}
func (f *fakeUpstream) Backlogged() bool                     { return false }
func (f *fakeUpstream) Done(pipeline.Summary)                {}
func (f *fakeUpstream) Begin(core.RequestID)                 {}

func (f *fakeUpstream) Located(core.RequestID, core.Target)                     {}
func (f *fakeUpstream) Finished(core.RequestID)                                 {}
func (f *fakeUpstream) Observe(route.Observation)                               {}
func (f *fakeUpstream) Probe(context.Context, core.Target) error                { return nil }
func (f *fakeUpstream) LinksLost(context.Context, core.Target) bool             { return false }
func (f *fakeUpstream) Claim(context.Context, *core.Work) (*core.Answer, error) { return nil, nil }
func (f *fakeUpstream) Complete(context.Context, *core.Work, *core.Answer)      {}
func (f *fakeUpstream) Release(*core.Work)                                      {}
func (f *fakeUpstream) Abandon(*core.Work)                                      {}
func (f *fakeUpstream) Find(context.Context, core.RequestID) (core.Target, bool) {
	return core.Target{}, false
}
func (f *fakeUpstream) Pick(context.Context, route.Query) (core.Target, error) {
	return core.Target{Upstream: "u"}, nil
}
func (f *fakeUpstream) Call(context.Context, attempt.Request) (*core.ServiceAnswer, error) {
	return &core.ServiceAnswer{}, nil
}

func (f *fakeUpstream) Reserve(_ context.Context, id core.BudgetID, amount core.Tokens) (core.Reservation, error) {
	return core.Reservation{Share: core.ShareID{Budget: id}, Amount: amount}, nil
}

// Stream implements attempt.Upstreams.
func (f *fakeUpstream) Stream(_ context.Context, request attempt.Request) <-chan attempt.Result {
	results := make(chan attempt.Result, chunkCapacity)
	go func() {
		defer close(results)
		for position := 1; position <= f.tokens; position++ {
			results <- attempt.Result{Event: core.Event{
				Kind: core.EventToken, Request: request.Work.ID, Attempt: request.Attempt, Position: int64(position), Text: " card",
			}}
			if position == 1 && f.opened != nil {
				f.opened <- struct{}{}
				<-f.proceed
			}
		}
		results <- attempt.Result{Event: core.Event{
			Kind: core.EventFinish, Request: request.Work.ID, Attempt: request.Attempt, Position: int64(f.tokens + 1),
			FinishReason: "stop", Usage: core.Usage{Prompt: 1, Generated: core.Tokens(f.tokens)},
		}}
	}()
	return results
}

func (f *fakeUpstream) line() *pipeline.Pipeline {
	return &pipeline.Pipeline{
		Filters: pipeline.Filters{
			Authenticate: authenticate.New(f), Classify: classify.New(f, f),
			Claim: claim.New(f, func(string, time.Time) error { return nil }),
			Admit: admit.New(f), Reserve: reserve.New(f), Route: route.New(f),
			Attempt: attempt.New(f), Relay: relay.New(time.Now), Settle: settle.New(f, f),
		},
		Registry: f, Backlog: f, Recorder: f, Now: time.Now,
	}
}

// discard is a sink that discards the answer.
type discard struct{}

func (discard) Begin(*core.Work)          {}
func (discard) Token(string) error        { return nil }
func (discard) Flush() error              { return nil }
func (discard) Finish(*core.Answer) error { return nil }

func entryCall() *core.Call {
	return &core.Call{Kind: core.KindCompletion, BearerKey: entryKey, Completion: &core.Completion{
		Model: modelName(1), Messages: []core.Message{{Role: "user", Content: "a short question"}}, Stream: true,
	}}
}

// entries measures the request pipeline with a fake upstream and without sockets.
func entries(ctx context.Context, options Options) ([]Point, error) {
	var points []Point
	var failure error
	for _, tokens := range []int{1, 30, 100, 300, 1000} {
		requests := 100_000 / (tokens + 30)
		line := newFakeUpstream(tokens).line()
		requestMicros := microsPerOperation(options.Repeats, requests, func() {
			for range requests {
				if err := line.Serve(ctx, entryCall(), discard{}); err != nil {
					failure = fmt.Errorf("serve measured request: %w", err)
				}
			}
		})
		points = append(points, Point{"entry", "chunks per request", float64(tokens), "processor time per request", requestMicros, "µs"})
	}
	for _, open := range []int{100, 300, 1000, 3000} {
		points = append(points, Point{"entry", "open streams", float64(open), "memory of streams", openStreams(ctx, open), "B"})
	}
	return points, failure
}

// openStreams returns the heap and stacks in use by a number of streams that
// have relayed one chunk.
func openStreams(ctx context.Context, count int) float64 {
	upstream := newFakeUpstream(2)
	upstream.opened, upstream.proceed = make(chan struct{}), make(chan struct{})
	line := upstream.line()
	var streams sync.WaitGroup
	before := heapAndStacks()
	for range count {
		streams.Go(func() { _ = line.Serve(ctx, entryCall(), discard{}) })
		<-upstream.opened
	}
	after := heapAndStacks()
	close(upstream.proceed)
	streams.Wait()
	return after - before
}
