package platform

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/platform"
)

const (
	// DefaultWritesPerSecond is the combined limit for commits and stored
	// objects; the platform states "several hundred".
	DefaultWritesPerSecond = 500
	// DefaultReadsPerSecond is the limit that the platform states for reads.
	DefaultReadsPerSecond = 2000
	// DefaultWeightsPerSecond bounds reads of weights, which are large.
	DefaultWeightsPerSecond = 10
	// DefaultMembersLag is the delay before a change to the list of machines
	// becomes visible.
	DefaultMembersLag = 2 * time.Second
)

// Settings holds the rate limits of the stand-in and the lag of its list of
// machines. A rate of 0 is unlimited; a lag of 0 makes changes visible at once.
type Settings struct {
	WritesPerSecond  int
	ReadsPerSecond   int
	WeightsPerSecond int
	MembersLag       time.Duration
}

// DefaultSettings returns the limits that the platform states.
func DefaultSettings() Settings {
	return Settings{
		WritesPerSecond: DefaultWritesPerSecond, ReadsPerSecond: DefaultReadsPerSecond,
		WeightsPerSecond: DefaultWeightsPerSecond, MembersLag: DefaultMembersLag,
	}
}

// tokenBucket limits the rate of operations. Its burst is one second's worth.
type tokenBucket struct {
	perSecond float64
	tokens    float64
	updated   time.Time
}

func newTokenBucket(perSecond int, now time.Time) tokenBucket {
	return tokenBucket{perSecond: float64(perSecond), tokens: float64(perSecond), updated: now}
}

// take admits an operation or returns *platform.RateLimitError.
func (b *tokenBucket) take(now time.Time) error {
	if b.perSecond == 0 {
		return nil
	}
	b.tokens = min(b.perSecond, b.tokens+now.Sub(b.updated).Seconds()*b.perSecond)
	b.updated = now
	if b.tokens < 1 {
		// Retry-After is in whole seconds, so 1 s is the shortest delay.
		return &platform.RateLimitError{RetryAfter: time.Second}
	}
	b.tokens--
	return nil
}

// rateLimits holds a token bucket for each kind of operation.
type rateLimits struct {
	writes, reads, weights tokenBucket
}

func newRateLimits(settings Settings, now time.Time) rateLimits {
	return rateLimits{
		writes:  newTokenBucket(settings.WritesPerSecond, now),
		reads:   newTokenBucket(settings.ReadsPerSecond, now),
		weights: newTokenBucket(settings.WeightsPerSecond, now),
	}
}

func (r *rateLimits) take(operation Operation, now time.Time) error {
	switch operation {
	case OperationCommit, OperationPutObject:
		return r.writes.take(now)
	case OperationWeights:
		return r.weights.take(now)
	default:
		return r.reads.take(now)
	}
}

// memberList is the list of machines. Its changes become visible after a lag.
type memberList struct {
	lag     time.Duration
	visible []platform.Member
	pending []memberChange
}

type memberChange struct {
	members     []platform.Member
	visibleFrom time.Time
}

func (l *memberList) replace(members []platform.Member, now time.Time) {
	l.pending = append(l.pending, memberChange{members, now.Add(l.lag)})
}

func (l *memberList) visibleAt(now time.Time) []platform.Member {
	for len(l.pending) > 0 && !l.pending[0].visibleFrom.After(now) {
		l.visible = l.pending[0].members
		l.pending = l.pending[1:]
	}
	return l.visible
}
