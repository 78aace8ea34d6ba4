package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/rendezvous"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

const (
	// loadAge is how long an upstream's own report is used. Reports are some
	// hundred milliseconds old when they arrive.
	loadAge = 1500 * time.Millisecond
	// peerReportAge is how long a peer's report is used.
	peerReportAge = 2 * time.Second
	// readTokensPerMs is the assumed speed of reading prompts. The measured
	// sites have 55 and 112; a speed learnt from first events served no better,
	// as those are delayed by other work.
	readTokensPerMs = 60.0
	// lateShare is the part of the objective above which an expected wait is
	// likely to end late, as work is often slowed by neighbours.
	lateShare = 0.55
	// lateWeight is the cost of a ms expected beyond lateShare.
	lateWeight = 3.0
	// msPerRunning is the time that one more running request costs another: a
	// step takes about 0.1 ms longer for each, over some hundred steps.
	msPerRunning = 25.0
	// msPerWaiting is the time that a waiting request stands for.
	msPerWaiting = 150.0
	// msPerMissedToken weighs reading a shared part again: it is charged, and
	// delays the others at the upstream.
	msPerMissedToken = 0.1
	// msOtherZone is the cost of crossing zones: the bytes have a price, and a
	// cut between zones breaks the streams that cross it.
	msOtherZone = 25.0
	// msPerFailure is the cost of an upstream that fails everything.
	msPerFailure = 4000.0
	// msShunned keeps avoided upstreams behind all others.
	msShunned = 60_000.0
	// msFullMemory is added when memory or slots are nearly used up.
	msFullMemory = 1500.0
	// fullMemory is the part of an engine's memory that running requests may
	// hold before parts kept for others yield and requests are preempted.
	fullMemory = 0.85
	// quietSilence is how long an attempt may be unanswered before it speaks
	// against its upstream.
	quietSilence = 400 * time.Millisecond
	// failurePrior is the number of samples that a failure ratio is drawn
	// towards zero by.
	failurePrior = 4.0
)

// Query describes an attempt to place.
type Query struct {
	Service core.ServiceName
	// Engine is nil for plain services.
	Engine *gateway.Engine
	Prompt *gateway.Prompt
	// Objective is the time within which the first event is due, 0 for none.
	Objective time.Duration
	// Excluded upstreams have been tried by the request.
	Excluded []core.UpstreamID
}

// Choice is the upstream chosen.
type Choice struct {
	Upstream gateway.Upstream
	// Cost is the expected delay in ms that decided.
	Cost float64
	// Home is true for the upstream at which the prompt's shared parts are
	// kept by agreement of all hosts.
	Home bool
	// Shunned is true when no better upstream is left.
	Shunned bool
	// Candidates is the number of upstreams weighed.
	Candidates int
}

// Choose returns the upstream for an attempt, or false if there is none left.
func (f *Fleet) Choose(query Query, now time.Time) (Choice, bool) {
	candidates := f.candidates(query)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	best := Choice{Candidates: len(candidates)}
	home := f.home(query, candidates)
	for _, u := range candidates {
		cost := f.cost(u, query, u == home, now)
		if best.Upstream.ID != "" && cost >= best.Cost {
			continue
		}
		best.Upstream, best.Cost, best.Home = u.upstream, cost, u == home
		best.Shunned = now.Before(u.shunUntil)
	}
	return best, true
}

// index rebuilds the lists of units by service.
func (f *Fleet) index() {
	clear(f.byService)
	for _, u := range f.units {
		f.byService[u.upstream.Service] = append(f.byService[u.upstream.Service], u)
	}
	for _, list := range f.byService {
		slices.SortFunc(list, func(a, b *unit) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) })
	}
}

func (f *Fleet) candidates(query Query) []*unit {
	var list []*unit
	for _, u := range f.byService[query.Service] {
		if !u.upstream.Leaving && !slices.Contains(query.Excluded, u.upstream.ID) {
			list = append(list, u)
		}
	}
	return list
}

// home returns the upstream that ranks first for the prompt's shared part.
func (f *Fleet) home(query Query, candidates []*unit) *unit {
	if query.Prompt == nil {
		return nil
	}
	key, _ := query.Prompt.AffinityPart()
	if key == "" {
		return nil
	}
	var best *unit
	var most uint64
	for _, u := range candidates {
		if weight := rendezvous.Weight(key, string(u.upstream.ID)); best == nil || weight > most {
			best, most = u, weight
		}
	}
	return best
}

// cost estimates the delay in ms that an attempt meets and causes.
func (f *Fleet) cost(u *unit, query Query, home bool, now time.Time) float64 {
	running, unread := f.work(u, now)
	cost := 0.0
	if query.Prompt != nil {
		cost = f.engineCost(u, query, home, running, unread, now)
	} else {
		slots := max(u.upstream.Slots, 1)
		cost = msPerRunning * float64(running) / float64(slots)
		if running >= slots {
			cost += msPerWaiting * float64(running-slots+1)
		}
	}
	cost *= u.slowness.mean(now, slownessMemory, 1, 1)
	cost += msPerFailure * u.failures.mean(now, failureMemory, 0, failurePrior)
	if silence := u.silence(now); silence > quietSilence {
		cost += float64((silence - quietSilence).Milliseconds())
	}
	if u.upstream.Zone != f.zone {
		cost += msOtherZone
	}
	if now.Before(u.shunUntil) {
		cost += msShunned
	}
	return cost
}

func (f *Fleet) engineCost(u *unit, query Query, home bool, running int, unread core.Tokens, now time.Time) float64 {
	missed := f.missed(u, query.Prompt, now)
	cost := float64(unread)/readTokensPerMs + msPerRunning*float64(running)
	own := query.Prompt.Input - f.warm.cached(u.upstream.ID, query.Prompt, now)
	if home {
		_, shared := query.Prompt.AffinityPart()
		own = min(own, query.Prompt.Input-shared)
	} else {
		cost += float64(missed) * (msPerMissedToken + 1/readTokensPerMs)
	}
	if query.Objective > 0 {
		expected := float64(unread+own) / readTokensPerMs
		cost += lateWeight * max(expected-lateShare*float64(query.Objective.Milliseconds()), 0)
	}
	if query.Engine != nil {
		if slots := query.Engine.Slots; slots > 0 && running >= slots {
			cost += msPerWaiting * float64(running-slots+1)
		}
		if held := u.held(); float64(held+query.Prompt.Input) > fullMemory*float64(query.Engine.Capacity) {
			cost += msFullMemory
		}
	}
	if now.Sub(u.loadAt) < loadAge {
		cost += msPerWaiting * float64(u.load.Waiting)
	}
	return cost
}

// work returns the number of requests at an upstream and the prompt tokens
// that it has not read, by this host's and its peers' counts and its own.
func (f *Fleet) work(u *unit, now time.Time) (int, core.Tokens) {
	running, unread := len(u.attempts), u.unread()
	for _, report := range f.peers {
		if now.Sub(report.at) < peerReportAge {
			load := report.loads[u.upstream.ID]
			running += load.Running
			unread += load.Unread
		}
	}
	if now.Sub(u.loadAt) < loadAge {
		running = max(running, u.load.Running+u.load.Waiting+len(u.attempts)-u.loadOwn)
	}
	return running, unread
}

// missed returns the shared tokens that the upstream would have to read.
func (f *Fleet) missed(u *unit, prompt *gateway.Prompt, now time.Time) core.Tokens {
	_, shared := prompt.AffinityPart()
	return max(shared-f.warm.cached(u.upstream.ID, prompt, now), 0)
}

// unread returns the tokens of a prompt that the upstream has not cached.
func (f *Fleet) unread(u *unit, prompt *gateway.Prompt, now time.Time) core.Tokens {
	return max(prompt.Input-f.warm.cached(u.upstream.ID, prompt, now), 0)
}

// unread returns the prompt tokens of this host's attempts that have not begun
// to answer.
func (u *unit) unread() core.Tokens {
	var tokens core.Tokens
	for _, begun := range u.attempts {
		if !begun.started {
			tokens += begun.input
		}
	}
	return tokens
}

// held returns the memory that this host's attempts may hold.
func (u *unit) held() core.Tokens {
	var tokens core.Tokens
	for _, begun := range u.attempts {
		tokens += begun.total
	}
	return tokens
}

// silence returns for how long the oldest attempt has been unanswered.
func (u *unit) silence(now time.Time) time.Duration {
	var longest time.Duration
	for _, begun := range u.attempts {
		if !begun.started {
			longest = max(longest, now.Sub(begun.since))
		}
	}
	return longest
}
