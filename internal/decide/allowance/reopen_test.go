package allowance

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Guards against tokens that no ledger counts any more after two returns of the store to
// one copy: a commit that was applied to the copy after the first return gives a process
// a holding that it never had, and the rebase after the second takes it off what is lost.
func TestAHoldingThatAProcessNeverHadStaysCountedAfterTwoReturns(t *testing.T) {
	Convey("Given a commit of the first era that is applied to the copy in the second", t, func() {
		const prepaid, granted, withheld = core.Tokens(12_000), core.Tokens(11_120), core.Tokens(80)
		now, clock := time.Unix(1000, 0), 1000*time.Second
		owner, late := NewHolder(Process{Host: "owner", Start: "1"}), NewHolder(Process{Host: "late", Start: "1"})
		owner.SetBalance(prepaid, 2, true)
		late.SetBalance(prepaid, 2, true)
		copied := Ledger{
			Mark: Mark{Era: 1, Sequence: 4}, Withheld: &Withheld{Amount: withheld},
			Holdings: map[string]Holding{owner.process.String(): {Host: "owner", Granted: granted, EnteredAt: 1}},
		}
		owner.SetLedger(copied, core.Revision{Era: 1, Number: 7}, clock, now)
		late.SetLedger(copied, core.Revision{Era: 1, Number: 7}, clock, now)
		late.AddDemand(1_000, now)
		late.AddWaiting(1_000)
		commit, _ := late.Propose(now)
		So(commit.Delta, ShouldBeGreaterThan, 0)
		late.BeginCommit(commit, now)
		late.SetLedger(commit.Ledger, core.Revision{Era: 2, Number: 8}, clock, now)
		late.EndCommit(true)
		So(late.granted(), ShouldEqual, 0)
		Convey("After the second return, as much is allocated as before the process writes its holding again", func() {
			owner.SetLedger(copied, core.Revision{Era: 3, Number: 7}, clock, now)
			reopened, _ := owner.Propose(now)
			So(reopened.Reopens, ShouldBeTrue)
			So(reopened.Ledger.Allocated(), ShouldEqual, prepaid-withheld/2)
			late.SetLedger(reopened.Ledger, core.Revision{Era: 3, Number: 8}, clock, now)
			rebased, _ := late.Propose(now)
			So(rebased.Ledger.Base.Mark, ShouldResemble, commit.Ledger.Mark)
			So(rebased.Ledger.Holdings[late.process.String()].Granted, ShouldEqual, 0)
			So(rebased.Ledger.Allocated(), ShouldEqual, reopened.Ledger.Allocated())
			Convey("and the rebase is written once", func() {
				late.SetLedger(rebased.Ledger, core.Revision{Era: 3, Number: 9}, clock, now)
				_, changed := late.reconciled()
				So(changed, ShouldBeFalse)
			})
		})
	})
}

// Guards against too little being lost after a return of the store: a commit of before it
// that is applied to the copy lowers the room, which other processes had used before.
func TestACommitAppliedToTheCopyDoesNotLowerWhatIsLost(t *testing.T) {
	Convey("Given a commit of an owner of which the answer is lost", t, func() {
		const prepaid, withheld, room = core.Tokens(12_000), core.Tokens(80), core.Tokens(600)
		now, clock := time.Unix(1000, 0), 1000*time.Second
		late, other := NewHolder(Process{Host: "late", Start: "1"}), NewHolder(Process{Host: "other", Start: "1"})
		for _, holder := range []*Holder{late, other} {
			holder.SetBalance(prepaid, 2, true)
		}
		start := func(known *core.Tokens) Ledger {
			copied := Ledger{
				Mark: Mark{Era: 1, Sequence: 4}, Withheld: &Withheld{Amount: withheld}, Room: known,
				Holdings: map[string]Holding{
					late.process.String():  {Host: "late", Granted: 5_000, EnteredAt: 1},
					other.process.String(): {Host: "other", Granted: 6_000, EnteredAt: 1},
				},
			}
			late.SetLedger(copied, core.Revision{Era: 1, Number: 7}, clock, now)
			other.SetLedger(copied, core.Revision{Era: 1, Number: 7}, clock, now)
			return copied
		}
		// recovered returns the ledger of the second era once the given holders have
		// confirmed their holdings, if the store returned with a ledger.
		recovered := func(ledger Ledger, holders ...*Holder) Ledger {
			for number, holder := range holders {
				holder.SetLedger(ledger, core.Revision{Era: 2, Number: int64(8 + number)}, clock, now)
				proposal, _ := holder.Propose(now)
				ledger = proposal.Ledger
			}
			So(ledger.Base.Complete, ShouldBeFalse)
			return ledger
		}
		giveBack := func() Ledger {
			commit, _ := late.ProposeReturn(1, now)
			late.BeginCommit(commit, now)
			late.EndCommit(false)
			return commit.Ledger
		}
		bounded := room
		Convey("All that had been unallocated but is not withheld is lost if the room was not bounded", func() {
			start(nil)
			So(recovered(giveBack(), other, late).Allocated(), ShouldEqual, prepaid-withheld)
		})
		Convey("The room that the copy had is lost", func() {
			copied := start(&bounded)
			So(recovered(giveBack(), other, late).Allocated(), ShouldEqual, copied.Allocated()+room)
		})
		Convey("The room that the copy had is lost if the commit ends the holding", func() {
			copied := start(&bounded)
			late.Retire()
			commit, _ := late.ProposeClose(now)
			late.BeginCommit(commit, now)
			late.EndCommit(false)
			So(recovered(commit.Ledger, other).Allocated(), ShouldEqual, copied.Allocated()+room)
		})
		Convey("The room of a later ledger is lost whose mark the commit has, too", func() {
			copied := start(&bounded)
			later := copied.clone()
			raised := room + 200
			later.Room, later.Mark.Sequence = &raised, 5
			commit := giveBack()
			So(commit.Mark, ShouldResemble, later.Mark)
			late.SetLedger(later, core.Revision{Era: 1, Number: 8}, clock, now)
			other.SetLedger(later, core.Revision{Era: 1, Number: 8}, clock, now)
			So(recovered(commit, other, late).Allocated(), ShouldEqual, later.Allocated()+raised)
		})
	})
}

// Guards against tokens that two returns of the store to one copy grant twice: a ledger
// that was reopened from a later one grants at once what the copy still guarantees.
func TestWhatACopyGuaranteesIsWithheldAfterAReturnToIt(t *testing.T) {
	Convey("Given a return to a copy that is older than the announcement that nothing is to be withheld", t, func() {
		const prepaid, granted, withheld = core.Tokens(12_000), core.Tokens(6_000), core.Tokens(4_000)
		now, clock, room := time.Unix(1000, 0), 1000*time.Second, core.Tokens(1_000)
		first, next := NewHolder(Process{Host: "host", Start: "1"}), NewHolder(Process{Host: "host", Start: "2"})
		copied := Ledger{
			Mark: Mark{Era: 1, Sequence: 4}, Withheld: &Withheld{Amount: withheld}, Room: &room,
			Holdings: map[string]Holding{first.process.String(): {Host: "host", Granted: granted, EnteredAt: 1}},
		}
		announced := copied.clone()
		announced.Mark.Sequence, announced.Withheld = 5, &Withheld{Amount: withheld, Lowering: true}
		first.SetBalance(prepaid, 1, true)
		first.SetLedger(announced, core.Revision{Era: 1, Number: 8}, clock, now)
		// take lets a holder be granted all that it can be within some seconds.
		take := func(holder *Holder, ledger Ledger, era, seconds int64) core.Tokens {
			for number := int64(7); number < 7+seconds; number++ {
				holder.SetLedger(ledger, core.Revision{Era: era, Number: number}, clock, now)
				holder.AddDemand(prepaid, now)
				if proposal, wanted := holder.Propose(now); wanted {
					ledger = proposal.Ledger
				}
				now, clock = now.Add(time.Second), clock+time.Second
			}
			return holder.granted()
		}
		first.AddWaiting(prepaid)
		all := take(first, copied, 2, 9)
		So(all, ShouldBeGreaterThan, granted)
		Convey("The next process gets no more than is left after another return to it", func() {
			next.SetBalance(prepaid, 1, true)
			next.AddWaiting(prepaid)
			So(all+take(next, copied, 3, 30), ShouldBeLessThanOrEqualTo, prepaid)
		})
	})
}

// Guards against tokens that are lost with every return of the store, because a ledger
// that cannot be from a late commit is bounded as if it were.
func TestALedgerThatWasReadBeforeAReturnCountsByItself(t *testing.T) {
	Convey("Given a ledger that withholds more than the one that it replaced", t, func() {
		const prepaid, withheld = core.Tokens(12_000), core.Tokens(1_000)
		now, clock := time.Unix(1000, 0), 1000*time.Second
		holder := NewHolder(Process{Host: "host", Start: "1"})
		holder.SetBalance(prepaid, 2, true)
		ledger := Ledger{
			Mark: Mark{Era: 1, Sequence: 4}, Withheld: &Withheld{Amount: withheld}, Replaced: &Replaced{Allocated: prepaid},
			Holdings: map[string]Holding{"other/1": {Host: "other", Granted: 6_000, EnteredAt: 1}},
		}
		reopened := func() Ledger {
			holder.SetLedger(ledger, core.Revision{Era: 2, Number: 7}, clock, now)
			proposal, _ := holder.Propose(now)
			return proposal.Ledger
		}
		Convey("A process that knows it only from the copy counts on neither", func() {
			So(reopened().Allocated(), ShouldEqual, prepaid)
		})
		Convey("A process that had read it before the return counts on what it withholds", func() {
			holder.SetLedger(ledger, core.Revision{Era: 1, Number: 7}, clock, now)
			So(reopened().Allocated(), ShouldEqual, prepaid-withheld)
		})
	})
}

// Guards against two ledgers of one balance, and against one that forgets what an ended
// process was granted: a process that starts as the store returns to a copy of before the
// first ledger knows no ledger, and the copy has none.
func TestAProcessThatKnowsNoLedgerGrantsNoBalanceTwice(t *testing.T) {
	Convey("Given a return to a copy of before the first ledger, and a process that ends with it", t, func() {
		w := newSimulation()
		w.copied = w.clone()
		for _, p := range w.hosts {
			w.readStore(p)
		}
		ended, live := w.hosts[0], w.hosts[1:]
		w.demandAll(2*time.Second, w.hosts...)
		So(ended.holder.granted(), ShouldBeGreaterThan, w.prepaid/10)
		w.endedSpent = ended.holder.granted()
		started := w.start(ended.id.Host)
		w.hosts[0] = started
		w.returnToCopy()
		w.readStore(started)
		begun, wanted := started.holder.Propose(w.now)
		So(wanted, ShouldBeTrue)
		for _, p := range live {
			w.learnLedger(p)
		}
		spendsWithinBalance := func() {
			w.demandAll(2*settlementTime, w.hosts...)
			So(w.mayConsume(), ShouldBeLessThanOrEqualTo, w.prepaid)
			So(w.ledgers, ShouldHaveLength, 1)
			_, row := w.current()
			So(row.value.Unsettled, ShouldEqual, 0)
			So(row.value.Allocated(), ShouldBeLessThanOrEqualTo, w.prepaid)
			So(live[0].holder.granted(), ShouldBeGreaterThan, 0)
		}
		Convey("No more than the balance is granted if a live process writes its ledger first", func() {
			w.demandAll(0, live...)
			w.commitCertain(started, begun)
			spendsWithinBalance()
		})
		Convey("No more than the balance is granted if the process that starts writes first", func() {
			w.commitCertain(started, begun)
			spendsWithinBalance()
		})
		Convey("A prepaid total that is raised between both writes is lost once", func() {
			started.holder.SetBalance(w.prepaid-2_000, len(w.hosts), true)
			begun, _ = started.holder.Propose(w.now)
			w.commitCertain(started, begun)
			started.holder.SetBalance(w.prepaid, len(w.hosts), true)
			w.demandAll(0, live...)
			_, row := w.current()
			So(row.value.Allocated(), ShouldBeLessThanOrEqualTo, w.prepaid)
			spendsWithinBalance()
		})
		Convey("No more is granted after a further return to the copy", func() {
			w.commitCertain(started, begun)
			spendsWithinBalance()
			w.returnToCopy()
			w.learnLedger(started)
			for _, p := range live {
				w.learnLedger(p)
			}
			spendsWithinBalance()
		})
		Convey("A ledger that is begun guarantees no more than one that is reopened", func() {
			reopened, _ := live[0].holder.Propose(w.now)
			So(begun.Ledger.Withheld.Amount, ShouldBeGreaterThan, 0)
			So(begun.Ledger.Withheld.Amount, ShouldBeLessThanOrEqualTo, reopened.Ledger.Withheld.Amount)
		})
	})
}

// Guards against granting again what an ended process was granted after the latest ledger
// that a live process knows, if a process that knows none has begun the ledger of the era.
func TestWhatAnEndedProcessWasGrantedLastIsNotInALedgerThatWasBegun(t *testing.T) {
	Convey("Given a process that is granted most of a new balance and ends", t, func() {
		w := newSimulation()
		w.copied = w.clone()
		live, ended := w.hosts[0], w.hosts[1]
		w.readStore(live)
		w.demandAll(0, live)
		live.holder.reserved = live.holder.granted()
		w.readStore(ended)
		w.demandAll(2*time.Second, ended)
		known := live.holder.ledger.Holdings[ended.id.String()].Granted
		So(ended.holder.granted(), ShouldBeGreaterThan, known+w.prepaid/10)
		w.endedSpent = ended.holder.granted()
		started := w.start(ended.id.Host)
		w.hosts[1] = started
		w.returnToCopy()
		for _, p := range []*process{started, live} {
			w.readStore(p)
			w.demandAll(0, p)
		}
		w.demandAll(2*settlementTime, started, live)
		So(w.mayConsume(), ShouldBeLessThanOrEqualTo, w.prepaid)
	})
}

// Guards against a balance that is granted again because nobody knows its first ledger any
// more: the copy is from before it, and the last process that knew it ends after the return
// before it reaches the store.
func TestABalanceThatNobodyRemembersIsNotGrantedAgain(t *testing.T) {
	Convey("Given a copy of before the first ledger", t, func() {
		w := newSimulation()
		w.copied = w.clone()
		// end ends a process with all that it was granted, and starts the next of its host.
		end := func(i int) {
			w.endedSpent += w.hosts[i].holder.granted()
			w.hosts[i] = w.start(w.hosts[i].id.Host)
		}
		grant := func() {
			for _, p := range w.hosts {
				w.readStore(p)
			}
			w.demandAll(2*settlementTime, w.hosts...)
		}
		staysWithinBalance := func(before core.Tokens) {
			w.demandAll(MaxCopyAge+2*settlementTime, w.hosts...)
			So(w.mayConsume(), ShouldBeLessThanOrEqualTo, w.prepaid)
			So(w.mayConsume(), ShouldBeGreaterThan, before)
		}
		Convey("Nothing is granted twice if all processes end with the return", func() {
			grant()
			before := w.mayConsume()
			w.returnToCopy()
			for i := range w.hosts {
				end(i)
				w.readStore(w.hosts[i])
			}
			staysWithinBalance(before)
		})
		Convey("Nothing is granted twice if a process has begun a ledger when the last one that knew it ends, after two returns", func() {
			w.readStore(w.hosts[2])
			w.demandAll(0, w.hosts[2])
			w.returnToCopy()
			w.learnLedger(w.hosts[2])
			w.demandAll(0, w.hosts[2])
			for i := range w.hosts {
				end(i)
			}
			grant()
			before := w.mayConsume()
			So(before, ShouldBeGreaterThan, 0)
			w.returnToCopy()
			for i := range w.hosts {
				end(i)
				w.readStore(w.hosts[i])
				w.demandAll(0, w.hosts[i])
			}
			staysWithinBalance(before)
		})
	})
}

// Guards against a team of which most of the balance is lost although it was added after
// the return: a process that starts with it begins its ledger.
func TestATeamThatIsKnownToBeNewLosesNothing(t *testing.T) {
	Convey("Given a process that starts in a later era with a team without a ledger", t, func() {
		w := newSimulation()
		w.copied = w.clone()
		w.returnToCopy()
		started, live := w.hosts[0], w.hosts[1]
		live.holder.SetNew(w.era)
		lost := func() core.Tokens {
			_, row := w.current()
			return row.value.Lost
		}
		w.readStore(started)
		w.demandAll(0, started)
		So(lost(), ShouldBeGreaterThan, w.prepaid*9/10)
		Convey("One that knows that the team is new takes nothing for lost", func() {
			w.readStore(live)
			w.demandAll(0, live)
			So(lost(), ShouldEqual, 0)
			w.demandAll(2*settlementTime, started, live)
			So(w.mayConsume(), ShouldBeGreaterThan, w.prepaid*8/10)
			So(w.mayConsume(), ShouldBeLessThanOrEqualTo, w.prepaid)
		})
		Convey("After a further return it does not know that any more", func() {
			w.returnToCopy()
			w.readStore(live)
			w.demandAll(0, live)
			So(lost(), ShouldBeGreaterThan, w.prepaid*9/10)
		})
	})
	Convey("A configuration without the team tells it once the operator's writes are there again", t, func() {
		known := time.Unix(1000, 0)
		So(LackedAfterReturn(known, known.Add(settlementTime)), ShouldBeFalse)
		So(LackedAfterReturn(known, known.Add(settlementTime+maxAnswerAge)), ShouldBeTrue)
		So(LackedAfterReturn(time.Time{}, known), ShouldBeFalse)
		So(LackedAfterReturn(known, time.Time{}), ShouldBeFalse)
	})
}

// Guards against a process that spends a holding that it was never granted: its commit was
// applied to the copy after a return, and another process writes the holding into the ledger
// of a later era once this process has confirmed that it has none.
func TestAHoldingThatAnotherProcessAddsIsNotSpent(t *testing.T) {
	Convey("Given a process without a grant that has read the ledger of an era", t, func() {
		const prepaid, lost, unknown = core.Tokens(12_000), core.Tokens(8_325), core.Tokens(8_551)
		now, clock := time.Unix(1000, 0), 1000*time.Second
		holder := NewHolder(Process{Host: "host", Start: "1"})
		holder.SetBalance(prepaid, 3, true)
		holder.SetLedger(Ledger{}, core.Revision{Era: 1}, clock, now)
		ledger := Ledger{
			Mark: Mark{Era: 3, Sequence: 2}, ReopenedAt: clock.Milliseconds(), Lost: lost, Withheld: &Withheld{Amount: 60},
			Holdings: map[string]Holding{"other/1": {Host: "other", Granted: 3_555}},
		}
		holder.SetLedger(ledger, core.Revision{Era: 3, Number: 1}, clock, now)
		So(holder.granted(), ShouldEqual, 0)
		Convey("A holding that another process adds by a ledger of an earlier era stays lost", func() {
			rebased := ledger.clone()
			rebased.Mark.Sequence, rebased.Base = 3, Base{Mark: Mark{Era: 2, Sequence: 2}}
			rebased.Lost -= unknown
			rebased.Holdings[holder.process.String()] = Holding{Host: "host", Granted: unknown, Unconfirmed: true}
			holder.SetLedger(rebased, core.Revision{Era: 3, Number: 2}, clock, now)
			So(holder.granted(), ShouldEqual, 0)
			proposal, wanted := holder.Propose(now)
			So(wanted, ShouldBeTrue)
			So(proposal.Ledger.Holdings[holder.process.String()].Granted, ShouldEqual, 0)
			So(proposal.Ledger.Lost, ShouldEqual, lost)
		})
	})
}

// Guards against tokens that are granted twice: a ledger that was begun without a base has
// granted a part of what it guaranteed before it is corrected by one of an earlier era.
func TestACorrectedLedgerCountsWhatItHasGranted(t *testing.T) {
	Convey("Given a ledger that was begun after a return and has granted what it may", t, func() {
		const prepaid, granted, guaranteed = core.Tokens(12_000), core.Tokens(8_575), core.Tokens(240)
		now, clock := time.Unix(1000, 0), 1000*time.Second
		holder := NewHolder(Process{Host: "host", Start: "1"})
		holder.SetBalance(prepaid, 3, true)
		earlier := Ledger{
			Mark: Mark{Era: 1, Sequence: 1}, Withheld: &Withheld{Amount: guaranteed},
			Holdings: map[string]Holding{holder.process.String(): {Host: "host", Granted: granted, EnteredAt: 1}},
		}
		holder.SetLedger(earlier, core.Revision{Era: 1, Number: 1}, clock, now)
		begun := Ledger{
			Mark: Mark{Era: 2, Sequence: 4}, ReopenedAt: clock.Milliseconds(), Lost: prepaid - guaranteed, Withheld: &Withheld{Amount: guaranteed / 2},
			Holdings: map[string]Holding{"other/1": {Host: "other", Granted: guaranteed / 2, EnteredAt: 1}},
		}
		holder.SetLedger(begun, core.Revision{Era: 2, Number: 4}, clock+settlementTime, now)
		corrected, wanted := holder.Propose(now)
		So(wanted, ShouldBeTrue)
		So(corrected.Ledger.Base.Mark, ShouldResemble, earlier.Mark)
		So(corrected.Ledger.Allocated(), ShouldEqual, prepaid-guaranteed/2)
	})
}
