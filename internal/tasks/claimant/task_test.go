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

func workOf(key string, body byte) *core.Work {
	return &core.Work{
		Call:     &core.Call{IdempotencyKey: key, Fingerprint: [32]byte{body}},
		Caller:   core.Caller{Team: &core.TeamRow{Team: "butchers"}},
		Deadline: time.Now().Add(10 * time.Second),
	}
}

func service(body string) *core.Answer {
	return &core.Answer{Service: &core.ServiceAnswer{Status: 200, ContentType: "text/plain", Body: []byte(body)}}
}

// inFleet runs a test with a platform and the claimants of two hosts on a
// fake clock.
func inFleet(t *testing.T, test func(t *testing.T, platform *standin.Service, a, b *Task)) {
	synctest.Test(t, func(t *testing.T) {
		var group task.Group
		platform := standin.NewService()
		group.Start(platform)
		start := func(host core.HostID) *Task {
			claimant := New(Config{Self: core.HostRef{Host: host, Incarnation: 1}, Table: platform, Objects: platform.Objects()})
			group.Start(claimant)
			return claimant
		}
		a, b := start("a"), start("b")
		defer group.Stop()
		test(t, platform, a, b)
	})
}

// Guards against a second run of a call that has an answer, against answers
// that differ from the recorded one, and against a claim that is given back by
// another request with the same key.
func TestRepeatGetsRecordedAnswer(t *testing.T) {
	for name, body := range map[string]string{"small": "ok", "large": strings.Repeat("x", 3*maxInline)} {
		inFleet(t, func(t *testing.T, _ *standin.Service, a, b *Task) {
			ctx, key := t.Context(), ulid.Make().String()
			work := workOf(key, 1)
			first, firstErr := a.Claim(ctx, work)
			repeat := workOf(key, 1)
			a.Release(repeat)
			a.Complete(ctx, work, service(body))
			again, againErr := b.Claim(ctx, workOf(strings.ToLower(key), 1))
			_, reusedErr := b.Claim(ctx, workOf(key, 2))
			Convey("A repeat gets the recorded answer: "+name, t, func() {
				So(firstErr, ShouldBeNil)
				So(first, ShouldBeNil)
				So(againErr, ShouldBeNil)
				So(again, ShouldResemble, service(body))
				So(fault.From(reusedErr).Code, ShouldEqual, fault.KeyReused)
			})
		})
	}
}

// Guards against a call that runs although its claim's outcome is unknown,
// and against a claim that stays behind after the refusal.
func TestUnreachablePlatformRefusesAndGivesBack(t *testing.T) {
	inFleet(t, func(t *testing.T, platform *standin.Service, a, b *Task) {
		ctx, key := t.Context(), ulid.Make().String()
		platform.SetMode(standin.ModeLoseReply)
		_, refused := a.Claim(ctx, workOf(key, 1))
		platform.SetMode(standin.ModeNone)
		time.Sleep(5 * time.Second)
		answer, err := b.Claim(ctx, workOf(key, 1))
		Convey("The claim is refused, given back and won by a repeat", t, func() {
			So(fault.From(refused).Code, ShouldEqual, fault.PlatformUnreachable)
			So(fault.From(refused).Run, ShouldEqual, fault.Unknown)
			So(err, ShouldBeNil)
			So(answer, ShouldBeNil)
		})
	})
}

// Guards against a second run while the first is in progress or abandoned,
// and against one claim that fails the others of its group.
func TestRunningCallIsNotRepeated(t *testing.T) {
	inFleet(t, func(t *testing.T, _ *standin.Service, a, b *Task) {
		ctx, taken, free := t.Context(), ulid.Make().String(), ulid.Make().String()
		work, freeWork := workOf(taken, 1), workOf(free, 1)
		_, won := a.Claim(ctx, work)
		var local, remote, other error
		done := make(chan struct{}, 3)
		ask := func(at *Task, repeat *core.Work, result *error) {
			_, *result = at.Claim(ctx, repeat)
			done <- struct{}{}
		}
		go ask(a, workOf(taken, 1), &local)
		go ask(b, workOf(taken, 1), &remote)
		go ask(b, freeWork, &other)
		for range cap(done) {
			<-done
		}
		a.Abandon(work)
		time.Sleep(time.Second)
		_, abandoned := b.Claim(ctx, workOf(taken, 1))
		b.Release(freeWork)
		time.Sleep(time.Second)
		_, released := a.Claim(ctx, workOf(free, 1))
		Convey("Repeats wait, and learn that the outcome is unknown", t, func() {
			So(won, ShouldBeNil)
			So(fault.From(local).Code, ShouldEqual, fault.RequestInProgress)
			So(fault.From(remote).Code, ShouldEqual, fault.RequestInProgress)
			So(other, ShouldBeNil)
			So(fault.From(abandoned).Code, ShouldEqual, fault.OutcomeUnknown)
			So(released, ShouldBeNil)
		})
	})
}

// Guards against records that stay for good, and against records that go
// while their key is still accepted.
func TestSweepDeletesOldRecords(t *testing.T) {
	inFleet(t, func(t *testing.T, platform *standin.Service, a, _ *Task) {
		work := workOf(ulid.Make().String(), 1)
		_, err := a.Claim(t.Context(), work)
		a.Complete(t.Context(), work, service("ok"))
		rowsAfter := func(wait time.Duration) int {
			time.Sleep(wait)
			listed, _ := platform.List(t.Context(), "claim/")
			return len(listed)
		}
		kept, left := rowsAfter(claims.RetryWindow), rowsAfter(3*claims.MaxClockSkew+sweepInterval)
		Convey("A record is deleted when its key can't be accepted any more", t, func() {
			So(err, ShouldBeNil)
			So([]int{kept, left}, ShouldResemble, []int{1, 0})
		})
	})
}

// Compares two claimants with one naive list of calls, without faults.
func TestClaimantsAgreeWithNaiveList(t *testing.T) {
	inFleet(t, func(t *testing.T, _ *standin.Service, a, b *Task) {
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
			work := workOf(keys[random.IntN(len(keys))], byte(random.IntN(8)/7))
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
				finish(host, work, i, &known.state, &known.answer)
			}
		}
		Convey("The claimants and the list agree", t, func() { So(got, ShouldResemble, want) })
	})
}

// finish ends a call in one of the three ways in turn.
func finish(host *Task, work *core.Work, turn int, state *claims.State, answer **core.Answer) {
	switch turn % 5 {
	case 0:
		*state, *answer = claims.Done, service(strconv.Itoa(turn))
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
