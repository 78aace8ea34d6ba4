package budget

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// EventKind tells the events of a scenario apart.
type EventKind uint8

// The kinds of event.
const (
	// CutZone separates a zone from the platform and from the other zones.
	CutZone EventKind = iota + 1
	HealZone
	TopUp
	KillHost
	RestartHost
	// ReleaseDead is an operator's release of all dead processes.
	ReleaseDead
)

// Event happens at a time after the start.
type Event struct {
	At   time.Duration
	Kind EventKind
	// Target is a zone or a host, as the kind says.
	Target int
	Amount core.Tokens
}

// Scenario is what a run goes through.
type Scenario struct {
	Name     string
	Duration time.Duration
	Prepaid  core.Tokens
	// MeanDuration of a request; the durations are exponential.
	MeanDuration time.Duration
	// Rate returns the requests a second over all hosts.
	Rate   func(elapsed time.Duration) float64
	Events []Event
}

// steady is a constant rate of requests. A request costs about 700 tokens on
// average, two thirds of the mean maximum of 1,050.
func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// swing is a tenfold rise of demand for 40 s.
func swing(elapsed time.Duration) float64 {
	if elapsed >= 40*time.Second && elapsed < 80*time.Second {
		return 500
	}
	return 50
}

// Scenarios returns the scenarios. Each budget is spent shortly before its
// end, so that refusals of a spent budget occur in every run.
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
				{At: 30 * time.Second, Kind: CutZone, Target: 1},
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

// Exhaustion is a run with skewed demand and no faults whose requests end
// within a step, so that nothing but the division of the budget can leave
// tokens unspent at the first refusal.
func Exhaustion() Scenario {
	return Scenario{
		Name: "exhaustion", Duration: 120 * time.Second, Prepaid: 12_000_000, Rate: steady(200),
	}
}

// Result is what one run of a contender showed.
type Result struct {
	Contender string
	Scenario  string
	Seed      uint64
	Requests  int
	Refused   int
	// RefusedCutOff were refused where the platform was not reachable.
	RefusedCutOff int
	// FalseRefusals were refused while 5% or more of the budget was not
	// spent and the platform was reachable.
	FalseRefusals int
	Prepaid       core.Tokens
	Spent         core.Tokens
	Overspend     core.Tokens
	// FirstRefusal is nil if no request was refused where the platform was
	// reachable.
	FirstRefusal *FirstRefusal
}

// FirstRefusal tells what was left of the budget when the first request was
// refused where the platform was reachable, as parts of the prepaid sum.
type FirstRefusal struct {
	// Unspent was not billed; it includes reservations of running requests.
	Unspent float64
	// Unbooked was neither billed nor reserved.
	Unbooked float64
}

// FalseRefusalShare is the share of all requests that were falsely refused.
func (r *Result) FalseRefusalShare() float64 {
	if r.Requests == 0 {
		return 0
	}
	return float64(r.FalseRefusals) / float64(r.Requests)
}

// The contenders.
const (
	Product     = "peridotreel"
	StaticSplit = "static split per host"
	SoftLimit   = "soft limit, checked after the fact"
)

// Run drives one contender through one scenario.
func Run(seed uint64, scenario Scenario, name string) Result {
	w := newWorld(seed, scenario)
	w.result.Contender = name
	switch name {
	case StaticSplit:
		return w.run(&staticSplit{world: w})
	case SoftLimit:
		return w.run(&softLimit{world: w})
	default:
		return w.run(newProduct(w))
	}
}

// RunAll drives every contender through every scenario.
func RunAll(seed uint64) []Result {
	var results []Result
	for _, scenario := range Scenarios() {
		for _, name := range []string{Product, StaticSplit, SoftLimit} {
			results = append(results, Run(seed, scenario, name))
		}
	}
	return results
}
