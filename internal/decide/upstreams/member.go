package upstreams

import (
	"math"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// maxPending bounds the start times kept of attempts without a first token.
// Only the oldest matters, so later ones beyond the bound are not kept.
const maxPending = 64

// Member is an upstream as a member of one pool.
type Member struct {
	*Upstream
	group *Group
	// rank is the rendezvous weight for this host, which decides whether the
	// member is in its subset.
	rank uint64

	ownPoolRequests     int
	firstToken          average // seconds
	tokenRate           average // tokens per second of one stream
	consecutiveFailures int
	// refusedUntil is the time before which the member is expected to refuse
	// more work.
	refusedUntil  time.Time
	lastFailureAt time.Time
	// consecutiveSlow counts the latest first tokens that were all slow; the
	// last of them came at lastSlowAt and took lastSlowSeconds.
	consecutiveSlow int
	lastSlowAt      time.Time
	lastSlowSeconds float64
	limit           limit
	ejection        ejection
	// pending holds the start times of attempts without a first token.
	pending []time.Time
}

func newMember(upstream *Upstream, group *Group) *Member {
	return &Member{Upstream: upstream, group: group, limit: newLimit(), ejection: ejection{samplesReset: true}}
}

func (m *Member) start(now time.Time, estimate core.Tokens) {
	m.history.record(now, m.ownRequests, m.ownRequests+1)
	m.ownRequests++
	m.ownTokens += estimate
	m.ownPoolRequests++
	if len(m.pending) < maxPending && m.group.typicalSize(estimate) {
		m.pending = append(m.pending, now)
	}
}

func (m *Member) end(now time.Time, estimate core.Tokens) {
	if m.ownPoolRequests == 0 {
		return
	}
	m.history.record(now, m.ownRequests, m.ownRequests-1)
	m.ownRequests--
	m.ownTokens -= min(estimate, m.ownTokens)
	m.ownPoolRequests--
	if m.ownRequests == 0 {
		m.ownTokens = 0
	}
}

// recordFirstToken adds a first-token time, or the duration of an attempt that
// ended without a first token.
func (m *Member) recordFirstToken(now time.Time, seconds float64) {
	m.firstToken.add(now, seconds)
	if median := m.group.medianFirstToken; median > 0 && seconds > slowRatio*median {
		m.consecutiveSlow++
		m.lastSlowAt, m.lastSlowSeconds = now, seconds
	} else {
		m.consecutiveSlow = 0
	}
}

// removePending removes the pending attempt whose start is nearest to the given
// time.
func (m *Member) removePending(started time.Time) {
	if len(m.pending) == 0 {
		return
	}
	best, bestGap := 0, time.Duration(1<<62)
	for i, at := range m.pending {
		if gap := at.Sub(started).Abs(); gap < bestGap {
			best, bestGap = i, gap
		}
	}
	m.pending = append(m.pending[:best], m.pending[best+1:]...)
}

// oldestPending returns how long the oldest pending attempt has waited for its
// first token.
func (m *Member) oldestPending(now time.Time) time.Duration {
	if len(m.pending) == 0 {
		return 0
	}
	return now.Sub(m.pending[0])
}

const (
	// priorSamples is the weight, in samples, of the prior assumption that a
	// member is as fast as its peers. It keeps a few unusual samples from
	// deciding.
	priorSamples = 2
	// slowRatio times the median first-token time makes a first token slow: the
	// member then counts as that slow for penaltyTime, and for twice as long
	// after each further slow one in a row, up to eight times. This costs less
	// than an ejection, as the member still gets work that no other member can
	// take. The ratio is below the one at which an attempt ends that has lost
	// to its hedge.
	slowRatio   = 2.5
	penaltyTime = 2 * time.Second
)

// Slowness returns how many times slower than its peers the member is; 1 is
// normal. An attempt that has waited for more than twice the median first-token
// time counts as a sample, since a stalled upstream yields no others.
func (m *Member) Slowness(now time.Time) float64 {
	slow := max(m.firstTokenRatio(now), m.tokenRateRatio(now), 1)
	return slow / m.ejection.slowStartFactor(now)
}

func (m *Member) firstTokenRatio(now time.Time) float64 {
	median := m.group.medianFirstToken
	if median <= 0 {
		return 1
	}
	weight := m.firstToken.sampleCount(now)
	ratio := (weight*m.firstToken.mean()/median + priorSamples) / (weight + priorSamples)
	if m.consecutiveSlow > 0 && now.Sub(m.lastSlowAt) < penaltyTime<<min(m.consecutiveSlow-1, 3) {
		ratio = max(ratio, m.lastSlowSeconds/median)
	}
	if waited := m.oldestPending(now).Seconds() / median; waited > 2 {
		return max(ratio, waited)
	}
	return ratio
}

func (m *Member) tokenRateRatio(now time.Time) float64 {
	median, rate := m.group.medianTokenRate, m.tokenRate.mean()
	if median <= 0 || rate <= 0 {
		return 1
	}
	weight := m.tokenRate.sampleCount(now)
	return (weight*median/rate + priorSamples) / (weight + priorSamples)
}

// Load estimates the load of the upstream with one more request: its requests
// relative to its batch size, multiplied by its slowness. Requests are counted
// and not their tokens: new work waits for a batch slot, and a long request
// takes up one slot as a short one does.
func (m *Member) Load(now time.Time) float64 {
	batch := m.group.medianBatch
	if m.reported && m.report.MaxRunning > 0 {
		batch = float64(m.report.MaxRunning)
	}
	return (m.Requests(now) + 1) / batch * m.Slowness(now)
}

// Occupancy estimates the fraction of the batch slots in use; 0 if unknown.
func (m *Member) Occupancy(now time.Time) float64 {
	if !m.reported || m.report.MaxRunning <= 0 {
		return 0
	}
	return m.Requests(now) / float64(m.report.MaxRunning)
}

// AtLimit reports whether this host should send the member no more requests:
// one more would wait for a batch slot, exceed the concurrency limit or be
// refused again.
func (m *Member) AtLimit(now time.Time) bool {
	return now.Before(m.refusedUntil) || float64(m.ownPoolRequests) >= math.Ceil(m.allowedRequests(now))
}

// Ejected reports whether the member is ejected: it gets no new work for being
// slower or failing more often than its peers.
func (m *Member) Ejected(now time.Time) bool {
	return now.Before(m.ejection.until)
}

// Failing reports whether the latest attempts at the member failed. It ends
// after the same time as the penalty for slow first tokens. An upstream that
// refuses all work has few requests and would otherwise get the most.
func (m *Member) Failing(now time.Time) bool {
	return m.consecutiveFailures > 0 && now.Sub(m.lastFailureAt) < penaltyTime<<min(m.consecutiveFailures-1, 3)
}

// allowedRequests returns how many requests of this host the member should
// hold: the batch slots that other hosts leave, but at least an even share of
// the batch, and never more than its concurrency limit.
func (m *Member) allowedRequests(now time.Time) float64 {
	ceiling := max(1, m.limit.value*m.ejection.slowStartFactor(now))
	if !m.reported || m.report.MaxRunning <= 0 {
		return ceiling
	}
	batch, sharingHosts := m.report.MaxRunning, float64(m.group.sharingHosts)
	free := float64(batch) - m.Requests(now)
	// The other hosts have probably sent as much since the reports as this one,
	// as callers are spread over the hosts.
	free -= (sharingHosts - 1) * m.group.ownGrowth * float64(batch)
	// All hosts see the same free slots; each takes its share of them, or gives
	// up its share of an overload.
	wanted := float64(m.ownRequests) + free/sharingHosts
	evenShare := float64(batch) / sharingHosts
	return min(ceiling, max(wanted, evenShare))
}
