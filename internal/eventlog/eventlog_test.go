package eventlog

import (
	"context"
	"io"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// blockedWriter is a stream whose writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(line []byte) (int, error) {
	<-w.release
	return len(line), io.ErrClosedPipe
}

// Guards against requests that block on a slow or closed standard output, and
// against an unbounded number of log lines.
func TestBlockedStreamDoesNotBlockLogging(t *testing.T) {
	Convey("Given a stream that blocks", t, func() {
		out := blockedWriter{make(chan struct{})}
		log := New(out, zapcore.InfoLevel)
		ctx, cancel := context.WithCancel(context.Background())
		go log.Run(ctx)
		for i := range 3 * maxBacklogLines {
			// Each message differs, so that the rate limit drops none of them and the
			// backlog fills up.
			log.Logger().Info(string(rune('a'+i%26))+string(rune('a'+i/26%26))+string(rune('a'+i/676)), zap.Int("n", i))
		}
		_, byBacklog := log.Dropped()
		So(byBacklog, ShouldBeGreaterThanOrEqualTo, 2*maxBacklogLines-2)
		for range 10 * linesPerMessagePerSecond {
			log.Logger().Info("the same message")
		}
		byRate, _ := log.Dropped()
		So(byRate, ShouldBeGreaterThan, 0)
		cancel()
		close(out.release)
		log.Flush()
	})
}
