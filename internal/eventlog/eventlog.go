// Package eventlog writes structured log lines to a stream without ever blocking
// the code that logs. Lines beyond a rate, and lines that don't fit into the
// buffer because the stream is slow, are dropped and counted. Lines of lost requests
// have a rate and a buffer of their own.
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

// Log is the task that owns the stream and writes lines to it.
type Log struct {
	lines            chan []byte
	losses           chan lossLine
	out              io.Writer
	droppedByRate    atomic.Int64
	droppedByBacklog atomic.Int64
	droppedLosses    atomic.Int64
	logger           *zap.Logger
	// reports writes to out at once. Only Run uses it.
	reports *zap.Logger
	done    chan struct{}
}

// drops are counts of dropped lines.
type drops struct{ byRate, byBacklog, losses int64 }

// New returns a Log that writes lines of the level and above to out while Run is
// running.
func New(out io.Writer, level zapcore.LevelEnabler) *Log {
	log := &Log{
		lines: make(chan []byte, maxBacklogLines), losses: make(chan lossLine, lossBurst), out: out, done: make(chan struct{}),
	}
	config := zap.NewProductionEncoderConfig()
	config.TimeKey, config.EncodeTime = "time", zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	encoder := zapcore.NewJSONEncoder(config)
	sampled := zapcore.NewSamplerWithOptions(zapcore.NewCore(encoder, log, level), time.Second, linesPerMessagePerSecond, sampleInterval,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped != 0 {
				log.droppedByRate.Add(1)
			}
		}))
	log.logger = zap.New(router{sampled, lossCore{level, encoder, log.losses, &log.droppedLosses}})
	log.reports = zap.New(zapcore.NewCore(encoder, zapcore.AddSync(out), level))
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

// Dropped returns the number of ordinary lines dropped since the start, because of the
// rate and because of a full backlog.
func (l *Log) Dropped() (byRate, byBacklog int64) {
	return l.droppedByRate.Load(), l.droppedByBacklog.Load()
}

// LossesDropped returns the number of lines of losses dropped since the start.
func (l *Log) LossesDropped() int64 { return l.droppedLosses.Load() }

// Run writes lines until ctx ends, and then those that are still queued.
func (l *Log) Run(ctx context.Context) {
	defer close(l.done)
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	allowed := budget{interval: time.Second / lossesPerSecond, burst: lossBurst}
	var reported drops
	since := time.Now()
	for {
		select {
		case loss := <-l.losses:
			l.writeLoss(&allowed, loss)
		case line := <-l.lines:
			// A failed write loses the line; there is nowhere to report the error.
			_, _ = l.out.Write(line)
		case <-report.C:
			reported, since = l.report(reported, since)
		case <-ctx.Done():
			l.writeRest(&allowed)
			l.report(reported, since)
			return
		}
	}
}

// writeLoss writes a line of a loss, or counts it if it is beyond the budget.
func (l *Log) writeLoss(allowed *budget, loss lossLine) {
	if !allowed.take(loss.at) {
		l.droppedLosses.Add(1)
		return
	}
	_, _ = l.out.Write(loss.line)
}

// report writes how many lines were dropped since the last report, if any, and returns
// the counts since the start and the time up to which they are reported. The line does
// not wait in the backlog, where it could be dropped itself.
func (l *Log) report(before drops, since time.Time) (drops, time.Time) {
	byRate, byBacklog := l.Dropped()
	counts, now := drops{byRate, byBacklog, l.LossesDropped()}, time.Now()
	if counts != before {
		l.reports.Info("log lines dropped", zap.String("event", "log_dropped"), zap.Time("since", since),
			zap.Int64("by_rate", counts.byRate-before.byRate), zap.Int64("by_backlog", counts.byBacklog-before.byBacklog),
			zap.Int64("losses", counts.losses-before.losses))
	}
	return counts, now
}

// writeRest writes what is queued, the losses first: Flush may not wait for all of it.
func (l *Log) writeRest(allowed *budget) {
	for {
		select {
		case loss := <-l.losses:
			l.writeLoss(allowed, loss)
			continue
		default:
		}
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
