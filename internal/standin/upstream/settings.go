package upstream

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// EngineSettings describe an engine. Durations and counts of 0 take the
// defaults below, except where noted.
type EngineSettings struct {
	ID          core.UpstreamID
	Incarnation core.Incarnation
	// StepTime is the duration of a step with one running stream. Each running
	// stream generates one token per step.
	StepTime time.Duration
	// StepTimePerStream is added for each further stream; 0 adds nothing.
	StepTimePerStream time.Duration
	// PrefillPerStep is the number of uncached prompt tokens that a stream
	// processes per step before its first token.
	PrefillPerStep int64
	// MaxRunning bounds the streams in a batch.
	MaxRunning int
	// MaxWaiting bounds the queue. Further requests are refused with 429.
	MaxWaiting int
	// KVTokens is the size of the KV cache. Half of it holds cached prefixes.
	KVTokens int64
	// LoadLag is the interval between load reports; 0 keeps reports current.
	LoadLag time.Duration
	// Retention is how long a finished stream can be resumed.
	Retention time.Duration
	// DisableResumption disables resumption: a stream ends with its connection.
	DisableResumption bool
	// ChecksFencing makes the engine refuse orders with a fencing number lower
	// than the highest seen.
	ChecksFencing bool
}

// The defaults of an engine.
const (
	DefaultStepTime       = 20 * time.Millisecond
	DefaultPrefillPerStep = 2048
	DefaultMaxRunning     = 64
	DefaultMaxWaiting     = 256
	DefaultKVTokens       = 1 << 20
	// DefaultRetention is required by section 7.2 of the design page.
	DefaultRetention = 60 * time.Second
)

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func (s EngineSettings) withDefaults() EngineSettings {
	s.StepTime = orDefault(s.StepTime, DefaultStepTime)
	s.PrefillPerStep = orDefault(s.PrefillPerStep, DefaultPrefillPerStep)
	s.MaxRunning = orDefault(s.MaxRunning, DefaultMaxRunning)
	s.MaxWaiting = orDefault(s.MaxWaiting, DefaultMaxWaiting)
	s.KVTokens = orDefault(s.KVTokens, DefaultKVTokens)
	s.Retention = orDefault(s.Retention, DefaultRetention)
	return s
}
