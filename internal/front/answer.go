package front

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/peridotreel/peridotreel/internal/decide/readers"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

// errWriteFailed means that the answer could not be written to the caller's
// connection.
var errWriteFailed = errors.New("writing the answer to the caller's connection failed")

// answer writes the answer to one request to the caller's connection.
type answer struct {
	connection *connection
	// interruption returns why the request's context has ended, nil before.
	interruption func() error
	// read is true once the whole request was read, decoded once it was decoded.
	read, decoded bool
	requestID     string
	method        string
	http10        bool
	// closeAfter is why the connection is closed after this answer, "" if it is kept.
	closeAfter gateway.CloseCause
	// pendingHead holds a stream's head until it is written with the first part.
	pendingHead []byte
	status      int
	begun       bool
	done        bool
	failed      bool
	// outbox writes what the caller has not taken, nil while it takes all.
	outbox *outbox
	// written is true once a byte was written, writeError is the error of the write that
	// failed.
	written    bool
	writeError error
	// refused is the kind of the refusal that was written, "" for an upstream's answer.
	refused gateway.RefusalKind
	ending  gateway.Ending
}

// begin prepares the answer to a request that was read.
func (a *answer) begin(request *http.Request) {
	a.read, a.method, a.http10 = true, request.Method, request.ProtoMinor == 0
	if request.Close {
		a.closeAfter = gateway.CloseCaller
	}
	a.closeIfDue()
}

// closeIfDue lets the answer end the connection if the next one has to.
func (a *answer) closeIfDue() {
	if a.closeAfter == "" {
		a.closeAfter = a.connection.closing()
	}
}

// Send writes a whole answer.
func (a *answer) Send(status int, fields []gateway.Field, body []byte) error {
	a.closeIfDue()
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
	if a.http10 && a.closeAfter == "" {
		a.closeAfter = gateway.CloseCaller
	}
	a.closeIfDue()
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

func (a *answer) head(status int, fields []gateway.Field) *bytes.Buffer {
	a.status = status
	out := bytes.NewBuffer(make([]byte, 0, 512))
	fmt.Fprintf(out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, field := range fields {
		out.WriteString(field.Name)
		out.WriteString(": ")
		out.WriteString(field.Value)
		out.WriteString("\r\n")
	}
	if a.closeAfter != "" {
		out.WriteString("Connection: close\r\n")
	}
	return out
}

// write writes to the caller what it takes at once, and leaves the rest to an outbox.
func (a *answer) write(data []byte) error {
	if a.failed {
		return errWriteFailed
	}
	err := a.pass(data)
	if err == nil && a.done {
		err = a.flush()
	}
	if err != nil {
		a.failed, a.writeError = true, err
		return fmt.Errorf("%w: %w", errWriteFailed, err)
	}
	return nil
}

func (a *answer) pass(data []byte) error {
	if a.outbox != nil {
		return a.outbox.add(data)
	}
	_ = a.connection.socket.SetWriteDeadline(a.connection.server.config.Now().Add(readers.MaxGap))
	rest, err := a.connection.writeNow(data)
	a.written = a.written || len(rest) < len(data)
	if err == nil && len(rest) > 0 {
		a.outbox = startOutbox(a.connection, rest)
	}
	return err
}

// flush waits until the caller has taken what waits for it.
func (a *answer) flush() error {
	if a.outbox == nil {
		return nil
	}
	outbox := a.outbox
	a.outbox = nil
	err := outbox.finish()
	a.written = a.written || outbox.wrote
	return err
}
