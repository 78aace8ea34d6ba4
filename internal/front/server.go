// Package front accepts callers' connections. Each connection is a task that
// owns its socket, reads one request at a time and writes its answer.
package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/decide/connlimit"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/linkmeter"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/buffers"
	"github.com/peridotreel/peridotreel/internal/tasks/endings"
)

const (
	// acceptRetry is the delay after a failed accept, for example because the
	// process has no free file descriptor.
	acceptRetry = 50 * time.Millisecond
	// inboxCapacity is the number of messages buffered when many connections
	// open or close at once.
	inboxCapacity = 256
	// lastLookTimeout limits the wait for what the kernel has received before the server
	// ends its wait for it: a connection that is not accepted yet, or a request that is
	// not read yet. It covers the delay of a process that is short of processor time.
	lastLookTimeout = 20 * time.Millisecond
	// endTimeout limits the wait for open connections to end with the server. Requests
	// and connections that outlast it are not reported as ended.
	endTimeout = 100 * time.Millisecond
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
	// Answers has the memory for what waits for callers; nil has no limit.
	Answers *buffers.Buffers
	// Away reports whether callers are to move to other hosts: answers then end their
	// connections. nil means that they are not.
	Away func() bool
	// MaxConnections limits the open connections. At the limit, the connection that has
	// been idle for longest is closed for a new one; if none is idle, the requests of new
	// ones are refused.
	MaxConnections int
	// Link counts the bytes of callers' connections; nil counts none.
	Link *linkmeter.Meter
	// Endings gets the ends of requests and connections; nil counts none.
	Endings *endings.Endings
}

// Server is the task that owns the listener and the set of open connections.
type Server struct {
	config Config
	inbox  *task.Inbox[any]
	// readers counts callers for which bytes wait.
	readers readerCounts
	// draining is closed when each answer must end its connection, closingIdle when
	// connections without a request have a last time to send one, and finishing when idle
	// connections must close.
	draining    chan struct{}
	closingIdle chan struct{}
	finishing   chan struct{}
	// endTimeout is the constant, except in tests.
	endTimeout time.Duration
}

// connectionOpened asks to serve a new connection. room is answered once another one may
// be accepted.
type connectionOpened struct {
	connection *connection
	room       chan<- struct{}
}
type connectionIdle struct{ connection *connection }
type connectionBusy struct{ connection *connection }
type connectionClosed struct{ connection *connection }

// descriptorLacking tells that no connection can be accepted for lack of a file descriptor.
type descriptorLacking struct{}
type askOpen struct{ reply chan<- int }
type beginDrain struct{}
type acceptEnded struct{}
type closeIdle struct{ reply chan<- struct{} }
type endRequests struct{}
type finish struct{}

// NewServer returns a server.
func NewServer(config Config) *Server {
	if config.Away == nil {
		config.Away = func() bool { return false }
	}
	return &Server{
		config: config, inbox: task.NewInbox[any](inboxCapacity),
		draining: make(chan struct{}), closingIdle: make(chan struct{}), finishing: make(chan struct{}), endTimeout: endTimeout,
	}
}

// Drain makes the server close each connection after its next answer. It waits while
// the inbox is full, as the order must not be lost.
func (s *Server) Drain() { _ = s.inbox.Send(context.Background(), beginDrain{}) }

// CloseIdle closes idle connections once no request is in progress, and waits until all
// have closed or ctx ends. Until then a caller that was not told of the close can send its
// next request. New connections are accepted for one request each until none is open; then
// the listener is closed.
func (s *Server) CloseIdle(ctx context.Context) error {
	_, err := task.Ask(ctx, s.inbox, func(reply chan<- struct{}) any { return closeIdle{reply} })
	return err
}

// Open returns the number of open connections. The error is task.ErrStopped, or that of
// ctx.
func (s *Server) Open(ctx context.Context) (int, error) {
	return task.Ask(ctx, s.inbox, func(reply chan<- int) any { return askOpen{reply} })
}

// EndRequests ends the contexts of all requests with the cause gateway.ErrHostStopping,
// so that their callers still get an answer, and closes the listener. Like Drain, it
// waits while the inbox is full.
func (s *Server) EndRequests() { _ = s.inbox.Send(context.Background(), endRequests{}) }

// Finish closes idle connections although requests are in progress, since the server is
// about to end. Like Drain, it waits while the inbox is full.
func (s *Server) Finish() { _ = s.inbox.Send(context.Background(), finish{}) }

// Run accepts and serves connections until ctx ends, then closes the listener
// and all connections.
func (s *Server) Run(ctx context.Context) {
	defer s.inbox.Close()
	go s.accept(ctx)
	requests, end := context.WithCancelCause(ctx)
	defer end(nil)
	state := serverState{
		server: s, requests: requests, endRequests: end, open: make(map[*connection]bool),
		table: connlimit.New[*connection](s.config.MaxConnections), accepting: true,
	}
	defer state.end()
	for {
		select {
		case message := <-s.inbox.Messages():
			state.handle(message)
		case <-ctx.Done():
			return
		}
		state.advance()
	}
}

// serverState is the state of Run.
type serverState struct {
	server      *Server
	requests    context.Context
	endRequests context.CancelCauseFunc
	open        map[*connection]bool
	// busy has the open connections with a request in progress.
	busy  map[*connection]bool
	table *connlimit.Table[*connection]
	// waiting is answered once another connection may be accepted.
	waiting     chan<- struct{}
	idleReplies []chan<- struct{}
	draining    bool
	closingIdle bool
	finishing   bool
	accepting   bool
	// endingAccept is true once endAccepting was called.
	endingAccept bool
	// refusing is true from the first connection that is refused at the limit until one
	// is served.
	refusing bool
	// ended is true once no connection is served any more.
	ended bool
}

func (t *serverState) handle(message any) {
	switch m := message.(type) {
	case connectionOpened:
		t.admit(m)
	case connectionIdle:
		delete(t.busy, m.connection)
		t.table.Idle(m.connection, t.server.config.Now())
	case connectionBusy:
		if t.busy == nil {
			t.busy = make(map[*connection]bool)
		}
		t.busy[m.connection] = true
		t.table.Busy(m.connection)
	case connectionClosed:
		delete(t.busy, m.connection)
		delete(t.open, m.connection)
		t.table.Close(m.connection)
	case descriptorLacking:
		if evicted, evict := t.table.MakeRoom(t.server.config.Now()); evict {
			close(evicted.evicted)
		}
	case askOpen:
		m.reply <- len(t.open)
	case acceptEnded:
		t.accepting = false
	case beginDrain:
		if !t.draining {
			t.draining = true
			close(t.server.draining)
		}
	case closeIdle:
		t.closeIdle()
		t.idleReplies = append(t.idleReplies, m.reply)
	case endRequests:
		t.endRequests(gateway.ErrHostStopping)
		t.closeIdle()
		t.endAccepting()
	case finish:
		t.closeIdle()
		t.finish()
	}
}

func (t *serverState) closeIdle() {
	if !t.closingIdle {
		t.closingIdle = true
		close(t.server.closingIdle)
	}
}

func (t *serverState) finish() {
	if !t.finishing {
		t.finishing = true
		close(t.server.finishing)
	}
}

// admit serves a new connection, or refuses its request if none can make room for it.
func (t *serverState) admit(opened connectionOpened) {
	c := opened.connection
	if t.ended {
		c.close(gateway.CloseHostEnded)
		return
	}
	verdict, evicted, evict := t.table.Open(c, t.server.config.Now())
	if evict {
		close(evicted.evicted)
	}
	c.refusing = verdict == connlimit.Refuse
	if c.refusing != t.refusing {
		t.refusing = c.refusing
		t.server.config.Log.Warn("whether requests of new connections are refused at the limit of open connections has changed",
			zap.String("event", "connection_limit"), zap.Bool("refusing", c.refusing), zap.Int("open", t.table.Len()))
	}
	t.open[c] = true
	t.waiting = opened.room
	go t.server.serve(t.requests, c)
}

// advance takes the steps that have become possible with the latest message.
func (t *serverState) advance() {
	if t.waiting != nil && !t.table.Full() {
		t.waiting <- struct{}{}
		t.waiting = nil
	}
	if t.closingIdle && len(t.busy) == 0 {
		t.finish()
	}
	if t.finishing && len(t.open) == 0 {
		// A connection that was accepted in the meantime is still served.
		t.endAccepting()
	}
	if len(t.open) == 0 && !t.accepting {
		for _, reply := range t.idleReplies {
			reply <- struct{}{}
		}
		t.idleReplies = nil
	}
}

// end closes the listener and all connections, and waits for a short time until they have
// reported their ends.
func (t *serverState) end() {
	t.ended = true
	_ = t.server.config.Listener.Close()
	for c := range t.open {
		_ = c.socket.Close()
	}
	timeout := time.NewTimer(t.server.endTimeout)
	defer timeout.Stop()
	for len(t.open) > 0 || t.accepting {
		select {
		case message := <-t.server.inbox.Messages():
			t.handle(message)
		case <-timeout.C:
			return
		}
	}
}

// deadlineListener is a listener of which a blocked Accept can be interrupted.
type deadlineListener interface {
	SetDeadline(deadline time.Time) error
}

// endAccepting lets accept close the listener once it has taken the connections that wait
// to be accepted.
func (t *serverState) endAccepting() {
	if t.endingAccept {
		return
	}
	t.endingAccept = true
	if listener, ok := t.server.config.Listener.(deadlineListener); ok {
		_ = listener.SetDeadline(past)
		return
	}
	_ = t.server.config.Listener.Close()
}

// accept accepts connections until the listener is closed, ctx ends, or endAccepting was
// called and no connection waits.
func (s *Server) accept(ctx context.Context) {
	defer func() { _ = s.inbox.Send(context.WithoutCancel(ctx), acceptEnded{}) }()
	// until is when the last look ends, the zero time before endAccepting was called.
	var until time.Time
	for {
		socket, err := s.config.Listener.Accept()
		switch {
		case err == nil:
		case errors.Is(err, net.ErrClosed) || ctx.Err() != nil:
			return
		case errors.Is(err, os.ErrDeadlineExceeded) && !until.IsZero() && !connectionWaits(s.config.Listener):
			_ = s.config.Listener.Close()
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			until = time.Now().Add(lastLookTimeout)
			s.acceptUntil(until)
			continue
		default:
			s.config.Log.Warn("accepting a connection failed", zap.String("event", "accept_failed"), zap.Error(err))
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				_ = s.inbox.Send(ctx, descriptorLacking{})
			}
			if task.Sleep(ctx, acceptRetry) != nil {
				return
			}
			continue
		}
		offered := time.Now()
		room := make(chan struct{}, 1)
		c := newConnection(s, socket)
		if s.inbox.Send(ctx, connectionOpened{c, room}) != nil {
			c.close(gateway.CloseHostEnded)
			return
		}
		select {
		case <-room:
		case <-ctx.Done():
			return
		}
		if !until.IsZero() {
			// At the limit of connections, the wait for room may outlast the last look.
			until = until.Add(time.Since(offered))
			s.acceptUntil(until)
		}
	}
}

// acceptUntil lets accepts fail from a moment on.
func (s *Server) acceptUntil(end time.Time) {
	if listener, ok := s.config.Listener.(deadlineListener); ok {
		_ = listener.SetDeadline(end)
	}
}

func (s *Server) serve(ctx context.Context, c *connection) {
	c.run(ctx)
	_ = s.inbox.Send(context.WithoutCancel(ctx), connectionClosed{c})
}
