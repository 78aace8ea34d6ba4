package eventlog

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// lossesPerSecond is the number of lines of losses that are written in each second,
	// for as long as it takes. A host at the design peak answers 142 requests a second,
	// and a lost request may have a second line, that of its connection.
	lossesPerSecond = 300
	// lossBurst is the number of lines of losses that may be written at once. A host has
	// at most 4,100 descriptors, so that a stop or a cut of the network that loses a
	// request on each connection fits. As many lines wait while the stream is slow.
	lossBurst = 4096
)

// lossName is the name of loggers whose lines tell of lost requests.
const lossName = "loss"

// Losses returns a logger for lines that tell of a lost request. They are not sampled
// with other lines and have a backlog of their own. Loggers that are derived from it with
// With or Named keep this.
func Losses(log *zap.Logger) *zap.Logger { return log.Named(lossName) }

// isLoss reports whether a logger's name is that of Losses or derived from it.
func isLoss(loggerName string) bool {
	for name := range strings.SplitSeq(loggerName, ".") {
		if name == lossName {
			return true
		}
	}
	return false
}

// budget limits lines to a burst and a rate.
type budget struct {
	// interval is the time in which one line is granted.
	interval time.Duration
	burst    int
	// paid is the time up to which what was granted is used up.
	paid time.Time
}

// take reports whether a line of the given time may be written.
func (b *budget) take(at time.Time) bool {
	if full := at.Add(-time.Duration(b.burst) * b.interval); b.paid.Before(full) {
		b.paid = full
	}
	next := b.paid.Add(b.interval)
	if next.After(at) {
		return false
	}
	b.paid = next
	return true
}

// lossLine is an encoded line and the time at which it was logged. The budget goes by that
// time, so that a slow stream does not make a burst out of lines that came one by one.
type lossLine struct {
	at   time.Time
	line []byte
}

// lossCore queues lines of losses.
type lossCore struct {
	zapcore.LevelEnabler
	encoder zapcore.Encoder
	lines   chan<- lossLine
	dropped *atomic.Int64
}

// With returns a core that adds fields to each line.
func (c lossCore) With(fields []zapcore.Field) zapcore.Core {
	c.encoder = c.encoder.Clone()
	for _, field := range fields {
		field.AddTo(c.encoder)
	}
	return c
}

// Check adds the core to the entry if its level is enabled.
func (c lossCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write queues a line, or counts it if there is no room. It never blocks.
func (c lossCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	encoded, err := c.encoder.EncodeEntry(entry, fields)
	if err != nil {
		return err
	}
	defer encoded.Free()
	select {
	case c.lines <- lossLine{entry.Time, slices.Clone(encoded.Bytes())}:
	default:
		c.dropped.Add(1)
	}
	return nil
}

// Sync does nothing; Flush waits until the lines are written.
func (c lossCore) Sync() error { return nil }

// router is a core that sends lines of losses and other lines to a core each.
type router struct{ ordinary, losses zapcore.Core }

func (r router) to(entry zapcore.Entry) zapcore.Core {
	if isLoss(entry.LoggerName) {
		return r.losses
	}
	return r.ordinary
}

// Enabled reports whether lines of the level are written.
func (r router) Enabled(level zapcore.Level) bool {
	return r.ordinary.Enabled(level) || r.losses.Enabled(level)
}

// With returns a router that adds fields to each line.
func (r router) With(fields []zapcore.Field) zapcore.Core {
	return router{r.ordinary.With(fields), r.losses.With(fields)}
}

// Check lets the core that is responsible for the entry add itself.
func (r router) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	return r.to(entry).Check(entry, checked)
}

// Write writes the entry to the core that is responsible for it.
func (r router) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return r.to(entry).Write(entry, fields)
}

// Sync does nothing; Flush waits until the lines are written.
func (r router) Sync() error { return nil }
