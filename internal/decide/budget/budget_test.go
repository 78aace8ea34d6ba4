package budget_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/budget"
)

// TestMain fixes the seed so that every run tests the same cases. Set
// -rapid.seed for other cases.
func TestMain(m *testing.M) {
	flag.Parse()
	chosen := false
	flag.Visit(func(given *flag.Flag) { chosen = chosen || given.Name == "rapid.seed" })
	if !chosen {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestLedgerUnderFaults guards against overspending, lost or created tokens
// and doubled grants under any order of lost replies, duplicates, pauses and
// crashes.
func TestLedgerUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }, noMutation)
		for range rapid.IntRange(100, 800).Draw(t, "steps") {
			if failed := m.step(); len(failed) > 0 {
				t.Fatal(failed)
			}
		}
	})
}

const (
	modelRuns = 40
	// cleanRuns is lower because TestLedgerUnderFaults also runs the model
	// without a mutation.
	cleanRuns  = 8
	modelSteps = 1500
)

// firstFailure searches for a violation of one check, or of any if check is "".
func firstFailure(broken mutation, check string, runs uint64) (detail string, found bool) {
	for seed := range runs {
		source := rand.New(rand.NewPCG(seed, 1))
		m := newModel(source.IntN, broken)
		for range modelSteps {
			failed := m.step()
			if detail, found = failed[check]; found {
				return detail, true
			}
			for _, detail = range failed {
				if check == "" {
					return detail, true
				}
			}
			if len(failed) > 0 && failed[checkSpend] != "" {
				break
			}
		}
	}
	return "", false
}

// TestMutations guards against checks that can't fail: each mutation must
// violate its check. See docs/mutations-budget.md.
func TestMutations(t *testing.T) {
	Convey("without a mutation every seeded run passes", t, func() {
		detail, found := firstFailure(noMutation, "", cleanRuns)
		So(detail, ShouldEqual, "")
		So(found, ShouldBeFalse)
	})
	for _, entry := range []struct {
		broken mutation
		check  string
	}{
		{topUpNoToken, checkTopUp},
		{grantRepeated, checkGrant},
		{reclaimByTimeout, checkSpend},
		{reclaimByTimeout, checkAmount},
		{refundTwice, checkSpend},
		{refundTwice, checkAmount},
		{blindWrite, checkAmount},
		{transferUndone, checkAmount},
		{returnIncrement, checkAmount},
	} {
		Convey(string(entry.broken)+" is found by: "+entry.check, t, func() {
			_, found := firstFailure(entry.broken, entry.check, modelRuns)
			So(found, ShouldBeTrue)
		})
	}
}

func TestLedger(t *testing.T) {
	id := core.ShareID{Budget: "b", Holder: core.HostRef{Host: "h", Incarnation: 1}}
	now := time.Unix(1000, 0)
	Convey("a late bill on a released share is paid from what remains, the rest is written off", t, func() {
		ledger := budget.NewLedger(now, []budget.Budget{{ID: "b", Prepaid: 100, Drawn: 40}},
			[]budget.Share{{ID: id, Granted: 40, Billed: 10, State: budget.Open}})
		So(ledger.Release(id), ShouldEqual, 30)
		So(ledger.Release(id), ShouldEqual, 0)
		lost, _ := ledger.SettleShare(id, 120)
		So(lost, ShouldEqual, 20)
		lost, _ = ledger.SettleShare(id, 120)
		So(lost, ShouldEqual, 0)
		change := ledger.Change()
		So(change.Budgets[0].Drawn, ShouldEqual, 100)
		So(change.Shares[0].Billed, ShouldEqual, 100)
		So(change.Shares[0].WrittenOff, ShouldEqual, 20)
		So(ledger.Serve(budget.Request{Share: id, Sequence: 9, Need: 1, Billed: 120}, budget.FleetSize{}).Outcome, ShouldEqual, budget.ShareReleased)
	})
	Convey("a token that was used for another amount is an error", t, func() {
		used := budget.TopUp{Budget: "b", Token: "p", Amount: 5}
		ledger := budget.NewLedger(now, []budget.Budget{{ID: "b", Prepaid: 5}}, nil, used)
		So(ledger.TopUp(used), ShouldBeNil)
		used.Amount = 6
		So(ledger.TopUp(used), ShouldNotBeNil)
		change := ledger.Change()
		So(change.Empty(), ShouldBeTrue)
	})
	Convey("draw sizes follow the demand, stay within the zone's part and shrink towards the end of the budget", t, func() {
		fleet := budget.FleetSize{Zones: 3, Hosts: 3}
		So(budget.DrawSize(10, 1000, 1_000_000, fleet), ShouldEqual, 1000)
		So(budget.DrawSize(10, 1000, 9000, fleet), ShouldEqual, 500)
		So(budget.DrawSize(10, 1000, 90, fleet), ShouldEqual, 10)
		So(budget.DrawSize(10, 1000, 7, fleet), ShouldEqual, 7)
		So(budget.DrawSize(0, 0, 7, fleet), ShouldEqual, 0)
	})
	Convey("a share whose row was written by another process is not spent", t, func() {
		holder := budget.NewHolder(id, now)
		holder.ApplyRow(budget.Share{ID: id, Granted: 50, Billed: 1, State: budget.Open})
		So(holder.Closed(), ShouldBeTrue)
	})
}

func BenchmarkReserveSettle(b *testing.B) {
	now := time.Unix(1000, 0)
	id := core.ShareID{Budget: "b", Holder: core.HostRef{Host: "h", Incarnation: 1}}
	holder := budget.NewHolder(id, now)
	holder.ApplyRow(budget.Share{ID: id, Granted: 1 << 60, State: budget.Open})
	b.ReportAllocs()
	var serial uint64
	for b.Loop() {
		serial++
		holder.RecordDemand(100, now)
		if !holder.Reserve(serial, 100) {
			b.Fatal("refused")
		}
		holder.Settle(serial, 60, now)
	}
}

func BenchmarkServeDraw(b *testing.B) {
	now := time.Unix(1000, 0)
	id := core.ShareID{Budget: "b", Holder: core.HostRef{Host: "h", Incarnation: 1}}
	budgets := []budget.Budget{{ID: "b", Prepaid: 1 << 40}}
	shares := []budget.Share{{ID: id, State: budget.Open}}
	b.ReportAllocs()
	for b.Loop() {
		ledger := budget.NewLedger(now, budgets, shares)
		ledger.Serve(budget.Request{Share: id, Sequence: 1, Need: 10, Want: 100}, budget.FleetSize{Zones: 3, Hosts: 3})
		ledger.Change()
	}
}
