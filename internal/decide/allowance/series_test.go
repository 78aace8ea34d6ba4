package allowance

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
)

// returnInSeries lets the store come back from the copy, kills some or all processes, and
// lets the others write what they know. A new copy may be made between.
func (w *simulation) returnInSeries(t *rapid.T) {
	for range rapid.IntRange(1, 4).Draw(t, "returns") {
		if w.copied == nil || w.now.Sub(w.copiedAt) > MaxCopyAge {
			return
		}
		killFirst := rapid.Bool().Draw(t, "kill first")
		if !killFirst {
			w.returnToCopy()
		}
		killed := rapid.IntRange(0, 1<<len(w.hosts)-1).Draw(t, "killed")
		for i := range w.hosts {
			if killed>>i&1 == 1 {
				w.kill(i)
			}
		}
		if killFirst {
			w.returnToCopy()
		}
		for range rapid.IntRange(0, 3).Draw(t, "turns") {
			w.turn(t, rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host"))
		}
		if rapid.Bool().Draw(t, "copy") {
			w.copied, w.copiedAt = w.clone(), w.now
		}
		w.now = w.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
		for range rapid.IntRange(0, 3).Draw(t, "turns") {
			w.turn(t, rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host"))
		}
	}
}

// turn lets a process read the store and write what it needs, with a request that waits.
func (w *simulation) turn(t *rapid.T, i int) {
	p := w.hosts[i]
	if !p.known {
		w.readStore(p)
	}
	amount := core.Tokens(rapid.IntRange(1, 3000).Draw(t, "amount"))
	p.holder.AddDemand(amount, w.now)
	p.holder.AddWaiting(amount)
	for range 2 {
		if proposal, wanted := p.holder.Propose(w.now); wanted {
			w.commitLedger(t, p, proposal)
		}
	}
	w.commitRecord(t, p)
	p.holder.RemoveWaiting(amount)
	if p.holder.Reserve(amount, w.now) {
		p.inFlight = append(p.inFlight, amount)
	}
}

// Guards against spending a balance twice in a series of deaths with returns of the store
// between them, within seconds: what is withheld after one return counts after the next.
func TestDeathsInSeriesWithReturnsBetweenThemSpendNoBalanceTwice(t *testing.T) {
	simulate(t, 17, false)
}

// Guards against the same with copies from before the first ledger.
func TestDeathsInSeriesBeforeTheFirstLedgerSpendNoBalanceTwice(t *testing.T) { simulate(t, 17, true) }

// Guards against a balance that is lost as a whole because the store returns several times
// within seconds while all hosts are killed. A series of returns within settlementTime
// loses no more than one, if the ledger was written twice after each: once it is over, all
// that the copy guaranteed can be had.
func TestASeriesOfReturnsLosesNoMoreThanOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation()
		if rapid.Bool().Draw(t, "established") {
			w.establish()
		} else {
			w.spendAll(w.hosts[0], time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds"))*time.Second)
		}
		_, row := w.current()
		guaranteed := min(w.hosts[0].holder.withheldIn(row.value).guaranteed(w.clock(), 1), row.value.Replaced.Withheld)
		first, last := w.now, w.now
		for range rapid.IntRange(1, 3).Draw(t, "returns") {
			last = w.now
			w.copied, w.copiedAt = w.clone(), w.now
			w.returnToCopy()
			for i := range w.hosts {
				w.kill(i)
				w.readStore(w.hosts[i])
			}
			w.demandAll(500*time.Millisecond, w.hosts...)
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
		}
		if last.Sub(first) >= settlementTime {
			t.Fatalf("the series took %v", last.Sub(first))
		}
		before := w.mayConsume()
		w.demandAll(MaxCopyAge+2*settlementTime, w.hosts...)
		if had := w.mayConsume() - before; had < guaranteed || w.mayConsume() > w.prepaid {
			t.Fatalf("%d tokens can be had after %d, %d were guaranteed of %d", had, before, guaranteed, w.prepaid)
		}
	})
}

// Guards against a late write that is taken for the ledger of an era: the ledger that the
// era had was reopened earlier, so that tokens were granted from it.
func TestALedgerThatWasOnlyReopenedDoesNotTellThatNothingWasGranted(t *testing.T) {
	Convey("Given a commit that reopens a ledger and the one that follows it", t, func() {
		const prepaid, withheld = core.Tokens(12_000), core.Tokens(2_000)
		now, clock := time.Unix(1000, 0), 1000*time.Second
		next := func(era int64, ledger Ledger, at time.Duration) Ledger {
			holder := NewHolder(Process{Host: "host", Start: "1"})
			holder.SetBalance(prepaid, 2, true)
			holder.SetStandby(true)
			holder.SetLedger(ledger, core.Revision{Era: era, Number: 7}, clock+at, now)
			proposal, _ := holder.Propose(now)
			return proposal.Ledger
		}
		copied := Ledger{Mark: Mark{Era: 1, Sequence: 4}, Withheld: &Withheld{Amount: withheld}}
		reopened := next(2, copied, 0)
		So(reopened.Allocated(), ShouldEqual, prepaid-withheld)
		followed := next(2, reopened, 0)
		Convey("After a further return nothing more is lost if a commit followed and no time has passed", func() {
			So(next(3, followed, settlementTime-clockSlack-time.Millisecond).Allocated(), ShouldEqual, prepaid-withheld)
		})
		Convey("More is lost once its time has passed", func() {
			So(next(3, followed, settlementTime-clockSlack).Allocated(), ShouldBeGreaterThanOrEqualTo, prepaid-withheld/2)
		})
		Convey("More is lost if no commit followed", func() {
			So(next(3, reopened, 0).Allocated(), ShouldBeGreaterThanOrEqualTo, prepaid-withheld/2)
		})
	})
}

// Guards against tokens that are granted twice after two returns of the store: a ledger that
// was reopened while nothing was guaranteed withholds half of what the copy did, although
// all is allocated, and counted as guaranteeing that at the next return.
func TestALedgerGuaranteesNoMoreThanItHasUnallocated(t *testing.T) {
	Convey("Given a copy with a commit that raised what is withheld", t, func() {
		const prepaid, granted, withheld = core.Tokens(12_000), core.Tokens(9_800), core.Tokens(1_200)
		now, clock := time.Unix(1000, 0), 1000*time.Second
		reopen := func(era int64, ledger Ledger, host core.HostID) Ledger {
			holder := NewHolder(Process{Host: host, Start: "1"})
			holder.SetBalance(prepaid, 2, true)
			holder.SetStandby(true)
			holder.SetLedger(ledger, core.Revision{Era: era, Number: 7}, clock, now)
			proposal, _ := holder.Propose(now)
			So(proposal.Reopens, ShouldBeTrue)
			return proposal.Ledger
		}
		copied := Ledger{
			Mark: Mark{Era: 1, Sequence: 4}, Withheld: &Withheld{Amount: withheld}, Replaced: &Replaced{Allocated: prepaid, Era: 1},
			Holdings: map[string]Holding{"other/1": {Host: "other", Granted: granted, EnteredAt: 1}},
		}
		reopened := reopen(2, copied, "host-1")
		So(reopened.Allocated(), ShouldEqual, prepaid)
		So(reopened.Withheld.Amount, ShouldEqual, withheld/2)
		Convey("Nothing is guaranteed after a second return, in which the commit that reopened the ledger is the latest", func() {
			So(reopen(3, reopened, "host-2").Allocated(), ShouldEqual, prepaid)
		})
	})
}
