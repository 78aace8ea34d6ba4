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
)

const (
	// readBuffer holds a usual head; prompts are read past it into the body.
	readBuffer = 4096
	// bodyTimeout bounds the reading of a body of a caller that gave no
	// deadline.
	bodyTimeout = 15 * time.Second
	// lingerTimeout is how long a connection that was refused is still read,
	// because closing it with unread bytes would reset the answer away.
	lingerTimeout = 500 * time.Millisecond
	// freshWait is how long a host that leaves waits for the request of a new
	// connection.
	freshWait = 500 * time.Millisecond
	// defaultIdleTimeout and the other defaults hold before a configuration is
	// known.
	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderTimeout = 3 * time.Second
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	// headerAllowance is added to the limit for the request line.
	headerAllowance = 4096
)

// maxTrailers bounds the lines after a chunked body, which are dropped.
const maxTrailers = 32

var (
	errBodyTooLong = errors.New("the body is too long")
	errTrailers    = errors.New("the body has too many trailers")
)

// connection is one caller's connection. Its goroutine owns the socket; a
// second goroutine waits for bytes or the caller's close and reports them.
type connection struct {
	server  *Server
	socket  net.Conn
	reader  *bufio.Reader
	peek    chan struct{}
	peeked  chan error
	waiting bool
	// served is true once a request was read.
	served bool
}

func newConnection(server *Server, socket net.Conn) *connection {
	return &connection{
		server: server, socket: socket, reader: bufio.NewReaderSize(socket, readBuffer),
		peek: make(chan struct{}, 1), peeked: make(chan error, 1),
	}
}

func (c *connection) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = c.socket.Close() }()
	defer close(c.peek)
	go c.watch(cancel)
	for c.awaitRequest(ctx) {
		if !c.serveOne(ctx) {
			return
		}
	}
}

// watch waits for the next byte each time it is asked and cancels what is
// under way when the caller has closed the connection.
func (c *connection) watch(cancel context.CancelFunc) {
	for range c.peek {
		_, err := c.reader.Peek(1)
		if err != nil {
			cancel()
		}
		c.peeked <- err
	}
}

func (c *connection) startWatch() {
	if !c.waiting {
		c.waiting = true
		c.peek <- struct{}{}
	}
}

// awaitRequest waits for the first byte of a request. It reports false when
// the connection is over.
func (c *connection) awaitRequest(ctx context.Context) bool {
	c.startWatch()
	since := c.server.config.Now()
	idle := time.NewTimer(c.idleTimeout(ctx))
	defer idle.Stop()
	stopping := c.server.stopping
	for {
		select {
		case err := <-c.peeked:
			c.waiting = false
			return err == nil
		case <-idle.C:
			// The limit may have changed while the connection was idle.
			left := c.idleTimeout(ctx) - c.server.config.Now().Sub(since)
			if left <= 0 {
				return false
			}
			idle.Reset(left)
		case <-stopping:
			if c.served {
				return false
			}
			// The balancer still sends connections to a host that leaves if it
			// has no better one: a new connection may bring one request.
			stopping = nil
			idle.Reset(freshWait)
			since = c.server.config.Now().Add(freshWait - c.idleTimeout(ctx))
		case <-ctx.Done():
			return false
		}
	}
}

func (c *connection) idleTimeout(ctx context.Context) time.Duration {
	if limit := c.server.config.Limits.Limits(ctx).IdleTimeout; limit > 0 {
		return limit
	}
	return defaultIdleTimeout
}

// serveOne reads a request, has it served and writes the answer. It reports
// whether the connection can take another request.
func (c *connection) serveOne(ctx context.Context) bool {
	c.served = true
	limits := c.server.config.Limits.Limits(ctx)
	request, err := c.readHead(limits)
	if err != nil {
		return c.refuseUnread(err)
	}
	arrived := c.server.config.Now()
	body, err := c.readBody(request, limits)
	if err != nil {
		return c.refuseUnread(err)
	}
	decoded, err := c.server.config.Codec.DecodeRequest(request, body, arrived)
	answer := &answer{connection: c, method: request.Method, http10: request.ProtoMinor == 0, closing: request.Close || c.draining()}
	if err != nil {
		answer.refuse(err, "")
		return answer.reusable()
	}
	c.startWatch()
	err = c.server.config.Handler.Serve(ctx, decoded, answer)
	if err != nil {
		answer.refuse(err, decoded.ID)
	}
	return answer.reusable()
}

func (c *connection) draining() bool {
	select {
	case <-c.server.draining:
		return true
	default:
		return false
	}
}

// refuseUnread answers a request that could not be read and ends the
// connection, since where the next request begins is not known.
func (c *connection) refuseUnread(err error) bool {
	var refusal *gateway.Refusal
	if !errors.As(err, &refusal) {
		c.server.config.Log.Debug("connection ended while a request was read",
			zap.String("event", "request_unread"), zap.Error(err))
		return false
	}
	c.server.config.Log.Info("request refused before it was read",
		zap.String("event", "request_malformed"), zap.String("kind", string(refusal.Kind)), zap.String("reason", refusal.Message))
	answer := &answer{connection: c, closing: true}
	answer.refuse(err, "")
	if tcp, ok := c.socket.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_ = c.socket.SetReadDeadline(c.server.config.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, c.reader)
	}
	return false
}

// readHead reads and checks the head of a request.
func (c *connection) readHead(limits gateway.Limits) (*http.Request, error) {
	timeout, most := limits.HeaderTimeout, limits.MaxHeaderBytes
	if timeout <= 0 {
		timeout = defaultHeaderTimeout
	}
	if most <= 0 {
		most = defaultHeaderBytes
	}
	_ = c.socket.SetReadDeadline(c.server.config.Now().Add(timeout))
	defer func() { _ = c.socket.SetReadDeadline(time.Time{}) }()
	var head []byte
	for {
		line, err := c.reader.ReadSlice('\n')
		head = append(head, line...)
		if len(head) > most+headerAllowance {
			return nil, gateway.Refuse(gateway.HeaderTooLarge, 0, "the head is longer than %d bytes; send fewer or shorter headers", most)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, gateway.Refuse(gateway.SlowRequest, 0, "the head did not arrive within %s; send it at once", timeout)
		}
		if err != nil {
			return nil, err
		}
		if bytes.Equal(line, []byte("\r\n")) {
			if len(head) == len(line) {
				head = head[:0] // an empty line before the request line is allowed
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

// checkHead refuses heads whose end or body length other programs on the way
// may read differently.
func checkHead(head []byte) error {
	lengths, encodings := 0, 0
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
			lengths++
			if digits := strings.TrimSpace(value); digits == "" || strings.Trim(digits, "0123456789") != "" {
				return gateway.Refuse(gateway.BadRequest, 0, "the content length is not a number")
			}
		case "transfer-encoding":
			encodings++
			if !strings.EqualFold(strings.TrimSpace(value), "chunked") {
				return gateway.Refuse(gateway.BadRequest, 0, "the only transfer encoding accepted is chunked")
			}
		}
	}
	if lengths > 1 || encodings > 1 || lengths+encodings > 1 {
		return gateway.Refuse(gateway.BadRequest, 0, "the body's length is stated more than once")
	}
	if bytes.Count(head, []byte("\n")) != bytes.Count(head, []byte("\r\n")) {
		return gateway.Refuse(gateway.BadRequest, 0, "a header line ends without a carriage return")
	}
	return nil
}

func (c *connection) readBody(request *http.Request, limits gateway.Limits) ([]byte, error) {
	chunked := len(request.TransferEncoding) > 0
	if request.ContentLength <= 0 && !chunked {
		return nil, nil
	}
	most := limits.MaxBodyBytes
	if most <= 0 {
		most = defaultBodyBytes
	}
	if request.ContentLength > most {
		return nil, gateway.Refuse(gateway.BodyTooLarge, 0, "the body is longer than %d bytes", most)
	}
	if strings.EqualFold(request.Header.Get("Expect"), "100-continue") {
		if _, err := c.socket.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, err
		}
	}
	_ = c.socket.SetReadDeadline(c.server.config.Now().Add(bodyTimeout))
	defer func() { _ = c.socket.SetReadDeadline(time.Time{}) }()
	var body bytes.Buffer
	if request.ContentLength > 0 {
		body.Grow(int(request.ContentLength) + bytes.MinRead)
	}
	err := c.copyBody(&body, request, most)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, gateway.Refuse(gateway.SlowRequest, 0, "the body did not arrive within %s", bodyTimeout)
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return nil, err
	case int64(body.Len()) > most:
		return nil, gateway.Refuse(gateway.BodyTooLarge, 0, "the body is longer than %d bytes", most)
	case err != nil:
		return nil, gateway.Refuse(gateway.BadRequest, 0, "the body can't be read: %v", err)
	}
	return body.Bytes(), nil
}

// copyBody reads exactly the bytes of one body, so that the next request
// begins where it ends.
func (c *connection) copyBody(body *bytes.Buffer, request *http.Request, most int64) error {
	if request.ContentLength > 0 {
		_, err := io.CopyN(body, c.reader, request.ContentLength)
		return err
	}
	if _, err := body.ReadFrom(io.LimitReader(httputil.NewChunkedReader(c.reader), most+1)); err != nil {
		return err
	}
	if int64(body.Len()) > most {
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
