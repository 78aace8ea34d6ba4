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
)

const (
	// acceptRetry is the delay after a failed accept, for example when the
	// process has no free descriptor.
	acceptRetry = 50 * time.Millisecond
	// inboxSize holds the messages of connections that open and close at once.
	inboxSize = 256
)

// Codec translates requests and refusals.
type Codec interface {
	DecodeRequest(r *http.Request, body []byte, now time.Time) (*gateway.Request, error)
	EncodeRefusal(refusal *gateway.Refusal, requestID string) (int, []gateway.Field)
}

// Handler serves one request. A *gateway.Refusal as error means that no answer
// was begun or that the one begun must be broken off.
type Handler interface {
	Serve(ctx context.Context, request *gateway.Request, answer gateway.Answer) error
}

// LimitSource returns the limits in force.
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
	// MaxConnections bounds open connections; those beyond it are closed.
	MaxConnections int
}

// Server is the task that owns the listener and the set of connections.
type Server struct {
	config Config
	inbox  *task.Inbox[any]
	// draining is closed when answers must end their connections, stopping
	// when idle connections must close.
	draining chan struct{}
	stopping chan struct{}
}

type opened struct{ socket net.Conn }
type ended struct{ socket net.Conn }
type beginDrain struct{}
type acceptEnded struct{}
type closeIdle struct{ reply chan<- struct{} }

// NewServer returns a server.
func NewServer(config Config) *Server {
	return &Server{
		config: config, inbox: task.NewInbox[any](inboxSize),
		draining: make(chan struct{}), stopping: make(chan struct{}),
	}
}

// Drain makes each further answer end its connection.
func (s *Server) Drain() { s.inbox.TrySend(beginDrain{}) }

// CloseIdle closes idle connections and waits until the others have ended or
// ctx ends. New connections may bring one request until none is open; then no
// more are accepted.
func (s *Server) CloseIdle(ctx context.Context) error {
	_, err := task.Ask(ctx, s.inbox, func(reply chan<- struct{}) any { return closeIdle{reply} })
	return err
}

// Run accepts and serves connections until ctx ends, then closes all.
func (s *Server) Run(ctx context.Context) {
	defer s.inbox.Close()
	go s.accept(ctx)
	open := make(map[net.Conn]bool)
	var waiting []chan<- struct{}
	draining, stopping, accepting := false, false, true
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
			case opened:
				if len(open) >= s.config.MaxConnections {
					s.config.Log.Warn("connection refused", zap.String("event", "connection_limit"), zap.Int("open", len(open)))
					_ = m.socket.Close()
					break
				}
				open[m.socket] = true
				go s.serve(ctx, m.socket)
			case ended:
				delete(open, m.socket)
			case acceptEnded:
				accepting = false
			case beginDrain:
				if !draining {
					draining = true
					close(s.draining)
				}
			case closeIdle:
				if !stopping {
					stopping = true
					close(s.stopping)
				}
				waiting = append(waiting, m.reply)
			}
		case <-ctx.Done():
			return
		}
		if stopping && len(open) == 0 {
			// A connection that was accepted meanwhile is still served.
			_ = s.config.Listener.Close()
		}
		if len(open) == 0 && !accepting {
			for _, reply := range waiting {
				reply <- struct{}{}
			}
			waiting = nil
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
			s.config.Log.Warn("accept failed", zap.String("event", "accept_failed"), zap.Error(err))
			if task.Sleep(ctx, acceptRetry) != nil {
				return
			}
			continue
		}
		if s.inbox.Send(ctx, opened{socket}) != nil {
			_ = socket.Close()
			return
		}
	}
}

func (s *Server) serve(ctx context.Context, socket net.Conn) {
	newConnection(s, socket).run(ctx)
	_ = s.inbox.Send(context.WithoutCancel(ctx), ended{socket})
}
