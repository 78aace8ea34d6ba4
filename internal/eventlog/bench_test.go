package eventlog

import (
	"io"
	"testing"

	"go.uber.org/zap/zapcore"
)

// BenchmarkSampledLine measures a line that the rate leaves out, as most lines of answered
// requests at a peak. The log does not run, so that nothing is written.
func BenchmarkSampledLine(b *testing.B) {
	log := New(io.Discard, zapcore.InfoLevel)
	b.ReportAllocs()
	for b.Loop() {
		log.Logger().Info("request done")
	}
}
