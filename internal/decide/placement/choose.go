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
	// maxLoadAge is how long an upstream's own load report is used. Reports are
	// already a few hundred milliseconds old when they arrive.
	maxLoadAge = 1500 * time.Millisecond
	// maxPeerReportAge is how long a peer's load report is used.
	maxPeerReportAge = 2 * time.Second
	// prefillTokensPerMs is the assumed prefill speed; known sites run at 55 and
	// 112. Estimating it from the time to the first event gave no better choices,
	// because other work on the engine delays that event.
	prefillTokensPerMs = 60.0
	// lateRiskFraction is the fraction of the objective above which an expected
	// wait is likely to miss it, because neighbors often slow an engine down.
	lateRiskFraction = 0.55
	// lateRiskWeight is the cost of each ms of expected wait above
	// lateRiskFraction.
	lateRiskWeight = 3.0
	// msPerRunning is how much each running request delays another one: a decoding
	// step takes about 0.1 ms longer per request, over a few hundred steps.
	msPerRunning = 25.0
	// msPerWaiting is the delay that each queued request adds.
	msPerWaiting = 150.0
	// msPerUncachedToken is the extra cost of processing a shared token that is
	// not cached: it is charged, and it delays other requests at the upstream.
	msPerUncachedToken = 0.1
	// msOtherZone is the cost of crossing zones: the traffic is charged, and a
	// network partition between zones breaks the streams that cross it.
	msOtherZone = 25.0
	// msPerFailure is the cost of an upstream that fails every request.
	msPerFailure = 4000.0
	// msCoolingDown ranks upstreams in cooldown behind all others.
	msCoolingDown = 60_000.0
	// msMemoryPressure is added when an engine's KV cache is nearly full.
	msMemoryPressure = 1500.0
	// memoryPressureFraction is the fraction of an engine's KV cache that running
	// requests may use before the engine evicts cached prompt parts and preempts
	// requests.
	memoryPressureFraction = 0.85
	// unansweredGrace is how long an attempt may be unanswered before that counts
	// against its upstream.
	unansweredGrace = 400 * time.Millisecond
	// failurePriorSamples is the number of assumed successes that smooth the
	// failure ratio of an upstream with few samples.
	failurePriorSamples = 4.0
)

// Query describes an attempt that needs an upstream.
type Query struct {
	Service core.ServiceName
	// Engine is nil for plain services.
	Engine *gateway.Engine
	Prompt *gateway.Prompt
	// Objective is the time within which the first event is due, 0 for none.
	Objective time.Duration
	// Excluded lists the upstreams that the request has already tried.
	Excluded []core.UpstreamID
	// Software is the software that an upstream must have, because it began the stream
	// that is resumed; nil allows any.
	Software *string
	// Usable reports whether an upstream may get a request now. nil allows all.
	Usable func(core.UpstreamID) bool
}

// Choice is the result of Choose.
type Choice struct {
	Upstream gateway.Upstream
	// Cost is the estimated cost in ms; the lowest one is chosen.
	Cost float64
	// Affinity is true if the upstream is the one to which all hosts prefer to
	// send the prompt's shared part, so that its cache holds it.
	Affinity bool
	// InCooldown is true if the upstream is in cooldown, as no better one is left.
	InCooldown bool
	// Candidates is the number of upstreams that were compared.
	Candidates int
	// Wait estimates how long the request would wait for its first event, 0 for
	// plain services.
	Wait time.Duration
}

// Choose returns the upstream with the lowest cost, or false if none is left.
func (b *LoadBalancer) Choose(query Query, now time.Time) (Choice, bool) {
	candidates := b.candidates(query)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	best := Choice{Candidates: len(candidates)}
	affinity := b.affinityUpstream(query, candidates)
	for _, u := range candidates {
		cost := b.cost(u, query, u == affinity, now)
		if best.Upstream.ID != "" && cost >= best.Cost {
			continue
		}
		best.Upstream, best.Cost, best.Affinity = u.upstream, cost, u == affinity
		best.InCooldown = now.Before(u.cooldownUntil)
	}
	best.Wait = b.estimateWait(b.upstreams[best.Upstream.ID], query, now)
	return best, true
}

// rebuildIndex groups the upstreams by service.
func (b *LoadBalancer) rebuildIndex() {
	clear(b.byService)
	clear(b.candidatesByService)
	for _, u := range b.upstreams {
		b.byService[u.upstream.Service] = append(b.byService[u.upstream.Service], u)
	}
	for service, list := range b.byService {
		slices.SortFunc(list, func(first, second *upstreamState) int { return cmp.Compare(first.upstream.ID, second.upstream.ID) })
		for _, u := range list {
			if !slices.Contains(b.evacuated, u.upstream.Zone) {
				b.candidatesByService[service] = append(b.candidatesByService[service], u)
			}
		}
	}
}

func (b *LoadBalancer) candidates(query Query) []*upstreamState {
	list := b.scratch[:0]
	for _, u := range b.candidatesByService[query.Service] {
		if query.Software != nil && u.upstream.Software != *query.Software {
			continue
		}
		if u.upstream.Leaving || slices.Contains(query.Excluded, u.upstream.ID) || (query.Usable != nil && !query.Usable(u.upstream.ID)) {
			continue
		}
		list = append(list, u)
	}
	b.scratch = list
	return list
}

// affinityUpstream returns the candidate that rendezvous hashing ranks first
// for the prompt's shared part, or nil if the prompt has none.
func (b *LoadBalancer) affinityUpstream(query Query, candidates []*upstreamState) *upstreamState {
	if query.Prompt == nil {
		return nil
	}
	key, _ := query.Prompt.AffinityPart()
	if key == "" {
		return nil
	}
	var best *upstreamState
	var highest uint64
	for _, u := range candidates {
		if weight := rendezvous.Weight(key, string(u.upstream.ID)); best == nil || weight > highest {
			best, highest = u, weight
		}
	}
	return best
}

// cost estimates the delay in ms that an attempt would incur and would cause to
// others.
func (b *LoadBalancer) cost(u *upstreamState, query Query, affinity bool, now time.Time) float64 {
	running, prefill := b.estimateLoad(u, now)
	cost := 0.0
	if query.Prompt != nil {
		cost = b.engineCost(u, query, affinity, running, prefill, now)
	} else {
		slots := max(u.upstream.Slots, 1)
		cost = msPerRunning * float64(running) / float64(slots)
		if running >= slots {
			cost += msPerWaiting * float64(running-slots+1)
		}
	}
	cost *= u.slowdown.mean(now, slowdownHalfLife, 1, 1)
	cost += msPerFailure * u.failureRatio.mean(now, failureHalfLife, 0, failurePriorSamples)
	if unanswered := u.longestUnanswered(now); unanswered > unansweredGrace {
		cost += float64((unanswered - unansweredGrace).Milliseconds())
	}
	if u.upstream.Zone != b.zone {
		cost += msOtherZone
	}
	if now.Before(u.cooldownUntil) {
		cost += msCoolingDown
	}
	return cost
}

func (b *LoadBalancer) engineCost(u *upstreamState, query Query, affinity bool, running int, prefill core.Tokens, now time.Time) float64 {
	uncachedShared := b.uncachedSharedTokens(u, query.Prompt, now)
	cost := float64(prefill)/prefillTokensPerMs + msPerRunning*float64(running)
	uncached := query.Prompt.Input - b.caches.cachedTokens(u.upstream.ID, query.Prompt, now)
	if affinity {
		_, shared := query.Prompt.AffinityPart()
		uncached = min(uncached, query.Prompt.Input-shared)
	} else {
		cost += float64(uncachedShared) * (msPerUncachedToken + 1/prefillTokensPerMs)
	}
	if query.Objective > 0 {
		expected := float64(prefill+uncached) / prefillTokensPerMs
		cost += lateRiskWeight * max(expected-lateRiskFraction*float64(query.Objective.Milliseconds()), 0)
	}
	if query.Engine != nil {
		if slots := query.Engine.Slots; slots > 0 && running >= slots {
			cost += msPerWaiting * float64(running-slots+1)
		}
		if kvTokens := u.occupiedKVTokens(); float64(kvTokens+query.Prompt.Input) > memoryPressureFraction*float64(query.Engine.Capacity) {
			cost += msMemoryPressure
		}
	}
	if now.Sub(u.loadAt) < maxLoadAge {
		cost += msPerWaiting * float64(u.load.Waiting)
	}
	return cost
}

// estimateLoad returns the number of requests at an upstream and the prompt
// tokens waiting for prefill there. It adds up this host's and its peers'
// counts; the number of requests is at least what the upstream itself reported.
func (b *LoadBalancer) estimateLoad(u *upstreamState, now time.Time) (int, core.Tokens) {
	running, prefill := len(u.attempts), u.pendingPrefill()
	b.expirePeers(now)
	sum := b.sums[u.upstream.ID]
	running, prefill = running+sum.Running, prefill+sum.Unread
	if now.Sub(u.loadAt) < maxLoadAge {
		running = max(running, u.load.Running+u.load.Waiting+len(u.attempts)-u.ownAtLoad)
	}
	return running, prefill
}

// uncachedSharedTokens returns the tokens of the prompt's shared part that the
// upstream would have to process.
func (b *LoadBalancer) uncachedSharedTokens(u *upstreamState, prompt *gateway.Prompt, now time.Time) core.Tokens {
	_, shared := prompt.AffinityPart()
	return max(shared-b.caches.cachedTokens(u.upstream.ID, prompt, now), 0)
}

// uncachedTokens returns the tokens of a prompt that are not in the upstream's
// cache.
func (b *LoadBalancer) uncachedTokens(u *upstreamState, prompt *gateway.Prompt, now time.Time) core.Tokens {
	return max(prompt.Input-b.caches.cachedTokens(u.upstream.ID, prompt, now), 0)
}

// pendingPrefill returns the uncached prompt tokens of this host's attempts
// whose answers have not started.
func (u *upstreamState) pendingPrefill() core.Tokens {
	var tokens core.Tokens
	for _, sent := range u.attempts {
		if !sent.started {
			tokens += sent.prefillTokens
		}
	}
	return tokens
}

// occupiedKVTokens returns the number of KV cache tokens that this host's
// attempts may use.
func (u *upstreamState) occupiedKVTokens() core.Tokens {
	var tokens core.Tokens
	for _, sent := range u.attempts {
		tokens += sent.kvTokens
	}
	return tokens
}

// longestUnanswered returns how long the oldest unanswered attempt has waited.
func (u *upstreamState) longestUnanswered(now time.Time) time.Duration {
	var longest time.Duration
	for _, sent := range u.attempts {
		if !sent.started {
			longest = max(longest, now.Sub(sent.sentAt))
		}
	}
	return longest
}
