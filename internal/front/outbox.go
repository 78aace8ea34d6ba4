package front

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/decide/readers"
	"github.com/peridotreel/peridotreel/internal/tasks/buffers"
	"github.com/peridotreel/peridotreel/internal/tunnel"
)

const (
	// outboxParts is the number of parts that may wait for a caller, of which the bytes
	// are bounded. Events of a stream have some 50 bytes, and one comes every 10 ms.
	outboxParts = 256
	// outboxWrite is the number of bytes that one write has at most, so that the rest is
	// counted as waiting.
	outboxWrite = 16 << 10
	// lookInterval is the interval of the looks at what a caller has taken.
	lookInterval = time.Second
	// sendBuffer bounds what the kernel holds of an answer for a caller, which it doubles
	// for its own records. It may grow to 4 MiB otherwise, for hundreds of callers.
	sendBuffer = 64 << 10
)

// errNotRead is the error of a write to a caller that does not read, or too slowly.
var errNotRead = fmt.Errorf("the caller does not read its answer: %w", os.ErrDeadlineExceeded)

// outbox is the task that writes what a caller has not taken yet of one answer. It owns the
// sending side of the connection until it has ended. The request's goroutine passes parts
// to it, and goes on reading the upstream's answer within the bound.
type outbox struct {
	connection *connection
	parts      chan []byte
	// waiting is the number of bytes that are passed on and not written.
	waiting atomic.Int64
	// freed has a value once bytes were written since it was last received from.
	freed chan struct{}
	// ended is closed when the task ends. err and wrote may be read then.
	ended chan struct{}
	err   error
	wrote bool
	// memory has the bytes that wait. The request's goroutine owns it.
	memory *buffers.Account
}

// startOutbox starts the task with a first part, which is held already.
func startOutbox(connection *connection, first []byte) *outbox {
	o := &outbox{
		connection: connection, parts: make(chan []byte, outboxParts), freed: make(chan struct{}, 1), ended: make(chan struct{}),
		memory: connection.server.config.Answers.Account(),
	}
	o.waiting.Add(int64(len(first)))
	o.parts <- first
	connection.server.readers.began(len(first))
	go o.run()
	return o
}

// add passes on a part. It waits while the caller has as many bytes waiting as it may, or
// the host has no memory for more, so that the upstream is read no further.
func (o *outbox) add(part []byte) error {
	for {
		waiting := o.waiting.Load()
		o.memory.Shrink(waiting)
		if readers.MayWait(waiting, len(part)) && (waiting == 0 || o.memory.Cover(waiting+int64(len(part)))) {
			break
		}
		select {
		case <-o.freed:
		case <-o.ended:
			return o.err
		}
	}
	o.waiting.Add(int64(len(part)))
	o.connection.server.readers.waiting.Add(int64(len(part)))
	select {
	case o.parts <- part:
		return nil
	case <-o.ended:
		return o.err
	}
}

// finish waits until the caller has taken all parts, and returns the error with which that
// ended otherwise.
func (o *outbox) finish() error {
	close(o.parts)
	<-o.ended
	o.memory.Close()
	o.connection.server.readers.ended(o.waiting.Load())
	return o.err
}

func (o *outbox) run() {
	defer close(o.ended)
	socket, now := o.connection.socket, o.connection.server.config.Now
	progress := readers.NewProgress(tunnel.Outstanding(socket), now())
	var written int64
	for part := range o.parts {
		progress.Next(tunnel.Outstanding(socket), now())
		for len(part) > 0 {
			_ = socket.SetWriteDeadline(time.Now().Add(lookInterval))
			n, err := socket.Write(part[:min(len(part), outboxWrite)])
			o.connection.server.config.Link.Sent(n)
			part, written = part[n:], written+int64(n)
			o.wrote = o.wrote || n > 0
			o.release(n)
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				o.err = err
				return
			}
			if verdict := progress.Wrote(n, tunnel.Outstanding(socket), now()); verdict != readers.GoesOn {
				o.err = errNotRead
				o.connection.logNotRead(verdict, written, o.waiting.Load())
				return
			}
		}
	}
}

// release records that bytes were written.
func (o *outbox) release(bytes int) {
	o.waiting.Add(-int64(bytes))
	o.connection.server.readers.waiting.Add(-int64(bytes))
	select {
	case o.freed <- struct{}{}:
	default:
	}
}

func (c *connection) logNotRead(verdict readers.Verdict, written, waiting int64) {
	cause := "not_read"
	if verdict == readers.TooSlow {
		cause = "too_slow"
	}
	c.server.readers.cut.Add(1)
	c.server.config.Log.Info("ending an answer that its caller does not read", zap.String("event", "answer_not_read"),
		zap.String("cause", cause), zap.Int64("bytes_written", written), zap.Int64("bytes_waiting", waiting))
}

// writeNow writes what the kernel takes at once, and returns the rest. A connection that is
// not the kernel's, as in tests, takes nothing at once.
func (c *connection) writeNow(data []byte) (rest []byte, err error) {
	if c.raw == nil {
		return data, nil
	}
	var writeErr error
	err = c.raw.Write(func(descriptor uintptr) bool {
		for len(data) > 0 && writeErr == nil {
			var n int
			n, writeErr = syscall.Write(int(descriptor), data)
			c.server.config.Link.Sent(max(n, 0))
			data = data[max(n, 0):]
			if errors.Is(writeErr, syscall.EINTR) {
				writeErr = nil
			}
		}
		return true
	})
	switch {
	case err != nil:
		return data, err
	case errors.Is(writeErr, syscall.EAGAIN):
		return data, nil
	}
	return data, writeErr
}

// rawOf returns the kernel's socket of a connection, nil if it has none.
func rawOf(socket net.Conn) syscall.RawConn {
	if owner, ok := socket.(syscall.Conn); ok {
		if raw, err := owner.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}

// boundSendBuffer bounds what the kernel holds for a caller.
func boundSendBuffer(socket net.Conn) {
	if tcp, ok := socket.(*net.TCPConn); ok {
		// A socket that refuses keeps the system's bound.
		_ = tcp.SetWriteBuffer(sendBuffer)
	}
}

// readerCounts are counts of callers for which bytes wait.
type readerCounts struct {
	callers, waiting, cut atomic.Int64
}

func (r *readerCounts) began(bytes int) {
	r.callers.Add(1)
	r.waiting.Add(int64(bytes))
}

func (r *readerCounts) ended(left int64) {
	r.callers.Add(-1)
	r.waiting.Add(-left)
}

// Readers returns the number of callers for which bytes wait, that of these bytes, and that
// of the answers that ended because they were not read.
func (s *Server) Readers() (callers, waiting, cut int64) {
	return s.readers.callers.Load(), s.readers.waiting.Load(), s.readers.cut.Load()
}
