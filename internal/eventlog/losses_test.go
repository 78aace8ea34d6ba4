package eventlog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"pgregory.net/rapid"
)

// runLog runs a Log that writes to out. The returned function ends it, waits until it has
// ended, and may be called more than once.
func runLog(out io.Writer) (*Log, func()) {
	log := New(out, zapcore.InfoLevel)
	ctx, cancel := context.WithCancel(context.Background())
	go log.Run(ctx)
	return log, func() {
		cancel()
		<-log.done
	}
}

// written returns the number of lines of a message, and the last log_dropped line, with
// the sum over all such lines as all_losses.
func written(out *bytes.Buffer, message string) (count int, dropped map[string]any) {
	var losses float64
	for _, raw := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var fields map[string]any
		So(json.Unmarshal([]byte(raw), &fields), ShouldBeNil)
		if fields["msg"] == message {
			count++
		}
		if fields["event"] == "log_dropped" {
			dropped = fields
			losses += fields["losses"].(float64)
			dropped["all_losses"] = losses
		}
	}
	return count, dropped
}

// gatedWriter is a stream whose writes wait until open is closed.
type gatedWriter struct {
	open chan struct{}
	bytes.Buffer
}

func (w *gatedWriter) Write(line []byte) (int, error) {
	<-w.open
	return w.Buffer.Write(line)
}

// Guards against lines of lost requests that are sampled, or that have no room because of
// ordinary lines.
func TestAFloodOfOrdinaryLinesDropsNoLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a stream that is blocked while ordinary lines fill the backlog", t, func() {
			out := &gatedWriter{open: make(chan struct{})}
			log, end := runLog(out)
			const losses = 20 * linesPerMessagePerSecond
			for i := range 3 * maxBacklogLines {
				log.Logger().Info(fmt.Sprint("ordinary ", i))
				if i < losses {
					Losses(log.Logger()).Info("request done", zap.Int("n", i))
					log.Logger().Info("request done, not lost")
				}
			}
			close(out.open)
			end()
			count, dropped := written(&out.Buffer, "request done")
			So(count, ShouldEqual, losses)
			So(dropped["by_backlog"], ShouldBeGreaterThan, 0)
			So(dropped["by_rate"], ShouldBeGreaterThan, 0)
			So(dropped["losses"], ShouldEqual, 0)
		})
	})
}

// Guards against a flood of losses that fills the disk, or whose rest is not counted.
func TestAFloodOfLossesIsBoundedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given more losses than the burst in one moment, and more than the rate a second later", t, func() {
			var out bytes.Buffer
			log, end := runLog(&out)
			defer end()
			const beyond = 500
			for range lossBurst + beyond {
				Losses(log.Logger()).Info("request done")
			}
			time.Sleep(time.Second)
			for range lossesPerSecond + beyond {
				Losses(log.Logger()).Info("request done")
			}
			time.Sleep(reportInterval)
			synctest.Wait()
			count, dropped := written(&out, "request done")
			So(count, ShouldEqual, lossBurst+lossesPerSecond)
			So(dropped["losses"], ShouldEqual, 2*beyond)
			So(log.LossesDropped(), ShouldEqual, 2*beyond)
			Convey("Each period has its own count", func() {
				from := dropped["time"]
				Losses(log.Logger()).Info("request done")
				for range 2 * linesPerMessagePerSecond {
					log.Logger().Info("ordinary")
				}
				time.Sleep(reportInterval)
				end()
				_, dropped = written(&out, "request done")
				So(dropped["losses"], ShouldEqual, 0)
				So(dropped["by_rate"], ShouldBeGreaterThan, 0)
				So(dropped["since"], ShouldEqual, from)
			})
		})
	})
}

// Guards against requests that wait for a blocked stream as they are lost, and against an
// unbounded backlog of losses.
func TestABlockedStreamDoesNotBlockLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a stream that is blocked for longer than its backlog lasts", t, func() {
			out := &gatedWriter{open: make(chan struct{})}
			log, end := runLog(out)
			const beyond = 1000
			for range lossBurst + beyond {
				Losses(log.Logger()).Info("request done")
			}
			// The task may have taken one line from the backlog.
			So(log.LossesDropped(), ShouldBeBetweenOrEqual, beyond-1, beyond)
			Convey("What waited is written as the stream goes on", func() {
				time.Sleep(time.Minute)
				close(out.open)
				end()
				count, dropped := written(&out.Buffer, "request done")
				So(count, ShouldBeBetweenOrEqual, lossBurst, lossBurst+1)
				// Reports may come before and after the lines that waited.
				So(dropped["all_losses"], ShouldEqual, lossBurst+beyond-count)
			})
			end()
		})
	})
}

// Guards against drops that nobody learns of because the log ends within the interval of
// the reports.
func TestTheEndOfTheLogReportsDrops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given lines that are dropped just before the log ends", t, func() {
			var out bytes.Buffer
			log, end := runLog(&out)
			defer end()
			for range lossBurst + 3 {
				Losses(log.Logger()).Info("request done")
			}
			end()
			_, dropped := written(&out, "request done")
			So(dropped["losses"], ShouldEqual, 3)
		})
		Convey("Without drops there is no report", t, func() {
			var out bytes.Buffer
			log, end := runLog(&out)
			defer end()
			log.Logger().Info("ordinary")
			time.Sleep(2 * reportInterval)
			end()
			_, dropped := written(&out, "ordinary")
			So(dropped, ShouldBeNil)
		})
	})
}

// Guards against loggers derived from that of the losses whose lines are sampled again, or
// that lose their fields, and against names that only contain the name.
func TestDerivedLoggersKeepTheRouting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		derived := []struct {
			name   string
			derive func(*zap.Logger) *zap.Logger
			whole  bool
		}{
			{"With after", func(l *zap.Logger) *zap.Logger { return Losses(l).With(zap.String("k", "v")) }, true},
			{"With before", func(l *zap.Logger) *zap.Logger { return Losses(l.With(zap.String("k", "v"))) }, true},
			{"Named after", func(l *zap.Logger) *zap.Logger { return Losses(l).Named("front").With(zap.String("k", "v")) }, true},
			{"Named before", func(l *zap.Logger) *zap.Logger { return Losses(l.Named("front").With(zap.String("k", "v"))) }, true},
			{"another name", func(l *zap.Logger) *zap.Logger { return l.Named("losses.glossary").With(zap.String("k", "v")) }, false},
		}
		for _, d := range derived {
			Convey(d.name, t, func() {
				var out bytes.Buffer
				log, end := runLog(&out)
				defer end()
				for range 10 * linesPerMessagePerSecond {
					d.derive(log.Logger()).Info("request done")
				}
				end()
				count, _ := written(&out, "request done")
				So(count == 10*linesPerMessagePerSecond, ShouldEqual, d.whole)
				So(strings.Count(out.String(), `"k":"v"`), ShouldEqual, count)
			})
		}
	})
}

// Guards against a budget that lets more through than its rate and burst, or refuses what
// they allow.
func TestBudgetGrantsExactlyRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		interval := time.Duration(rapid.IntRange(1, 50).Draw(t, "interval"))
		burst := rapid.IntRange(1, 20).Draw(t, "burst")
		pauses := rapid.SliceOf(rapid.IntRange(0, 300)).Draw(t, "pauses")
		b, now := budget{interval: interval, burst: burst}, time.Unix(0, 0)
		// tokens is the reference, in units of one interval per line.
		tokens := time.Duration(burst) * interval
		for _, pause := range pauses {
			now = now.Add(time.Duration(pause))
			tokens = min(tokens+time.Duration(pause), time.Duration(burst)*interval)
			want := tokens >= interval
			if want {
				tokens -= interval
			}
			if got := b.take(now); got != want {
				t.Fatalf("take at %v returns %v, want %v", now, got, want)
			}
		}
	})
}
