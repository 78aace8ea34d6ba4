package front

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/peridotreel/peridotreel/internal/gateway"
)

// writeTimeout limits one write to a caller that does not read. Callers abandon a
// stream after a gap of a few seconds.
const writeTimeout = 10 * time.Second

// errWriteFailed means that the answer could not be written to the caller's
// connection.
var errWriteFailed = errors.New("writing the answer to the caller's connection failed")

// answer writes the answer to one request to the caller's connection.
type answer struct {
	connection *connection
	method     string
	http10     bool
	// closeAfter is true if the connection is closed after this answer.
	closeAfter bool
	// pendingHead holds a stream's head until it is written with the first part.
	pendingHead []byte
	begun       bool
	done        bool
	failed      bool
}

// Send writes a whole answer.
func (a *answer) Send(status int, fields []gateway.Field, body []byte) error {
	a.closeAfter = a.closeAfter || a.connection.closing()
	out := a.head(status, fields)
	bodiless := a.method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	if !bodiless {
		fmt.Fprintf(out, "Content-Length: %d\r\n", len(body))
	}
	out.WriteString("\r\n")
	if !bodiless {
		out.Write(body)
	}
	a.begun, a.done = true, true
	return a.write(out.Bytes())
}

// Begin starts a streamed answer. Its head is written with the first part.
func (a *answer) Begin(status int, fields []gateway.Field) error {
	a.closeAfter = a.closeAfter || a.http10 || a.connection.closing()
	out := a.head(status, fields)
	if !a.http10 {
		out.WriteString("Transfer-Encoding: chunked\r\n")
	}
	out.WriteString("\r\n")
	a.begun, a.pendingHead = true, out.Bytes()
	return nil
}

// Write writes a part of a streamed answer.
func (a *answer) Write(data []byte) error {
	out := a.pendingHead
	a.pendingHead = nil
	if a.http10 {
		out = append(out, data...)
	} else if len(data) > 0 {
		out = strconv.AppendInt(out, int64(len(data)), 16)
		out = append(out, "\r\n"...)
		out = append(out, data...)
		out = append(out, "\r\n"...)
	}
	return a.write(out)
}

// End completes a streamed answer.
func (a *answer) End() error {
	out := a.pendingHead
	a.pendingHead = nil
	if !a.http10 {
		out = append(out, "0\r\n\r\n"...)
	}
	a.done = true
	return a.write(out)
}

// Begun reports whether a part of the answer may have reached the caller.
func (a *answer) Begun() bool { return a.begun && a.pendingHead == nil }

// refuse answers with a refusal, or aborts the answer if a part of it may have
// reached the caller.
func (a *answer) refuse(err error, requestID string) {
	if a.Begun() {
		a.failed = true
		if a.http10 {
			// The end of the connection would mark the answer as complete.
			a.connection.resetOnClose()
		}
		return
	}
	var refusal *gateway.Refusal
	if !errors.As(err, &refusal) {
		refusal = gateway.Refuse(gateway.UpstreamBroke, 0, "%v", err)
	}
	a.pendingHead = nil
	if refusal.Kind == gateway.CallerGone {
		a.failed = true
		return
	}
	status, fields := a.connection.server.config.Codec.EncodeRefusal(refusal, requestID)
	body := fmt.Appendf(nil, "{\"error\":{\"code\":%q,\"message\":%q}}\n", refusal.Kind, refusal.Message)
	if a.Send(status, fields, body) != nil {
		a.failed = true
	}
}

// reusable reports whether the connection can be used for another request.
func (a *answer) reusable() bool { return a.done && !a.failed && !a.closeAfter }

func (a *answer) head(status int, fields []gateway.Field) *bytes.Buffer {
	out := bytes.NewBuffer(make([]byte, 0, 512))
	fmt.Fprintf(out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, field := range fields {
		out.WriteString(field.Name)
		out.WriteString(": ")
		out.WriteString(field.Value)
		out.WriteString("\r\n")
	}
	if a.closeAfter {
		out.WriteString("Connection: close\r\n")
	}
	return out
}

func (a *answer) write(data []byte) error {
	if a.failed {
		return errWriteFailed
	}
	socket := a.connection.socket
	_ = socket.SetWriteDeadline(a.connection.server.config.Now().Add(writeTimeout))
	if _, err := socket.Write(data); err != nil {
		a.failed = true
		return fmt.Errorf("%w: %w", errWriteFailed, err)
	}
	return nil
}
