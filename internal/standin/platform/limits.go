package platform

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/platform"
)

const (
	// DefaultWritesPerSecond is the platform's stated limit for commits and
	// stored objects together ("several hundred").
	DefaultWritesPerSecond = 500
	// DefaultReadsPerSecond is the platform's stated limit for reads.
	DefaultReadsPerSecond = 2000
	// DefaultWeightsPerSecond bounds reads of weights, which are large.
	DefaultWeightsPerSecond = 10
	// DefaultMembersLag is the age at which a change of the list of machines
	// becomes visible.
	DefaultMembersLag = 2 * time.Second
)

// Settings are the limits of the stand-in. A rate or lag of 0 is no limit.
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

// bucket admits a rate of operations, with bursts of up to a second's worth.
type bucket struct {
	perSecond float64
	tokens    float64
	updated   time.Time
}

func newBucket(perSecond int, now time.Time) bucket {
	return bucket{perSecond: float64(perSecond), tokens: float64(perSecond), updated: now}
}

// take admits an operation or returns *platform.RateLimitError.
func (b *bucket) take(now time.Time) error {
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

// rates holds the limits by kind of operation.
type rates struct {
	writes, reads, weights bucket
}

func newRates(settings Settings, now time.Time) rates {
	return rates{
		writes:  newBucket(settings.WritesPerSecond, now),
		reads:   newBucket(settings.ReadsPerSecond, now),
		weights: newBucket(settings.WeightsPerSecond, now),
	}
}

func (r *rates) take(operation Operation, now time.Time) error {
	switch operation {
	case OperationCommit, OperationPutObject:
		return r.writes.take(now)
	case OperationWeights:
		return r.weights.take(now)
	default:
		return r.reads.take(now)
	}
}

// memberList is the list of machines, whose changes become visible late.
type memberList struct {
	lag     time.Duration
	visible []platform.Member
	pending []memberChange
}

type memberChange struct {
	members []platform.Member
	due     time.Time
}

func (l *memberList) replace(members []platform.Member, now time.Time) {
	l.pending = append(l.pending, memberChange{members, now.Add(l.lag)})
}

func (l *memberList) at(now time.Time) []platform.Member {
	for len(l.pending) > 0 && !l.pending[0].due.After(now) {
		l.visible = l.pending[0].members
		l.pending = l.pending[1:]
	}
	return l.visible
}
