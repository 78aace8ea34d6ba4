// Package connpool is the connection pool for upstreams. Each connection is a task
// that owns its socket and carries one request at a time; a pool task hands
// connections out and bounds their number.
package connpool

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/httpresponse"
	"github.com/peridotreel/peridotreel/internal/tunnel"
)

const (
	// maxBufferedBody is the length up to which a body fits into the buffers of a socket,
	// so that its write does not wait for the upstream.
	maxBufferedBody = 16 << 10
	// readBuffer is enough for the head of an answer and several events.
	readBuffer = 4096
	// maxIdle is how long an unused connection is kept. It is below the idle
	// timeouts that upstreams are known to have.
	maxIdle = 25 * time.Second
	// idleMargin is subtracted from the idle timeout that an upstream states, so
	// that no request is sent while the upstream closes the connection.
	idleMargin = 700 * time.Millisecond
	// maxStrayBytes bounds the discarded body of an answer to another request.
	maxStrayBytes = 1 << 20
	// maxHeadBytes bounds the head of an answer. Heads that the platform's servers
	// send have less than 1 kB.
	maxHeadBytes = 16 << 10
	// maxInterimResponses bounds the interim (1xx) and stray answers read before
	// the final one.
	maxInterimResponses = 5
)

// Errors of exchanges.
var (
	// ErrMalformedResponse means that the upstream sent bytes that are not a valid answer.
	ErrMalformedResponse = errors.New("the upstream sent an invalid HTTP response; its connection was closed")
	// ErrHeadTooLong means that the head of an answer exceeds the size limit.
	ErrHeadTooLong = errors.New("the head of the upstream's answer exceeds the size limit of this host")
	// ErrClosed means that the connection ended before the answer was complete.
	ErrClosed = errors.New("the upstream's connection ended before the answer was complete")
)

// DecodeHead converts the head of an HTTP response.
type DecodeHead func(response *http.Response) gateway.AnswerHead

// Exchange is one request to send on a connection.
type Exchange struct {
	ID      string
	Method  string
	Payload []byte
	// Body is the rest of the request, which is written after Payload.
	Body []byte
	// Events receives the answer: its head, parts of its body, then its end. The
	// connection stops sending events when Context ends.
	Events  chan Event
	Context context.Context
}

// Event is a part of an answer. Exactly one field is set; the last event has End.
type Event struct {
	Head *gateway.AnswerHead
	Data []byte
	End  *End
}

// End tells how an answer ended.
type End struct {
	// Err is nil if the answer is complete.
	Err error
	// Framed is false if the answer's body is delimited by the end of the connection.
	Framed bool
	// Unsent is true if no byte of the request was written.
	Unsent bool
}

// Connection is a task that owns one socket to an upstream.
type Connection struct {
	upstream core.UpstreamID
	socket   net.Conn
	received *limitedReader
	reader   *bufio.Reader
	decode   DecodeHead
	pool     *Pool
	inbox    chan *Exchange
	// dispatched passes an exchange to the reading goroutine before its first byte
	// is written; results returns the outcome.
	dispatched chan *Exchange
	results    chan outcome
	stop       chan struct{}
	// closing is true once the pool has told the connection to close. The pool owns it.
	closing bool
	// single is true if the connection carries one request.
	single bool
	// idleLimit is how long this connection may stay idle: maxIdle, or less if
	// the upstream states a shorter timeout.
	idleLimit time.Duration
	// setUpAt is when the connection was set up, and verified true if the upstream then
	// said which of its processes it is.
	setUpAt  time.Time
	verified bool
	// part is what the reading goroutine reads a body into.
	part [readBuffer]byte
	// request tells the reading goroutine's parser to which method an answer belongs. One
	// for each connection saves an allocation for each answer.
	request http.Request
}

// limitedReader fails once more than remaining bytes have been read, if limited.
type limitedReader struct {
	source    io.Reader
	limited   bool
	remaining int
	// ended is the error with which the source ended, nil before.
	ended error
}

// limit lets the next bytes be read and fails after them.
func (r *limitedReader) limit(bytes int) { r.limited, r.remaining = true, bytes }

func (r *limitedReader) unlimit() { r.limited = false }

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.limited && r.remaining <= 0 {
		return 0, ErrHeadTooLong
	}
	if r.limited {
		p = p[:min(len(p), r.remaining)]
	}
	n, err := r.source.Read(p)
	r.remaining -= n
	if err != nil && r.ended == nil {
		r.ended = err
	}
	return n, err
}

type outcome struct {
	exchange *Exchange
	end      End
	reusable bool
}

// whole reports whether the answer is complete, whatever becomes of the connection.
func (o outcome) whole() bool { return o.exchange != nil && o.end.Err == nil && o.end.Framed }

func newConnection(pool *Pool, upstream core.UpstreamID, socket net.Conn, decode DecodeHead) *Connection {
	received := &limitedReader{source: pool.link.Reader(socket)}
	return &Connection{
		upstream: upstream, socket: socket, received: received, reader: bufio.NewReaderSize(received, readBuffer), decode: decode, pool: pool,
		inbox: make(chan *Exchange, 1), dispatched: make(chan *Exchange, 1), results: make(chan outcome, 1),
		stop: make(chan struct{}), idleLimit: maxIdle,
	}
}

// Send passes the next exchange to the connection, which the caller must have
// acquired from the pool.
func (c *Connection) Send(exchange *Exchange) { c.inbox <- exchange }

// Release gives back an acquired connection on which nothing is sent.
func (c *Connection) Release() { c.pool.release(c) }

// run performs exchanges until the connection is closed.
func (c *Connection) run() {
	defer c.pool.connectionClosed(c)
	defer func() { _ = c.socket.Close() }()
	go c.read()
	idle := time.NewTimer(c.idleLimit)
	defer idle.Stop()
	for {
		select {
		case exchange := <-c.inbox:
			if !c.roundTrip(exchange) {
				return
			}
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

// retire removes the connection from the pool. If it was handed out in the
// meantime, its exchange is answered as unsent.
func (c *Connection) retire() {
	if c.pool.removeIdle(c) {
		return
	}
	select {
	case exchange := <-c.inbox:
		exchange.deliver(Event{End: &End{Err: ErrClosed, Unsent: true}})
	case <-c.stop:
	}
}

// roundTrip writes a request and waits for the end of its answer. It releases the
// connection if it can be used for another request, and reports whether it can.
func (c *Connection) roundTrip(exchange *Exchange) bool {
	select {
	case <-c.results:
		exchange.deliver(Event{End: &End{Err: ErrClosed, Unsent: true}})
		return false
	default:
	}
	stopWatching := context.AfterFunc(exchange.Context, func() { _ = c.socket.Close() })
	c.dispatched <- exchange
	written := c.write(exchange)
	var err error
	var result outcome
	select {
	case err = <-written:
		result = <-c.results
	case result = <-c.results:
		if result.whole() && len(written) == 0 {
			return c.finishWriting(exchange, result, written, stopWatching)
		}
		if result.end.Err != nil {
			// The connection is of no further use: the upstream may read on for long.
			_ = c.socket.Close()
		}
		err = <-written
	}
	if result.exchange == nil {
		// The reading goroutine ended before it received the exchange.
		stopWatching()
		exchange.deliver(Event{End: &End{Err: ErrClosed}})
		return false
	}
	end := result.end
	if err != nil && end.Err == nil && !end.Framed {
		// The kernel reports a reset to one call only: after the write, the read sees
		// the plain end of the connection, which does not mean here that the body is whole.
		end.Err = fmt.Errorf("%w: %w", ErrClosed, err)
	}
	if err == nil && end.Err == nil && !end.Framed && !tunnel.AwaitTaken(exchange.Context, c.socket) {
		// The write ends with the bytes in the kernel's buffer, so a reset during the upload
		// may follow it.
		end.Err = fmt.Errorf("%w: the upstream had not taken the whole request", ErrClosed)
	}
	// The requester cancels the context once it has the end of the answer, so
	// the context must no longer close the socket by then.
	stillOpen := stopWatching()
	reusable := err == nil && result.reusable && stillOpen
	// The requester's next request finds the connection if it is released before the end
	// is delivered, which must not wait then.
	early := reusable && len(exchange.Events) < cap(exchange.Events)
	if early {
		c.pool.release(c)
	}
	exchange.deliver(Event{End: &end})
	if reusable && !early {
		c.pool.release(c)
	}
	return reusable
}

// write writes a request. The rest of a long one is written while its answer is awaited,
// as the upstream may answer before it reads on.
func (c *Connection) write(exchange *Exchange) <-chan error {
	written := make(chan error, 1)
	err := c.writeBytes(exchange.Payload)
	if err == nil && len(exchange.Body) > maxBufferedBody {
		go func() {
			written <- c.writeBytes(exchange.Body)
		}()
		return written
	}
	if err == nil && len(exchange.Body) > 0 {
		err = c.writeBytes(exchange.Body)
	}
	written <- err
	return written
}

// writeBytes writes to the upstream and counts what was written.
func (c *Connection) writeBytes(data []byte) error {
	count, err := c.socket.Write(data)
	c.pool.link.Sent(count)
	return err
}

// finishWriting delivers the end of a whole answer, and writes what its upstream has not
// read of the request. It reports whether the connection can be used again.
func (c *Connection) finishWriting(exchange *Exchange, result outcome, written <-chan error, stopWatching func() bool) bool {
	stillOpen := stopWatching()
	exchange.deliver(Event{End: &result.end})
	if err := <-written; err != nil || !result.reusable || !stillOpen {
		return false
	}
	c.pool.release(c)
	return true
}

// deliver sends an event unless the exchange's context has ended.
func (e *Exchange) deliver(event Event) {
	select {
	case e.Events <- event:
	case <-e.Context.Done():
	}
}

// read waits for answers and reports how each ended. It returns after the first
// that leaves the connection unusable.
func (c *Connection) read() {
	for {
		_, peekErr := c.reader.Peek(1)
		var exchange *Exchange
		select {
		case exchange = <-c.dispatched:
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

// readAnswer reads the answer to an exchange. It skips interim answers and late
// answers to earlier requests. It also reports whether the connection can be
// used again.
func (c *Connection) readAnswer(exchange *Exchange) (End, bool) {
	stray := false
	c.request.Method = exchange.Method
	for range maxInterimResponses {
		// The body needs no close: the connection is closed unless the body was
		// read to its end.
		response, err := c.readHead() //nolint:bodyclose
		if err != nil {
			// A line that the end of the connection cuts off reads as a malformed one.
			if c.received.ended != nil && c.reader.Buffered() == 0 && !errors.Is(err, httpresponse.ErrMalformed) {
				return End{Err: fmt.Errorf("%w: %w: %w", ErrClosed, c.received.ended, err)}, false
			}
			return End{Err: fmt.Errorf("%w: %w", ErrMalformedResponse, err)}, false
		}
		if !core.ValidStatus(response.StatusCode) {
			return End{Err: fmt.Errorf("%w: status %q", ErrMalformedResponse, response.Status)}, false
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		head := c.decode(response)
		if head.Ambiguous {
			return End{Err: fmt.Errorf("%w: it names several requests", ErrMalformedResponse)}, false
		}
		// An answer that names no request is not of this one either: upstreams repeat
		// the id, and a faulty one may write an earlier refusal once more.
		if head.ID != exchange.ID {
			stray = true
			discarded, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes))
			if err != nil {
				return End{Err: bodyError(err)}, false
			}
			if discarded == maxStrayBytes {
				return End{Err: fmt.Errorf("%w: an answer to another request exceeds %d bytes", ErrMalformedResponse, maxStrayBytes)}, false
			}
			continue
		}
		c.updateIdleLimit(response.Header)
		end := c.readBody(exchange, response, &head)
		return end, end.Err == nil && end.Framed && !response.Close && !stray && !c.single
	}
	return End{Err: ErrMalformedResponse}, false
}

// readHead reads the next head, of a final answer or an interim one.
func (c *Connection) readHead() (*http.Response, error) {
	c.received.limit(maxHeadBytes)
	defer c.received.unlimit()
	if httpresponse.IsHTTP10(c.reader) {
		// The check of such a head needs all of it in the buffer.
		c.reader = bufio.NewReaderSize(c.reader, maxHeadBytes)
	}
	return httpresponse.Read(c.reader, &c.request)
}

func (c *Connection) readBody(exchange *Exchange, response *http.Response, head *gateway.AnswerHead) End {
	// Answers to HEAD have no body whatever their fields say.
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || response.Body == http.NoBody
	exchange.deliver(Event{Head: head})
	for {
		n, err := response.Body.Read(c.part[:])
		if n > 0 {
			exchange.deliver(Event{Data: bytes.Clone(c.part[:n])})
		}
		if errors.Is(err, io.EOF) {
			return End{Framed: framed}
		}
		if err != nil {
			return End{Err: bodyError(err), Framed: framed}
		}
	}
}

// bodyError returns the error of an answer whose body could not be read to its end.
func bodyError(err error) error {
	if errors.Is(err, httpresponse.ErrMalformed) {
		return fmt.Errorf("%w: %w", ErrMalformedResponse, err)
	}
	return fmt.Errorf("%w: %w", ErrClosed, err)
}

// updateIdleLimit adopts the idle timeout that the upstream states in the header
// Keep-Alive.
func (c *Connection) updateIdleLimit(header http.Header) {
	for parameter := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds > 0 {
			c.idleLimit = min(maxIdle, max(time.Duration(seconds)*time.Second-idleMargin, idleMargin/2))
		}
	}
}
