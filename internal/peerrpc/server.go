package peerrpc

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/rpc"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tunnel"
)

const (
	// defaultServerConnections is three times the 330 hosts of the largest fleet,
	// because a peer that reconnects may leave a silent connection open until the
	// idle timeout.
	defaultServerConnections = 1024
	// acceptRetry is the delay after a failed accept, for example when the
	// process has no free file descriptor.
	acceptRetry = 100 * time.Millisecond
)

// ServerConfig describes a Server.
type ServerConfig struct {
	Listener net.Listener
	Traffic  *Traffic
	Log      *zap.Logger
	// MaxConnections bounds open connections; 0 means 1024. Connections above
	// the bound are closed at once.
	MaxConnections int
	// Tunnels serves a connection that is a tunnel's, of which the first byte has been
	// read. It ends when the server closes the connection or ctx ends; the connection is
	// closed when it returns. nil closes such connections.
	Tunnels func(ctx context.Context, conn net.Conn)
}

// Server serves calls of peers. It is a task that owns the listener and the set
// of connections; each connection is served by a goroutine of its own.
type Server struct {
	config ServerConfig
	rpc    *rpc.Server
	events chan serverEvent
}

type serverEvent struct {
	conn   net.Conn
	closed bool
}

// NewServer returns a server. Receivers must be registered before Run is called.
func NewServer(config ServerConfig) *Server {
	if config.MaxConnections == 0 {
		config.MaxConnections = defaultServerConnections
	}
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	if config.Traffic == nil {
		config.Traffic = &Traffic{}
	}
	return &Server{config: config, rpc: rpc.NewServer(), events: make(chan serverEvent)}
}

// RegisterName implements Registrar.
func (s *Server) RegisterName(name string, receiver any) error {
	return s.rpc.RegisterName(name, receiver)
}

// Run accepts and serves connections until ctx ends, then closes them all.
func (s *Server) Run(ctx context.Context) {
	go s.accept(ctx)
	open := make(map[net.Conn]bool)
	defer func() {
		_ = s.config.Listener.Close()
		for conn := range open {
			_ = conn.Close()
		}
	}()
	for {
		select {
		case event := <-s.events:
			switch {
			case event.closed:
				delete(open, event.conn)
			case len(open) >= s.config.MaxConnections:
				_ = event.conn.Close()
			default:
				open[event.conn] = true
				go s.serve(ctx, event.conn)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) accept(ctx context.Context) {
	for {
		conn, err := s.config.Listener.Accept()
		switch {
		case err == nil:
			if !s.post(ctx, serverEvent{conn: conn}) {
				_ = conn.Close()
				return
			}
		case errors.Is(err, net.ErrClosed) || ctx.Err() != nil:
			return
		default:
			s.config.Log.Warn("could not accept a connection from a peer; retrying", zap.Error(err))
			if task.Sleep(ctx, acceptRetry) != nil {
				return
			}
		}
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer s.post(ctx, serverEvent{conn: conn, closed: true})
	counted := countedConn{conn, s.config.Traffic}
	// The first byte has the time that any read has: a client may set up a connection
	// before it has a call to send.
	var first [1]byte
	if _, err := io.ReadFull(counted, first[:]); err != nil {
		_ = conn.Close()
		return
	}
	if first[0] == tunnel.FirstByte {
		s.serveTunnel(ctx, conn)
		return
	}
	s.rpc.ServeConn(prefixedConn{io.MultiReader(bytes.NewReader(first[:]), counted), counted})
}

// serveTunnel passes on a tunnel's connection. Its bytes are not counted, as they are no
// control traffic.
func (s *Server) serveTunnel(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if s.config.Tunnels == nil || conn.SetDeadline(time.Time{}) != nil {
		return
	}
	s.config.Tunnels(ctx, conn)
}

// prefixedConn is a connection of which the first byte has been read.
type prefixedConn struct {
	io.Reader
	io.WriteCloser
}

func (s *Server) post(ctx context.Context, event serverEvent) bool {
	select {
	case s.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

var _ task.Task = (*Server)(nil)
