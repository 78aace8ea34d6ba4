package main

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/peridotreel/peridotreel/internal/eventlog"
)

// Of one message, the first sampledLines of each second and each sampledLines-th beyond
// are written, as in zap's configuration for production.
const sampledLines = 100

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(parsed)
	config.DisableStacktrace = true
	config.Sampling = nil
	return config.Build(zap.WrapCore(sampleAllButLosses))
}

// sampleAllButLosses returns a core that samples lines, except for those that tell of lost
// requests: a lost request without a line could not be looked into.
func sampleAllButLosses(core zapcore.Core) zapcore.Core {
	return lossCore{
		Core: zapcore.NewSamplerWithOptions(core, time.Second, sampledLines, sampledLines),
		all:  core, lossName: eventlog.Losses(zap.NewNop()).Name(),
	}
}

// lossCore samples lines, and passes those of the logger for losses to all.
type lossCore struct {
	zapcore.Core
	all      zapcore.Core
	lossName string
}

// With implements zapcore.Core.
func (c lossCore) With(fields []zapcore.Field) zapcore.Core {
	return lossCore{Core: c.Core.With(fields), all: c.all.With(fields), lossName: c.lossName}
}

// Check implements zapcore.Core.
func (c lossCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if entry.LoggerName == c.lossName {
		return c.all.Check(entry, checked)
	}
	return c.Core.Check(entry, checked)
}
