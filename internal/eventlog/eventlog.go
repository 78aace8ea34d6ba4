// Package eventlog writes structured log lines to a stream without ever blocking
// the code that logs. Lines beyond a rate, and lines that don't fit into the
// buffer because the stream is slow, are dropped and counted.
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
	// linesPerMessagePerSecond is the number of lines of one message that are
	// written in each second before the rest is sampled. For comparison: a host at
	// the design peak answers 142 requests a second.
	linesPerMessagePerSecond = 60
	// sampleInterval is n if every n-th line beyond linesPerMessagePerSecond is
	// written.
	sampleInterval = 25
	// maxBacklogLines limits the lines that wait to be written to the stream.
	maxBacklogLines = 2048
	// reportInterval is the time between reports of dropped lines.
	reportInterval = 10 * time.Second
	// flushTimeout limits how long Flush waits.
	flushTimeout = 300 * time.Millisecond
)

// lossName is the name of loggers whose lines tell of lost requests.
const lossName = "loss"

// Losses returns a logger for lines that tell of a lost request. They are not sampled
// with other lines.
func Losses(log *zap.Logger) *zap.Logger { return log.Named(lossName) }

// Log is the task that owns the stream and writes lines to it.
type Log struct {
	lines            chan []byte
	out              io.Writer
	droppedByRate    atomic.Int64
	droppedByBacklog atomic.Int64
	logger           *zap.Logger
	done             chan struct{}
}

// New returns a Log that writes lines of the level and above to out while Run is
// running.
func New(out io.Writer, level zapcore.LevelEnabler) *Log {
	log := &Log{lines: make(chan []byte, maxBacklogLines), out: out, done: make(chan struct{})}
	encoder := zap.NewProductionEncoderConfig()
	encoder.TimeKey, encoder.EncodeTime = "time", zapcore.RFC3339NanoTimeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), log, level)
	core = zapcore.NewSamplerWithOptions(core, time.Second, linesPerMessagePerSecond, sampleInterval,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				log.droppedByRate.Add(1)
			}
		}))
	log.logger = zap.New(core)
	return log
}

// Logger returns the logger whose lines the Log writes.
func (l *Log) Logger() *zap.Logger { return l.logger }

// Write queues a copy of a line, or drops the line if the queue is full. It never
// blocks and never fails.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.droppedByBacklog.Add(1)
	}
	return len(line), nil
}

// Sync does nothing; Flush waits until the lines are written.
func (l *Log) Sync() error { return nil }

// Dropped returns the number of lines dropped since the start, because of the
// rate and because of a full backlog.
func (l *Log) Dropped() (byRate, byBacklog int64) {
	return l.droppedByRate.Load(), l.droppedByBacklog.Load()
}

// Run writes lines until ctx ends, and then those that are still queued.
func (l *Log) Run(ctx context.Context) {
	defer close(l.done)
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	var reportedByRate, reportedByBacklog int64
	for {
		select {
		case line := <-l.lines:
			// A failed write loses the line; there is nowhere to report the error.
			_, _ = l.out.Write(line)
		case <-report.C:
			if byRate, byBacklog := l.Dropped(); byRate != reportedByRate || byBacklog != reportedByBacklog {
				l.logger.Info("log lines dropped", zap.String("event", "log_dropped"),
					zap.Int64("by_rate", byRate-reportedByRate), zap.Int64("by_backlog", byBacklog-reportedByBacklog))
				reportedByRate, reportedByBacklog = byRate, byBacklog
			}
		case <-ctx.Done():
			l.writeRest()
			return
		}
	}
}

func (l *Log) writeRest() {
	for {
		select {
		case line := <-l.lines:
			_, _ = l.out.Write(line)
		default:
			return
		}
	}
}

// Flush waits for a short time until Run has written the queued lines. Call it
// after the context of Run has ended.
func (l *Log) Flush() {
	select {
	case <-l.done:
	case <-time.After(flushTimeout):
	}
}
