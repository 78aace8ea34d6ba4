package quarantine

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// prompts counts the prompts of all tests.
var prompts atomic.Int64

// promptOf returns the traits of a request whose prompt has shared parts and one of
// its own, which no other has.
func promptOf(shared ...string) []Trait {
	return promptWith(fmt.Sprint("own-", prompts.Add(1)), shared...)
}

func promptWith(own string, shared ...string) []Trait {
	prompt := &gateway.Prompt{}
	for _, id := range append(shared, own) {
		prompt.Parts = append(prompt.Parts, gateway.PromptPart{ID: id, Tokens: 1})
	}
	return TraitsOf(prompt, "", false)
}

// plain returns the traits of a request without a prompt.
func plain(fingerprint string) []Trait { return TraitsOf(nil, fingerprint, false) }

// record records a crash with one request in flight.
func record(r *Registry, traits []Trait, crash Crash, now time.Time) {
	r.RecordCrash(crash, []Lost{{Traits: traits}}, now)
}

func crashOf(r *Registry, second float64, upstream string, shared ...string) {
	record(r, promptOf(shared...), Crash{Upstream: core.UpstreamID(upstream), At: at(second), SameZone: true}, at(second))
}

// Guards against holding parts for what is no crash by a request: few crashes, one
// upstream that keeps crashing, many upstreams lost at once, and crashes before an
// answer.
func TestWhatDoesNotHoldAPart(t *testing.T) {
	Convey("Given a host", t, func() {
		r := New("h")
		Convey("two crashes do not suffice", func() {
			crashOf(r, 1, "u1", "a")
			crashOf(r, 5, "u2", "a")
			So(r.Holds(), ShouldBeEmpty)
		})
		Convey("one upstream that crashes again and again is to blame itself", func() {
			for i := range 6 {
				crashOf(r, float64(5*i), "u1", "a")
			}
			So(r.Holds(), ShouldBeEmpty)
		})
		Convey("upstreams that are lost together count as one crash", func() {
			for i := range 6 {
				crashOf(r, 1+0.04*float64(i), fmt.Sprint("u", i), "a")
			}
			So(r.Holds(), ShouldBeEmpty)
		})
		Convey("an answer clears the crashes before it", func() {
			crashOf(r, 1, "u1", "a")
			crashOf(r, 2, "u2", "a")
			r.RecordAnswer(promptOf("a"), at(2.5))
			crashOf(r, 3, "u3", "a")
			So(r.Holds(), ShouldBeEmpty)
		})
		Convey("upstreams of other zones may be behind a partition, up to a point", func() {
			for i := range crossZoneCrashesToHold - 1 {
				record(r, promptOf("a"), Crash{Upstream: core.UpstreamID(fmt.Sprint("u", i)), At: at(float64(i))}, at(float64(i)))
			}
			So(r.Holds(), ShouldBeEmpty)
			record(r, promptOf("a"), Crash{Upstream: "u9", At: at(9)}, at(9))
			So(r.Holds().HeldTraits(), ShouldResemble, []string{"a"})
		})
		Convey("last parts that differ are each in one crash", func() {
			for i := range 4 {
				crashOf(r, float64(i), fmt.Sprint("u", i))
			}
			So(r.Holds(), ShouldBeEmpty)
		})
	})
}

// Guards against a request that callers send again and that crashes each upstream,
// while others with the same shared parts are sound: their answers cleared the shared
// parts, and the request reached 11 upstreams where 3 had shown what it does. It comes
// at one host again and again, so that this host's word must do.
func TestARequestThatIsSentAgainIsHeldByItsLastPart(t *testing.T) {
	Convey("Given a request that crashed three upstreams at one host", t, func() {
		r, other := New("h"), New("other")
		for i := range 3 {
			record(r, promptWith("again", "a"), Crash{Upstream: core.UpstreamID(fmt.Sprint("u", i)), At: at(float64(i)), SameZone: true}, at(float64(i)))
			r.RecordAnswer(promptOf("a"), at(float64(i)+0.5))
		}
		So(r.Holds().HeldTraits(), ShouldResemble, []string{"again"})
		_, found := r.Holds().Find(promptOf("a"))
		So(found, ShouldBeFalse)
		Convey("the other hosts hold it too", func() {
			other.Merge(r.Report(nil, at(3)), at(3))
			So(other.Holds().HeldTraits(), ShouldResemble, []string{"again"})
		})
		Convey("an answer to it releases it", func() {
			r.RecordAnswer(promptWith("again", "a"), at(40))
			So(r.Holds(), ShouldBeEmpty)
		})
	})
}

// Guards against a request without a prompt that is sent again, at any host, and that
// crashes each upstream: nothing of it was recorded, and it ended 13 upstreams.
func TestARequestWithoutAPromptIsHeldByItsFingerprint(t *testing.T) {
	Convey("Given equal requests that crash upstreams at three hosts", t, func() {
		hosts := []*Registry{New("h1"), New("h2"), New("h3")}
		again := plain("request-again")
		for i, host := range hosts {
			now := at(float64(2 * i))
			crash := Crash{Upstream: core.UpstreamID(fmt.Sprint("u", i)), At: now, SameZone: i == 0}
			record(host, again, crash, now)
			record(host, plain(fmt.Sprint("request-beside-", i)), crash, now)
			for _, other := range hosts {
				other.Merge(host.Report(nil, now), now)
			}
		}
		for _, host := range hosts {
			So(host.Holds().HeldTraits(), ShouldResemble, []string{"request-again"})
			So(host.Suspects(again, nil), ShouldBeTrue)
			_, found := host.Holds().Find(plain("request-other"))
			So(found, ShouldBeFalse)
		}
		Convey("an answer releases it", func() {
			So(hosts[0].RecordAnswer(again, at(40)), ShouldBeTrue)
			So(hosts[0].Holds(), ShouldBeEmpty)
		})
	})
	Convey("A repeat that crashes the next upstream at once counts by itself", t, func() {
		r, again := New("h"), plain("request-again")
		for i := range crashesToHold {
			now := at(0.05 * float64(i))
			So(r.Repeats(again), ShouldEqual, i > 0)
			crash := Crash{Upstream: core.UpstreamID(fmt.Sprint("u", i)), At: now, SameZone: true}
			r.RecordCrash(crash, []Lost{{Traits: again, Repeat: r.Repeats(again)}}, now)
		}
		So(r.Holds().HeldTraits(), ShouldResemble, []string{"request-again"})
		other := New("other")
		other.Merge(r.Report(nil, at(1)), at(1))
		So(other.Holds().HeldTraits(), ShouldResemble, []string{"request-again"})
	})
	Convey("Equal requests at upstreams that are lost together are in one crash", t, func() {
		r := New("h")
		for i := range 6 {
			now := at(0.02 * float64(i))
			record(r, plain("request-polled"), Crash{Upstream: core.UpstreamID(fmt.Sprint("u", i)), At: now, SameZone: true}, now)
		}
		So(r.Holds(), ShouldBeEmpty)
	})
	Convey("It is held rather than a part that was in flight beside it, at any depth", t, func() {
		r := New("h")
		for i := range crashesToHold {
			now := at(float64(5 * i))
			crash := Crash{Upstream: core.UpstreamID(fmt.Sprint("u", i)), At: now, SameZone: true}
			record(r, plain("request-again"), crash, now)
			record(r, promptOf("a", "b", "c"), crash, now)
		}
		So(r.Holds().HeldTraits(), ShouldResemble, []string{"request-again"})
	})
	Convey("A service's only upstream suffices after more crashes, if no request was answered", t, func() {
		r := New("h")
		for i := range crossZoneCrashesToHold {
			So(r.Holds(), ShouldBeEmpty)
			now := at(float64(5 * i))
			record(r, plain("request-again"), Crash{Upstream: "only", At: now}, now)
			record(r, plain("request-polled"), Crash{Upstream: "only", At: now}, now)
			r.RecordAnswer(plain("request-polled"), now.Add(time.Second))
		}
		So(r.Holds().HeldTraits(), ShouldResemble, []string{"request-again"})
	})
}

// Guards against holding a team's requests to a path because one part of a prompt crashes
// upstreams: their bodies may be equal, as the prompt is not in the body.
func TestRequestsWithPromptsAreKnownByTheirParts(t *testing.T) {
	Convey("Given requests with equal fingerprints, three of which crash upstreams by a part", t, func() {
		r := New("h")
		prompt := func(ids ...string) *gateway.Prompt {
			prompt := &gateway.Prompt{}
			for _, id := range ids {
				prompt.Parts = append(prompt.Parts, gateway.PromptPart{ID: id, Tokens: 1})
			}
			return prompt
		}
		for i := range crashesToHold {
			now := at(float64(5 * i))
			record(r, TraitsOf(prompt("a", "deadly", fmt.Sprint("own", i)), "request-equal", false), Crash{Upstream: core.UpstreamID(fmt.Sprint("u", i)), At: now, SameZone: true}, now)
		}
		So(r.Holds().HeldTraits(), ShouldResemble, []string{"deadly"})
		_, found := r.Holds().Find(TraitsOf(prompt("b", "own"), "request-equal", false))
		So(found, ShouldBeFalse)
	})
	Convey("Of callers that are not known, one host's word does not hold a request", t, func() {
		r := New("h")
		for i := range crashesToHold {
			r.Merge(Report{Crashes: []CrashReport{{Part: "request-public", Own: TraitsOf(nil, "request-public", true)[0].Own, Upstream: core.UpstreamID(fmt.Sprint("u", i)), Origin: "other", SameZone: true}}}, at(float64(5*i)))
		}
		So(r.Holds(), ShouldBeEmpty)
	})
}

// Guards against repeating a request that may have crashed upstreams before, and
// against not repeating one whose parts were answered.
func TestSuspects(t *testing.T) {
	Convey("Given a crash with a part in flight", t, func() {
		r := New("h")
		crashOf(r, 1, "u1", "a", "b")
		So(r.Suspects(promptOf("x", "b"), nil), ShouldBeTrue)
		So(r.Suspects(promptOf("x", "b"), []core.UpstreamID{"u1"}), ShouldBeFalse)
		So(r.Suspects(promptOf("x"), nil), ShouldBeFalse)
		r.RecordAnswer(promptOf("a", "b"), at(2))
		So(r.Suspects(promptOf("x", "b"), nil), ShouldBeFalse)
	})
}

// Guards against refusing sound requests that share parts with those that crash
// upstreams.
func TestOnlyTheResponsiblePartIsHeld(t *testing.T) {
	Convey("Given crashes on requests with parts in common", t, func() {
		r := New("h")
		Convey("the deepest part is held of those that were in all of them", func() {
			for i := range 3 {
				crashOf(r, float64(i), fmt.Sprint("u", i), "a", "b", "deadly")
				crashOf(r, float64(i), fmt.Sprint("u", i), "a", "beside")
			}
			So(r.Holds().HeldTraits(), ShouldResemble, []string{"deadly"})
			_, found := r.Holds().Find(promptOf("a", "b"))
			So(found, ShouldBeFalse)
			hold, found := r.Holds().Find(promptOf("x", "deadly"))
			So(found, ShouldBeTrue)
			So(hold.Until, ShouldEqual, at(2).Add(holdAfterCrash))
		})
		Convey("a part that was answered before is held last", func() {
			r.RecordAnswer(promptOf("x", "y", "deepest"), at(0))
			for i := range 3 {
				crashOf(r, float64(i)+1, fmt.Sprint("u", i), "deadly", "deepest")
			}
			So(r.Holds().HeldTraits(), ShouldResemble, []string{"deadly"})
		})
		Convey("a first part is held if the parts after it differ", func() {
			for i := range 3 {
				crashOf(r, float64(i), fmt.Sprint("u", i), "deadly", fmt.Sprint("b", i))
			}
			So(r.Holds().HeldTraits(), ShouldResemble, []string{"deadly"})
		})
	})
}

// Guards against a hold that outlasts its cause, and against hosts that all try a
// held part at once.
func TestAHeldPartIsTriedByOneHostAfterTheOther(t *testing.T) {
	Convey("Given a held part", t, func() {
		r := New("h")
		for i := range 3 {
			crashOf(r, float64(i), fmt.Sprint("u", i), "deadly")
		}
		until := r.Holds()["deadly"].Until
		So(r.AllowTrial("deadly", 0, until.Add(-time.Millisecond)), ShouldBeFalse)
		So(r.AllowTrial("deadly", 2, until.Add(trialSpacing)), ShouldBeFalse)
		So(r.AllowTrial("deadly", 1, until.Add(trialSpacing)), ShouldBeTrue)
		So(r.AllowTrial("deadly", 1, until.Add(trialSpacing+time.Second)), ShouldBeFalse)
		Convey("a trial that crashes an upstream holds the part for twice as long", func() {
			crashOf(r, 33, "u9", "deadly")
			So(r.Holds()["deadly"].Until, ShouldEqual, at(33).Add(2*holdAfterCrash))
		})
		Convey("a trial that is answered releases it", func() {
			r.RecordAnswer(promptOf("deadly"), at(33))
			So(r.Holds(), ShouldBeEmpty)
		})
		Convey("it is forgotten if nobody asks for it", func() {
			So(r.Expire(at(2).Add(crashTTL+time.Second)), ShouldBeTrue)
			So(r.Holds(), ShouldBeEmpty)
			So(r.evidence, ShouldBeEmpty)
		})
	})
}

// Guards against one host whose reports are wrong: it must not have a part held
// everywhere, nor fill the memory of others.
func TestAWrongReportHasBoundedEffect(t *testing.T) {
	Convey("Given reports of one other host", t, func() {
		r := New("h")
		report := func(age time.Duration, upstream string, part string) Report {
			return Report{Crashes: []CrashReport{{Part: part, Upstream: core.UpstreamID(upstream), Age: age, Origin: "wrong"}}}
		}
		Convey("its crashes alone hold no part", func() {
			for i := range 20 {
				r.Merge(report(time.Duration(i)*5*time.Second, fmt.Sprint("u", i), "a"), at(200))
			}
			So(r.Holds(), ShouldBeEmpty)
			Convey("but count together with a crash of this host", func() {
				crashOf(r, 210, "u30", "a")
				So(r.Holds().HeldTraits(), ShouldResemble, []string{"a"})
			})
		})
		Convey("impossible ages, ids that are too long and reports that are too long are cut", func() {
			r.Merge(report(-time.Second, "u", "a"), at(200))
			r.Merge(report(crashTTL+1, "u", "a"), at(200))
			r.Merge(report(0, "u", string(make([]byte, maxTraitBytes+1))), at(200))
			So(r.evidence, ShouldBeEmpty)
			var long Report
			for i := range 10 * maxReportEntries {
				long.Crashes = append(long.Crashes, CrashReport{Part: fmt.Sprint(i), Upstream: "u", Origin: "wrong"})
				long.Answers = append(long.Answers, AnswerReport{Part: fmt.Sprint("x", i)})
			}
			r.Merge(long, at(200))
			So(len(r.evidence), ShouldEqual, maxReportEntries)
			So(len(r.answers), ShouldEqual, 0)
		})
		Convey("what a host remembers is bounded", func() {
			for i := range 2 * maxCrashes {
				crashOf(r, float64(i)/1000, fmt.Sprint("u", i), fmt.Sprint("p", i))
			}
			So(len(r.evidence), ShouldEqual, maxCrashes)
			for i := range 2 * maxAnswers {
				r.RecordAnswer(promptOf(fmt.Sprint("q", i)), at(10))
			}
			So(len(r.answers), ShouldBeLessThanOrEqualTo, maxAnswers)
		})
	})
}

// Guards against hosts that disagree because they learned of the same crashes and
// answers in another order.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			answer bool
			crash  CrashReport
		}
		now := at(100)
		entries := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) entry {
			upstream := rapid.SampledFrom([]string{"u1", "u2", "u3", "u4"}).Draw(t, "upstream")
			origin := rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "origin")
			return entry{
				answer: rapid.IntRange(0, 5).Draw(t, "kind") == 0,
				crash: CrashReport{
					Part: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "part"), Depth: 0,
					Upstream: core.UpstreamID(upstream),
					Age:      time.Duration(rapid.IntRange(0, 8).Draw(t, "age")) * 4 * time.Second,
					SameZone: upstream[1] == origin[1],
					Origin:   core.HostID(origin),
				},
			}
		}), 0, 30).Draw(t, "entries")
		shuffled := rapid.Permutation(entries).Draw(t, "order")
		holdsAfter := func(list []entry) Holds {
			r := New("self")
			for _, e := range list {
				if e.answer {
					r.RecordAnswer(promptOf(e.crash.Part), now.Add(-e.crash.Age))
				} else {
					r.Merge(Report{Crashes: []CrashReport{e.crash}}, now)
				}
			}
			return r.Holds()
		}
		first, second := holdsAfter(entries), holdsAfter(shuffled)
		if len(first) != len(second) || first.Digest() != second.Digest() {
			t.Fatalf("holds differ: %v and %v", first, second)
		}
		for part, hold := range first {
			if hold.Until != second[part].Until {
				t.Fatalf("part %s is held until %v and %v", part, hold.Until, second[part].Until)
			}
		}
	})
}

// Guards against hosts that hold different parts because one of them learned last of an
// answer that clears no crash: it counts all the same, as a part that was answered is held
// after others.
func TestAnAnswerThatClearsNoCrashIsWeighed(t *testing.T) {
	Convey("Given crashes that two parts explain alike, and an earlier answer to one of them", t, func() {
		now := at(100)
		crashes := func(r *Registry) {
			for _, part := range []string{"a", "b"} {
				r.Merge(Report{Crashes: []CrashReport{
					{Part: part, Upstream: "u1", Origin: "h2"},
					{Part: part, Upstream: "u2", Origin: "h1", Age: 8 * time.Second},
					{Part: part, Upstream: "u1", Origin: "h1", Age: 4 * time.Second, SameZone: true},
				}}, now)
			}
		}
		answer := func(r *Registry) { r.RecordAnswer(promptOf("a"), now.Add(-12*time.Second)) }
		early, late := New("self"), New("self")
		answer(early)
		crashes(early)
		crashes(late)
		answer(late)
		So(early.Holds().HeldTraits(), ShouldResemble, []string{"b"})
		So(late.Holds().HeldTraits(), ShouldResemble, early.Holds().HeldTraits())
		Convey("It counts also if a peer reports it", func() {
			told := New("self")
			crashes(told)
			told.Merge(Report{Answers: []AnswerReport{{Part: "a", Age: 12 * time.Second}}}, now)
			So(told.Holds().HeldTraits(), ShouldResemble, []string{"b"})
		})
	})
}
