package gateway

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// RetryRule is what may be retried after a request may have run.
type RetryRule uint8

// The retry rules.
const (
	// RunOnce requests must not run twice.
	RunOnce RetryRule = iota
	// Idempotent requests may run more than once.
	Idempotent
	// StreamOnce requests are answered with events and must not run twice.
	StreamOnce
	// StreamResumable requests are answered with events and may be resumed
	// after any event.
	StreamResumable
)

// Stream reports whether the answer is a stream of events.
func (r RetryRule) Stream() bool { return r == StreamOnce || r == StreamResumable }

// MayRetry reports whether a request may be retried after it may have run.
func (r RetryRule) MayRetry() bool { return r == Idempotent || r == StreamResumable }

// WeightedService is a service with its weight in a route's traffic split.
type WeightedService struct {
	Service core.ServiceName
	Weight  int
}

// Route assigns the requests for a host name and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Retry  RetryRule
	// Timeout is the longest time from a request to the end of its answer.
	Timeout time.Duration
	// Objective is the time within which an answer, or its first event, is due.
	Objective time.Duration
	// MaxPause is the longest time between two events of a stream that meets its
	// objective.
	MaxPause time.Duration
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank        int
	Services    []WeightedService
	MaxAttempts int
	// Public is true if requests on the route need no key.
	Public bool
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// Capacity is the number of prompt and generated tokens that fit in an
	// engine's memory.
	Capacity core.Tokens
	// TokensPerEvent is the maximum number of tokens in one event.
	TokensPerEvent core.Tokens
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name core.ServiceName
	// MaxConnections limits the connections from all hosts to one upstream.
	MaxConnections int
	// ColdFor is how long an upstream may be cold, and ColdPerSecond the requests per
	// second that it bears meanwhile from all hosts together. If one of them is 0, the
	// upstreams are never cold.
	ColdFor       time.Duration
	ColdPerSecond float64
	// Engine is nil for services that do not run models.
	Engine *Engine
}

// Limits are the size and time limits for what a caller sends.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Team is a group of API keys that share a prepaid balance.
type Team struct {
	Name core.TeamName
	// Rank orders teams by urgency and takes precedence over the rank of the
	// route; 0 is the most urgent.
	Rank int
	// Prepaid is the total number of tokens that the team may consume.
	Prepaid core.Tokens
	// Limited is true if Prepaid limits the team.
	Limited bool
}

// Config is one version of the operator's configuration. It is immutable once
// decoded, so that all tasks may share it.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[core.ServiceName]Service
	Limits   Limits
	Teams    map[core.TeamName]*Team
	// Keys maps API keys to their team.
	Keys map[string]*Team
	// NeedsKeys is true if requests on routes that are not public need a key.
	NeedsKeys bool
	// Raw is the encoded form, which is forwarded to peers unchanged.
	Raw []byte
}
