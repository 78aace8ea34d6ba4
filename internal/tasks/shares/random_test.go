package shares

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/budget"
	"github.com/peridotreel/peridotreel/internal/fault"
	standin "github.com/peridotreel/peridotreel/internal/standin/platform"
)

// TestTasksUnderFaults guards against tokens that the tasks lose or spend
// twice: hosts reserve and settle while the platform fails, replies are lost,
// peers don't answer, callers give up and payments arrive.
func TestTasksUnderFaults(t *testing.T) {
	for seed := range uint64(12) {
		conveyInBubble(t, fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			Convey("in the end the drawn total in the table is what was spent", t, func() {
				So(runTasks(seed), ShouldEqual, "")
			})
		})
	}
}

func runTasks(seed uint64) string {
	names := []string{"a1", "a2", "b1", "b2"}
	f := newTestFleet(20_000, names...)
	defer f.close()
	f.silent[ref("a1")] = seed%3 == 0
	// Each host's requests come from a random source of its own, so that they
	// don't depend on the scheduler.
	var requests sync.WaitGroup
	spent := make([]core.Tokens, len(names))
	problems := make([]string, len(names))
	for i, name := range names {
		requests.Go(func() { spent[i], problems[i] = useHost(f.host(name), rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	injectFaults(f, rand.New(rand.NewPCG(seed, 99)))
	requests.Wait()
	problems = slices.DeleteFunc(problems, func(problem string) bool { return problem == "" })
	if len(problems) > 0 {
		return problems[0]
	}
	var total core.Tokens
	for i, name := range names {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		err := f.host(name).Drain(ctx)
		cancel()
		if err != nil {
			return err.Error()
		}
		total += spent[i]
	}
	row := f.budget()
	if row.Drawn != total || total > row.Prepaid {
		return fmt.Sprintf("spent %d, the table shows %d drawn of %d prepaid", total, row.Drawn, row.Prepaid)
	}
	shares, err := NewTableLedger(f.table, time.Now).Shares(context.Background(), testBudget)
	for _, share := range shares {
		if share.State != budget.Released || share.Unspent() != 0 || share.WrittenOff != 0 {
			return fmt.Sprintf("share %+v was not returned in full", share)
		}
	}
	return errorText(err)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// useHost sends requests one after the other and keeps up to three reservations
// open.
func useHost(host *Task, random *rand.Rand) (spent core.Tokens, problem string) {
	var open []core.Reservation
	for range 80 {
		time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+random.IntN(900))*time.Millisecond)
		reservation, err := host.Reserve(ctx, testBudget, core.Tokens(1+random.IntN(300)))
		cancel()
		if err == nil {
			open = append(open, reservation)
		} else if refusal := fault.From(err); refusal.Run != fault.NotRun || refusal.Code == fault.Internal {
			return spent, err.Error()
		}
		if len(open) > 3 || err != nil && len(open) > 0 {
			cost := open[0].Amount - core.Tokens(random.Int64N(int64(open[0].Amount)+1))
			host.Settle(open[0], cost)
			host.Settle(open[0], 0)
			spent += cost
			open = open[1:]
		}
	}
	for _, reservation := range open {
		host.Settle(reservation, reservation.Amount)
		spent += reservation.Amount
	}
	return spent, ""
}

// injectFaults breaks the platform for up to 5 s at a time and ends without a
// fault.
func injectFaults(f *testFleet, random *rand.Rand) {
	modes := []standin.Mode{standin.ModeDown, standin.ModeLoseReply}
	for i := range 8 {
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		f.repliesToLose.Store(int64(random.IntN(4)))
		f.table.SetMode(modes[random.IntN(len(modes))])
		time.Sleep(time.Duration(random.IntN(5000)) * time.Millisecond)
		f.table.SetMode(standin.ModeNone)
		f.topUp(fmt.Sprint("payment", i/2), 1000)
	}
	synctest.Wait()
}

// TestNineHostsSpendTheBudget guards against tokens left unused on some hosts
// while another host refuses requests. The design page requires that 99.5% is
// spent before the first refusal.
func TestNineHostsSpendTheBudget(t *testing.T) {
	for seed := range uint64(3) {
		conveyInBubble(t, fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			const prepaid = 2_000_000
			names := []string{"a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3"}
			f := newTestFleet(prepaid, names...)
			defer f.close()
			Convey("nine hosts with skewed demand spend 99.5% before the first refusal", t, func() {
				random := rand.New(rand.NewPCG(seed, 3))
				var spent core.Tokens
				for {
					time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
					// The smaller of two random numbers makes the first hosts the busiest.
					host := f.host(names[min(random.IntN(9), random.IntN(9))])
					reservation, err := host.Reserve(context.Background(), testBudget, core.Tokens(100+random.IntN(1900)))
					if err != nil {
						So(codeOf(err), ShouldEqual, fault.InsufficientQuota)
						break
					}
					cost := reservation.Amount - core.Tokens(random.Int64N(int64(reservation.Amount)*2/3))
					host.Settle(reservation, cost)
					spent += cost
				}
				So(spent, ShouldBeGreaterThanOrEqualTo, core.Tokens(prepaid*995/1000))
				So(spent, ShouldBeLessThanOrEqualTo, core.Tokens(prepaid))
				t.Logf("spent %d of %d before the first refusal", spent, prepaid)
			})
		})
	}
}
