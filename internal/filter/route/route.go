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
	// Attempt counts from 1; later ones draw on the retry budget.
	Attempt int
	// Excluded upstreams have failed this request.
	Excluded []core.UpstreamID
	// Resume prefers the upstream that holds the answer's state.
	Resume core.UpstreamID
}

// ObservationKind tells observations of an attempt apart.
type ObservationKind uint8

// The kinds of observation.
const (
	// FirstToken reports the time from dispatch to the first token.
	FirstToken ObservationKind = iota + 1
	// Finished reports a completed attempt.
	Finished
	// Failed reports an attempt that the upstream ended or refused.
	Failed
	// Refused reports an attempt that certainly did not run.
	Refused
	// Silent reports an attempt whose connection gave no event in time.
	Silent
	// Abandoned reports an attempt that this host ended, as its caller went.
	Abandoned
)

// Observation is what an attempt shows about its upstream. Each picked target
// gets exactly one observation that is not FirstToken.
type Observation struct {
	Kind     ObservationKind
	Target   core.Target
	Model    core.ModelName
	Elapsed  time.Duration
	Tokens   int64
	Estimate core.Tokens
}

// Balancer knows the upstreams and their load.
type Balancer interface {
	// Pick chooses an upstream and counts the attempt as in flight there.
	Pick(ctx context.Context, query Query) (core.Target, error)
	// Observe updates the view of an upstream.
	Observe(observation Observation)
}

// Filter routes attempts.
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

// Observe passes on what an attempt showed about its upstream.
func (f *Filter) Observe(observation Observation) {
	f.balancer.Observe(observation)
}
