// Package budget measures how well prepaid budgets are kept. It drives the
// product's decisions and two baselines with the same requests on a fake
// clock, without sockets. A run is decided by its seed.
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
	// The maximum cost of a request is uniform between these bounds, and its
	// cost is between a third of the maximum and all of it.
	minCost core.Tokens = 100
	maxCost core.Tokens = 2000
	// falseBound is the part of the budget that must be left for a refusal
	// to count as false.
	falseBound = 0.05
)

// hostWeights skew the demand: the busiest host gets 40 times that of the
// least busy one.
var hostWeights = [hostCount]float64{8, 2, 0.2, 4, 1, 0.5, 2, 1, 0.3}

// host is one machine; epoch counts its processes.
type host struct {
	zone  int
	alive bool
	epoch int
}

// running is a request in flight.
type running struct {
	host   int
	epoch  int
	ticket uint64
	amount core.Tokens
	cost   core.Tokens
}

// contender is a way of keeping a budget.
type contender interface {
	// topUp adds a payment at the platform.
	topUp(amount core.Tokens)
	reserve(host int, amount core.Tokens) (ticket uint64, ok bool)
	settle(host int, ticket uint64, cost core.Tokens)
	// second is called once a second for periodic work.
	second()
	// die ends the process of a host, and start begins the next one.
	die(host int)
	start(host int)
	// release is the operator's statement that dead processes are terminated.
	release()
}

// world holds what all contenders share: the clock, the network, the demand
// and the account of what was really spent.
type world struct {
	scenario Scenario
	random   *rand.Rand
	now      time.Time
	elapsed  time.Duration
	hosts    [hostCount]host
	// cut is the zone that reaches neither the platform nor other zones.
	cut      int
	finishes map[int64][]running
	// reserved is the sum of the maximum costs of requests in flight.
	reserved core.Tokens
	result   Result
}

const noZone = -1

func newWorld(seed uint64, scenario Scenario) *world {
	w := &world{
		scenario: scenario, random: rand.New(rand.NewPCG(seed, 0)), cut: noZone,
		now: time.Unix(1_700_000_000, 0), finishes: make(map[int64][]running),
		result: Result{Scenario: scenario.Name, Seed: seed},
	}
	for i := range w.hosts {
		w.hosts[i] = host{zone: i / hostsPerZone, alive: true}
	}
	return w
}

// platformReachable reports whether a host reaches the platform.
func (w *world) platformReachable(host int) bool {
	return w.hosts[host].zone != w.cut
}

// connected reports whether two running hosts reach each other.
func (w *world) connected(a, b int) bool {
	if !w.hosts[a].alive || !w.hosts[b].alive {
		return false
	}
	return w.hosts[a].zone == w.hosts[b].zone || (w.hosts[a].zone != w.cut && w.hosts[b].zone != w.cut)
}

// run drives a contender through the scenario.
func (w *world) run(subject contender) Result {
	w.pay(subject, w.scenario.Prepaid)
	for i := range w.hosts {
		subject.start(i)
	}
	events := w.scenario.Events
	for w.elapsed < w.scenario.Duration {
		for len(events) > 0 && events[0].At <= w.elapsed {
			w.event(subject, events[0])
			events = events[1:]
		}
		w.finish(subject)
		for i := range w.hosts {
			w.arrivals(subject, i)
		}
		w.elapsed += step
		w.now = w.now.Add(step)
		if w.elapsed%time.Second == 0 {
			subject.second()
		}
	}
	w.result.Overspend = max(0, w.result.Spent-w.result.Prepaid)
	return w.result
}

func (w *world) pay(subject contender, amount core.Tokens) {
	w.result.Prepaid += amount
	subject.topUp(amount)
}

func (w *world) event(subject contender, event Event) {
	switch event.Kind {
	case CutZone:
		w.cut = event.Target
	case HealZone:
		w.cut = noZone
	case TopUp:
		w.pay(subject, event.Amount)
	case KillHost:
		w.hosts[event.Target].alive = false
		subject.die(event.Target)
	case RestartHost:
		w.hosts[event.Target].alive = true
		w.hosts[event.Target].epoch++
		subject.start(event.Target)
	case ReleaseDead:
		subject.release()
	}
}

// finish ends the requests that are due. Requests of a process that died are
// not billed.
func (w *world) finish(subject contender) {
	tick := int64(w.elapsed / step)
	for _, request := range w.finishes[tick] {
		w.reserved -= request.amount
		if !w.hosts[request.host].alive || w.hosts[request.host].epoch != request.epoch {
			continue
		}
		subject.settle(request.host, request.ticket, request.cost)
		w.result.Spent += request.cost
	}
	delete(w.finishes, tick)
}

// arrivals lets a Poisson number of requests arrive at a host.
func (w *world) arrivals(subject contender, at int) {
	mean := w.scenario.Rate(w.elapsed) * step.Seconds() * hostWeights[at] / totalWeight()
	limit, product := math.Exp(-mean), w.random.Float64()
	for product > limit {
		product *= w.random.Float64()
		amount := minCost + core.Tokens(w.random.Int64N(int64(maxCost-minCost)+1))
		cost := core.Tokens(float64(amount) * (1 + 2*w.random.Float64()) / 3)
		lasts := 1 + int64(w.random.ExpFloat64()*float64(w.scenario.MeanDuration/step))
		if w.hosts[at].alive {
			w.request(subject, at, amount, cost, lasts)
		}
	}
}

func (w *world) request(subject contender, at int, amount, cost core.Tokens, lasts int64) {
	w.result.Requests++
	ticket, accepted := subject.reserve(at, amount)
	if !accepted {
		w.refused(at)
		return
	}
	tick := int64(w.elapsed/step) + lasts
	w.finishes[tick] = append(w.finishes[tick], running{at, w.hosts[at].epoch, ticket, amount, cost})
	w.reserved += amount
}

// refused counts a refusal. Running requests count as not yet spent, which
// makes more refusals count as false than if reservations were deducted.
func (w *world) refused(at int) {
	w.result.Refused++
	if !w.platformReachable(at) {
		w.result.RefusedCutOff++
		return
	}
	left := float64(w.result.Prepaid-w.result.Spent) / float64(w.result.Prepaid)
	if left >= falseBound {
		w.result.FalseRefusals++
	}
	if w.result.FirstRefusal == nil {
		w.result.FirstRefusal = &FirstRefusal{
			Unspent:  left,
			Unbooked: float64(w.result.Prepaid-w.result.Spent-w.reserved) / float64(w.result.Prepaid),
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
