// Package front accepts callers' connections. Each connection is a task that
// owns its socket, reads one request at a time and writes its answer.
package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/buffers"
)

const (
	// acceptRetry is the delay after a failed accept, for example because the
	// process has no free file descriptor.
	acceptRetry = 50 * time.Millisecond
	// inboxCapacity is the number of messages buffered when many connections
	// open or close at once.
	inboxCapacity = 256
)

// Codec decodes requests and encodes refusals.
type Codec interface {
	DecodeRequest(r *http.Request, body []byte, now time.Time) (*gateway.Request, error)
	EncodeRefusal(refusal *gateway.Refusal, requestID string) (int, []gateway.Field)
}

// Handler serves one request. A returned *gateway.Refusal is sent to the caller,
// or aborts the answer if a part of it has been written.
type Handler interface {
	Serve(ctx context.Context, request *gateway.Request, answer gateway.Answer) error
}

// LimitSource returns the current limits.
type LimitSource interface {
	Limits(ctx context.Context) gateway.Limits
}

// Config describes a server.
type Config struct {
	Listener net.Listener
	Codec    Codec
	Handler  Handler
	Limits   LimitSource
	Log      *zap.Logger
	Now      func() time.Time
	// Buffers has the memory for the bodies of requests.
	Buffers *buffers.Buffers
	// Away reports whether callers are to move to other hosts: answers then end their
	// connections. nil means that they are not.
	Away func() bool
	// MaxConnections limits the open connections; further ones are closed
	// immediately.
	MaxConnections int
}

// Server is the task that owns the listener and the set of open connections.
type Server struct {
	config Config
	inbox  *task.Inbox[any]
	// draining is closed when each answer must end its connection, closingIdle
	// when idle connections must close.
	draining    chan struct{}
	closingIdle chan struct{}
}

type connectionOpened struct{ socket net.Conn }
type connectionClosed struct{ socket net.Conn }
type beginDrain struct{}
type acceptEnded struct{}
type closeIdle struct{ reply chan<- struct{} }
type endRequests struct{}

// NewServer returns a server.
func NewServer(config Config) *Server {
	if config.Away == nil {
		config.Away = func() bool { return false }
	}
	return &Server{
		config: config, inbox: task.NewInbox[any](inboxCapacity),
		draining: make(chan struct{}), closingIdle: make(chan struct{}),
	}
}

// Drain makes the server close each connection after its next answer. It waits while
// the inbox is full, as the order must not be lost.
func (s *Server) Drain() { _ = s.inbox.Send(context.Background(), beginDrain{}) }

// CloseIdle closes idle connections and waits until all others have closed or
// ctx ends. New connections are accepted for one request each until none is
// open; then the listener is closed.
func (s *Server) CloseIdle(ctx context.Context) error {
	_, err := task.Ask(ctx, s.inbox, func(reply chan<- struct{}) any { return closeIdle{reply} })
	return err
}

// EndRequests ends the contexts of all requests with the cause gateway.ErrHostStopping,
// so that their callers still get an answer, and closes the listener. Like Drain, it
// waits while the inbox is full.
func (s *Server) EndRequests() { _ = s.inbox.Send(context.Background(), endRequests{}) }

// Run accepts and serves connections until ctx ends, then closes the listener
// and all connections.
func (s *Server) Run(ctx context.Context) {
	defer s.inbox.Close()
	go s.accept(ctx)
	requests, end := context.WithCancelCause(ctx)
	defer end(nil)
	open := make(map[net.Conn]bool)
	var idleReplies []chan<- struct{}
	draining, closingIdle, accepting := false, false, true
	defer func() {
		_ = s.config.Listener.Close()
		for socket := range open {
			_ = socket.Close()
		}
	}()
	for {
		select {
		case message := <-s.inbox.Messages():
			switch m := message.(type) {
			case connectionOpened:
				if len(open) >= s.config.MaxConnections {
					s.config.Log.Warn("new connection closed because the limit of open connections is reached", zap.String("event", "connection_limit"), zap.Int("open", len(open)))
					_ = m.socket.Close()
					break
				}
				open[m.socket] = true
				go s.serve(requests, m.socket)
			case connectionClosed:
				delete(open, m.socket)
			case acceptEnded:
				accepting = false
			case beginDrain:
				if !draining {
					draining = true
					close(s.draining)
				}
			case closeIdle:
				if !closingIdle {
					closingIdle = true
					close(s.closingIdle)
				}
				idleReplies = append(idleReplies, m.reply)
			case endRequests:
				end(gateway.ErrHostStopping)
				_ = s.config.Listener.Close()
			}
		case <-ctx.Done():
			return
		}
		if closingIdle && len(open) == 0 {
			// A connection that was accepted in the meantime is still served.
			_ = s.config.Listener.Close()
		}
		if len(open) == 0 && !accepting {
			for _, reply := range idleReplies {
				reply <- struct{}{}
			}
			idleReplies = nil
		}
	}
}

func (s *Server) accept(ctx context.Context) {
	defer func() { _ = s.inbox.Send(context.WithoutCancel(ctx), acceptEnded{}) }()
	for {
		socket, err := s.config.Listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
				return
			}
			s.config.Log.Warn("accepting a connection failed", zap.String("event", "accept_failed"), zap.Error(err))
			if task.Sleep(ctx, acceptRetry) != nil {
				return
			}
			continue
		}
		if s.inbox.Send(ctx, connectionOpened{socket}) != nil {
			_ = socket.Close()
			return
		}
	}
}

func (s *Server) serve(ctx context.Context, socket net.Conn) {
	newConnection(s, socket).run(ctx)
	_ = s.inbox.Send(context.WithoutCancel(ctx), connectionClosed{socket})
}
