// Package demo runs a small fleet in one process, sends the kinds of work of
// both deployments and checks the promises of the design page on it.
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

// The models of the demo: a small one for short work, a large one for long.
const (
	modelQuick core.ModelName = "quick-8b"
	modelDraft core.ModelName = "draft-70b"
)

const (
	// stepTime of the stand-in engines keeps the demo under 30 s; real
	// engines take some 20 to 80 ms.
	stepTime = 4 * time.Millisecond
	// listLag is how late the platform's list shows changes.
	listLag = time.Second
	// loadLag is how late engines report their load.
	loadLag = time.Second

	hostsPerZone   = 3
	teamsPerSite   = 10
	largeTeams     = 3
	largeBudget    = 2_000_000
	smallBudget    = 300_000
	teamDeadline   = 10 * time.Second
	longDeadline   = 30 * time.Second
	shortMaxTokens = 64
	longMaxTokens  = 600
)

var zones = []core.ZoneName{"zone-a", "zone-b", "zone-c"}

// classOf describes the work of a class in the demo.
type classOf struct {
	row core.ClassRow
	// model, prompt and tokens of its requests.
	model  core.ModelName
	prompt string
	tokens int64
	stream bool
	// every says that one request in so many is of this class.
	every int
}

var cartamarcaClasses = []classOf{
	{core.ClassRow{Name: "price", Priority: 3, MaxTokens: shortMaxTokens}, modelQuick, "What do you pay for a near mint dual land", 16, true, 2},
	{core.ClassRow{Name: "tag", Priority: 2, MaxTokens: shortMaxTokens}, modelQuick, "Name the set of this card", 6, false, 4},
	{core.ClassRow{Name: "condition", Priority: 1, MaxTokens: shortMaxTokens}, modelQuick, "Read the condition note: light play, one crease", 24, false, 6},
	{core.ClassRow{Name: "appraisal", Long: true, MaxTokens: longMaxTokens, Deadline: longDeadline}, modelDraft, "Draft a full appraisal of this collection", 300, true, 12},
}

var podtatranskaClasses = []classOf{
	{core.ClassRow{Name: "chat", Priority: 3, MaxTokens: shortMaxTokens}, modelQuick, "When can I collect the smoked ham", 20, true, 2},
	{core.ClassRow{Name: "label", Priority: 2, MaxTokens: shortMaxTokens}, modelQuick, "Label this order note", 5, false, 4},
	{core.ClassRow{Name: "statement", Long: true, MaxTokens: longMaxTokens, Deadline: longDeadline}, modelDraft, "Draft the member's monthly statement in full", 320, true, 12},
}

// site is one of the two deployments.
type site struct {
	name    string
	classes []classOf
	// service is where its calls go that must not be repeated.
	service  core.ServiceName
	action   string
	lookup   string
	lookupAt core.ServiceName
}

var sites = []site{
	{"cartamarca", cartamarcaClasses, "ledger", "/payouts", "/quotes/7", "lookups"},
	{"podtatranska", podtatranskaClasses, "orders", "/orders", "/slots/today", "lookups"},
}

// team is one team of the demo.
type team struct {
	row    core.TeamRow
	key    string
	site   *site
	budget core.Tokens
}

func newTeams() []*team {
	var teams []*team
	for s := range sites {
		for i := range teamsPerSite {
			teams = append(teams, newTeam(&sites[s], i))
		}
	}
	return teams
}

func newTeam(of *site, number int) *team {
	name := fmt.Sprintf("%s-%02d", of.name, number+1)
	created := &team{key: "key-" + name, site: of, budget: smallBudget}
	weight := 1
	if number < largeTeams {
		created.budget, weight = largeBudget, 4
	}
	created.row = core.TeamRow{
		Team: core.TeamName(name), Weight: weight, Budget: core.BudgetID(name),
		MaxInFlight: 90, TokensPerSecond: 50_000, QueueLength: 200, Deadline: teamDeadline,
		KeyDigests: []string{authenticate.Digest(created.key)},
	}
	for _, class := range of.classes {
		created.row.Classes = append(created.row.Classes, class.row)
	}
	return created
}

// serviceCosts are the costs of a call in tokens.
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

// fleetConfig has three zones with three hosts each, ten engines and three
// plain services.
func fleetConfig() localfleet.Config {
	config := localfleet.Config{Zones: zones, HostsPerZone: hostsPerZone, ListLag: listLag, Operators: operators()}
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
