package upstream

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/upstream/wire"
)

// inBubble runs a check against an engine on a fake clock.
func inBubble(t *testing.T, settings EngineSettings, check func(engine *Engine)) {
	synctest.Test(t, func(t *testing.T) {
		engine := NewEngine(settings)
		var group task.Group
		group.Start(engine)
		defer group.Stop()
		Convey("On a fake clock", t, func() { check(engine) })
	})
}

func requestFor(name string, maxTokens int64) submission {
	return submission{
		id: core.KeyedRequestID("t", name), attempt: 1, maxTokens: maxTokens,
		prompt: newPrompt("m", []wire.Message{{Role: "user", Content: name}}),
	}
}

func submit(engine *Engine, request submission) submitResult {
	var answer submitResult
	engine.control(func(owned *engineState) { answer = owned.submit(request, time.Now()) })
	return answer
}

// waitForEnd waits until an answer ends and returns the time.
func waitForEnd(answer submitResult) time.Time {
	for latest := range answer.updates {
		if latest.finished || latest.cancelled {
			break
		}
	}
	return time.Now()
}

// Guards against streams that run one after the other instead of in a batch, and
// against steps whose duration does not depend on the batch size.
func TestContinuousBatching(t *testing.T) {
	settings := EngineSettings{StepTime: 10 * time.Millisecond, StepTimePerStream: time.Millisecond, MaxRunning: 4}
	inBubble(t, settings, func(engine *Engine) {
		began := time.Now()
		var answers []submitResult
		for _, name := range []string{"a", "b", "c"} {
			answers = append(answers, submit(engine, requestFor(name, 1)))
		}
		for _, answer := range answers[:2] {
			// The first step began when only the first stream was running.
			So(waitForEnd(answer).Sub(began), ShouldBeLessThanOrEqualTo, 30*time.Millisecond)
		}
		waitForEnd(answers[2])
		began = time.Now()
		engine.SetSlowdown(5)
		waitForEnd(submit(engine, requestFor("d", 1)))
		So(time.Since(began), ShouldEqual, 50*time.Millisecond)
	})
}

// Guards against a queue that ignores priorities or has no bound.
func TestPriorityAndQueueBound(t *testing.T) {
	inBubble(t, EngineSettings{StepTime: time.Millisecond, MaxRunning: 1, MaxWaiting: 2}, func(engine *Engine) {
		running := submit(engine, requestFor("running", 10))
		low, high := requestFor("low", 10), requestFor("high", 10)
		high.priority = 5
		lowAnswer, highAnswer := submit(engine, low), submit(engine, high)
		So(submit(engine, requestFor("excess", 10)).refusal, ShouldEqual, refusedFull)
		first, second := waitForEnd(highAnswer), waitForEnd(lowAnswer)
		waitForEnd(running)
		So(first.Before(second), ShouldBeTrue)
		So(engine.Counters().Runs, ShouldHaveLength, 3)
	})
}

// Guards against a stream that runs again while it can be resumed, or that can
// be resumed for longer than the design page says.
func TestRetention(t *testing.T) {
	inBubble(t, EngineSettings{StepTime: time.Millisecond}, func(engine *Engine) {
		request := requestFor("a", 10)
		waitForEnd(submit(engine, request))
		time.Sleep(DefaultRetention - time.Second)
		So((<-submit(engine, request).updates).finished, ShouldBeTrue)
		So(engine.Counters().Runs[request.id], ShouldEqual, 1)
		time.Sleep(2 * time.Second)
		waitForEnd(submit(engine, request))
		So(engine.Counters().Runs[request.id], ShouldEqual, 2)
	})
}

// Guards against a cancellation by an earlier attempt that ends a stream which a
// later attempt has resumed.
func TestCancel(t *testing.T) {
	inBubble(t, EngineSettings{StepTime: time.Millisecond}, func(engine *Engine) {
		request := requestFor("a", 100)
		submit(engine, request)
		request.attempt = 2
		resumed := submit(engine, request)
		engine.control(func(owned *engineState) { owned.cancel(request.id, 1) })
		So(engine.Counters().Cancelled, ShouldEqual, 0)
		engine.control(func(owned *engineState) { owned.cancel(request.id, 2) })
		waitForEnd(resumed)
		generated := engine.Counters().GeneratedTokens
		time.Sleep(time.Second)
		So(engine.Counters().GeneratedTokens, ShouldEqual, generated)
		So(engine.Counters().Cancelled, ShouldEqual, 1)
	})
}

// Guards against load reports without a lag; those of real engines are late.
func TestLoadReportLags(t *testing.T) {
	inBubble(t, EngineSettings{StepTime: time.Second, LoadLag: 10 * time.Second}, func(engine *Engine) {
		load := func() (report wire.Load) {
			engine.control(func(owned *engineState) { report = owned.visibleLoad(time.Now()) })
			return report
		}
		time.Sleep(time.Millisecond)
		submit(engine, requestFor("a", 1000))
		time.Sleep(9 * time.Second)
		So(load().Running, ShouldEqual, 0)
		time.Sleep(2 * time.Second)
		So(load().Running, ShouldEqual, 1)
		So(load().TokensPerSecond, ShouldAlmostEqual, 0.9)
	})
}

// Guards against a prefix cache that is unbounded or saves no prefill.
func TestPrefixCache(t *testing.T) {
	Convey("A cached prefix saves prefill until it is evicted", t, func() {
		cache := newPrefixCache(4 * cacheBlockBytes / bytesPerToken)
		first := strings.Repeat("a", 2*cacheBlockBytes)
		So(cache.lookupAndInsert(first), ShouldEqual, 0)
		So(cache.lookupAndInsert(first+strings.Repeat("b", cacheBlockBytes)), ShouldEqual, 2*cacheBlockBytes/bytesPerToken)
		So(cache.lookupAndInsert("b"+first), ShouldEqual, 0)
		So(cache.usedTokens(), ShouldEqual, 4*cacheBlockBytes/bytesPerToken)
		So(cache.lookupAndInsert(first), ShouldBeLessThan, 2*cacheBlockBytes/bytesPerToken)
	})
}

// Guards against a stand-in that uses more tokens than the fleet reserves.
func TestUsageStaysWithinMaximumCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := rapid.SliceOf(rapid.String()).Draw(t, "content")
		maxTokens := rapid.Int64Range(1, 500).Draw(t, "max tokens")
		var messages []core.Message
		bound := core.Tokens(0)
		for _, text := range content {
			messages = append(messages, core.Message{Role: "user", Content: text})
			bound += core.Tokens(len(text)) + 16
		}
		answer := ExpectedAnswer("m", messages, core.Tokens(maxTokens))
		if answer.Usage.Prompt > bound || answer.Usage.Generated > core.Tokens(maxTokens) || answer.Usage.Generated < 1 {
			t.Fatalf("usage is %+v, bound is %d and %d", answer.Usage, bound, maxTokens)
		}
	})
}

// Guards against orders from a replaced holder that are accepted although
// fencing is checked.
func TestOrderFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		inBubble(t, EngineSettings{ChecksFencing: checks}, func(engine *Engine) {
			order := func(fencing string) int {
				body := strings.NewReader(`{"fencing":` + fencing + `,"order":"load","model":"m"}`)
				answer := httptest.NewRecorder()
				engine.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodPost, wire.PathOrders, body))
				return answer.Code
			}
			So(order("7"), ShouldEqual, http.StatusOK)
			So(order("7"), ShouldEqual, http.StatusOK)
			if checks {
				So(order("6"), ShouldEqual, http.StatusConflict)
				So(engine.Counters().Orders, ShouldHaveLength, 2)
			} else {
				So(order("6"), ShouldEqual, http.StatusOK)
			}
		})
	}
}
