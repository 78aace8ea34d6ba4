// Package demo runs a small fleet in one process, sends it the workloads of both
// deployments and checks the promises of the design page.
package demo

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/filter/authenticate"
	"github.com/peridotreel/peridotreel/internal/localfleet"
	upstreamstandin "github.com/peridotreel/peridotreel/internal/standin/upstream"
)

// The models of the demo: a small one for short requests and a large one for long
// requests.
const (
	modelQuick core.ModelName = "quick-8b"
	modelDraft core.ModelName = "draft-70b"
)

const (
	// stepTime is the stand-in engines' step time. It keeps the demo under 30 s;
	// a step of a real engine takes some 20 to 80 ms.
	stepTime = 4 * time.Millisecond
	// membersLag is the delay before the platform's list shows a change.
	membersLag = time.Second
	// loadLag is the interval between load reports of upstreams.
	loadLag = time.Second

	hostsPerZone       = 3
	teamsPerDeployment = 10
	largeTeams         = 3
	largeBudget        = 2_000_000
	smallBudget        = 300_000
	teamDeadline       = 10 * time.Second
	longDeadline       = 30 * time.Second
	shortMaxTokens     = 64
	longMaxTokens      = 600
)

var zones = []core.ZoneName{"zone-a", "zone-b", "zone-c"}

// classWorkload describes the requests of a class in the demo.
type classWorkload struct {
	row core.ClassRow
	// model, prompt and tokens are those of the class's requests.
	model  core.ModelName
	prompt string
	tokens int64
	stream bool
	// oneIn is the inverse of the probability that a request is of this class.
	// The first class of a deployment gets all other requests.
	oneIn int
}

var cartamarcaClasses = []classWorkload{
	{core.ClassRow{Name: "price", Priority: 3, MaxTokens: shortMaxTokens}, modelQuick, "What do you pay for a near mint dual land", 16, true, 2},
	{core.ClassRow{Name: "tag", Priority: 2, MaxTokens: shortMaxTokens}, modelQuick, "Name the set of this card", 6, false, 4},
	{core.ClassRow{Name: "condition", Priority: 1, MaxTokens: shortMaxTokens}, modelQuick, "Read the condition note: light play, one crease", 24, false, 6},
	{core.ClassRow{Name: "appraisal", Long: true, MaxTokens: longMaxTokens, Deadline: longDeadline}, modelDraft, "Draft a full appraisal of this collection", 300, true, 12},
}

var podtatranskaClasses = []classWorkload{
	{core.ClassRow{Name: "chat", Priority: 3, MaxTokens: shortMaxTokens}, modelQuick, "When can I collect the smoked ham", 20, true, 2},
	{core.ClassRow{Name: "label", Priority: 2, MaxTokens: shortMaxTokens}, modelQuick, "Label this order note", 5, false, 4},
	{core.ClassRow{Name: "statement", Long: true, MaxTokens: longMaxTokens, Deadline: longDeadline}, modelDraft, "Draft the member's monthly statement in full", 320, true, 12},
}

// deployment describes the workload of one of the two deployments.
type deployment struct {
	name    string
	classes []classWorkload
	// service receives the deployment's non-idempotent calls.
	service  core.ServiceName
	action   string
	lookup   string
	lookupAt core.ServiceName
}

var deployments = []deployment{
	{"cartamarca", cartamarcaClasses, "ledger", "/payouts", "/quotes/7", "lookups"},
	{"podtatranska", podtatranskaClasses, "orders", "/orders", "/slots/today", "lookups"},
}

// team is a team of the demo with its key, deployment and budget.
type team struct {
	row        core.TeamRow
	key        string
	deployment *deployment
	budget     core.Tokens
}

func newTeams() []*team {
	var teams []*team
	for s := range deployments {
		for i := range teamsPerDeployment {
			teams = append(teams, newTeam(&deployments[s], i))
		}
	}
	return teams
}

func newTeam(d *deployment, number int) *team {
	name := fmt.Sprintf("%s-%02d", d.name, number+1)
	created := &team{key: "key-" + name, deployment: d, budget: smallBudget}
	weight := 1
	if number < largeTeams {
		created.budget, weight = largeBudget, 4
	}
	created.row = core.TeamRow{
		Team: core.TeamName(name), Weight: weight, Budget: core.BudgetID(name),
		MaxInFlight: 90, TokensPerSecond: 50_000, QueueLength: 200, Deadline: teamDeadline,
		KeyDigests: []string{authenticate.Digest(created.key)},
	}
	for _, class := range d.classes {
		created.row.Classes = append(created.row.Classes, class.row)
	}
	return created
}

// serviceCosts holds the cost of a call in tokens by service.
var serviceCosts = map[core.ServiceName]core.Tokens{"ledger": 3, "orders": 3, "lookups": 1}

func services() []core.ServiceRow {
	var table []core.ServiceRow
	for _, name := range slices.Sorted(maps.Keys(serviceCosts)) {
		table = append(table, core.ServiceRow{
			Service: name, Cost: serviceCosts[name],
			Rules: []core.ServiceRule{{Method: "GET", PathPrefix: "/", Idempotent: true}},
		})
	}
	return table
}

// fleetConfig returns a fleet of three zones with three hosts each, ten engines
// and three plain services.
func fleetConfig() localfleet.Config {
	config := localfleet.Config{Zones: zones, HostsPerZone: hostsPerZone, MembersLag: membersLag, Operators: operators()}
	for i := range 10 {
		models := []core.ModelName{modelQuick}
		if i >= 6 {
			models = []core.ModelName{modelDraft}
		}
		config.Engines = append(config.Engines, localfleet.Engine{
			Zone: zones[i%len(zones)], Models: models,
			Settings: upstreamstandin.EngineSettings{
				ID: core.UpstreamID(fmt.Sprintf("engine-%02d", i+1)), StepTime: stepTime,
				StepTimePerStream: stepTime / 40, LoadLag: loadLag, ChecksFencing: i%2 == 0,
			},
		})
	}
	for i, name := range []core.ServiceName{"ledger", "orders", "lookups"} {
		config.Services = append(config.Services, localfleet.Service{
			Zone: zones[i],
			Settings: upstreamstandin.ServiceSettings{
				ID: core.UpstreamID(name + "-1"), Name: name, Delay: stepTime, LoadLag: loadLag,
			},
		})
	}
	return config
}
