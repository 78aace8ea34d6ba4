package upstream

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// EngineSettings describe an engine. Zero values of durations and counts take
// the defaults below, except where noted.
type EngineSettings struct {
	ID          core.UpstreamID
	Incarnation core.Incarnation
	// StepTime is the time of a step with one running stream; each stream
	// gets one token a step.
	StepTime time.Duration
	// StepTimePerStream is added for each further stream; 0 adds nothing.
	StepTimePerStream time.Duration
	// PrefillPerStep is how many uncached prompt tokens a stream takes in a
	// step before its first token.
	PrefillPerStep int64
	// MaxRunning bounds the streams of a step.
	MaxRunning int
	// MaxWaiting bounds the queue; beyond it requests are refused with 429.
	MaxWaiting int
	// KVTokens is the memory for streams and prefixes; prefixes get half.
	KVTokens int64
	// LoadLag is the interval between load reports; 0 reports the present.
	LoadLag time.Duration
	// Retention is how long a finished stream can be resumed.
	Retention time.Duration
	// ForgetsStreams makes the engine hold no stream for resumption.
	ForgetsStreams bool
	// ChecksFencing makes the engine refuse orders with an older number.
	ChecksFencing bool
}

// The defaults of an engine.
const (
	DefaultStepTime       = 20 * time.Millisecond
	DefaultPrefillPerStep = 2048
	DefaultMaxRunning     = 64
	DefaultMaxWaiting     = 256
	DefaultKVTokens       = 1 << 20
	// DefaultRetention is fixed by design section 7.2.
	DefaultRetention = 60 * time.Second
)

func orDefault[T comparable](value, byDefault T) T {
	var zero T
	if value == zero {
		return byDefault
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
