package claimant

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oklog/ulid/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/claims"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/filter/claim"
	standin "github.com/peridotreel/peridotreel/internal/standin/platform"
	"github.com/peridotreel/peridotreel/internal/task"
)

var _ claim.Claims = (*Task)(nil)

func newWork(key string, body byte) *core.Work {
	return &core.Work{
		Call:     &core.Call{IdempotencyKey: key, Fingerprint: [32]byte{body}},
		Caller:   core.Caller{Team: &core.TeamRow{Team: "butchers"}},
		Deadline: time.Now().Add(10 * time.Second),
	}
}

func serviceAnswer(body string) *core.Answer {
	return &core.Answer{Service: &core.ServiceAnswer{Status: 200, ContentType: "text/plain", Body: []byte(body)}}
}

// runWithTwoHosts runs a test with a platform and the tasks of two hosts, on a
// fake clock.
func runWithTwoHosts(t *testing.T, test func(t *testing.T, platform *standin.Service, a, b *Task)) {
	synctest.Test(t, func(t *testing.T) {
		var group task.Group
		platform := standin.NewService()
		group.Start(platform)
		start := func(host core.HostID) *Task {
			started := New(Config{Self: core.HostRef{Host: host, Incarnation: 1}, Table: platform, Objects: platform.Objects()})
			group.Start(started)
			return started
		}
		a, b := start("a"), start("b")
		defer group.Stop()
		test(t, platform, a, b)
	})
}

// Guards against a second run of a call that has an answer, against an answer
// that differs from the recorded one, and against a claim released by another
// request with the same key.
func TestRetryGetsRecordedAnswer(t *testing.T) {
	for name, body := range map[string]string{"small": "ok", "large": strings.Repeat("x", 3*maxInlineBytes)} {
		runWithTwoHosts(t, func(t *testing.T, _ *standin.Service, a, b *Task) {
			ctx, key := t.Context(), ulid.Make().String()
			work := newWork(key, 1)
			first, firstErr := a.Claim(ctx, work)
			retry := newWork(key, 1)
			a.Release(retry)
			a.Complete(ctx, work, serviceAnswer(body))
			again, againErr := b.Claim(ctx, newWork(strings.ToLower(key), 1))
			_, reusedErr := b.Claim(ctx, newWork(key, 2))
			Convey("A retry gets the recorded answer: "+name, t, func() {
				So(firstErr, ShouldBeNil)
				So(first, ShouldBeNil)
				So(againErr, ShouldBeNil)
				So(again, ShouldResemble, serviceAnswer(body))
				So(fault.From(reusedErr).Code, ShouldEqual, fault.KeyReused)
			})
		})
	}
}

// Guards against a call that runs although the result of its claim's commit is
// unknown, and against a claim that stays in the table after the refusal.
func TestLostReplyRefusesAndReleasesClaim(t *testing.T) {
	runWithTwoHosts(t, func(t *testing.T, platform *standin.Service, a, b *Task) {
		ctx, key := t.Context(), ulid.Make().String()
		platform.SetMode(standin.ModeLoseReply)
		_, refused := a.Claim(ctx, newWork(key, 1))
		platform.SetMode(standin.ModeNone)
		time.Sleep(5 * time.Second)
		answer, err := b.Claim(ctx, newWork(key, 1))
		Convey("The call is refused, and a retry acquires the released claim", t, func() {
			So(fault.From(refused).Code, ShouldEqual, fault.PlatformUnreachable)
			So(fault.From(refused).Run, ShouldEqual, fault.Unknown)
			So(err, ShouldBeNil)
			So(answer, ShouldBeNil)
		})
	})
}

// Guards against a second run while the first is in progress or abandoned, and
// against a claim whose conflict fails the other claims of its batch.
func TestRunningCallRunsOnce(t *testing.T) {
	runWithTwoHosts(t, func(t *testing.T, _ *standin.Service, a, b *Task) {
		ctx, taken, free := t.Context(), ulid.Make().String(), ulid.Make().String()
		work, freeWork := newWork(taken, 1), newWork(free, 1)
		_, claimErr := a.Claim(ctx, work)
		var local, remote, other error
		done := make(chan struct{}, 3)
		ask := func(at *Task, retry *core.Work, result *error) {
			_, *result = at.Claim(ctx, retry)
			done <- struct{}{}
		}
		go ask(a, newWork(taken, 1), &local)
		go ask(b, newWork(taken, 1), &remote)
		go ask(b, freeWork, &other)
		for range cap(done) {
			<-done
		}
		a.Abandon(work)
		time.Sleep(time.Second)
		_, abandoned := b.Claim(ctx, newWork(taken, 1))
		b.Release(freeWork)
		time.Sleep(time.Second)
		_, released := a.Claim(ctx, newWork(free, 1))
		Convey("Retries get request_in_progress and then outcome_unknown", t, func() {
			So(claimErr, ShouldBeNil)
			So(fault.From(local).Code, ShouldEqual, fault.RequestInProgress)
			So(fault.From(remote).Code, ShouldEqual, fault.RequestInProgress)
			So(other, ShouldBeNil)
			So(fault.From(abandoned).Code, ShouldEqual, fault.OutcomeUnknown)
			So(released, ShouldBeNil)
		})
	})
}

// Guards against records that are never deleted, and against records that are
// deleted while their key is still accepted.
func TestSweepDeletesOldRecords(t *testing.T) {
	runWithTwoHosts(t, func(t *testing.T, platform *standin.Service, a, _ *Task) {
		work := newWork(ulid.Make().String(), 1)
		_, err := a.Claim(t.Context(), work)
		a.Complete(t.Context(), work, serviceAnswer("ok"))
		rowsAfter := func(wait time.Duration) int {
			time.Sleep(wait)
			listed, _ := platform.List(t.Context(), "claim/")
			return len(listed)
		}
		kept, left := rowsAfter(claims.RetryWindow), rowsAfter(3*claims.MaxClockSkew+sweepInterval)
		Convey("A record is deleted once its key is no longer accepted", t, func() {
			So(err, ShouldBeNil)
			So([]int{kept, left}, ShouldResemble, []int{1, 0})
		})
	})
}

// Compares the tasks of two hosts with a plain list of calls, without faults.
func TestHostsAgreeWithReferenceList(t *testing.T) {
	runWithTwoHosts(t, func(t *testing.T, _ *standin.Service, a, b *Task) {
		random := rand.New(rand.NewPCG(1, 2))
		type entry struct {
			body   byte
			state  claims.State
			answer *core.Answer
		}
		list := make(map[string]*entry)
		var keys []string
		for range 8 {
			keys = append(keys, ulid.Make().String())
		}
		var got, want []string
		for i := range 400 {
			host := []*Task{a, b}[random.IntN(2)]
			work := newWork(keys[random.IntN(len(keys))], byte(random.IntN(8)/7))
			work.Deadline = time.Now().Add(time.Second)
			answer, err := host.Claim(t.Context(), work)
			got = append(got, describe(answer, err))
			known := list[work.Call.IdempotencyKey]
			switch {
			case known != nil && known.body != work.Call.Fingerprint[0]:
				want = append(want, string(fault.KeyReused))
			case known != nil && known.state == claims.Done:
				want = append(want, describe(known.answer, nil))
			case known != nil && known.state == claims.Claimed:
				want = append(want, string(fault.OutcomeUnknown))
			default:
				want = append(want, describe(nil, nil))
				known = &entry{body: work.Call.Fingerprint[0]}
				list[work.Call.IdempotencyKey] = known
				endCall(host, work, i, &known.state, &known.answer)
			}
		}
		Convey("The hosts and the list agree", t, func() { So(got, ShouldResemble, want) })
	})
}

// endCall completes, abandons or releases a call, depending on the turn.
func endCall(host *Task, work *core.Work, turn int, state *claims.State, answer **core.Answer) {
	switch turn % 5 {
	case 0:
		*state, *answer = claims.Done, serviceAnswer(strconv.Itoa(turn))
		host.Complete(context.Background(), work, *answer)
	case 1:
		*state = claims.Claimed
		host.Abandon(work)
	default:
		*state = claims.NotRun
		host.Release(work)
	}
	time.Sleep(time.Second)
}

func describe(answer *core.Answer, err error) string {
	switch {
	case err != nil:
		return string(fault.From(err).Code)
	case answer != nil:
		return string(answer.Service.Body)
	default:
		return "runs"
	}
}
