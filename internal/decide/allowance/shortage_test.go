package allowance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
)

// total returns what the parts add up to.
func (p Parts) total() core.Tokens {
	sum := -2 * p.Overdrawn
	for _, part := range p.Named() {
		sum += part.Tokens
	}
	return sum
}

// Guards against a part that no cause names, and against causes that name tokens which
// would not have been enough or which were not needed.
func TestTheCauseIsTheLastPartThatARequestNeeds(t *testing.T) {
	const amount = core.Tokens(100)
	Convey("Given a balance with one part beside what is spent and available", t, func() {
		for _, c := range []struct {
			parts           Parts
			cause, awayFrom Cause
		}{
			{Parts{Unpledged: 60}, CausePledge, CauseStoreAway},
			{Parts{Unallocated: 60}, CauseLedger, CauseStoreAway},
			{Parts{Returning: 60}, CauseLedger, CauseStoreAway},
			{Parts{HeldReachable: 60}, CauseReachable, CauseStoreAway},
			{Parts{HeldUnasked: 60}, CauseUnasked, CauseStoreAway},
			{Parts{Reserved: 60}, CauseReserved, CauseReserved},
			{Parts{HeldUnreachable: 60}, CauseUnreachable, CauseUnreachable},
			{Parts{Withheld: 60}, CauseStoreReturn, CauseStoreReturn},
			{Parts{Barred: 60}, CauseStoreReturn, CauseStoreReturn},
			{Parts{Lost: 60}, CauseStoreReturn, CauseStoreReturn},
			{Parts{Unsettled: 60}, CauseInDoubt, CauseInDoubt},
			{Parts{Unsure: 60}, CauseInDoubt, CauseInDoubt},
			{Parts{}, CauseSpent, CauseSpent},
			{Parts{Unread: 60}, CauseUnread, CauseStoreAway},
			{Parts{Unpledged: 60, Overdrawn: 1}, CauseSpent, CauseSpent},
		} {
			c.parts.Spent, c.parts.Available = 1_000, 40
			So(c.parts.Cause(amount, false), ShouldEqual, c.cause)
			So(c.parts.Cause(amount, true), ShouldEqual, c.awayFrom)
		}
	})
	Convey("Given parts of which none is enough alone", t, func() {
		parts := Parts{Available: 40, Unpledged: 20, Unallocated: 20, HeldReachable: 19, Reserved: 500}
		So(parts.Cause(amount, false), ShouldEqual, CauseReserved)
		So(parts.Cause(amount, true), ShouldEqual, CauseReserved)
		So(parts.Cause(99, false), ShouldEqual, CauseReachable)
		So(parts.Cause(80, false), ShouldEqual, CauseLedger)
		So(parts.Cause(80, true), ShouldEqual, CauseStoreAway)
	})
}

// Guards against tokens of holders that are counted as unreachable, or as held, although
// the holder's answer tells that they are spent or reserved.
func TestHoldersTokensAreLocatedByTheirAnswers(t *testing.T) {
	Convey("Given holders of which one answered, one failed and one was not asked", t, func() {
		s := Shortage{Parts: Parts{Spent: 10, Available: 5}, Holders: []HostTokens{
			{Host: "answered", Tokens: 100, Unreachable: true}, {Host: "failed", Tokens: 200}, {Host: "other", Tokens: 300},
			{Host: "unanswered", Tokens: 40, Unreachable: true},
		}}
		answers := map[core.HostID]Parts{"answered": {Available: 7, Unpledged: 20, Reserved: 30, Returning: 2, Unsettled: 11, Spent: 1_000}}
		parts := s.Locate(answers, map[core.HostID]bool{"failed": true})
		So(parts, ShouldResemble, Parts{
			Spent: 10 + 30, Available: 5, HeldReachable: 27, HeldUnasked: 300, Reserved: 30, Returning: 2, Unsettled: 11, HeldUnreachable: 200 + 40,
		})
		Convey("An answer that was given after new grants takes no more than the holding", func() {
			answers["answered"] = Parts{Available: 70, Reserved: 500}
			parts := s.Locate(answers, nil)
			So(parts.Reserved, ShouldEqual, 30)
			So(parts.total(), ShouldEqual, 655)
		})
		Convey("An answer without a ledger says nothing about the holding", func() {
			answers["answered"] = Parts{Unread: 50}
			So(s.Locate(answers, nil).HeldUnasked, ShouldEqual, 600)
		})
	})
}

// Guards against tokens of the prepaid total that the split leaves out or counts twice, in
// any ledger and state of the holder, and against an amount that is called available
// although the holder does not reserve it.
func TestThePartsOfABalanceAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := func(label string, most core.Tokens) core.Tokens {
			return core.Tokens(rapid.Int64Range(0, int64(most)).Draw(t, label))
		}
		now := time.Unix(1000, 0)
		prepaid := tokens("prepaid", 10_000)
		ledger := Ledger{Settled: tokens("settled", 2_000), Holdings: make(map[string]Holding)}
		ledger.Unsure = tokens("unsure", ledger.Settled)
		ledger.Mark = Mark{Era: 1, Sequence: rapid.Int64Range(0, 1).Draw(t, "sequence")}
		if rapid.Bool().Draw(t, "withholds") {
			ledger.Withheld = &Withheld{Amount: tokens("withheld", 1_000)}
		}
		if rapid.Bool().Draw(t, "has room") {
			room := tokens("room", 1_000)
			ledger.Room = &room
		}
		own := Process{Host: "host-0", Start: "1"}
		for i := range rapid.IntRange(0, 6).Draw(t, "holdings") {
			process := Process{Host: core.HostID(fmt.Sprintf("host-%d", i%3)), Start: fmt.Sprint(1 + i/3)}
			granted := tokens("granted", 2_000)
			ledger.Holdings[process.String()] = Holding{Host: process.Host, Granted: granted, Spent: tokens("spent", granted)}
		}
		h := NewHolder(own)
		h.SetBalance(prepaid, 3, true)
		if rapid.Bool().Draw(t, "unread") {
			if parts := h.Shortage(now).Parts; parts != (Parts{Unread: prepaid}) {
				t.Fatalf("%+v without a ledger", parts)
			}
		}
		h.SetLedger(ledger, core.Revision{Era: 1, Number: 1}, time.Minute, now)
		h.spent = tokens("spent here", h.granted())
		h.reserved = tokens("reserved here", h.granted()-h.spent)
		h.BeginPledge(Pledge{Burst: tokens("burst", 2_000)}, now)
		h.EndPledge(true)
		if rapid.Bool().Draw(t, "returns") && h.held() > 0 {
			h.BeginCommit(Proposal{Delta: -tokens("returned", h.held())}, now)
		}
		if rapid.Bool().Draw(t, "store returned") {
			h.SetLedger(ledger, core.Revision{Era: 2, Number: 1}, time.Minute, now)
		}
		s := h.Shortage(now)
		unreachable := map[core.HostID]bool{"host-1": rapid.Bool().Draw(t, "unreachable")}
		answers := map[core.HostID]Parts{"host-2": {Available: tokens("answered", 1_000), Reserved: tokens("answered reserved", 1_000)}}
		parts := s.Locate(answers, unreachable)
		if parts.total() != prepaid {
			t.Fatalf("%+v adds up to %d of %d", parts, parts.total(), prepaid)
		}
		for _, part := range parts.Named() {
			if part.Tokens < 0 {
				t.Fatalf("%+v has a negative part", parts)
			}
		}
		amount := 1 + tokens("amount", 10_000)
		cause := parts.Cause(amount, false)
		if (cause == CauseSpent) != (amount > prepaid-parts.Spent) {
			t.Fatalf("cause of %d is %s of %+v", amount, cause, parts)
		}
		if parts.Available != h.Available(now) {
			t.Fatalf("%d are available, %+v", h.Available(now), parts)
		}
	})
}

// Guards against unallocated tokens that are called grantable, or named by the wrong rule.
func TestTokensThatMayNotBeGrantedAreNamedByTheirRule(t *testing.T) {
	Convey("Given an owner that the ledger has had for less than the age of a copy", t, func() {
		now, room := time.Unix(1000, 0), core.Tokens(100)
		own, earlier := Process{Host: "host", Start: "2"}, Process{Host: "host", Start: "1"}
		ledger := Ledger{
			Mark: Mark{Era: 1, Sequence: 1}, Withheld: &Withheld{Amount: 500}, Room: &room, Settled: 300, Unsure: 200,
			Holdings: map[string]Holding{
				earlier.String(): {Host: "host", Granted: 50, Spent: 10},
				"other/1":        {Host: "other", Granted: 1_000, Spent: 400, EnteredAt: 1},
			},
		}
		h := NewHolder(own)
		h.SetBalance(10_000, 1, true)
		h.SetLedger(ledger, core.Revision{Era: 1, Number: 1}, time.Hour, now)
		s := h.Shortage(now)
		So(s.Parts, ShouldResemble, Parts{Spent: 100 + 10 + 400, Unsettled: 40, Unsure: 200, Unallocated: 100, Withheld: 500, Barred: 8_050})
		So(s.Holders, ShouldResemble, []HostTokens{{Host: "other", Tokens: 600}})
		Convey("An owner that each copy has may grant all but what is withheld", func() {
			ledger.Holdings[own.String()] = Holding{Host: "host", EnteredAt: 1}
			h.SetLedger(ledger, core.Revision{Era: 1, Number: 2}, time.Hour, now)
			So(h.Shortage(now).Parts.Barred, ShouldEqual, 0)
			So(h.Shortage(now).Parts.Unallocated, ShouldEqual, 8_150)
		})
	})
}
