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

// TestTargets guards against overspend and false refusals during a demand
// swing, a partition with a top-up, and host failures.
func TestTargets(t *testing.T) {
	for seed := range uint64(seeds) {
		for _, scenario := range Scenarios() {
			Convey(fmt.Sprintf("%s, seed %d", scenario.Name, seed), t, func() {
				product := Run(seed, scenario, Product)
				So(product.Overspend, ShouldEqual, 0)
				So(product.FalseRefusalRatio(), ShouldBeLessThan, falseRefusalTarget)
				So(product, ShouldResemble, Run(seed, scenario, Product))
				// The baselines must miss the targets, or the measurement can't detect a worse policy.
				static, soft := Run(seed, scenario, StaticSplit), Run(seed, scenario, SoftLimit)
				So(static.FalseRefusalRatio(), ShouldBeGreaterThan, falseRefusalTarget)
				So(soft.Overspend, ShouldBeGreaterThan, 0)
				So(static.Requests, ShouldEqual, product.Requests)
			})
		}
	}
}

// TestSpentBeforeFirstRefusal guards against tokens stranded in the shares of
// hosts that don't need them while other hosts refuse requests.
func TestSpentBeforeFirstRefusal(t *testing.T) {
	for seed := range uint64(seeds) {
		Convey(fmt.Sprintf("nine hosts in three zones with skewed demand, seed %d", seed), t, func() {
			result := Run(seed, Exhaustion(), Product)
			So(result.FirstRefusal, ShouldNotBeNil)
			So(result.FirstRefusal.Unspent, ShouldBeLessThanOrEqualTo, firstRefusalTarget)
			for _, scenario := range Scenarios() {
				refusal := Run(seed, scenario, Product).FirstRefusal
				if scenario.Name == "tenfold swing" {
					So(refusal.Unreserved, ShouldBeLessThanOrEqualTo, firstRefusalTarget)
				}
			}
		})
	}
}

// TestAgainstSingleCounter compares the shares with a single global counter:
// while every host is reachable, both must accept the same requests.
func TestAgainstSingleCounter(t *testing.T) {
	for seed := range uint64(40) {
		Convey(fmt.Sprintf("seed %d", seed), t, func() {
			So(firstDifference(seed, 1000), ShouldEqual, "")
		})
	}
}

func firstDifference(seed uint64, steps int) string {
	type reservation struct {
		host   int
		id     uint64
		amount core.Tokens
	}
	random := rand.New(rand.NewPCG(seed, 2))
	s := newSimulation(seed, Scenario{})
	policy := newProduct(s)
	var prepaid, spent, reserved core.Tokens
	var reservations []reservation
	for i := range s.hosts {
		policy.start(i)
	}
	for i := range steps {
		s.now = s.now.Add(step * time.Duration(random.IntN(50)))
		switch action := random.IntN(20); {
		case i == 0 || action == 0 && random.IntN(20) == 0:
			prepaid += 20_000
			policy.topUp(20_000)
		case action == 1:
			policy.everySecond()
		case action < 8 && len(reservations) > 0:
			n := random.IntN(len(reservations))
			cost := core.Tokens(random.Int64N(int64(reservations[n].amount) + 1))
			policy.settle(reservations[n].host, reservations[n].id, cost)
			reserved, spent = reserved-reservations[n].amount, spent+cost
			reservations = append(reservations[:n], reservations[n+1:]...)
		default:
			host, amount := random.IntN(hostCount), core.Tokens(random.IntN(1000)+1)
			id, accepted := policy.reserve(host, amount)
			if expected := prepaid-spent-reserved >= amount; accepted != expected {
				return fmt.Sprintf("step %d: %d tokens with %d free: accepted %t", i, amount, prepaid-spent-reserved, accepted)
			}
			if accepted {
				reservations = append(reservations, reservation{host, id, amount})
				reserved += amount
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
