package connections

import (
	"errors"
	"net"

	"github.com/peridotreel/peridotreel/internal/decide/callerend"
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
	return &socket{inner, l.connections}, nil
}

// socket is a connection that reports reads, and failed reads and writes.
type socket struct {
	net.Conn
	connections *Connections
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

// Write implements net.Conn.
func (s *socket) Write(data []byte) (int, error) {
	n, err := s.Conn.Write(data)
	if err != nil {
		s.connections.send(transferFailed{connection: s, write: true, result: callerend.WriteResult(err)})
	}
	return n, err
}

// CloseWrite closes the sending side. net/http uses it so that no reset discards an answer
// that was written before a connection is closed.
func (s *socket) CloseWrite() error {
	if inner, ok := s.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return errors.ErrUnsupported
}
