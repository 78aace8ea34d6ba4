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
	// versionHTTP10 is what a response of HTTP/1.0 begins with.
	versionHTTP10 = "HTTP/1.0"
	// versionBytes is the length of a version, and classBytes that of a status line up to
	// the digit that tells the class of the status.
	versionBytes = len(versionHTTP10)
	classBytes   = len("HTTP/1.0 2")
)

// IsHTTP10 reports whether the next response is of HTTP/1.0. It waits for its first bytes.
func IsHTTP10(reader *bufio.Reader) bool {
	start, err := reader.Peek(versionBytes)
	return err == nil && string(start) == versionHTTP10
}

// peekHTTP10 checks the head of the next response, of HTTP/1.0, without reading it. An end of
// the connection within the head is no error here: the parser meets it again.
func peekHTTP10(reader *bufio.Reader) error {
	for {
		received, _ := reader.Peek(reader.Buffered())
		if end := headEnd(received); end >= 0 {
			return checkHTTP10(received[:end])
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

// checkHTTP10 rejects the head of an HTTP/1.0 response with Transfer-Encoding, whose
// framing is faulty (RFC 9112, 6.1). net/http's parser drops that field and takes the chunks
// for the body. Other faults of the head are left to that parser.
func checkHTTP10(head []byte) error {
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
	if r.done || len(r.head) == 0 && len(part) >= classBytes && !isNeeded(part) {
		r.done = true
		return
	}
	r.head = append(r.head, part...)
	for len(r.head) >= classBytes {
		end := headEnd(r.head)
		switch {
		case !isNeeded(r.head), end < 0 && len(r.head) > maxHeadBytes:
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
	return checkHTTP10(r.head)
}

// isNeeded reports whether a head of at least classBytes has to be recorded, as it is of
// HTTP/1.0, or interim, so that the next one may be.
func isNeeded(head []byte) bool {
	return isInterim(head) || string(head[:versionBytes]) == versionHTTP10
}

func isInterim(head []byte) bool { return string(head[versionBytes:classBytes]) == " 1" }
