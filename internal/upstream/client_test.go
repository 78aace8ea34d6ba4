package upstream_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/filter/attempt"
	standin "github.com/peridotreel/peridotreel/internal/standin/upstream"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/upstream"
	"github.com/peridotreel/peridotreel/internal/upstream/wire"
)

const stepTime = time.Millisecond

var question = []core.Message{{Role: "user", Content: "What is a worn foil card worth?"}}

type standInTask interface {
	task.Task
	Handler() http.Handler
}

// start runs a stand-in and its server until the test ends.
func start(t *testing.T, standIn standInTask) (core.Target, *standin.Server) {
	server, err := standin.Listen("127.0.0.1:0", standIn.Handler())
	if err != nil {
		t.Fatal(err)
	}
	var group task.Group
	group.Start(standIn)
	group.Start(server)
	t.Cleanup(group.Stop)
	return core.Target{Upstream: "u", Address: server.Address()}, server
}

func completion(target core.Target, maxTokens core.Tokens) attempt.Request {
	work := &core.Work{
		ID: core.KeyedRequestID("team", "key"), MaxGenerated: maxTokens,
		Call: &core.Call{Kind: core.KindCompletion, Completion: &core.Completion{Model: "m", Messages: question}},
	}
	return attempt.Request{Work: work, Target: target, Attempt: 1}
}

func serviceCall(target core.Target, key string) attempt.Request {
	work := &core.Work{
		ID: core.KeyedRequestID("team", key),
		Call: &core.Call{
			Kind: core.KindService, IdempotencyKey: key,
			Service: &core.ServiceCall{Service: "ledger", Method: http.MethodPost, Path: "/payouts", Query: "a=b", Body: []byte("{}")},
		},
	}
	return attempt.Request{Work: work, Target: target, Attempt: 1, NewConnection: true}
}

// take receives up to count events and fails the test on an error.
func take(results <-chan attempt.Result, count int64) (text string, last core.Event) {
	for ; count > 0; count-- {
		result, open := <-results
		if !open {
			break
		}
		So(result.Err, ShouldBeNil)
		last = result.Event
		text += last.Text
	}
	return text, last
}

const allEvents = 1 << 40

// Guards against answers that are truncated, duplicated, reordered or billed
// wrongly.
func TestStreamReturnsCompleteAnswer(t *testing.T) {
	engine := standin.NewEngine(standin.EngineSettings{StepTime: stepTime})
	target, _ := start(t, engine)
	client := upstream.NewClient()
	expected := standin.ExpectedAnswer("m", question, 40)
	request := completion(target, 40)
	Convey("An answer is complete and reports the usage", t, func() {
		text, last := take(client.Stream(t.Context(), request), allEvents)
		So(text, ShouldEqual, expected.Text)
		So(last.Kind, ShouldEqual, core.EventFinish)
		So(last.Position, ShouldEqual, int64(expected.Usage.Generated)+1)
		So(last.FinishReason, ShouldEqual, expected.FinishReason)
		So(last.Usage, ShouldResemble, expected.Usage)
		So(last.Request, ShouldEqual, request.Work.ID)
		Convey("A resumed answer continues after the position and does not run again", func() {
			request.Attempt, request.After = 2, 5
			text, last := take(client.Stream(t.Context(), request), allEvents)
			So(expected.Text, ShouldEndWith, text)
			So(last.Position, ShouldEqual, int64(expected.Usage.Generated)+1)
			So(last.Attempt, ShouldEqual, 2)
			So(engine.Counters().Runs[request.Work.ID], ShouldEqual, 1)
			So(engine.Counters().GeneratedTokens, ShouldEqual, int64(expected.Usage.Generated))
		})
	})
}

// Guards against text that is lost or duplicated when another engine continues
// an answer.
func TestStreamContinuesPartialOutput(t *testing.T) {
	target, _ := start(t, standin.NewEngine(standin.EngineSettings{StepTime: stepTime, DisableResumption: true}))
	client := upstream.NewClient()
	expected := standin.ExpectedAnswer("m", question, 40)
	Convey("An engine without the stream continues the partial output", t, func() {
		begun, last := take(client.Stream(t.Context(), completion(target, 40)), 5)
		request := completion(target, 40)
		request.Attempt, request.After, request.Partial = 2, last.Position, begun
		rest, last := take(client.Stream(t.Context(), request), allEvents)
		So(begun+rest, ShouldEqual, expected.Text)
		So(last.Usage, ShouldResemble, expected.Usage)
	})
	Convey("The engine refuses to continue a different text", t, func() {
		request := completion(target, 40)
		request.After, request.Partial = 3, "something else"
		result := <-client.Stream(t.Context(), request)
		So(result.Err, ShouldNotBeNil)
	})
}

// Guards against engines that keep running requests of disconnected callers, and
// against cancelling an answer that is being resumed.
func TestStreamCancellation(t *testing.T) {
	Convey("Given a long answer that is being streamed", t, func() {
		engine := standin.NewEngine(standin.EngineSettings{StepTime: stepTime})
		target, server := start(t, engine)
		client := upstream.NewClient()
		request := completion(target, 600)
		ctx, cancel := context.WithCancelCause(t.Context())
		results := client.Stream(ctx, request)
		begun, last := take(results, 3)
		Convey("Cancelling the context cancels the request at the engine", func() {
			cancel(nil)
			for engine.Counters().Cancelled == 0 {
				time.Sleep(stepTime)
			}
			for result := range results {
				if result.Err != nil {
					So(fault.From(result.Err).Code, ShouldEqual, fault.UpstreamFailed)
				}
			}
		})
		Convey("A silent connection is replaced and the engine keeps running the request", func() {
			server.Silence()
			So(client.Probe(t.Context(), target), ShouldBeNil)
			cancel(attempt.ErrKeepRunning)
			request.Attempt, request.After, request.NewConnection = 2, last.Position, true
			rest, _ := take(client.Stream(t.Context(), request), allEvents)
			So(begun+rest, ShouldEqual, standin.ExpectedAnswer("m", question, 600).Text)
			So(engine.Counters().Runs[request.Work.ID], ShouldEqual, 1)
			So(engine.Counters().Cancelled, ShouldEqual, 0)
		})
		Convey("A closed connection ends the stream with an error", func() {
			server.Cut()
			var err error
			for result := range results {
				err = result.Err
			}
			So(fault.From(err).Code, ShouldEqual, fault.UpstreamFailed)
			So(fault.From(err).Run, ShouldEqual, fault.Unknown)
		})
		cancel(nil)
	})
}

// Guards against requests that fail one after the other on idle connections that
// went silent at the same time.
func TestSilentIdleConnectionsAreDropped(t *testing.T) {
	Convey("After a silent stream, pooled requests use new connections", t, func() {
		target, server := start(t, standin.NewEngine(standin.EngineSettings{StepTime: stepTime}))
		client := upstream.NewClient()
		var open []<-chan attempt.Result
		for _, key := range []string{"a", "b", "c"} {
			request := completion(target, 50)
			request.Work.ID = core.KeyedRequestID("team", key)
			open = append(open, client.Stream(t.Context(), request))
		}
		for _, results := range open {
			take(results, allEvents)
		}
		ctx, cancel := context.WithCancelCause(t.Context())
		request := completion(target, 600)
		results := client.Stream(ctx, request)
		begun, last := take(results, 3)
		server.Silence()
		cancel(attempt.ErrKeepRunning)
		for result := range results {
			_ = result // an event that arrived before the silence
		}
		request.Attempt, request.After = 2, last.Position
		rest, _ := take(client.Stream(t.Context(), request), allEvents)
		So(begun+rest, ShouldEqual, standin.ExpectedAnswer("m", question, 600).Text)
	})
}

// Guards against an answer that is delivered to another caller.
func TestStreamKeepsRequestIDOfOtherRequest(t *testing.T) {
	engine := standin.NewEngine(standin.EngineSettings{StepTime: stepTime})
	target, _ := start(t, engine)
	Convey("Events of another request keep its ID, so that the relay can reject them", t, func() {
		engine.SetMisdelivery(3)
		request := completion(target, 10)
		results := upstream.NewClient().Stream(t.Context(), request)
		_, last := take(results, 2)
		So(last.Request, ShouldEqual, request.Work.ID)
		_, last = take(results, 1)
		So(last.Request, ShouldNotEqual, request.Work.ID)
	})
}

// Guards against reporting "not run" for a request that may have run (P4).
func TestRunStateOfRefusals(t *testing.T) {
	cases := []struct {
		status int
		notRun string
		// ids are the requests that the refusal names; THIS is the one that was sent.
		ids []string
		run fault.RunState
	}{
		{http.StatusTooManyRequests, "true", []string{"THIS"}, fault.NotRun},
		{http.StatusServiceUnavailable, "true", []string{"THIS"}, fault.NotRun},
		{http.StatusServiceUnavailable, "true", []string{"THIS", "THIS"}, fault.NotRun},
		{http.StatusServiceUnavailable, "true", nil, fault.Unknown},
		{http.StatusServiceUnavailable, "true", []string{"THIS", "other"}, fault.Unknown},
		{http.StatusServiceUnavailable, "true", []string{"other", "THIS"}, fault.Unknown},
		{http.StatusServiceUnavailable, "", []string{"THIS"}, fault.Unknown},
		{http.StatusServiceUnavailable, "false", []string{"THIS"}, fault.Unknown},
		{http.StatusInternalServerError, "true", []string{"THIS"}, fault.Unknown},
		{http.StatusBadGateway, "", []string{"THIS"}, fault.Unknown},
	}
	client := upstream.NewClient()
	Convey("A refused request counts as not run only if the upstream says so", t, func() {
		for _, c := range cases {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Not-Run", c.notRun)
				for _, id := range c.ids {
					w.Header().Add("X-Request-Id", strings.Replace(id, "THIS", r.Header.Get("X-Request-Id"), 1))
				}
				w.Header().Set("Retry-After", "3")
				w.WriteHeader(c.status)
			}))
			target := core.Target{Address: strings.TrimPrefix(server.URL, "http://")}
			refused := fault.From((<-client.Stream(t.Context(), completion(target, 5))).Err)
			So(refused.Run, ShouldEqual, c.run)
			answer, err := client.Call(t.Context(), serviceCall(target, "k"))
			if c.run == fault.NotRun {
				So(refused.RetryAfter, ShouldEqual, 3*time.Second)
				So(fault.From(err).Run, ShouldEqual, fault.NotRun)
			} else {
				So(err, ShouldBeNil)
				So(answer.Status, ShouldEqual, c.status)
			}
			server.Close()
		}
	})
	Convey("A request does not run if the dial fails", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		target := core.Target{Address: listener.Addr().String()}
		So(listener.Close(), ShouldBeNil)
		for _, err := range []error{
			(<-client.Stream(t.Context(), completion(target, 5))).Err,
			callError(client.Call(t.Context(), serviceCall(target, "k"))),
			client.Probe(t.Context(), target),
		} {
			So(fault.From(err).Code, ShouldEqual, fault.NoUpstream)
			So(fault.From(err).Run, ShouldEqual, fault.NotRun)
		}
	})
}

func callError(_ *core.ServiceAnswer, err error) error {
	return err
}

// Guards against net/http repeating a call that has an Idempotency-Key.
func TestCallRunsOnce(t *testing.T) {
	Convey("Given a ledger behind a client with pooled connections", t, func() {
		ledger := standin.NewService(standin.ServiceSettings{Name: "ledger"})
		target, _ := start(t, ledger)
		client := upstream.NewClient()
		warm := serviceCall(target, "warm")
		warm.NewConnection = false
		answer, err := client.Call(t.Context(), warm)
		So(err, ShouldBeNil)
		So(answer.Status, ShouldEqual, http.StatusOK)
		So(string(answer.Body), ShouldContainSubstring, `"path":"/payouts?a=b"`)
		Convey("A call whose answer is lost runs once and its run state is unknown", func() {
			ledger.SetLoseAnswers(true)
			_, err := client.Call(t.Context(), serviceCall(target, "payout"))
			So(fault.From(err).Run, ShouldEqual, fault.Unknown)
			So(ledger.Runs()["payout"], ShouldEqual, 1)
		})
		Convey("A leaving ledger runs no call", func() {
			ledger.SetLeaving(true)
			_, err := client.Call(t.Context(), serviceCall(target, "payout"))
			So(fault.From(err).Run, ShouldEqual, fault.NotRun)
			So(ledger.Runs()["payout"], ShouldEqual, 0)
		})
	})
	Convey("A redirect is returned as the answer and not followed", t, func() {
		var calls atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}))
		defer server.Close()
		target := core.Target{Address: strings.TrimPrefix(server.URL, "http://")}
		answer, err := upstream.NewClient().Call(t.Context(), serviceCall(target, "k"))
		So(err, ShouldBeNil)
		So(answer.Status, ShouldEqual, http.StatusTemporaryRedirect)
		So(calls.Load(), ShouldEqual, 1)
	})
}

// Guards against load reports whose fields are swapped.
func TestLoad(t *testing.T) {
	engine := standin.NewEngine(standin.EngineSettings{ID: "e1", Incarnation: 4, MaxRunning: 9, KVTokens: 1000, StepTime: stepTime})
	target, _ := start(t, engine)
	Convey("A load report is decoded completely", t, func() {
		engine.SetLeaving(true)
		report, err := upstream.NewClient().Load(t.Context(), target)
		So(err, ShouldBeNil)
		So(report.MeasuredAt.IsZero(), ShouldBeFalse)
		report.MeasuredAt = time.Time{}
		So(report, ShouldResemble, upstream.LoadReport{
			Upstream: "e1", Incarnation: 4, Leaving: true, MaxRunning: 9, KVTotal: 1000,
		})
		Convey("A leaving engine refuses work as not run, but answers probes", func() {
			refused := fault.From((<-upstream.NewClient().Stream(t.Context(), completion(target, 5))).Err)
			So(refused.Run, ShouldEqual, fault.NotRun)
			So(upstream.NewClient().Probe(t.Context(), target), ShouldBeNil)
		})
	})
}

// Guards against loads in answers that are lost or reported too late to be
// useful.
func TestAnswersCarryLoad(t *testing.T) {
	Convey("The load is reported when the answer starts and with the first token", t, func() {
		engine := standin.NewEngine(standin.EngineSettings{StepTime: stepTime, MaxRunning: 4})
		target, _ := start(t, engine)
		loads := make(chan wire.AnswerLoad, 4)
		client := upstream.NewClient(upstream.WithLoads(func(_ core.Target, load wire.AnswerLoad) { loads <- load }))
		results := client.Stream(t.Context(), completion(target, 5))
		So(<-loads, ShouldResemble, wire.AnswerLoad{Waiting: 1, MaxRunning: 4})
		So((<-results).Err, ShouldBeNil)
		So(<-loads, ShouldResemble, wire.AnswerLoad{Running: 1, MaxRunning: 4})
		for result := range results {
			So(result.Err, ShouldBeNil)
		}
		So(loads, ShouldBeEmpty)
	})
}
