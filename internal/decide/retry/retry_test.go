package retry

import (
	"flag"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/fault"
)

// TestMain fixes rapid's seed, so that the tests give the same verdict on each
// run; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	m.Run()
}

var epoch = time.Unix(1000, 0)

// Guards against retries or hedges beyond their fraction of the requests, in
// any order of events. Time adds one retry in ten seconds.
func TestBudgetsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		retries, hedges := NewRetryBudget(epoch), NewHedgeBudget(epoch)
		now := epoch
		requests, retried, hedged := 0, 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			case 1:
				requests++
				retries.RecordRequest()
				hedges.RecordRequest()
			case 2:
				if retries.Take(now) {
					retried++
				}
			case 3:
				if hedges.Take(now) {
					hedged++
				}
			}
			floor := 1 + now.Sub(epoch).Seconds()*minRetriesPerSecond
			if float64(retried) > floor+RetryFraction*float64(requests)+1e-6 {
				t.Fatalf("%d retries of %d requests", retried, requests)
			}
			if float64(hedged) > HedgeFraction*float64(requests)+1e-6 {
				t.Fatalf("%d hedges of %d requests", hedged, requests)
			}
		}
	})
}

// Guards against running work a second time that is not idempotent and may have
// run, and against attempts past the deadline.
func TestMayRetryAndMayHedge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		failure := Failure{
			Attempt: rapid.IntRange(1, 8).Draw(t, "attempt"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Run:       rapid.SampledFrom([]fault.RunState{fault.NotRun, fault.Ran, fault.Unknown}).Draw(t, "run"),
			Retryable: rapid.Bool().Draw(t, "repeatable"), Now: epoch,
			Deadline: epoch.Add(time.Duration(rapid.IntRange(-100, 1000).Draw(t, "left")) * time.Millisecond),
		}
		delay := Backoff(failure.Attempt+1, rapid.Float64Range(0, 0.999).Draw(t, "random"))
		if delay < 0 || delay > maxBackoff {
			t.Fatalf("backoff is %s", delay)
		}
		if MayRetry(&failure, delay) {
			if !failure.Retryable || (!failure.Idempotent && failure.Run != fault.NotRun) || !epoch.Add(delay).Before(failure.Deadline) {
				t.Fatalf("retried %+v", failure)
			}
		}
		if MayHedge(failure.Idempotent, failure.Attempt, 0, epoch, failure.Deadline) && !failure.Idempotent {
			t.Fatalf("hedged %+v", failure)
		}
	})
	Convey("A model with few requests may retry occasionally", t, func() {
		budget := NewRetryBudget(epoch)
		So(budget.Take(epoch), ShouldBeTrue)
		So(budget.Take(epoch.Add(time.Second)), ShouldBeFalse)
		So(budget.Take(epoch.Add(11*time.Second)), ShouldBeTrue)
	})
}
