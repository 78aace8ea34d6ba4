package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/decide/endings"
	"github.com/peridotreel/peridotreel/internal/eventlog"
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
	// request that it will refuse, and then for its head.
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

// errCallerClosed is the cause of a connection's context that ends because the caller has
// closed the connection.
var errCallerClosed = errors.New("the caller closed its connection")

// connection is one caller's connection. Its goroutine owns the socket. A second
// goroutine waits for the next byte or for the caller to close the connection,
// and reports either.
type connection struct {
	server *Server
	socket net.Conn
	// raw is the kernel's socket, nil if there is none.
	raw syscall.RawConn
	// id is that of the connection in the account of endings.
	id           endings.ID
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
	// answered is true if the latest request has its whole answer, after which the
	// connection ends.
	answered bool
	// discarded is true once bytes of a request were read and thrown away.
	discarded bool
}

// newConnection takes over a socket that was accepted. It is reported as accepted, so
// either run or close must be called.
func newConnection(server *Server, socket net.Conn) *connection {
	boundSendBuffer(socket)
	return &connection{
		server: server, socket: socket, raw: rawOf(socket), id: server.config.Endings.AcceptConnection(), reader: bufio.NewReaderSize(server.config.Link.Reader(socket), readBufferSize),
		peekRequests: make(chan struct{}, 1), peekResults: make(chan error, 1), evicted: make(chan struct{}),
	}
}

func (c *connection) run(ctx context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer close(c.peekRequests)
	go c.peekLoop(cancel)
	cause := c.serveRequests(ctx)
	if c.answered {
		c.discardUnread()
	}
	c.close(cause)
}

// serveRequests serves one request after the other and returns why the connection is
// closed.
func (c *connection) serveRequests(ctx context.Context) gateway.CloseCause {
	for {
		if cause := c.awaitRequest(ctx); cause != "" {
			return cause
		}
		c.tell(connectionBusy{c})
		if cause := c.serveRequest(ctx); cause != "" {
			return cause
		}
		c.tell(connectionIdle{c})
	}
}

// tell reports to the server. It waits while the inbox is full, as the server must know
// which connections are idle.
func (c *connection) tell(message any) { _ = c.server.inbox.Send(context.Background(), message) }

// peekLoop waits for the next byte once per value on peekRequests. It cancels the
// request in progress when the connection has ended, with the cause errCallerClosed if the
// caller ended it. It does not when the wait is interrupted, as a request may be found then.
func (c *connection) peekLoop(cancel context.CancelCauseFunc) {
	for range c.peekRequests {
		_, err := c.reader.Peek(1)
		switch {
		case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		case closeCauseOfRead(err) == gateway.CloseHostEnded:
			cancel(nil)
		default:
			cancel(errCallerClosed)
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

// awaitRequest waits for the first byte of a request. If the connection must be closed
// instead, which it never is once a byte was read, it returns the cause.
func (c *connection) awaitRequest(ctx context.Context) gateway.CloseCause {
	c.startPeek()
	since := c.server.config.Now()
	idle := time.NewTimer(c.idleTimeout(ctx))
	defer idle.Stop()
	idleCause := gateway.CloseIdle
	if c.refusing {
		idleCause = gateway.CloseLimit
	}
	stop := stopWait{closingIdle: c.server.closingIdle, finishing: c.server.finishing, ended: ctx.Done()}
	for {
		select {
		case err := <-c.peekResults:
			c.peeking = false
			return closeCauseOfRead(err)
		case <-idle.C:
			// The limit may have changed while the connection was idle.
			left := c.idleTimeout(ctx) - c.server.config.Now().Sub(since)
			if left <= 0 {
				return c.interruptPeek(idleCause)
			}
			idle.Reset(left)
		case <-stop.closingIdle:
			stop.beginLast(c.served)
		case <-stop.finishing:
			stop.beginLast(c.served)
			stop.finishing = nil
		case <-stop.last:
			stop.last = nil
		case <-c.evicted:
			return c.interruptPeek(gateway.CloseLimit)
		case <-stop.ended:
			if !errors.Is(context.Cause(ctx), gateway.ErrHostStopping) {
				return c.interruptPeek(gateway.CloseHostEnded)
			}
			// The connection stays until the answers to the requests in progress are
			// written: its caller's next request is refused.
			stop.beginLast(true)
			stop.ended, stop.last = nil, nil
		}
		if stop.over() {
			return c.interruptPeek(gateway.CloseDraining)
		}
	}
}

// stopWait is how long the wait for a request lasts while the server stops. The channels
// are nil once their events were received.
type stopWait struct {
	closingIdle, finishing, ended <-chan struct{}
	// last is the time that a new connection has for its first request. The balancer still
	// sends connections to a draining host if it has no better one.
	last <-chan time.Time
}

// beginLast begins the last time for a request, unless it has begun. A connection on which
// one was served has none.
func (w *stopWait) beginLast(served bool) {
	if w.closingIdle == nil {
		return
	}
	w.closingIdle = nil
	if !served {
		w.last = time.After(newConnectionWait)
	}
}

// over reports whether no request is waited for any more.
func (w *stopWait) over() bool { return w.finishing == nil && w.last == nil }

// past is a read deadline that interrupts a read at once.
var past = time.Unix(1, 0)

// interruptPeek ends the wait for the first byte of a request. It returns "" if there is
// one all the same, which the kernel may have received a moment ago, and else why the
// connection is closed: cause, unless its end had been read.
func (c *connection) interruptPeek(cause gateway.CloseCause) gateway.CloseCause {
	_ = c.socket.SetReadDeadline(past)
	err := <-c.peekResults
	for look := true; look && errors.Is(err, os.ErrDeadlineExceeded); look = kernelHasUnread(c.socket) {
		// A process that is short of processor time learns late that the look has ended.
		_ = c.socket.SetReadDeadline(time.Now().Add(lastLookTimeout))
		_, err = c.reader.Peek(1)
	}
	c.peeking = false
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return cause
	}
	return closeCauseOfRead(err)
}

// closeCauseOfRead returns why a connection is closed after a read with the result err,
// "" if it is nil.
func closeCauseOfRead(err error) gateway.CloseCause {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrClosedPipe):
		// Only the host closes its own end while it is read from.
		return gateway.CloseHostEnded
	default:
		return gateway.CloseCaller
	}
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

// serveRequest reads a request, passes it to the handler, writes the answer and reports
// the request's end. It returns why the connection is closed, "" if it can be used for
// another request.
func (c *connection) serveRequest(ctx context.Context) gateway.CloseCause {
	c.served = true
	id := c.server.config.Endings.BeginRequest()
	answer := &answer{connection: c, interruption: func() error { return context.Cause(ctx) }}
	err := c.handleRequest(ctx, answer)
	ending := answer.Finish(err)
	c.server.config.Endings.EndRequest(id, ending)
	if !answer.decoded {
		c.logUndecoded(answer, err)
	}
	if !answer.read {
		c.discardRest(err)
	}
	cause := answer.closeCause()
	c.answered = cause != "" && answer.read && answer.done && !answer.failed
	return cause
}

// handleRequest reads a request and passes it to the handler.
func (c *connection) handleRequest(ctx context.Context, answer *answer) error {
	limits := c.server.config.Limits.Limits(ctx)
	request, err := c.readHead(ctx, limits)
	var refused *gateway.Refusal
	switch {
	case c.refusing && err == nil:
		answer.requestID = c.identify(request)
		return errNoConnection
	case c.refusing && errors.As(err, &refused) && refused.Kind == gateway.SlowRequest:
		return errNoConnection
	case err != nil:
		return err
	}
	arrived := c.server.config.Now()
	memory := c.server.config.Buffers.Account()
	defer memory.Close()
	body, err := c.readBody(ctx, request, limits, memory)
	if err != nil {
		answer.requestID = c.identify(request)
		return err
	}
	answer.begin(request)
	decoded, err := c.server.config.Codec.DecodeRequest(request, body, arrived)
	if err != nil {
		return err
	}
	answer.requestID, answer.decoded = decoded.ID, true
	c.startPeek()
	return c.server.config.Handler.Serve(ctx, decoded, answer)
}

// identify returns the id of a request of which only the head was read, "" if it has none.
func (c *connection) identify(request *http.Request) string {
	decoded, err := c.server.config.Codec.DecodeRequest(request, nil, c.server.config.Now())
	if err != nil {
		return ""
	}
	return decoded.ID
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

// closing returns why the next answer ends the connection, "" if it does not.
func (c *connection) closing() gateway.CloseCause {
	select {
	case <-c.evicted:
		return gateway.CloseLimit
	default:
	}
	if c.draining() || c.server.config.Away() {
		return gateway.CloseDraining
	}
	return ""
}

// logUndecoded logs how a request ended that the handler did not get.
func (c *connection) logUndecoded(answer *answer, err error) {
	log := c.server.config.Log
	fields := []zap.Field{zap.String("end", string(answer.ending.End)), zap.String("end_cause", string(answer.ending.Cause))}
	if answer.requestID != "" {
		fields = append(fields, zap.String("request", answer.requestID))
	}
	var refusal *gateway.Refusal
	isRefusal := errors.As(err, &refusal)
	if isRefusal {
		fields = append(fields, zap.String("kind", string(refusal.Kind)), zap.String("reason", refusal.Message))
	}
	switch {
	case answer.ending.End.Lost():
		eventlog.Losses(log).Warn("request that was not passed on ended without a whole answer", append(fields, zap.String("event", "request_done"))...)
	case !isRefusal:
		log.Debug("connection ended while a request was read", append(fields, zap.String("event", "request_unread"), zap.Error(err))...)
	case c.refusing:
		log.Info("request refused at the limit of open connections", append(fields, zap.String("event", "request_done"), zap.String("outcome", string(refusal.Kind)))...)
	default:
		log.Info("request refused because it could not be read", append(fields, zap.String("event", "request_malformed"))...)
	}
}

// discardRest reads on for a short time after the refusal of a request that was not read,
// so that the kernel does not discard the refusal.
func (c *connection) discardRest(err error) {
	var refusal *gateway.Refusal
	if !errors.As(err, &refusal) {
		return
	}
	if c.closeWrite() {
		c.discard()
	}
}

// discardUnread reads what the caller has sent after a request with a whole answer. If it
// were unread as the socket is closed, the reset would drop what the caller has not read of
// the answer. A caller that sends nothing is not waited for.
func (c *connection) discardUnread() {
	if !c.closeWrite() {
		return
	}
	if c.peeking && c.interruptPeek(gateway.CloseDraining) != "" {
		return
	}
	c.discard()
}

// closeWrite ends the answers of the connection, which is still read. It reports false if
// that is not possible.
func (c *connection) closeWrite() bool {
	tcp, ok := c.socket.(*net.TCPConn)
	return ok && tcp.CloseWrite() == nil
}

// discard reads on for a short time and throws away what it reads.
func (c *connection) discard() {
	_ = c.socket.SetReadDeadline(c.server.config.Now().Add(lingerTimeout))
	count, _ := io.Copy(io.Discard, c.reader)
	c.discarded = c.discarded || count > 0
}
