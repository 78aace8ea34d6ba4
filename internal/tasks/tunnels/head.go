package tunnels

import (
	"bufio"
	"bytes"
	"net/http"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/httpresponse"
)

// maxHeadBytes bounds the heads that are looked for; it is that of connections to
// upstreams. Longer ones are passed on all the same.
const maxHeadBytes = 16 << 10

// endOfHead ends the head of an HTTP message.
var endOfHead = []byte("\r\n\r\n")

// headReader finds the head of the first final answer to a request among bytes that pass by.
type headReader struct {
	decode  func(response *http.Response) gateway.AnswerHead
	observe func(head gateway.AnswerHead)
	// partial is what has passed of a head that is not complete.
	partial []byte
	passed  int
	// skip is the number of bytes left of the body of an answer to no request.
	skip int64
	done bool
}

// read takes the next bytes, which it does not keep.
func (h *headReader) read(next []byte) {
	for !h.done && len(next) > 0 {
		if h.skip > 0 {
			skipped := min(h.skip, int64(len(next)))
			next, h.skip = next[skipped:], h.skip-skipped
			continue
		}
		head := next
		if len(h.partial) > 0 {
			h.partial = append(h.partial, next...)
			head = h.partial
		}
		end := bytes.Index(head, endOfHead)
		if end < 0 {
			h.done = h.passed+len(head) > maxHeadBytes
			if len(h.partial) == 0 && !h.done {
				h.partial = bytes.Clone(head)
			}
			break
		}
		end += len(endOfHead)
		h.passed += end
		next, h.partial = head[end:], nil
		h.parse(head[:end])
	}
	if h.done {
		h.partial = nil
	}
}

// parse reports the head unless it is that of an interim answer.
func (h *headReader) parse(head []byte) {
	// The body needs no close: it is never read, and has no connection.
	reader := bufio.NewReaderSize(bytes.NewReader(head), len(head))
	response, err := httpresponse.Read(reader, nil) //nolint:bodyclose
	switch {
	case err != nil || h.passed > maxHeadBytes || !core.ValidStatus(response.StatusCode):
		h.done = true
	case response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols:
		decoded := h.decode(response)
		if decoded.Ambiguous {
			h.done = true
			return
		}
		if decoded.ID == "" && response.ContentLength >= 0 {
			// An upstream that is asked for its report first, on the same connection, says
			// there nothing of what it wants.
			h.skip, h.passed = response.ContentLength, 0
			return
		}
		h.done = true
		h.observe(decoded)
	}
}
