package allowance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Guards against a pledge that grows with requests that are refused and
// immediately repeated: after a crash, the next process of the host would settle
// the whole balance as spent.
func TestRefusedRepeatsDoNotGrowThePledge(t *testing.T) {
	Convey("Given a host whose requests are refused and repeated", t, func() {
		const prepaid, granted = core.Tokens(100_000), core.Tokens(20_000)
		now := time.Unix(1000, 0)
		process := Process{Host: "host", Start: "1"}
		holder := NewHolder(process)
		holder.SetBalance(prepaid, 3, true)
		holder.SetLedger(Ledger{Holdings: map[string]Holding{process.String(): {Host: "host", Granted: granted}}}, core.Revision{Number: 1}, 0, now)
		for range 1000 {
			now = now.Add(time.Millisecond)
			holder.AddDemand(granted, now)
		}
		So(holder.NewPledge(now).Burst, ShouldBeLessThanOrEqualTo, prepaid/10)
	})
}

// Guards against spending twice what a process had spent that ended while the store
// came back from a copy: its last pledges and its holding may be older or missing, so
// that nothing less than all that may have been granted counts as spent.
func TestAnEarlierProcessIsBoundedOnlyByAPledgeOfTheSameEra(t *testing.T) {
	Convey("Given a process that ended, and pledges and a ledger of the era before", t, func() {
		now := time.Unix(1000, 0)
		const prepaid, withheld = core.Tokens(100_000), core.Tokens(8_000)
		earlier, next := Process{Host: "host", Start: "1"}, Process{Host: "host", Start: "2"}
		record := PledgeRecord{Era: 1, Process: earlier.String(), Clock: 10_000, Pledges: map[core.TeamName]Pledge{
			team: {Spent: 5_000, Burst: 1_000, Outage: 500, Rate: 100, Demand: 200},
		}}
		const end = 20 * time.Second
		bound, certain := record.MaxSpent(team, end, 1)
		So(certain, ShouldBeTrue)
		So(bound, ShouldEqual, record.Pledges[team].Limit(10*time.Second))
		_, certain = record.MaxSpent(team, end, 2)
		So(certain, ShouldBeFalse)
		holder := NewHolder(next)
		holder.SetBalance(prepaid, 1, true)
		settle := func(ledger Ledger) Ledger {
			holder.SetLedger(ledger, core.Revision{Era: 2, Number: 7}, end, now)
			proposal, wanted := holder.Propose(now)
			So(wanted, ShouldBeTrue)
			holder.SetLedger(proposal.Ledger, core.Revision{Era: 2, Number: 8}, end, now)
			return proposal.Ledger
		}
		for _, holdings := range []map[string]Holding{{earlier.String(): {Host: "host", Granted: 6_000, Spent: 4_000}}, {}} {
			Convey(fmt.Sprint("All but what the copy withholds counts as spent, with holdings ", holdings), func() {
				settled := settle(Ledger{Mark: Mark{Era: 1, Sequence: 3}, Withheld: &Withheld{Amount: withheld}, Holdings: holdings})
				So(settled.Allocated(), ShouldEqual, prepaid-withheld)
				So(settled.KnownSpent(), ShouldEqual, holdings[earlier.String()].Spent)
				Convey("and half of that is granted once the operator has written again", func() {
					proposal, wanted := holder.Propose(now.Add(settlementTime))
					So(wanted, ShouldBeTrue)
					holder.SetLedger(proposal.Ledger, core.Revision{Era: 2, Number: 9}, end+settlementTime, now.Add(settlementTime))
					So(holder.grantable(now.Add(settlementTime)), ShouldEqual, withheld/2)
				})
				Convey("and so does a rise of the prepaid total that is known late", func() {
					holder.SetBalance(prepaid+1_000, 1, true)
					proposal, _ := holder.Propose(now.Add(settlementTime))
					So(proposal.Ledger.Allocated(), ShouldEqual, prepaid-withheld+1_000)
				})
			})
		}
	})
}

// Guards against a withheld amount that is lowered before each copy from which the store
// may come back has the lower one.
func TestAWithheldAmountIsLoweredOnlyAfterTheAgeOfACopy(t *testing.T) {
	Convey("Given an amount that is to be lowered", t, func() {
		announced := Withheld{Amount: 500}.next(100*time.Second, 300, 1_000)
		So(announced, ShouldResemble, Withheld{Amount: 500, Lowering: true, Next: 100, Announced: 100_000})
		So(announced.at(time.Hour), ShouldEqual, 500)
		dated := announced.next(103*time.Second, 100, 1_000)
		So(dated.at(103*time.Second+MaxCopyAge-time.Millisecond), ShouldEqual, 500)
		So(dated.at(103*time.Second+MaxCopyAge), ShouldEqual, 100)
		due := 103*time.Second + MaxCopyAge
		Convey("A copy guarantees what it withholds by then, and half of it for each further return", func() {
			So(announced.guaranteed(100*time.Second+MaxCopyAge-time.Millisecond, 1), ShouldEqual, 500)
			So(announced.guaranteed(100*time.Second+MaxCopyAge, 1), ShouldEqual, 100)
			So(dated.guaranteed(due-time.Millisecond, 1), ShouldEqual, 500)
			So(dated.guaranteed(due-time.Millisecond, 2), ShouldEqual, 250)
			So(dated.guaranteed(due, 1), ShouldEqual, 100)
			So(dated.guaranteed(due, 3), ShouldEqual, 25)
		})
		Convey("A further announcement leaves the time of the first", func() {
			further := announced.next(103*time.Second, 0, 1_000)
			So(further.at(due-time.Millisecond), ShouldEqual, 500)
			So(further.at(time.Hour), ShouldEqual, 100)
			So(further.guaranteed(due-time.Millisecond, 1), ShouldEqual, 500)
			So(further.guaranteed(due, 1), ShouldEqual, 0)
		})
		Convey("It is raised at once, as far as tokens are unallocated", func() {
			lowered := dated.next(103*time.Second+MaxCopyAge, 100, 1_000)
			So(lowered, ShouldResemble, Withheld{Amount: 100})
			So(lowered.next(200*time.Second, 5_000, 1_000), ShouldResemble, Withheld{Amount: 1_000})
		})
	})
}

// Guards against a balance of which the withheld part is never granted although requests
// wait for it, because no commit announces that it is lowered.
func TestRequestsGetTheWholeBalanceInTheEnd(t *testing.T) {
	Convey("Given requests for a whole balance of which a part is withheld", t, func() {
		now := time.Unix(1000, 0)
		holder := NewHolder(Process{Host: "host", Start: "1"})
		holder.SetBalance(10_000, 1, true)
		holder.SetLedger(Ledger{}, core.Revision{Era: 1}, 0, now)
		holder.AddDemand(10_000, now)
		holder.AddWaiting(10_000)
		start := now
		for number := int64(1); now.Sub(start) <= MaxCopyAge+2*time.Second; number++ {
			if proposal, wanted := holder.Propose(now); wanted {
				holder.BeginCommit(proposal, now)
				holder.SetLedger(proposal.Ledger, core.Revision{Era: 1, Number: number}, now.Sub(start), now)
				holder.EndCommit(true)
			}
			now = now.Add(100 * time.Millisecond)
		}
		So(holder.held(), ShouldEqual, 10_000)
	})
}
