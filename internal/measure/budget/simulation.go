// Package budget measures overspend and false refusals of prepaid budgets. It
// runs the product's decision code and two baselines on the same requests with
// a fake clock and without sockets. The seed determines a run.
package budget

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	zoneCount    = 3
	hostsPerZone = 3
	hostCount    = zoneCount * hostsPerZone
	// step is the resolution of the fake clock.
	step = 20 * time.Millisecond
	// A request reserves an amount drawn uniformly between these bounds and
	// costs between a third of it and all of it.
	minReservation core.Tokens = 100
	maxReservation core.Tokens = 2000
	// minUnspentFraction is the fraction of the budget that must be unspent for a
	// refusal to count as false.
	minUnspentFraction = 0.05
)

// hostWeights skews the demand: the busiest host gets 40 times the requests of
// the least busy one.
var hostWeights = [hostCount]float64{8, 2, 0.2, 4, 1, 0.5, 2, 1, 0.3}

// host is one machine; incarnation counts its restarts.
type host struct {
	zone        int
	alive       bool
	incarnation int
}

// runningRequest is an accepted request that hasn't ended.
type runningRequest struct {
	host        int
	incarnation int
	reservation uint64
	amount      core.Tokens
	cost        core.Tokens
}

// budgetPolicy decides which requests a prepaid budget admits.
type budgetPolicy interface {
	// topUp adds an amount to the budget at the platform.
	topUp(amount core.Tokens)
	reserve(host int, amount core.Tokens) (reservation uint64, ok bool)
	settle(host int, reservation uint64, cost core.Tokens)
	// everySecond is called once a second for periodic work.
	everySecond()
	// kill terminates the process of a host, and start starts the next one.
	kill(host int)
	start(host int)
	// releaseDead is the operator's confirmation that the dead processes have
	// terminated.
	releaseDead()
}

// simulation holds what is common to all policies: the clock, the network, the
// demand and the record of what was spent.
type simulation struct {
	scenario Scenario
	random   *rand.Rand
	now      time.Time
	elapsed  time.Duration
	hosts    [hostCount]host
	// partitioned is the zone that reaches neither the platform nor other zones.
	partitioned    int
	finishesByTick map[int64][]runningRequest
	// reserved is the sum of the amounts reserved by running requests.
	reserved core.Tokens
	result   Result
}

const noZone = -1

func newSimulation(seed uint64, scenario Scenario) *simulation {
	s := &simulation{
		scenario: scenario, random: rand.New(rand.NewPCG(seed, 0)), partitioned: noZone,
		now: time.Unix(1_700_000_000, 0), finishesByTick: make(map[int64][]runningRequest),
		result: Result{Scenario: scenario.Name, Seed: seed},
	}
	for i := range s.hosts {
		s.hosts[i] = host{zone: i / hostsPerZone, alive: true}
	}
	return s
}

// platformReachable reports whether a host reaches the platform.
func (s *simulation) platformReachable(hostIndex int) bool {
	return s.hosts[hostIndex].zone != s.partitioned
}

// connected reports whether two hosts are alive and reach each other.
func (s *simulation) connected(a, b int) bool {
	if !s.hosts[a].alive || !s.hosts[b].alive {
		return false
	}
	return s.hosts[a].zone == s.hosts[b].zone || (s.hosts[a].zone != s.partitioned && s.hosts[b].zone != s.partitioned)
}

// run executes the scenario with a policy.
func (s *simulation) run(policy budgetPolicy) Result {
	s.topUp(policy, s.scenario.Prepaid)
	for i := range s.hosts {
		policy.start(i)
	}
	events := s.scenario.Events
	for s.elapsed < s.scenario.Duration {
		for len(events) > 0 && events[0].At <= s.elapsed {
			s.apply(policy, events[0])
			events = events[1:]
		}
		s.finishDue(policy)
		for i := range s.hosts {
			s.submitArrivals(policy, i)
		}
		s.elapsed += step
		s.now = s.now.Add(step)
		if s.elapsed%time.Second == 0 {
			policy.everySecond()
		}
	}
	s.result.Overspend = max(0, s.result.Spent-s.result.Prepaid)
	return s.result
}

func (s *simulation) topUp(policy budgetPolicy, amount core.Tokens) {
	s.result.Prepaid += amount
	policy.topUp(amount)
}

func (s *simulation) apply(policy budgetPolicy, event Event) {
	switch event.Kind {
	case PartitionZone:
		s.partitioned = event.Target
	case HealZone:
		s.partitioned = noZone
	case TopUp:
		s.topUp(policy, event.Amount)
	case KillHost:
		s.hosts[event.Target].alive = false
		policy.kill(event.Target)
	case RestartHost:
		s.hosts[event.Target].alive = true
		s.hosts[event.Target].incarnation++
		policy.start(event.Target)
	case ReleaseDead:
		policy.releaseDead()
	}
}

// finishDue ends the requests that are due. Requests of a process that has
// terminated are not billed.
func (s *simulation) finishDue(policy budgetPolicy) {
	tick := int64(s.elapsed / step)
	for _, request := range s.finishesByTick[tick] {
		s.reserved -= request.amount
		if !s.hosts[request.host].alive || s.hosts[request.host].incarnation != request.incarnation {
			continue
		}
		policy.settle(request.host, request.reservation, request.cost)
		s.result.Spent += request.cost
	}
	delete(s.finishesByTick, tick)
}

// submitArrivals submits a Poisson-distributed number of requests to a host.
func (s *simulation) submitArrivals(policy budgetPolicy, hostIndex int) {
	mean := s.scenario.Rate(s.elapsed) * step.Seconds() * hostWeights[hostIndex] / totalWeight()
	limit, product := math.Exp(-mean), s.random.Float64()
	for product > limit {
		product *= s.random.Float64()
		amount := minReservation + core.Tokens(s.random.Int64N(int64(maxReservation-minReservation)+1))
		cost := core.Tokens(float64(amount) * (1 + 2*s.random.Float64()) / 3)
		durationTicks := 1 + int64(s.random.ExpFloat64()*float64(s.scenario.MeanDuration/step))
		if s.hosts[hostIndex].alive {
			s.submit(policy, hostIndex, amount, cost, durationTicks)
		}
	}
}

func (s *simulation) submit(policy budgetPolicy, hostIndex int, amount, cost core.Tokens, durationTicks int64) {
	s.result.Requests++
	reservation, accepted := policy.reserve(hostIndex, amount)
	if !accepted {
		s.recordRefusal(hostIndex)
		return
	}
	tick := int64(s.elapsed/step) + durationTicks
	s.finishesByTick[tick] = append(s.finishesByTick[tick], runningRequest{hostIndex, s.hosts[hostIndex].incarnation, reservation, amount, cost})
	s.reserved += amount
}

// recordRefusal counts a refusal. Reservations of running requests count as
// unspent, so more refusals count as false than if they were deducted.
func (s *simulation) recordRefusal(hostIndex int) {
	s.result.Refused++
	if !s.platformReachable(hostIndex) {
		s.result.RefusedUnreachable++
		return
	}
	left := float64(s.result.Prepaid-s.result.Spent) / float64(s.result.Prepaid)
	if left >= minUnspentFraction {
		s.result.FalseRefusals++
	}
	if s.result.FirstRefusal == nil {
		s.result.FirstRefusal = &FirstRefusal{
			Unspent:    left,
			Unreserved: float64(s.result.Prepaid-s.result.Spent-s.reserved) / float64(s.result.Prepaid),
		}
	}
}

func totalWeight() float64 {
	var sum float64
	for _, weight := range hostWeights {
		sum += weight
	}
	return sum
}
