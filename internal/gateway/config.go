package gateway

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// RepeatRule says what may be repeated after a request may have run.
type RepeatRule uint8

// The repeat rules.
const (
	// RunOnce requests must not run twice.
	RunOnce RepeatRule = iota
	// Repeatable requests may run more than once.
	Repeatable
	// StreamOnce requests answer with events and must not run twice.
	StreamOnce
	// StreamResumable streams may be resumed after an event.
	StreamResumable
)

// Stream reports whether the answer is a stream of events.
func (r RepeatRule) Stream() bool { return r == StreamOnce || r == StreamResumable }

// MayRepeat reports whether a request may be sent again after it may have run.
func (r RepeatRule) MayRepeat() bool { return r == Repeatable || r == StreamResumable }

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service core.ServiceName
	Weight  int
}

// Route is where requests of a host and a path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Repeat RepeatRule
	// Timeout is the longest time that a request may be kept without its final
	// answer.
	Timeout time.Duration
	// Objective is the time within which an answer, or its first event, is due.
	Objective time.Duration
	// MaxPause is the longest pause between events for a stream to be on time.
	MaxPause time.Duration
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank        int
	Services    []WeightedService
	MaxAttempts int
	// Public routes need no key.
	Public bool
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// Capacity is the memory for prompts and generated tokens.
	Capacity core.Tokens
	// TokensPerEvent is the most tokens that one event carries.
	TokensPerEvent core.Tokens
}

// Service is a group of upstreams that do the same work.
type Service struct {
	Name core.ServiceName
	// MaxConnections bounds the connections to one upstream from all hosts.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Team is a holder of keys with a prepaid balance.
type Team struct {
	Name core.TeamName
	// Rank orders teams by urgency before the routes' ranks; 0 is the first.
	Rank int
	// Prepaid is the most tokens that the team may consume.
	Prepaid core.Tokens
	// Limited is false for teams without a prepaid total.
	Limited bool
}

// Config is one version of the operator's configuration. It is never changed
// after it was decoded and may be shared by all tasks.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[core.ServiceName]Service
	Limits   Limits
	Teams    map[core.TeamName]*Team
	// Keys maps API keys to their team.
	Keys map[string]*Team
	// NeedsKeys is true when requests on routes that are not public need a key.
	NeedsKeys bool
	// Raw is the encoded form, passed on to peers unchanged.
	Raw []byte
}
