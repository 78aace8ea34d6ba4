package connections

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/peridotreel/peridotreel/internal/decide/callerend"
	"github.com/peridotreel/peridotreel/internal/decide/readers"
	"github.com/peridotreel/peridotreel/internal/tunnel"
)

const (
	// sendBuffer bounds what the kernel holds of answers for a caller, which it doubles for
	// its own records. It may grow to 4 MiB otherwise, for hundreds of callers.
	sendBuffer = 64 << 10
	// maxWrite is the length of one write to the kernel, after which it is looked at what
	// the caller has taken.
	maxWrite = 16 << 10
	// lookInterval is the interval of the looks while the kernel takes nothing.
	lookInterval = time.Second
)

// Listener returns a listener whose connections report failed reads and writes to the
// task.
func (c *Connections) Listener(inner net.Listener) net.Listener { return listener{inner, c} }

type listener struct {
	net.Listener
	connections *Connections
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := inner.(*net.TCPConn); ok {
		// A socket that refuses keeps the system's bound.
		_ = tcp.SetWriteBuffer(sendBuffer)
	}
	return &socket{Conn: inner, connections: l.connections}, nil
}

// socket is a connection that reports reads, and failed reads and writes.
type socket struct {
	net.Conn
	connections *Connections
	// writeDeadline is the one that was set, in Unix nanoseconds, 0 for none.
	writeDeadline atomic.Int64
}

// Read implements net.Conn.
func (s *socket) Read(buffer []byte) (int, error) {
	n, err := s.Conn.Read(buffer)
	if n > 0 {
		s.connections.send(bytesRead{s})
	}
	if err != nil {
		s.connections.send(transferFailed{connection: s, result: callerend.ReadResult(err)})
	}
	return n, err
}

// SetWriteDeadline implements net.Conn.
func (s *socket) SetWriteDeadline(deadline time.Time) error {
	s.keepDeadline(deadline)
	return s.Conn.SetWriteDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (s *socket) SetDeadline(deadline time.Time) error {
	s.keepDeadline(deadline)
	return s.Conn.SetDeadline(deadline)
}

func (s *socket) keepDeadline(deadline time.Time) {
	if deadline.IsZero() {
		s.writeDeadline.Store(0)
		return
	}
	s.writeDeadline.Store(deadline.UnixNano())
}

// Write implements net.Conn. It fails if the caller does not read, or after the deadline
// that was set.
func (s *socket) Write(data []byte) (int, error) {
	n, err := s.write(data)
	if err != nil {
		s.connections.send(transferFailed{connection: s, write: true, result: callerend.WriteResult(err)})
	}
	return n, err
}

func (s *socket) write(data []byte) (int, error) {
	progress, written := readers.NewProgress(tunnel.Outstanding(s.Conn), time.Now()), 0
	for {
		look := time.Now().Add(lookInterval)
		set := s.writeDeadline.Load()
		if set != 0 && set < look.UnixNano() {
			look = time.Unix(0, set)
		}
		if err := s.Conn.SetWriteDeadline(look); err != nil {
			return written, err
		}
		n, err := s.Conn.Write(data[written:min(len(data), written+maxWrite)])
		written += n
		switch {
		case err == nil && written == len(data):
			return written, nil
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			return written, err
		}
		now := time.Now()
		if set = s.writeDeadline.Load(); set != 0 && set <= now.UnixNano() {
			return written, os.ErrDeadlineExceeded
		}
		if progress.Wrote(n, tunnel.Outstanding(s.Conn), now) != readers.GoesOn {
			return written, os.ErrDeadlineExceeded
		}
	}
}

// CloseWrite closes the sending side. net/http uses it so that no reset discards an answer
// that was written before a connection is closed.
func (s *socket) CloseWrite() error {
	if inner, ok := s.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return errors.ErrUnsupported
}
