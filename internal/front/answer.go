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

// writeTimeout bounds one write to a caller that does not read; callers give
// up a stream after a gap of a few seconds.
const writeTimeout = 10 * time.Second

// errBroken means that the caller's connection took no more bytes.
var errBroken = errors.New("the caller's connection took no more of the answer")

// answer writes the answer to one request on the caller's connection.
type answer struct {
	connection *connection
	method     string
	http10     bool
	// closing is true when the connection ends with this answer.
	closing bool
	// pending holds a stream's head until the first event goes out with it.
	pending []byte
	begun   bool
	done    bool
	broken  bool
}

// Whole sends a whole answer.
func (a *answer) Whole(status int, fields []gateway.Field, body []byte) error {
	a.closing = a.closing || a.connection.draining()
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

// Begin starts a streamed answer. Its head is sent with the first event.
func (a *answer) Begin(status int, fields []gateway.Field) error {
	a.closing = a.closing || a.http10 || a.connection.draining()
	out := a.head(status, fields)
	if !a.http10 {
		out.WriteString("Transfer-Encoding: chunked\r\n")
	}
	out.WriteString("\r\n")
	a.begun, a.pending = true, out.Bytes()
	return nil
}

// Write sends a part of a streamed answer.
func (a *answer) Write(data []byte) error {
	out := a.pending
	a.pending = nil
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
	out := a.pending
	a.pending = nil
	if !a.http10 {
		out = append(out, "0\r\n\r\n"...)
	}
	a.done = true
	return a.write(out)
}

// Begun reports whether a part of the answer may have reached the caller.
func (a *answer) Begun() bool { return a.begun && a.pending == nil }

// refuse answers with a refusal, or breaks a begun answer off.
func (a *answer) refuse(err error, requestID string) {
	if a.Begun() {
		a.broken = true
		return
	}
	var refusal *gateway.Refusal
	if !errors.As(err, &refusal) {
		refusal = gateway.Refuse(gateway.UpstreamBroke, 0, "%v", err)
	}
	a.pending = nil
	if refusal.Kind == gateway.CallerGone {
		a.broken = true
		return
	}
	status, fields := a.connection.server.config.Codec.EncodeRefusal(refusal, requestID)
	body := fmt.Appendf(nil, "{\"error\":{\"code\":%q,\"message\":%q}}\n", refusal.Kind, refusal.Message)
	if a.Whole(status, fields, body) != nil {
		a.broken = true
	}
}

// reusable reports whether the connection may take another request.
func (a *answer) reusable() bool { return a.done && !a.broken && !a.closing }

func (a *answer) head(status int, fields []gateway.Field) *bytes.Buffer {
	out := bytes.NewBuffer(make([]byte, 0, 512))
	fmt.Fprintf(out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, field := range fields {
		out.WriteString(field.Name)
		out.WriteString(": ")
		out.WriteString(field.Value)
		out.WriteString("\r\n")
	}
	if a.closing {
		out.WriteString("Connection: close\r\n")
	}
	return out
}

func (a *answer) write(data []byte) error {
	if a.broken {
		return errBroken
	}
	socket := a.connection.socket
	_ = socket.SetWriteDeadline(a.connection.server.config.Now().Add(writeTimeout))
	if _, err := socket.Write(data); err != nil {
		a.broken = true
		return fmt.Errorf("%w: %w", errBroken, err)
	}
	return nil
}
