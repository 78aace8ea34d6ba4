package main

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/peridotreel/peridotreel/internal/eventlog"
)

// fixedClock is a clock that stands still, as sampling depends on the time.
type fixedClock struct{}

func (fixedClock) Now() time.Time                         { return time.Unix(1_700_000_000, 0) }
func (fixedClock) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }

// Guards against lost requests without a line where many are lost at once.
func TestLinesOfLostRequestsAreNotSampled(t *testing.T) {
	Convey("Given many lines of one message, also by a logger with fields", t, func() {
		const lines = 5 * sampledLines
		written, observed := observer.New(zapcore.InfoLevel)
		log := zap.New(written, zap.WrapCore(sampleAllButLosses), zap.WithClock(fixedClock{})).With(zap.String("host", "a"))
		for range lines {
			log.Info("other")
			eventlog.Losses(log).Warn("lost")
		}
		So(observed.FilterMessage("other").Len(), ShouldEqual, sampledLines+(lines-sampledLines)/sampledLines)
		So(observed.FilterMessage("lost").FilterField(zap.String("host", "a")).Len(), ShouldEqual, lines)
	})
}
