package connpool

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// invalidStatuses are texts in the place of a status that are none.
var invalidStatuses = []string{"000", "001", "099", "600", "999", "20", "2000", "+20", "-00", "-20", "2e2", "0x2", "", "2 0"}

// Guards against an answer with an invalid status that is passed on, or skipped as an
// interim one, so that what follows it is taken for the answer.
func TestAnInvalidStatusIsNoAnswer(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range invalidStatuses {
		for framing, rest := range map[string]string{
			"with a length": "Content-Length: 4\r\n\r\nbody", "in chunks": "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
			"without a length": "Connection: close\r\n\r\nbody", "before a valid one": "\r\n" + valid,
		} {
			Convey(fmt.Sprintf("An answer %s whose status is %q is malformed", framing, status), t, func() {
				text := fmt.Sprintf("HTTP/1.1 %s Nothing\r\nId: 1\r\n%s", status, rest)
				events := make(chan Event, 8)
				exchange := &Exchange{ID: "1", Method: http.MethodPost, Events: events, Context: context.Background()}
				end, reusable := newConnection(&Pool{}, "u", &cutSocket{text: text, step: len(text), end: io.EOF}, decodeHead).readAnswer(exchange)
				So(end.Err, ShouldWrap, ErrMalformedResponse)
				So(reusable, ShouldBeFalse)
				So(events, ShouldBeEmpty)
			})
		}
	}
	Convey("Statuses from 200 to 599 are passed on", t, func() {
		for _, status := range []int{200, 204, 404, 599} {
			text := strings.Replace(valid, "200", fmt.Sprint(status), 1)
			events := make(chan Event, 8)
			end, _ := newConnection(&Pool{}, "u", &cutSocket{text: text, step: len(text), end: io.EOF}, decodeHead).readAnswer(&Exchange{ID: "1", Events: events, Context: context.Background()})
			So(end.Err, ShouldBeNil)
			So((<-events).Head.Status, ShouldEqual, status)
		}
	})
}

// Guards against an answer in another protocol's version, or with a control byte in its status
// line, that is passed on: what its fields mean for its body is not known.
func TestAnInvalidStatusLineIsNoAnswer(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	for line, isValid := range map[string]bool{
		"HTTP/0.9 200 OK": false, "HTTP/2.0 200 OK": false, "HTTP/9.9 200 OK": false, "HTTP/0.0 200 OK": false,
		"HTTP/1.1 200 O\x00K": false, "HTTP/1.1 200 O\x01K": false, "HTTP/1.1 200 O\rK": false, "HTTP/1.1 200 \x7f": false,
		"HTTP/1.0 200 OK": true, "HTTP/1.2 200 OK": true, "HTTP/1.1 200 ": true, "HTTP/1.1 200": true, "HTTP/1.1 200 \tO\x80 K": true,
	} {
		for shape, text := range map[string]string{
			"with a length":         "%s\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
			"without a length":      "%s\r\nId: 1\r\n\r\nok",
			"of another request":    "%s\r\nId: 2\r\nContent-Length: 2\r\n\r\nno" + valid,
			"before the final head": "%s\r\n\r\n" + valid,
		} {
			start := line
			if shape == "before the final head" {
				start = strings.Replace(line, "200", "103", 1)
			}
			Convey(fmt.Sprintf("The status line %q of an answer %s", start, shape), t, func() {
				events, end, reusable := readWhole(fmt.Sprintf(text, start))
				if isValid {
					So(end.Err, ShouldBeNil)
					So(string(eventData(events)), ShouldEqual, "ok")
					return
				}
				So(end.Err, ShouldWrap, ErrMalformedResponse)
				So(reusable, ShouldBeFalse)
				So(events, ShouldBeEmpty)
			})
		}
	}
}

// Guards against an answer of HTTP/1.0 in chunks, of which a caller got the sizes of the
// chunks as a part of the body: the parser of net/http ignores the field there.
func TestAnAnswerOfHTTP10InChunksIsNoAnswer(t *testing.T) {
	const (
		start   = "HTTP/1.0 200 OK\r\nId: 1\r\n"
		chunks  = "\r\n4\r\nbody\r\n0\r\n\r\n"
		chunked = "Transfer-Encoding: chunked\r\n"
	)
	long := "X-Trace: " + strings.Repeat("x", 8<<10) + "\r\n"
	for text, valid := range map[string]bool{
		start + chunked + chunks:                                        false,
		start + "Content-Length: 19\r\n" + chunked + chunks:             false,
		start + "Connection: keep-alive\r\n" + chunked + chunks:         false,
		start + "transfer-encoding:chunked\r\n" + chunks:                false,
		start + "TRANSFER-ENCODING: identity\r\n" + chunks:              false,
		start + "Transfer-Encoding:\r\n chunked\r\n" + chunks:           false,
		start + long + chunked + chunks:                                 false,
		"HTTP/1.0 200 OK\nId: 1\nTransfer-Encoding: chunked\n" + chunks: false,
		"HTTP/1.0 200 OK\r\n" + chunked + chunks + start + "\r\nbody":   false,
		"HTTP/1.1 103 Early Hints\r\n\r\n" + start + chunked + chunks:   false,
		start + "\r\nbody":                      true,
		start + long + "\r\nbody":               true,
		start + "Content-Length: 4\r\n\r\nbody": true,
		start + "Connection: keep-alive\r\nContent-Length: 4\r\n\r\nbody":     true,
		start + "X: Transfer-Encoding: chunked\r\n\r\nbody":                   true,
		"HTTP/1.1 103 Early Hints\r\n\r\n" + start + "\r\nbody":               true,
		"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nno" + start + "\r\nbody": true,
	} {
		Convey(fmt.Sprintf("Given the answer %.120q of %d bytes", text, len(text)), t, func() {
			for _, step := range []int{1, 100, len(text)} {
				events := make(chan Event, len(text))
				exchange := &Exchange{ID: "1", Method: http.MethodPost, Events: events, Context: context.Background()}
				end, reusable := newConnection(&Pool{}, "u", &cutSocket{text: text, step: step, end: io.EOF}, decodeHead).readAnswer(exchange)
				if !valid {
					So(end.Err, ShouldWrap, ErrMalformedResponse)
					So(reusable, ShouldBeFalse)
					So(events, ShouldBeEmpty)
					continue
				}
				So(end.Err, ShouldBeNil)
				So(reusable, ShouldEqual, strings.Contains(text, "keep-alive"))
				So(string(eventData(events)), ShouldEqual, "body")
			}
		})
	}
}

// Guards against an answer that names several requests and is passed on as the answer to one
// of them, or read past, so that its caller waits in vain.
func TestAnAnswerToSeveralRequestsIsNone(t *testing.T) {
	for _, ids := range []string{"Id: 1\r\nId: 2", "Id: 2\r\nId: 1", "Id: 2\r\nId: 3"} {
		Convey(fmt.Sprintf("Given the ids %q", ids), t, func() {
			events, end, reusable := readWhole("HTTP/1.1 200 OK\r\n" + ids + "\r\nContent-Length: 2\r\n\r\nno" + whole("1", "ok"))
			So(end.Err, ShouldWrap, ErrMalformedResponse)
			So(reusable, ShouldBeFalse)
			So(events, ShouldBeEmpty)
		})
	}
	Convey("An answer may name its request twice", t, func() {
		events, end, reusable := readWhole("HTTP/1.1 200 OK\r\nId: 1\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
		So(end.Err, ShouldBeNil)
		So(reusable, ShouldBeTrue)
		So(string(eventData(events)), ShouldEqual, "ok")
	})
}

// eventData returns the body in the events of an answer.
func eventData(events chan Event) []byte {
	var data []byte
	for len(events) > 0 {
		data = append(data, (<-events).Data...)
	}
	return data
}

// smallBuffer makes an upload remain in the buffers of its sender.
const smallBuffer = 4 << 10

// Guards against taking a part of an answer for the whole if the upstream ends its answer
// while the upload is on its way and then resets the connection, whether the upload is still
// being written or waits in the kernel's buffer.
func TestAnAnswerThatEndsBeforeItsUploadIsTakenIsWholeOnlyIfItIsFramed(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nthe server's by"
	for name, c := range map[string]struct {
		text   string
		upload int
		// end ends the upstream's side, of which it has read a part only.
		end      func(*net.TCPConn)
		complete bool
	}{
		"reset, while the upload is written":      {part, unreadBytes, resetSocketNow, false},
		"reset, with the upload buffered":         {part, 64 << 10, resetSocketNow, false},
		"ended and reset, while it is written":    {part, unreadBytes, endThenReset, false},
		"ended and reset, with it buffered":       {part, 64 << 10, endThenReset, false},
		"ended, and the upload is read":           {part, 64 << 10, endThenRead, true},
		"reset after an answer that has a length": {whole("1", "the server's bytes"), unreadBytes, resetSocketNow, true},
	} {
		Convey("Given an answer whose connection is "+name, t, func() {
			// Set on the listener, so that it holds before the first byte arrives.
			config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
				var err error
				return errors.Join(raw.Control(func(descriptor uintptr) {
					err = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
				}), err)
			}}
			listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			read := make(chan struct{})
			go func() {
				accepted, err := listener.Accept()
				if err != nil {
					return
				}
				socket := accepted.(*net.TCPConn)
				_, _ = io.ReadFull(socket, make([]byte, 100))
				_, _ = socket.Write([]byte(c.text))
				<-read
				c.end(socket)
			}()
			pool, stop := startPool()
			Reset(func() {
				stop()
				_ = listener.Close()
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			connection, _, err := pool.Acquire(ctx, Target{Upstream: "u", Address: listener.Addr().String(), MaxConnections: 1})
			So(err, ShouldBeNil)
			events := make(chan Event, 8)
			connection.Send(&Exchange{ID: "1", Method: http.MethodPost, Payload: make([]byte, 100), Body: make([]byte, c.upload), Events: events, Context: ctx})
			var body string
			for event := range events {
				if event.Data != nil {
					if body += string(event.Data); strings.HasPrefix(body, "the server's by") {
						close(read)
					}
				}
				if event.End != nil {
					So(event.End.Err == nil, ShouldEqual, c.complete)
					return
				}
			}
		})
	}
}

func resetSocketNow(socket *net.TCPConn) {
	_ = socket.SetLinger(0)
	_ = socket.Close()
}

func endThenReset(socket *net.TCPConn) {
	_ = socket.CloseWrite()
	resetSocketNow(socket)
}

func endThenRead(socket *net.TCPConn) {
	_ = socket.CloseWrite()
	_, _ = io.Copy(io.Discard, socket)
	_ = socket.Close()
}
