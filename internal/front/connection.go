package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/tasks/buffers"
)

const (
	// readBufferSize holds a typical head; larger bodies are read directly into
	// their own buffer.
	readBufferSize = 4096
	// bodyTimeout limits the time for reading a body, also if the caller gave no
	// deadline.
	bodyTimeout = 15 * time.Second
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
	// defaultIdleTimeout and the other defaults apply until a configuration is
	// known.
	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderTimeout = 3 * time.Second
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	// requestLineAllowance is added to the limit for the request line.
	requestLineAllowance = 4096
)

// maxTrailers limits the trailer lines after a chunked body, which are discarded.
const maxTrailers = 32

// errNoConnection refuses a request on a connection for which there is no room.
var errNoConnection = gateway.Refuse(gateway.Overloaded, limitRetryAfter,
	"this host has as many connections open as it can keep, and none of them is idle; send the request again later")

// errNoMemory refuses a request of which the body does not fit into the host's memory
// beside those of other requests.
var errNoMemory = gateway.Refuse(gateway.Overloaded, gateway.DrainRetryAfter,
	"this host has no memory for the body beside those of other requests; send the request again, which reaches another host")

var (
	errBodyTooLong = errors.New("the body is too long")
	errTrailers    = errors.New("the body has too many trailers")
)

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

// limitReads lets reads fail after a timeout, or once ctx has ended, until the returned
// function is called.
func (c *connection) limitReads(ctx context.Context, timeout time.Duration) (end func()) {
	_ = c.socket.SetReadDeadline(c.server.config.Now().Add(timeout))
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = c.socket.SetReadDeadline(past)
		close(interrupted)
	})
	return func() {
		if !stop() {
			<-interrupted
		}
		_ = c.socket.SetReadDeadline(time.Time{})
	}
}

// readTimeout returns the refusal of a request that did not arrive in time, or before
// the host stops, or the reason why the connection ends. part is what has not arrived.
func readTimeout(ctx context.Context, part string, timeout time.Duration) error {
	cause := context.Cause(ctx)
	if cause != nil && !errors.Is(cause, gateway.ErrHostStopping) {
		return cause
	}
	if cause != nil {
		return gateway.Refuse(gateway.Draining, gateway.DrainRetryAfter,
			"this host stops, and the %s has not arrived; send the request again, which reaches another host", part)
	}
	return gateway.Refuse(gateway.SlowRequest, 0, "the %s did not arrive within %s; send it at once", part, timeout)
}

// readHead reads and checks the head of a request.
func (c *connection) readHead(ctx context.Context, limits gateway.Limits) (*http.Request, error) {
	timeout, maxBytes := limits.HeaderTimeout, limits.MaxHeaderBytes
	if timeout <= 0 {
		timeout = defaultHeaderTimeout
	}
	if maxBytes <= 0 {
		maxBytes = defaultHeaderBytes
	}
	defer c.limitReads(ctx, timeout)()
	var head []byte
	for {
		line, err := c.reader.ReadSlice('\n')
		head = append(head, line...)
		if len(head) > maxBytes+requestLineAllowance {
			return nil, gateway.Refuse(gateway.HeaderTooLarge, 0, "the head is longer than %d bytes; send fewer or shorter headers", maxBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, readTimeout(ctx, "head", timeout)
		}
		if err != nil {
			return nil, err
		}
		if bytes.Equal(line, []byte("\r\n")) {
			if len(head) == len(line) {
				head = head[:0] // empty lines before the request line are ignored
				continue
			}
			break
		}
	}
	if err := checkHead(head); err != nil {
		return nil, err
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil, gateway.Refuse(gateway.BadRequest, 0, "the head can't be read: %v", err)
	}
	return request, nil
}

// checkHead refuses heads whose end or body length is ambiguous, because a proxy
// between the caller and this host may read them differently (request smuggling).
func checkHead(head []byte) error {
	contentLengths, transferEncodings := 0, 0
	for i, line := range strings.Split(strings.TrimSuffix(string(head), "\r\n\r\n"), "\n") {
		bare := strings.TrimSuffix(line, "\r")
		if strings.ContainsAny(bare, "\r\x00") {
			return gateway.Refuse(gateway.BadRequest, 0, "a header line contains a control character")
		}
		if i == 0 {
			continue
		}
		if bare == "" || bare[0] == ' ' || bare[0] == '\t' {
			return gateway.Refuse(gateway.BadRequest, 0, "folded header lines are not accepted")
		}
		name, value, found := strings.Cut(bare, ":")
		if !found || strings.TrimRight(name, " \t") != name {
			return gateway.Refuse(gateway.BadRequest, 0, "a header line has no valid name")
		}
		switch strings.ToLower(name) {
		case "content-length":
			contentLengths++
			if digits := strings.TrimSpace(value); digits == "" || strings.Trim(digits, "0123456789") != "" {
				return gateway.Refuse(gateway.BadRequest, 0, "the content length is not a number")
			}
		case "transfer-encoding":
			transferEncodings++
			if !strings.EqualFold(strings.TrimSpace(value), "chunked") {
				return gateway.Refuse(gateway.BadRequest, 0, "the only transfer encoding accepted is chunked")
			}
		}
	}
	if contentLengths > 1 || transferEncodings > 1 || contentLengths+transferEncodings > 1 {
		return gateway.Refuse(gateway.BadRequest, 0, "the body's length is stated more than once")
	}
	if bytes.Count(head, []byte("\n")) != bytes.Count(head, []byte("\r\n")) {
		return gateway.Refuse(gateway.BadRequest, 0, "a header line ends without a carriage return")
	}
	return nil
}

func (c *connection) readBody(ctx context.Context, request *http.Request, limits gateway.Limits, memory *buffers.Account) ([]byte, error) {
	chunked := len(request.TransferEncoding) > 0
	if request.ContentLength <= 0 && !chunked {
		return nil, nil
	}
	maxBytes := limits.MaxBodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultBodyBytes
	}
	if request.ContentLength > maxBytes {
		return nil, gateway.Refuse(gateway.BodyTooLarge, 0, "the body is longer than %d bytes", maxBytes)
	}
	if !memory.Cover(request.ContentLength) {
		return nil, errNoMemory
	}
	if strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		if _, err := c.socket.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, err
		}
	}
	defer c.limitReads(ctx, bodyTimeout)()
	var body bytes.Buffer
	if request.ContentLength > 0 {
		body.Grow(int(request.ContentLength) + bytes.MinRead)
	}
	err := c.copyBody(&body, request, maxBytes, memory)
	switch {
	case errors.Is(err, errNoMemory):
		return nil, err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, readTimeout(ctx, "body", bodyTimeout)
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return nil, err
	case int64(body.Len()) > maxBytes:
		return nil, gateway.Refuse(gateway.BodyTooLarge, 0, "the body is longer than %d bytes", maxBytes)
	case err != nil:
		return nil, gateway.Refuse(gateway.BadRequest, 0, "the body can't be read: %v", err)
	}
	memory.Shrink(int64(body.Cap()))
	return body.Bytes(), nil
}

// copyChunked reads a body of unknown length. While its buffer grows, the old one is kept.
func copyChunked(body *bytes.Buffer, source io.Reader, memory *buffers.Account) error {
	for size := int64(buffers.Free); ; size *= 2 {
		if !memory.Cover(size + int64(body.Cap())) {
			return errNoMemory
		}
		body.Grow(int(size) - body.Len())
		if _, err := io.CopyN(body, source, size-int64(body.Len())-bytes.MinRead); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// copyBody reads exactly one body, so that the reader is at the start of the next
// request.
func (c *connection) copyBody(body *bytes.Buffer, request *http.Request, maxBytes int64, memory *buffers.Account) error {
	if request.ContentLength > 0 {
		_, err := io.CopyN(body, c.reader, request.ContentLength)
		return err
	}
	if err := copyChunked(body, io.LimitReader(httputil.NewChunkedReader(c.reader), maxBytes+1), memory); err != nil {
		return err
	}
	if int64(body.Len()) > maxBytes {
		return errBodyTooLong
	}
	trailers := 0
	for {
		line, err := c.reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		if trailers++; trailers > maxTrailers {
			return errTrailers
		}
	}
}
