package httpresponse

import (
	"bufio"
	"bytes"
	"fmt"
	"net/textproto"
)

const (
	// maxHeadBytes bounds what a HeadRecorder keeps of a head.
	maxHeadBytes = 16 << 10
	legacyStart  = "HTTP/1.0"
	// interimStart is as long as what tells whether a response is interim.
	interimStart = "HTTP/1.x 1"
)

// IsHTTP10 reports whether the next response is of HTTP/1.0. It waits for its first bytes.
func IsHTTP10(reader *bufio.Reader) bool {
	start, err := reader.Peek(len(legacyStart))
	return err == nil && string(start) == legacyStart
}

// checkLegacy checks the head of the next response, of HTTP/1.0, without reading it. An end
// of the connection within the head is no error here.
func checkLegacy(reader *bufio.Reader) error {
	for {
		received, _ := reader.Peek(reader.Buffered())
		if end := headEnd(received); end >= 0 {
			return checkLegacyHead(received[:end])
		}
		if len(received) == reader.Size() {
			return fmt.Errorf("%w: its head, of HTTP/1.0, exceeds %d bytes", ErrMalformed, reader.Size())
		}
		if more, _ := reader.Peek(len(received) + 1); len(more) == len(received) {
			return nil
		}
	}
}

// headEnd returns the length of the head with which text begins, -1 if its end is missing.
func headEnd(text []byte) int {
	for i := 0; ; {
		length := bytes.IndexByte(text[i:], '\n')
		if length < 0 {
			return -1
		}
		line := text[i : i+length]
		i += length + 1
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			return i
		}
	}
}

// checkLegacyHead rejects the head of an HTTP/1.0 response with Transfer-Encoding, whose
// framing is faulty (RFC 9112, 6.1). net/http's parser drops that field and takes the chunks
// for the body. Other faults of the head are left to that parser.
func checkLegacyHead(head []byte) error {
	_, lines, _ := bytes.Cut(head, []byte("\n"))
	fields, _ := textproto.NewReader(bufio.NewReader(bytes.NewReader(lines))).ReadMIMEHeader()
	if _, found := fields["Transfer-Encoding"]; found {
		return fmt.Errorf("%w: an HTTP/1.0 response has Transfer-Encoding", ErrMalformed)
	}
	return nil
}

// HeadRecorder keeps the head of a response of HTTP/1.0 while net/http's transport reads it,
// as the parsed response does not show Transfer-Encoding. It keeps nothing of other final
// responses. Write is called from the goroutine that reads; Check may be called from another
// once the transport has returned the response.
type HeadRecorder struct {
	head []byte
	done bool
}

// Write takes the next bytes that were read from the connection, from the start of the
// response on.
func (r *HeadRecorder) Write(part []byte) {
	if r.done || len(r.head) == 0 && len(part) >= len(interimStart) && !isInterim(part) && !isLegacy(part) {
		r.done = true
		return
	}
	r.head = append(r.head, part...)
	for len(r.head) >= len(interimStart) {
		end := headEnd(r.head)
		switch {
		case !isInterim(r.head) && !isLegacy(r.head), end < 0 && len(r.head) > maxHeadBytes:
			r.head, r.done = nil, true
			return
		case end < 0:
			return
		case isInterim(r.head):
			r.head = r.head[end:]
		default:
			r.head, r.done = r.head[:end], true
			return
		}
	}
}

// Check returns an error that wraps ErrMalformed if the response was of HTTP/1.0 and has
// Transfer-Encoding.
func (r *HeadRecorder) Check() error {
	if len(r.head) == 0 {
		return nil
	}
	return checkLegacyHead(r.head)
}

func isLegacy(head []byte) bool { return bytes.HasPrefix(head, []byte(legacyStart)) }

// isInterim reports whether a head begins like that of an interim response.
func isInterim(head []byte) bool {
	return len(head) >= len(interimStart) && bytes.HasPrefix(head, []byte("HTTP/1.")) && string(head[len("HTTP/1.x"):len(interimStart)]) == " 1"
}
