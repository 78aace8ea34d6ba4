package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/peridotreel/peridotreel/internal/httpresponse"
	"github.com/peridotreel/peridotreel/internal/tunnel"
)

// socket is a connection to an upstream whose reader also learns that a write failed.
// The kernel reports a reset to one call only: if that is a write, the next read sees
// the plain end of the connection, which may delimit a body.
type socket struct {
	net.Conn
	// written holds the error of the last write unless one is under way.
	written chan error
	// last is what the last read returned, and head the recorder of what follows. The
	// transport's goroutine that reads the connection owns both.
	last []byte
	head *httpresponse.HeadRecorder
}

// socketBuffer bounds what the kernel holds of requests to an upstream and of answers from
// it, on each connection. It may grow to 6 MiB otherwise, for each caller that reads slowly.
const socketBuffer = 64 << 10

// errNotTaken means that a connection ended before the upstream had taken all that was
// written to it.
var errNotTaken = errors.New("the upstream's connection ended before it had taken the whole request")

// dialer returns the function that opens connections to upstreams by dial, nil for TCP.
func dialer(dial DialFunc, timeout time.Duration) DialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := connection.(*net.TCPConn); ok {
			if err := errors.Join(tcp.SetReadBuffer(socketBuffer), tcp.SetWriteBuffer(socketBuffer)); err != nil {
				_ = connection.Close()
				return nil, err
			}
		}
		return newSocket(connection), nil
	}
}

func newSocket(connection net.Conn) *socket {
	s := &socket{Conn: connection, written: make(chan error, 1)}
	s.written <- nil
	return s
}

// Write implements io.Writer.
func (s *socket) Write(p []byte) (int, error) {
	earlier := <-s.written
	n, err := s.Conn.Write(p)
	if earlier != nil {
		s.written <- earlier
	} else {
		s.written <- err
	}
	return n, err
}

// record records a head of which the first byte is the first of the last read.
func (s *socket) record(head *httpresponse.HeadRecorder) {
	head.Write(s.last)
	s.head = head
}

// Read implements io.Reader. It returns io.EOF only if no write failed. A write that is
// under way at the end of the connection is ended.
func (s *socket) Read(p []byte) (int, error) {
	s.last = nil // an idle connection must not hold the buffer of a body
	n, err := s.Conn.Read(p)
	s.last = p[:n]
	if s.head != nil {
		s.head.Write(s.last)
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	var writeErr error
	select {
	case writeErr = <-s.written:
	default:
		_ = s.Close()
		writeErr = <-s.written
	}
	if writeErr == nil && !tunnel.AwaitTaken(context.Background(), s.Conn) {
		// The write ends with the bytes in the kernel's buffer, so a reset may follow it.
		writeErr = errNotTaken
	}
	s.written <- writeErr
	if writeErr != nil {
		return n, writeErr
	}
	return n, err
}
