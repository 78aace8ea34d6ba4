package budget

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// EventKind is the kind of an event in a scenario.
type EventKind uint8

// The kinds of event.
const (
	// PartitionZone separates a zone from the platform and from the other zones.
	PartitionZone EventKind = iota + 1
	HealZone
	TopUp
	KillHost
	RestartHost
	// ReleaseDead is an operator's release of the shares of all dead processes.
	ReleaseDead
)

// Event is a change at a time after the start of the run.
type Event struct {
	At   time.Duration
	Kind EventKind
	// Target is the index of a zone or a host, depending on the kind.
	Target int
	Amount core.Tokens
}

// Scenario describes the load and the events of a run.
type Scenario struct {
	Name     string
	Duration time.Duration
	Prepaid  core.Tokens
	// MeanDuration is the mean of the exponentially distributed request durations.
	MeanDuration time.Duration
	// Rate returns the requests per second over all hosts.
	Rate   func(elapsed time.Duration) float64
	Events []Event
}

// steady returns a constant request rate. A request costs about 700 tokens on
// average, two thirds of the mean reservation of 1,050.
func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// swing is the request rate with a tenfold rise for 40 s.
func swing(elapsed time.Duration) float64 {
	if elapsed >= 40*time.Second && elapsed < 80*time.Second {
		return 500
	}
	return 50
}

// Scenarios returns the scenarios of the measurement. Each one exhausts its
// budget shortly before the end, so every run has refusals on a spent budget.
func Scenarios() []Scenario {
	const million core.Tokens = 1_000_000
	return []Scenario{
		{
			Name: "tenfold swing", Duration: 120 * time.Second, Prepaid: 16 * million,
			MeanDuration: 2 * time.Second, Rate: swing,
		},
		{
			Name: "partition with top-up", Duration: 150 * time.Second, Prepaid: 12 * million,
			MeanDuration: 2 * time.Second, Rate: steady(200),
			Events: []Event{
				{At: 30 * time.Second, Kind: PartitionZone, Target: 1},
				{At: 60 * time.Second, Kind: TopUp, Amount: 6 * million},
				{At: 90 * time.Second, Kind: HealZone},
			},
		},
		{
			Name: "host deaths", Duration: 150 * time.Second, Prepaid: 18 * million,
			MeanDuration: 2 * time.Second, Rate: steady(200),
			Events: []Event{
				{At: 30 * time.Second, Kind: KillHost, Target: 0},
				{At: 35 * time.Second, Kind: RestartHost, Target: 0},
				{At: 50 * time.Second, Kind: KillHost, Target: 4},
				{At: 70 * time.Second, Kind: KillHost, Target: 0},
				{At: 75 * time.Second, Kind: RestartHost, Target: 0},
				{At: 100 * time.Second, Kind: ReleaseDead},
			},
		},
	}
}

// Exhaustion returns a scenario without faults whose requests end within one
// step, so that only the division of the budget among the hosts can leave
// tokens unspent at the first refusal.
func Exhaustion() Scenario {
	return Scenario{
		Name: "exhaustion", Duration: 120 * time.Second, Prepaid: 12_000_000, Rate: steady(200),
	}
}

// Result holds the counts of one run.
type Result struct {
	Policy   string
	Scenario string
	Seed     uint64
	Requests int
	Refused  int
	// RefusedUnreachable were refused by hosts that couldn't reach the platform.
	RefusedUnreachable int
	// FalseRefusals were refused by hosts that reached the platform while 5% or
	// more of the budget was unspent.
	FalseRefusals int
	Prepaid       core.Tokens
	Spent         core.Tokens
	Overspend     core.Tokens
	// FirstRefusal is nil if no host that reached the platform refused a request.
	FirstRefusal *FirstRefusal
}

// FirstRefusal is what was left of the budget at the first refusal by a host
// that reached the platform, as fractions of the prepaid amount.
type FirstRefusal struct {
	// Unspent was not billed; it includes reservations of running requests.
	Unspent float64
	// Unreserved was neither billed nor reserved.
	Unreserved float64
}

// FalseRefusalRatio returns the fraction of all requests that were falsely
// refused.
func (r *Result) FalseRefusalRatio() float64 {
	if r.Requests == 0 {
		return 0
	}
	return float64(r.FalseRefusals) / float64(r.Requests)
}

// The names of the policies.
const (
	Product     = "peridotreel"
	StaticSplit = "static split per host"
	SoftLimit   = "soft limit, checked after the fact"
)

// Run runs one scenario with the named policy.
func Run(seed uint64, scenario Scenario, name string) Result {
	s := newSimulation(seed, scenario)
	s.result.Policy = name
	switch name {
	case StaticSplit:
		return s.run(&staticSplit{simulation: s})
	case SoftLimit:
		return s.run(&softLimit{simulation: s})
	default:
		return s.run(newProduct(s))
	}
}

// RunAll runs every scenario with every policy.
func RunAll(seed uint64) []Result {
	var results []Result
	for _, scenario := range Scenarios() {
		for _, name := range []string{Product, StaticSplit, SoftLimit} {
			results = append(results, Run(seed, scenario, name))
		}
	}
	return results
}
