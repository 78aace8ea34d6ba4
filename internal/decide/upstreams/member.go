package upstreams

import (
	"math"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// maxPending bounds the remembered attempts without a first token. The oldest
// is what matters, so later ones beyond the bound may be forgotten.
const maxPending = 64

// Member is an upstream in its role of serving one pool.
type Member struct {
	*Upstream
	group *Group
	// rank is the rendezvous weight for this host, which decides whether the
	// member is in its subset.
	rank uint64

	ownPool    int
	firstToken average // seconds
	pace       average // tokens per second of one stream
	failures   int
	// refusedUntil is the time before which the member is expected to refuse.
	refusedUntil time.Time
	failedAt     time.Time
	// slowInRow counts the latest first tokens that were all too slow; the
	// last of them came at slowAt and took slowFor seconds.
	slowInRow int
	slowAt    time.Time
	slowFor   float64
	limit     limit
	ejection  ejection
	// pending holds the start times of attempts without a first token.
	pending []time.Time
}

func newMember(upstream *Upstream, group *Group) *Member {
	return &Member{Upstream: upstream, group: group, limit: newLimit(), ejection: ejection{judged: true}}
}

func (m *Member) start(now time.Time, estimate core.Tokens) {
	m.history.record(now, m.ownRequests, m.ownRequests+1)
	m.ownRequests++
	m.ownTokens += estimate
	m.ownPool++
	if len(m.pending) < maxPending && m.group.typical(estimate) {
		m.pending = append(m.pending, now)
	}
}

func (m *Member) end(now time.Time, estimate core.Tokens) {
	if m.ownPool == 0 {
		return
	}
	m.history.record(now, m.ownRequests, m.ownRequests-1)
	m.ownRequests--
	m.ownTokens -= min(estimate, m.ownTokens)
	m.ownPool--
	if m.ownRequests == 0 {
		m.ownTokens = 0
	}
}

// noteFirstToken adds a first-token time, or the time after which an attempt
// without one was ended.
func (m *Member) noteFirstToken(now time.Time, seconds float64) {
	m.firstToken.add(now, seconds)
	if usual := m.group.usualFirstToken; usual > 0 && seconds > suspectRatio*usual {
		m.slowInRow++
		m.slowAt, m.slowFor = now, seconds
	} else {
		m.slowInRow = 0
	}
}

// unpend forgets the pending attempt that started nearest to the given time.
func (m *Member) unpend(started time.Time) {
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

// oldestPending returns how long the oldest attempt has had no first token.
func (m *Member) oldestPending(now time.Time) time.Duration {
	if len(m.pending) == 0 {
		return 0
	}
	return now.Sub(m.pending[0])
}

const (
	// priorSamples is the weight, in samples, of the assumption that a member
	// is as fast as its peers. It keeps a few odd samples from deciding.
	priorSamples = 2
	// suspectRatio times the usual first-token time makes a member suspect:
	// for suspectTime, twice that after the next slow one, and so on, it
	// counts as that slow. A suspicion costs less than an ejection, as the
	// member still gets work that finds no place elsewhere. The ratio is
	// below what a hedged attempt shows that lost.
	suspectRatio = 2.5
	suspectTime  = 2 * time.Second
)

// Slowness returns how many times slower than its peers the member serves;
// 1 is usual. An attempt that has waited longer than the mean first-token
// time counts as a sample, since a stalled upstream yields no others.
func (m *Member) Slowness(now time.Time) float64 {
	slow := max(m.firstTokenRatio(now), m.paceRatio(now), 1)
	return slow / m.ejection.ramp(now)
}

func (m *Member) firstTokenRatio(now time.Time) float64 {
	usual := m.group.usualFirstToken
	if usual <= 0 {
		return 1
	}
	weight := m.firstToken.confidence(now)
	ratio := (weight*m.firstToken.mean()/usual + priorSamples) / (weight + priorSamples)
	if m.slowInRow > 0 && now.Sub(m.slowAt) < suspectTime<<min(m.slowInRow-1, 3) {
		ratio = max(ratio, m.slowFor/usual)
	}
	if waited := m.oldestPending(now).Seconds() / usual; waited > 2 {
		return max(ratio, waited)
	}
	return ratio
}

func (m *Member) paceRatio(now time.Time) float64 {
	usual, pace := m.group.usualPace, m.pace.mean()
	if usual <= 0 || pace <= 0 {
		return 1
	}
	weight := m.pace.confidence(now)
	return (weight*usual/pace + priorSamples) / (weight + priorSamples)
}

// Load estimates the requests at the upstream with one more, relative to the
// size of its batch and multiplied by its slowness. Requests are counted and
// not their tokens: new work waits for a place in the batch, and a long
// request takes one place as a short one does.
func (m *Member) Load(now time.Time) float64 {
	batch := m.group.usualBatch
	if m.reported && m.report.MaxRunning > 0 {
		batch = float64(m.report.MaxRunning)
	}
	return (m.Requests(now) + 1) / batch * m.Slowness(now)
}

// Occupancy estimates the part of the batch that is in use; 0 if unknown.
func (m *Member) Occupancy(now time.Time) float64 {
	if !m.reported || m.report.MaxRunning <= 0 {
		return 0
	}
	return m.Requests(now) / float64(m.report.MaxRunning)
}

// AtLimit reports whether this host has as many requests there as it should:
// one more would wait for a place in the batch, exceed the limit or be refused
// again.
func (m *Member) AtLimit(now time.Time) bool {
	return now.Before(m.refusedUntil) || float64(m.ownPool) >= math.Ceil(m.room(now))
}

// Ejected reports whether the member is kept from new work for being slower
// or failing more often than its peers.
func (m *Member) Ejected(now time.Time) bool {
	return now.Before(m.ejection.until)
}

// Failing reports whether the latest attempts there failed, for as long as a
// slow first token would make it suspect. An upstream that refuses all work
// has few requests and would otherwise draw the most.
func (m *Member) Failing(now time.Time) bool {
	return m.failures > 0 && now.Sub(m.failedAt) < suspectTime<<min(m.failures-1, 3)
}

// room returns how many requests of this host the member should hold: up to
// its concurrency limit, and no more than its batch leaves beside the other
// hosts, but at least an even part of the batch.
func (m *Member) room(now time.Time) float64 {
	ceiling := max(1, m.limit.value*m.ejection.ramp(now))
	if !m.reported || m.report.MaxRunning <= 0 {
		return ceiling
	}
	batch, sharers := m.report.MaxRunning, float64(m.group.sharers)
	free := float64(batch) - m.Requests(now)
	// What this host has sent beyond the reports, the others have probably
	// sent too, as callers are spread over the hosts.
	free -= (sharers - 1) * m.group.growth * float64(batch)
	// All sharers see the same free places; each takes its part of them, or
	// gives up its part of an overload.
	wanted := float64(m.ownRequests) + free/sharers
	even := float64(batch) / sharers
	return min(ceiling, max(wanted, even))
}
