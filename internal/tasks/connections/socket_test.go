package connections

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/peridotreel/peridotreel/internal/decide/readers"
	"github.com/peridotreel/peridotreel/internal/tasks/endings"
)

// pipe returns a caller's end of a connection, and this host's.
func pipe(t *testing.T) (caller net.Conn, host *socket) {
	account := endings.New()
	follow := New(account)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{}, 2)
	for _, run := range []func(context.Context){account.Run, follow.Run} {
		go func() {
			run(ctx)
			ended <- struct{}{}
		}()
	}
	own, served := net.Pipe()
	t.Cleanup(func() {
		_ = own.Close()
		cancel()
		<-ended
		<-ended
	})
	return own, &socket{Conn: served, connections: follow}
}

// Guards against a long answer, or a part of a stream, that is cut although its caller reads
// steadily: it had to be written within 10 s.
func TestAWriteToACallerThatReadsSlowlyButSteadilyIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, host := pipe(t)
		const length, step = 256 << 10, 4 << 10
		read := make(chan int, 1)
		go func() {
			total := 0
			for buffer := make([]byte, step); total < length; {
				time.Sleep(2 * time.Second)
				n, err := io.ReadFull(caller, buffer)
				if total += n; err != nil {
					break
				}
			}
			read <- total
		}()
		if n, err := host.Write(make([]byte, length)); n != length || err != nil {
			t.Errorf("%d bytes were written: %v", n, err)
		}
		if total := <-read; total != length {
			t.Errorf("%d bytes were read", total)
		}
	})
}

// Guards against an answer that waits without end for a caller that does not read: whole
// answers had no bound of time.
func TestAWriteToACallerThatDoesNotReadEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, host := pipe(t)
		start := time.Now()
		n, err := host.Write(make([]byte, 1<<20))
		if n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(start) != readers.MaxGap {
			t.Errorf("%d bytes after %s: %v", n, time.Since(start), err)
		}
	})
}

// Guards against a deadline that is set before or during a write, as by a host that stops,
// and has no effect.
func TestADeadlineEndsAWrite(t *testing.T) {
	for name, when := range map[string]time.Duration{"before": 0, "during": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, host := pipe(t)
				start := time.Now()
				if when == 0 {
					_ = host.SetWriteDeadline(time.Unix(1, 0))
				} else {
					time.AfterFunc(when, func() { _ = host.SetDeadline(time.Unix(1, 0)) })
				}
				if _, err := host.Write(make([]byte, 1<<20)); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(start) != when {
					t.Errorf("after %s: %v", time.Since(start), err)
				}
				_ = host.SetWriteDeadline(time.Time{})
				if host.writeDeadline.Load() != 0 {
					t.Error("the deadline is not cleared")
				}
			})
		})
	}
}
