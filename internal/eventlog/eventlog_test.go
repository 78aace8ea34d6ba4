package eventlog

import (
	"context"
	"io"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// stuck is a stream that nobody reads.
type stuck struct{ release chan struct{} }

func (s stuck) Write(line []byte) (int, error) {
	<-s.release
	return len(line), io.ErrClosedPipe
}

// Guards against requests that wait for a slow or closed standard output, and
// against lines without a bound.
func TestAStreamThatNobodyReadsCostsLinesOnly(t *testing.T) {
	Convey("Given a stream that blocks", t, func() {
		out := stuck{make(chan struct{})}
		log := New(out, zapcore.InfoLevel)
		ctx, cancel := context.WithCancel(context.Background())
		go log.Run(ctx)
		for i := range 3 * backlog {
			// Distinct messages pass the rate, so that the backlog fills.
			log.Logger().Info(string(rune('a'+i%26))+string(rune('a'+i/26%26))+string(rune('a'+i/676)), zap.Int("n", i))
		}
		_, dropped := log.Counts()
		So(dropped, ShouldBeGreaterThanOrEqualTo, 2*backlog-2)
		for range 10 * linesPerMessage {
			log.Logger().Info("the same message")
		}
		sampled, _ := log.Counts()
		So(sampled, ShouldBeGreaterThan, 0)
		cancel()
		close(out.release)
		log.Flush()
	})
}
