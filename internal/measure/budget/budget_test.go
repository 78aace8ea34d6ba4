package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Targets of the project's design page, sections 4.1 and 1.2.
const (
	falseRefusalTarget = 0.001
	firstRefusalTarget = 0.005
)

const seeds = 3

// TestTargets guards against overspend and false refusals under a demand
// swing, a partition with a top-up, and host deaths.
func TestTargets(t *testing.T) {
	for seed := range uint64(seeds) {
		for _, scenario := range Scenarios() {
			Convey(fmt.Sprintf("%s, seed %d", scenario.Name, seed), t, func() {
				ours := Run(seed, scenario, Product)
				So(ours.Overspend, ShouldEqual, 0)
				So(ours.FalseRefusalShare(), ShouldBeLessThan, falseRefusalTarget)
				So(ours, ShouldResemble, Run(seed, scenario, Product))
				// The measurement must tell a worse way of keeping budgets apart.
				static, soft := Run(seed, scenario, StaticSplit), Run(seed, scenario, SoftLimit)
				So(static.FalseRefusalShare(), ShouldBeGreaterThan, falseRefusalTarget)
				So(soft.Overspend, ShouldBeGreaterThan, 0)
				So(static.Requests, ShouldEqual, ours.Requests)
			})
		}
	}
}

// TestSpentBeforeFirstRefusal guards against tokens that stay with hosts that
// don't need them while others refuse.
func TestSpentBeforeFirstRefusal(t *testing.T) {
	for seed := range uint64(seeds) {
		Convey(fmt.Sprintf("nine hosts in three zones with skewed demand, seed %d", seed), t, func() {
			result := Run(seed, Exhaustion(), Product)
			So(result.FirstRefusal, ShouldNotBeNil)
			So(result.FirstRefusal.Unspent, ShouldBeLessThanOrEqualTo, firstRefusalTarget)
			for _, scenario := range Scenarios() {
				refusal := Run(seed, scenario, Product).FirstRefusal
				if scenario.Name == "tenfold swing" {
					So(refusal.Unbooked, ShouldBeLessThanOrEqualTo, firstRefusalTarget)
				}
			}
		})
	}
}

// TestAgainstSingleCounter compares the hierarchy of shares with one counter
// that knows everything: with every host reachable both must accept the same
// requests.
func TestAgainstSingleCounter(t *testing.T) {
	for seed := range uint64(40) {
		Convey(fmt.Sprintf("seed %d", seed), t, func() {
			So(firstDifference(seed, 1000), ShouldEqual, "")
		})
	}
}

func firstDifference(seed uint64, steps int) string {
	type hold struct {
		host   int
		ticket uint64
		amount core.Tokens
	}
	random := rand.New(rand.NewPCG(seed, 2))
	w := newWorld(seed, Scenario{})
	subject := newProduct(w)
	var prepaid, spent, held core.Tokens
	var holds []hold
	for i := range w.hosts {
		subject.start(i)
	}
	for i := range steps {
		w.now = w.now.Add(step * time.Duration(random.IntN(50)))
		switch action := random.IntN(20); {
		case i == 0 || action == 0 && random.IntN(20) == 0:
			prepaid += 20_000
			subject.topUp(20_000)
		case action == 1:
			subject.second()
		case action < 8 && len(holds) > 0:
			n := random.IntN(len(holds))
			cost := core.Tokens(random.Int64N(int64(holds[n].amount) + 1))
			subject.settle(holds[n].host, holds[n].ticket, cost)
			held, spent = held-holds[n].amount, spent+cost
			holds = append(holds[:n], holds[n+1:]...)
		default:
			host, amount := random.IntN(hostCount), core.Tokens(random.IntN(1000)+1)
			ticket, accepted := subject.reserve(host, amount)
			if expected := prepaid-spent-held >= amount; accepted != expected {
				return fmt.Sprintf("step %d: %d tokens with %d free: accepted %t", i, amount, prepaid-spent-held, accepted)
			}
			if accepted {
				holds = append(holds, hold{host, ticket, amount})
				held += amount
			}
		}
	}
	return ""
}

func BenchmarkSwing(b *testing.B) {
	scenario := Scenarios()[0]
	for b.Loop() {
		Run(1, scenario, Product)
	}
}
