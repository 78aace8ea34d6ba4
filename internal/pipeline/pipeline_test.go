package pipeline

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/filter/attempt"
	"github.com/peridotreel/peridotreel/internal/filter/route"
)

type script = []func(attempt.Request) []core.StreamResult

// serve runs one call with a fake clock, so that delays take no real time.
func serve(t *testing.T, f *fakes, call *core.Call) (*recordingSink, error) {
	received := &recordingSink{}
	var err error
	synctest.Test(t, func(*testing.T) { err = f.pipeline().Serve(context.Background(), call, received) })
	return received, err
}

// Guards against truncated or duplicated text, or text of another request, after
// an attempt fails.
func TestAnswerIsCompleteAfterFailedAttempts(t *testing.T) {
	foreignEvent := func(request attempt.Request) []core.StreamResult {
		results := completeStream(request)
		results[1].Event.Request = core.RequestID{9}
		return results
	}
	lateEvents := func(request attempt.Request) []core.StreamResult {
		stale := tokens(request, 0, 2)
		stale[1].Event.Attempt = 0
		return append(append(stale, tokens(request, 0, 4)...), finish(request))
	}
	repeatedTokens := func(request attempt.Request) []core.StreamResult {
		return append(tokens(request, 0, 4), finish(request))
	}
	truncated := func(request attempt.Request) []core.StreamResult { return tokens(request, request.After, 2) }
	for name, steps := range map[string]script{
		"at once":                               {completeStream},
		"after a broken stream":                 {brokenStream(2), completeStream},
		"after a stream without a finish event": {truncated, completeStream},
		"after an event of another request":     {foreignEvent, completeStream},
		"among late events":                     {lateEvents},
		"with repeated tokens on a resume":      {brokenStream(2), repeatedTokens},
		"after a silent connection":             {silentStream, completeStream},
	} {
		Convey("The complete answer arrives "+name, t, func() {
			f := &fakes{script: steps}
			received, err := serve(t, f, completionCall())
			So(err, ShouldBeNil)
			So(received.text.String(), ShouldEqual, "abcd")
			So(received.final.Completion.Text, ShouldEqual, "abcd")
			So(f.bills, ShouldHaveLength, 1)
			So(f.bills[0].Cost, ShouldEqual, core.Tokens(7))
			So(f.settled, ShouldResemble, []core.Tokens{7})
			So(f.slots, ShouldEqual, 0)
		})
	}
}

// Guards against excluding an upstream when only its connection went silent, and
// against resuming on an upstream that is silent itself.
func TestSilentConnectionIsDistinguishedFromSilentUpstream(t *testing.T) {
	Convey("The stream resumes on a new connection to an upstream that answers the probe", t, func() {
		f := &fakes{script: script{silentStream, completeStream}}
		_, err := serve(t, f, completionCall())
		So(err, ShouldBeNil)
		So(f.requests[1].NewConnection, ShouldBeTrue)
		So(f.requests[1].Target.Upstream, ShouldEqual, core.UpstreamID("u1"))
		So(f.observed, ShouldContain, route.Silent)
	})
	Convey("The stream moves to another upstream if the probe fails", t, func() {
		f := &fakes{script: script{silentStream, completeStream}, probeErr: fault.Refuse(fault.NoUpstream, "no answer")}
		_, err := serve(t, f, completionCall())
		So(err, ShouldBeNil)
		So(f.requests[1].Target.Upstream, ShouldEqual, core.UpstreamID("u2"))
	})
}

// Guards against ending the answer of an upstream that was silent for a second or so and
// goes on, because no other upstream takes the request, or because it must not run twice.
func TestASilentUpstreamMayGoOnWithItsAnswer(t *testing.T) {
	noAnswer := fault.Refuse(fault.NoUpstream, "no answer")
	goOn := func(request attempt.Request, results chan<- attempt.Result) {
		for _, result := range completeStream(request) {
			results <- result
		}
	}
	whole := func(f *fakes) {
		call := completionCall()
		call.IdempotencyKey = testULID
		received, err := serve(t, f, call)
		So(err, ShouldBeNil)
		So(received.text.String(), ShouldEqual, "abcd")
		So(f.bills, ShouldHaveLength, 1)
	}
	Convey("Where no other upstream is left, it goes on", t, func() {
		f := &fakes{script: script{silentStream}, probeErr: noAnswer, goOn: goOn, unlisted: []core.UpstreamID{"u2"}}
		whole(f)
		So(f.requests, ShouldHaveLength, 1)
		So(f.observed, ShouldResemble, []route.ObservationKind{route.FirstToken, route.Finished})
	})
	Convey("Where the other upstreams fail, the stream resumes at it", t, func() {
		f := &fakes{script: script{silentStream, brokenStream(2), completeStream}, probeErr: noAnswer}
		whole(f)
		So(f.requests, ShouldHaveLength, 3)
		So(f.requests[2].Target.Upstream, ShouldEqual, core.UpstreamID("u1"))
		So(f.requests[2].NewConnection, ShouldBeTrue)
		So(f.requests[2].After, ShouldEqual, 2)
	})
	Convey("Where the other upstream never answers, the stream resumes at it", t, func() {
		f := &fakes{script: script{silentStream, silentStream, completeStream}, probeErr: noAnswer}
		whole(f)
		So(f.requests, ShouldHaveLength, 3)
		So(f.requests[2].Target.Upstream, ShouldEqual, core.UpstreamID("u1"))
	})
	Convey("Where it answers a probe, but refuses a new connection, the stream resumes at it later", t, func() {
		f := &fakes{script: script{silentStream, refusedStream, completeStream}, unlisted: []core.UpstreamID{"u2"}}
		whole(f)
		So(f.requests, ShouldHaveLength, 3)
		So(f.requests[2].Target.Upstream, ShouldEqual, core.UpstreamID("u1"))
	})
	Convey("Work that must not run twice waits for it", t, func() {
		f := &fakes{script: script{silentStream}, goOn: goOn, nonIdempotent: true}
		whole(f)
		So(f.requests, ShouldHaveLength, 1)
	})
}

// Guards against an incomplete answer that ends like a complete one.
func TestFailedAnswerIsAnErrorAndNotBilled(t *testing.T) {
	Convey("All upstreams fail", t, func() {
		f := &fakes{script: script{brokenStream(1), brokenStream(2)}}
		received, err := serve(t, f, completionCall())
		So(fault.From(err).Code, ShouldEqual, fault.UpstreamFailed)
		So(fault.From(err).Run, ShouldEqual, fault.Unknown)
		So(received.final, ShouldBeNil)
		So(f.bills, ShouldBeEmpty)
		So(f.settled, ShouldResemble, []core.Tokens{0})
		So(f.slots, ShouldEqual, 0)
	})
}

// Guards against running a keyed request again while an upstream still holds its
// answer.
func TestKeyedRequestResumesOnItsUpstream(t *testing.T) {
	Convey("The first attempt goes to the upstream that holds the answer", t, func() {
		f := &fakes{script: script{completeStream}, earlierTarget: &core.Target{Upstream: "u2"}}
		call := completionCall()
		call.IdempotencyKey = "retry-1"
		_, err := serve(t, f, call)
		So(err, ShouldBeNil)
		So(f.picks[0].Resume, ShouldEqual, core.UpstreamID("u2"))
		So(f.requests[0].After, ShouldEqual, 0)
		So(f.bills[0].Keyed, ShouldBeTrue)
	})
}

// Guards against a payout that runs twice, and against reporting "not run" for a
// call that may have run.
func TestNonIdempotentCallsAreNotRepeated(t *testing.T) {
	unknown := fault.New(fault.UpstreamFailed, fault.Unknown, "connection reset")
	notRun := fault.Refuse(fault.NoUpstream, "connection refused")
	Convey("A call that may have run is not sent again", t, func() {
		f := &fakes{serviceErrors: []error{unknown}}
		_, err := serve(t, f, serviceCall("POST"))
		So(fault.From(err).Run, ShouldEqual, fault.Unknown)
		So(f.requests, ShouldHaveLength, 1)
		So(f.requests[0].NewConnection, ShouldBeTrue)
		So(f.claims, ShouldResemble, []string{"claim", "abandon"})
	})
	Convey("A call that certainly did not run is sent to another upstream", t, func() {
		f := &fakes{serviceErrors: []error{notRun}}
		_, err := serve(t, f, serviceCall("POST"))
		So(err, ShouldBeNil)
		So(f.observed, ShouldResemble, []route.ObservationKind{route.Refused, route.Finished})
		So(f.requests, ShouldHaveLength, 2)
		So(f.claims, ShouldResemble, []string{"claim", "complete"})
		So(f.bills[0].Cost, ShouldEqual, core.Tokens(5))
	})
	Convey("A call that would outlast the host is refused only if it has not run before", t, func() {
		f := &fakes{stopsAt: time.Unix(1, 0)}
		_, err := serve(t, f, serviceCall("POST"))
		So(fault.From(err).Code, ShouldEqual, fault.HostDraining)
		So(f.claims, ShouldResemble, []string{"claim", "release"})
		f = &fakes{stopsAt: time.Unix(1, 0), recorded: &core.Answer{Service: &core.ServiceAnswer{Status: 200}}}
		_, err = serve(t, f, serviceCall("POST"))
		So(err, ShouldBeNil)
		So(f.requests, ShouldBeEmpty)
	})
	Convey("A refusal before the call is sent releases the claim", t, func() {
		f := &fakes{reserveErr: fault.Refuse(fault.InsufficientQuota, "empty")}
		_, err := serve(t, f, serviceCall("POST"))
		So(fault.From(err).Run, ShouldEqual, fault.NotRun)
		So(f.claims, ShouldResemble, []string{"claim", "release"})
		So(f.slots, ShouldEqual, 0)
	})
	Convey("A recorded answer is returned without running or billing the call", t, func() {
		f := &fakes{recorded: &core.Answer{Service: &core.ServiceAnswer{Status: 201}}}
		received, err := serve(t, f, serviceCall("POST"))
		So(err, ShouldBeNil)
		So(received.final.Service.Status, ShouldEqual, 201)
		So(f.requests, ShouldBeEmpty)
		So(f.bills, ShouldBeEmpty)
	})
	Convey("A call without a key is refused", t, func() {
		call := serviceCall("POST")
		call.IdempotencyKey = ""
		_, err := serve(t, &fakes{}, call)
		So(fault.From(err).Code, ShouldEqual, fault.KeyRequired)
	})
	Convey("A lookup on a silent connection is sent again on a new one", t, func() {
		f := &fakes{silentCalls: 1}
		received, err := serve(t, f, serviceCall("GET"))
		So(err, ShouldBeNil)
		So(received.final.Service.Status, ShouldEqual, 200)
		So(f.requests, ShouldHaveLength, 2)
		So(f.requests[0].NewConnection, ShouldBeFalse)
		So(f.requests[1].NewConnection, ShouldBeTrue)
		So(f.bills, ShouldHaveLength, 1)
	})
	Convey("A payout on a silent connection is not sent again", t, func() {
		f := &fakes{silentCalls: 1}
		_, err := serve(t, f, serviceCall("POST"))
		So(fault.From(err).Run, ShouldEqual, fault.Unknown)
		So(f.requests, ShouldHaveLength, 1)
		So(f.claims, ShouldResemble, []string{"claim", "abandon"})
	})
	Convey("A lookup is sent again after a failure and needs no claim", t, func() {
		f := &fakes{serviceErrors: []error{unknown}}
		_, err := serve(t, f, serviceCall("GET"))
		So(err, ShouldBeNil)
		So(f.requests, ShouldHaveLength, 2)
		So(f.claims, ShouldBeEmpty)
	})
}

// Guards against an answer that is run once more, or given up for want of retries, when the
// links of this host broke and not its upstream; the upstream still holds it.
func TestAnAnswerThatBrokeWithTheLinksResumesOnItsUpstream(t *testing.T) {
	for lost, expected := range map[bool]struct {
		resume   core.UpstreamID
		excluded int
	}{true: {resume: "u1"}, false: {excluded: 1}} {
		Convey("A stream breaks off", t, func() {
			f := &fakes{script: script{brokenStream(2), completeStream}, linksLost: lost}
			received, err := serve(t, f, completionCall())
			So(err, ShouldBeNil)
			So(received.text.String(), ShouldEqual, "abcd")
			So(f.picks, ShouldHaveLength, 2)
			So(f.picks[1].Resume, ShouldEqual, expected.resume)
			So(f.picks[1].Excluded, ShouldHaveLength, expected.excluded)
		})
	}
}
