package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"os"
	"strings"
	"time"

	"github.com/peridotreel/peridotreel/internal/decide/readers"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/tasks/buffers"
)

const (
	// bodyTimeout limits the time for reading a body, also if the caller gave no
	// deadline.
	bodyTimeout = 15 * time.Second
	// defaultHeaderTimeout and the other defaults apply until a configuration is known.
	defaultHeaderTimeout = 3 * time.Second
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	// requestLineAllowance is added to the limit for the request line.
	requestLineAllowance = 4096
	// maxTrailers limits the trailer lines after a chunked body, which are discarded.
	maxTrailers = 32
)

// errNoMemory refuses a request of which the body does not fit into the host's memory
// beside those of other requests.
var errNoMemory = gateway.Refuse(gateway.Overloaded, gateway.DrainRetryAfter,
	"this host has no memory for the body beside those of other requests; send the request again, which reaches another host")

var (
	errBodyTooLong = errors.New("the body is too long")
	errTrailers    = errors.New("the body has too many trailers")
)

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
	if c.refusing {
		timeout = min(timeout, refusedRequestWait)
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
		// The deadline of an earlier answer may have passed.
		_ = c.socket.SetWriteDeadline(c.server.config.Now().Add(readers.MaxGap))
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
