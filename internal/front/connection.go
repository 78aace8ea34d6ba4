package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/gateway"
)

const (
	// readBufferSize holds a typical head; larger bodies are read directly into
	// their own buffer.
	readBufferSize = 4096
	// lingerTimeout is how long bytes are still read after a refusal. Closing a
	// socket with unread bytes sends a reset, which can discard the answer.
	lingerTimeout = 500 * time.Millisecond
	// newConnectionWait is how long a draining host waits for the request on a
	// new connection.
	newConnectionWait = 500 * time.Millisecond
	// refusedRequestWait is how long a host at its limit of open connections waits for a
	// request that it will refuse.
	refusedRequestWait = time.Second
	// limitRetryAfter is the retry delay given by a host at its limit of open
	// connections, in which some of them become idle.
	limitRetryAfter = 500 * time.Millisecond
	// defaultIdleTimeout applies until a configuration is known.
	defaultIdleTimeout = 15 * time.Second
)

// errNoConnection refuses a request on a connection for which there is no room.
var errNoConnection = gateway.Refuse(gateway.Overloaded, limitRetryAfter,
	"this host has as many connections open as it can keep, and none of them is idle; send the request again later")

// connection is one caller's connection. Its goroutine owns the socket. A second
// goroutine waits for the next byte or for the caller to close the connection,
// and reports either.
type connection struct {
	server       *Server
	socket       net.Conn
	reader       *bufio.Reader
	peekRequests chan struct{}
	peekResults  chan error
	peeking      bool
	// served is true once a request was read.
	served bool
	// evicted is closed by the server when the connection is to make room for another.
	evicted chan struct{}
	// refusing is true if the connection's request is refused, as the host is at its limit
	// of open connections.
	refusing bool
}

func newConnection(server *Server, socket net.Conn) *connection {
	return &connection{
		server: server, socket: socket, reader: bufio.NewReaderSize(socket, readBufferSize),
		peekRequests: make(chan struct{}, 1), peekResults: make(chan error, 1), evicted: make(chan struct{}),
	}
}

func (c *connection) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = c.socket.Close() }()
	defer close(c.peekRequests)
	go c.peekLoop(cancel)
	for c.awaitRequest(ctx) {
		c.tell(connectionBusy{c})
		if !c.serveRequest(ctx) {
			return
		}
		c.tell(connectionIdle{c})
	}
}

// tell reports to the server. It waits while the inbox is full, as the server must know
// which connections are idle.
func (c *connection) tell(message any) { _ = c.server.inbox.Send(context.Background(), message) }

// peekLoop waits for the next byte once per value on peekRequests. It cancels the
// request in progress when the caller has closed the connection, and not when the wait is
// interrupted, as a request may be found then.
func (c *connection) peekLoop(cancel context.CancelFunc) {
	for range c.peekRequests {
		_, err := c.reader.Peek(1)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			cancel()
		}
		c.peekResults <- err
	}
}

func (c *connection) startPeek() {
	if !c.peeking {
		c.peeking = true
		c.peekRequests <- struct{}{}
	}
}

// awaitRequest waits for the first byte of a request. It reports false if the
// connection must be closed instead, which it never is once a byte was read.
func (c *connection) awaitRequest(ctx context.Context) bool {
	c.startPeek()
	since := c.server.config.Now()
	idle := time.NewTimer(c.idleTimeout(ctx))
	defer idle.Stop()
	stopping := c.server.closingIdle
	for {
		select {
		case err := <-c.peekResults:
			c.peeking = false
			return err == nil
		case <-idle.C:
			// The limit may have changed while the connection was idle.
			left := c.idleTimeout(ctx) - c.server.config.Now().Sub(since)
			if left <= 0 {
				return c.interruptPeek()
			}
			idle.Reset(left)
		case <-stopping:
			if c.served {
				return c.interruptPeek()
			}
			// The balancer still sends connections to a draining host if it has
			// no better one, so a new connection is allowed one request.
			stopping = nil
			idle.Reset(newConnectionWait)
			since = c.server.config.Now().Add(newConnectionWait - c.idleTimeout(ctx))
		case <-c.evicted:
			return c.interruptPeek()
		case <-ctx.Done():
			return c.interruptPeek()
		}
	}
}

// past is a read deadline that interrupts a read at once.
var past = time.Unix(1, 0)

// interruptPeek ends the wait for the first byte of a request. It reports whether there
// is one all the same, which the kernel may have received a moment ago.
func (c *connection) interruptPeek() bool {
	_ = c.socket.SetReadDeadline(past)
	err := <-c.peekResults
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_ = c.socket.SetReadDeadline(time.Now().Add(lastLookTimeout))
		_, err = c.reader.Peek(1)
	}
	c.peeking = false
	return err == nil
}

func (c *connection) idleTimeout(ctx context.Context) time.Duration {
	if c.refusing {
		return refusedRequestWait
	}
	if limit := c.server.config.Limits.Limits(ctx).IdleTimeout; limit > 0 {
		return limit
	}
	return defaultIdleTimeout
}

// serveRequest reads a request, passes it to the handler and writes the answer.
// It reports whether the connection can be used for another request.
func (c *connection) serveRequest(ctx context.Context) bool {
	c.served = true
	limits := c.server.config.Limits.Limits(ctx)
	request, err := c.readHead(ctx, limits)
	if err != nil {
		return c.refuseUnreadable(err)
	}
	if c.refusing {
		return c.refuseUnreadable(errNoConnection)
	}
	arrived := c.server.config.Now()
	memory := c.server.config.Buffers.Account()
	defer memory.Close()
	body, err := c.readBody(ctx, request, limits, memory)
	if err != nil {
		return c.refuseUnreadable(err)
	}
	decoded, err := c.server.config.Codec.DecodeRequest(request, body, arrived)
	answer := &answer{connection: c, method: request.Method, http10: request.ProtoMinor == 0, closeAfter: request.Close || c.closing()}
	if err != nil {
		answer.refuse(err, "")
		return answer.reusable()
	}
	c.startPeek()
	err = c.server.config.Handler.Serve(ctx, decoded, answer)
	if err != nil {
		answer.refuse(err, decoded.ID)
	}
	return answer.reusable()
}

// resetOnClose lets the connection be reset when it is closed.
func (c *connection) resetOnClose() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

func (c *connection) draining() bool {
	select {
	case <-c.server.draining:
		return true
	default:
		return false
	}
}

// closing reports whether the next answer ends the connection.
func (c *connection) closing() bool {
	select {
	case <-c.evicted:
		return true
	default:
		return c.draining() || c.server.config.Away()
	}
}

// refuseUnreadable answers a request that could not be read and ends the
// connection, since where the next request begins is not known.
func (c *connection) refuseUnreadable(err error) bool {
	var refusal *gateway.Refusal
	if !errors.As(err, &refusal) {
		c.server.config.Log.Debug("connection ended while a request was read",
			zap.String("event", "request_unread"), zap.Error(err))
		return false
	}
	c.server.config.Log.Info("request refused because it could not be read",
		zap.String("event", "request_malformed"), zap.String("kind", string(refusal.Kind)), zap.String("reason", refusal.Message))
	answer := &answer{connection: c, closeAfter: true}
	answer.refuse(err, "")
	if tcp, ok := c.socket.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_ = c.socket.SetReadDeadline(c.server.config.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, c.reader)
	}
	return false
}
