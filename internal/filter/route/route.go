// Package route is the filter that chooses the upstream of an attempt.
package route

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Query describes the attempt that needs an upstream.
type Query struct {
	Work *core.Work
	// Attempt is the number of the attempt, from 1. Attempts after the first
	// consume the retry budget.
	Attempt int
	// Excluded lists the upstreams that have failed this request.
	Excluded []core.UpstreamID
	// Resume is the upstream that holds the answer's state and is preferred;
	// "" if there is none.
	Resume core.UpstreamID
}

// ObservationKind is what an observation reports about an attempt.
type ObservationKind uint8

// The kinds of observation.
const (
	// FirstToken reports the time from dispatch to the first token.
	FirstToken ObservationKind = iota + 1
	// Finished reports a completed attempt.
	Finished
	// Failed reports an attempt that failed and may have run.
	Failed
	// Refused reports an attempt that certainly did not run.
	Refused
	// Silent reports an attempt whose connection delivered no event in time.
	Silent
	// Cancelled reports an attempt that this host cancelled, for example
	// because the caller disconnected.
	Cancelled
)

// Observation reports the first token or the end of an attempt. Each picked
// target gets exactly one observation that is not FirstToken.
type Observation struct {
	Kind     ObservationKind
	Target   core.Target
	Model    core.ModelName
	Elapsed  time.Duration
	Tokens   int64
	Estimate core.Tokens
	// Bytes is the length of the request at the end of its attempt, which the upstream
	// holds no longer.
	Bytes int64
}

// Balancer tracks the upstreams and their load.
type Balancer interface {
	// Pick chooses an upstream and counts the attempt as in flight on it.
	Pick(ctx context.Context, query Query) (core.Target, error)
	// Observe updates the state of an upstream.
	Observe(observation Observation)
}

// Filter chooses the upstreams of attempts.
type Filter struct {
	balancer Balancer
}

// New returns the filter.
func New(balancer Balancer) *Filter {
	return &Filter{balancer: balancer}
}

// Apply returns the target of the next attempt.
func (f *Filter) Apply(ctx context.Context, query Query) (core.Target, error) {
	return f.balancer.Pick(ctx, query)
}

// Observe passes an observation on to the balancer.
func (f *Filter) Observe(observation Observation) {
	f.balancer.Observe(observation)
}
