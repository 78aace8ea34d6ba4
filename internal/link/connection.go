// Package link keeps connections to upstreams. Each connection is a task that
// owns its socket and carries one request at a time; a pool task keeps count.
package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

const (
	// dialTimeout bounds the set-up of a connection. Zones are a few
	// milliseconds apart and a new connection costs an upstream about one, so
	// that a longer wait means a lost packet or an upstream that is away.
	dialTimeout = 250 * time.Millisecond
	// keepAliveIdle and keepAliveInterval find connections that fell silent
	// within keepAliveCount+1 seconds, less than a stream's longest gap.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// unackedTimeout ends a connection on which sent bytes stay unacknowledged.
	unackedTimeout = 4 * time.Second
	// tcpUserTimeout is the number of the socket option TCP_USER_TIMEOUT, which
	// package syscall lacks.
	tcpUserTimeout = 0x12
	// readBuffer holds the head of an answer and several events.
	readBuffer = 4096
	// maxIdle closes connections that were unused for long. It is below the
	// idle limits that upstreams are known to have.
	maxIdle = 25 * time.Second
	// idleMargin is left of an upstream's stated idle time, so that a request
	// does not cross its close.
	idleMargin = 700 * time.Millisecond
	// maxStrayBytes bounds an answer of another request that is read past.
	maxStrayBytes = 1 << 20
	// maxInterim bounds interim (1xx) answers before the final one.
	maxInterim = 5
)

// Errors of exchanges.
var (
	// ErrGarbled means that the upstream sent bytes that are no answer.
	ErrGarbled = errors.New("the upstream sent bytes that are no answer; its connection was closed")
	// ErrClosed means that the connection ended before the answer did.
	ErrClosed = errors.New("the upstream's connection ended before its answer")
)

// DecodeHead translates the head of an answer.
type DecodeHead func(response *http.Response) gateway.AnswerHead

// Exchange is one request to send on a connection.
type Exchange struct {
	ID      string
	Method  string
	Payload []byte
	// Events receives the answer: a head, parts, then an end. The connection
	// stops sending when Context ends.
	Events  chan Event
	Context context.Context
}

// Event is a part of an answer. Exactly one field is set, Ended for the last.
type Event struct {
	Head *gateway.AnswerHead
	Data []byte
	End  *End
}

// End tells how an answer ended.
type End struct {
	// Err is nil if the answer is whole.
	Err error
	// Framed is false for an answer whose end is the connection's end.
	Framed bool
	// Unsent is true if no byte of the request can have reached the upstream.
	Unsent bool
}

// Connection is a task that owns one socket to an upstream.
type Connection struct {
	upstream core.UpstreamID
	socket   net.Conn
	reader   *bufio.Reader
	decode   DecodeHead
	pool     *Pool
	inbox    chan *Exchange
	// current hands an exchange to the reading goroutine before its first byte
	// is written; results carries what became of it.
	current chan *Exchange
	results chan outcome
	stop    chan struct{}
	// idleLimit is the upstream's stated idle time, or maxIdle.
	idleLimit time.Duration
}

type outcome struct {
	exchange *Exchange
	end      End
	reusable bool
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to upstream %s; check that it runs and can be reached: %w", address, err)
	}
	return socket, nil
}

func newConnection(pool *Pool, upstream core.UpstreamID, socket net.Conn, decode DecodeHead) *Connection {
	return &Connection{
		upstream: upstream, socket: socket, reader: bufio.NewReaderSize(socket, readBuffer), decode: decode, pool: pool,
		inbox: make(chan *Exchange, 1), current: make(chan *Exchange, 1), results: make(chan outcome, 1),
		stop: make(chan struct{}), idleLimit: maxIdle,
	}
}

// Send gives the connection its next exchange. The caller has acquired it.
func (c *Connection) Send(exchange *Exchange) { c.inbox <- exchange }

// run carries exchanges until the connection ends.
func (c *Connection) run() {
	defer c.pool.closed(c)
	defer func() { _ = c.socket.Close() }()
	go c.read()
	idle := time.NewTimer(c.idleLimit)
	defer idle.Stop()
	for {
		select {
		case exchange := <-c.inbox:
			if !c.carry(exchange) {
				return
			}
			c.pool.idle(c)
			idle.Reset(c.idleLimit)
		case <-c.results:
			// The upstream closed the idle connection or sent stray bytes.
			c.retire()
			return
		case <-idle.C:
			c.retire()
			return
		case <-c.stop:
			c.retire()
			return
		}
	}
}

// retire takes the connection out of the pool. If it was handed out meanwhile,
// its exchange is returned as not sent.
func (c *Connection) retire() {
	if c.pool.retired(c) {
		return
	}
	select {
	case exchange := <-c.inbox:
		exchange.deliver(Event{End: &End{Err: ErrClosed, Unsent: true}})
	case <-c.stop:
	}
}

// carry writes a request and waits for the end of its answer. It reports
// whether the connection can carry another.
func (c *Connection) carry(exchange *Exchange) bool {
	select {
	case <-c.results:
		exchange.deliver(Event{End: &End{Err: ErrClosed, Unsent: true}})
		return false
	default:
	}
	release := context.AfterFunc(exchange.Context, func() { _ = c.socket.Close() })
	c.current <- exchange
	_, err := c.socket.Write(exchange.Payload)
	result := <-c.results
	// The requester ends the context once it has the end, so that the socket
	// must be released before.
	released := release()
	if result.exchange == nil {
		// The reader ended before it took the exchange.
		exchange.deliver(Event{End: &End{Err: ErrClosed}})
		return false
	}
	end := result.end
	exchange.deliver(Event{End: &end})
	return err == nil && result.reusable && released
}

// deliver sends an event unless the exchange was abandoned.
func (e *Exchange) deliver(event Event) {
	select {
	case e.Events <- event:
	case <-e.Context.Done():
	}
}

// read waits for answers and reports how each ended. It ends with the first
// that leaves the connection unusable.
func (c *Connection) read() {
	for {
		_, peekErr := c.reader.Peek(1)
		var exchange *Exchange
		select {
		case exchange = <-c.current:
		default:
			c.results <- outcome{}
			return
		}
		if peekErr != nil {
			c.results <- outcome{exchange: exchange, end: End{Err: fmt.Errorf("%w: %w", ErrClosed, peekErr)}}
			return
		}
		end, reusable := c.readAnswer(exchange)
		reusable = reusable && c.reader.Buffered() == 0
		c.results <- outcome{exchange: exchange, end: end, reusable: reusable}
		if !reusable {
			return
		}
	}
}

// readAnswer reads the answer to an exchange, past interim answers and late
// answers to earlier requests.
func (c *Connection) readAnswer(exchange *Exchange) (End, bool) {
	stray := false
	for range maxInterim {
		// The body needs no close: the connection is closed unless the body was
		// read to its end.
		response, err := http.ReadResponse(c.reader, &http.Request{Method: exchange.Method}) //nolint:bodyclose
		if err != nil {
			var network net.Error
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) {
				return End{Err: fmt.Errorf("%w: %w", ErrClosed, err)}, false
			}
			return End{Err: fmt.Errorf("%w: %w", ErrGarbled, err)}, false
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		head := c.decode(response)
		if head.ID != "" && head.ID != exchange.ID {
			stray = true
			if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes)); err != nil {
				return End{Err: fmt.Errorf("%w: %w", ErrClosed, err)}, false
			}
			continue
		}
		c.noteIdleLimit(response.Header)
		end := c.readBody(exchange, response, &head)
		return end, end.Err == nil && end.Framed && !response.Close && !stray
	}
	return End{Err: ErrGarbled}, false
}

func (c *Connection) readBody(exchange *Exchange, response *http.Response, head *gateway.AnswerHead) End {
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	exchange.deliver(Event{Head: head})
	for {
		part := make([]byte, readBuffer)
		n, err := response.Body.Read(part)
		if n > 0 {
			exchange.deliver(Event{Data: part[:n]})
		}
		if errors.Is(err, io.EOF) {
			return End{Framed: framed}
		}
		if err != nil {
			return End{Err: fmt.Errorf("%w: %w", ErrClosed, err), Framed: framed}
		}
	}
}

// noteIdleLimit keeps the idle time that the upstream states.
func (c *Connection) noteIdleLimit(header http.Header) {
	for parameter := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
			c.idleLimit = min(maxIdle, max(time.Duration(seconds)*time.Second-idleMargin, idleMargin/2))
		}
	}
}
