// Package eventlog writes structured lines to a stream without ever blocking
// those who log: lines beyond a rate, and those that a slow reader leaves no
// room for, are dropped and counted.
package eventlog

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// linesPerMessage is how many lines of one message are written in a second.
	// A host at the design peak answers 142 requests a second.
	linesPerMessage = 60
	// sampleEvery writes every n-th of the lines beyond.
	sampleEvery = 25
	// backlog bounds the lines that wait for the stream.
	backlog = 2048
	// reportEvery is the time between reports of dropped lines.
	reportEvery = 10 * time.Second
	// flushTimeout bounds the writing of what is left at the end.
	flushTimeout = 300 * time.Millisecond
)

// Log is the task that owns the stream.
type Log struct {
	lines   chan []byte
	out     io.Writer
	sampled atomic.Int64
	dropped atomic.Int64
	logger  *zap.Logger
	done    chan struct{}
}

// New returns a log at a level that writes to out once it runs.
func New(out io.Writer, level zapcore.LevelEnabler) *Log {
	log := &Log{lines: make(chan []byte, backlog), out: out, done: make(chan struct{})}
	encoder := zap.NewProductionEncoderConfig()
	encoder.TimeKey, encoder.EncodeTime = "time", zapcore.RFC3339NanoTimeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), log, level)
	core = zapcore.NewSamplerWithOptions(core, time.Second, linesPerMessage, sampleEvery,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				log.sampled.Add(1)
			}
		}))
	log.logger = zap.New(core)
	return log
}

// Logger returns the logger that writes to the log.
func (l *Log) Logger() *zap.Logger { return l.logger }

// Write takes a line. It never blocks and never fails.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing; Flush waits for the lines.
func (l *Log) Sync() error { return nil }

// Counts returns the lines left out by rate and those dropped for a slow
// reader, since the start.
func (l *Log) Counts() (sampled, dropped int64) { return l.sampled.Load(), l.dropped.Load() }

// Run writes lines until ctx ends, then those that are left.
func (l *Log) Run(ctx context.Context) {
	defer close(l.done)
	report := time.NewTicker(reportEvery)
	defer report.Stop()
	var sampled, dropped int64
	for {
		select {
		case line := <-l.lines:
			// A failed write loses the line; there is nowhere else to say so.
			_, _ = l.out.Write(line)
		case <-report.C:
			if s, d := l.Counts(); s != sampled || d != dropped {
				l.logger.Info("log lines left out", zap.String("event", "log_dropped"),
					zap.Int64("by_rate", s-sampled), zap.Int64("by_backlog", d-dropped))
				sampled, dropped = s, d
			}
		case <-ctx.Done():
			l.drain()
			return
		}
	}
}

func (l *Log) drain() {
	for {
		select {
		case line := <-l.lines:
			_, _ = l.out.Write(line)
		default:
			return
		}
	}
}

// Flush waits a short time for the lines that are left, after the context of
// Run has ended.
func (l *Log) Flush() {
	select {
	case <-l.done:
	case <-time.After(flushTimeout):
	}
}
