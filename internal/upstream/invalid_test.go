package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/filter/attempt"
)

// Guards against an answer with an invalid status that counts as a service's answer, or as
// the start of a stream.
func TestAnInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "20", "2000", "+20", "-00", "-20", "2e2", "0x2", ""} {
		for framing, rest := range map[string]string{
			"with a length": "Content-Length: 2\r\n\r\n{}", "in chunks": "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
			"without a length":   "Connection: close\r\n\r\n{}",
			"before a valid one": "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		} {
			Convey(fmt.Sprintf("An answer %s whose status is %q is a failure that may have run", framing, status), t, func() {
				client := cutClient(fmt.Sprintf("HTTP/1.1 %s Nothing\r\n%s", status, rest), io.EOF)
				_, err := client.Call(context.Background(), cutCall(http.MethodPost))
				So(err, ShouldNotBeNil)
				So(fault.From(err).Code, ShouldEqual, fault.UpstreamFailed)
				So(fault.From(err).Run, ShouldEqual, fault.Unknown)
				So(finished(client), ShouldBeFalse)
			})
		}
	}
}

// wholeStream is the body of a stream that ends with its finish event.
const wholeStream = "id: 1\ndata: " + tokenChunk + "\n\nid: 2\ndata: " + finishChunk + "\n\n"

// Guards against an answer with an invalid field that counts as a service's answer, as the
// start of a stream, as a probe's or as a load report: the parser of net/http keeps a name
// with a blank, so that a length with one is not seen as a length.
func TestAnInvalidFieldIsNoAnswer(t *testing.T) {
	for line, valid := range map[string]bool{
		"X Trace: a": false, "X-Trace : a": false, "Content-Length : 4": false, "Content-Length  : 4": false, "Content Length: 4": false,
		"Transfer-Encoding : chunked": false, "X\tTrace: a": false, "X\x01Trace: a": false, ": a": false, "X-Trace": false, "X-Trace: a": true,
	} {
		for shape, head := range map[string]string{
			"in the head":          "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: LENGTH\r\n\r\n",
			"without a length":     "HTTP/1.1 200 OK\r\nConnection: close\r\n" + line + "\r\n\r\n",
			"in an interim answer": "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: LENGTH\r\n\r\n",
		} {
			Convey(fmt.Sprintf("The line %q %s", line, shape), t, func() {
				answer := func(body string) *Client {
					return cutClient(strings.Replace(head, "LENGTH", fmt.Sprint(len(body)), 1)+body, io.EOF)
				}
				_, err := answer("{}").Call(context.Background(), cutCall(http.MethodPost))
				So(err == nil, ShouldEqual, valid)
				if !valid {
					So(fault.From(err).Code, ShouldEqual, fault.UpstreamFailed)
					So(fault.From(err).Run, ShouldEqual, fault.Unknown)
				}
				So(finished(answer(wholeStream)), ShouldEqual, valid)
				So(answer("").Probe(context.Background(), core.Target{Address: "upstream:80"}) == nil, ShouldEqual, valid)
				_, err = answer("{}").Load(context.Background(), core.Target{Address: "upstream:80"})
				So(err == nil, ShouldEqual, valid)
			})
		}
		Convey(fmt.Sprintf("The line %q after the chunks", line), t, func() {
			client := cutClient("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"+line+"\r\n\r\n", io.EOF)
			_, err := client.Call(context.Background(), cutCall(http.MethodPost))
			So(err == nil, ShouldEqual, valid)
		})
	}
}

// Guards against an answer in another protocol's version, or with a control byte in its status
// line, that counts as a service's answer or as the start of a stream.
func TestAnInvalidStatusLineIsNoAnswer(t *testing.T) {
	for line, valid := range map[string]bool{
		"HTTP/0.9 200 OK": false, "HTTP/2.0 200 OK": false, "HTTP/9.9 200 OK": false, "HTTP/1.1 200 O\x01K": false, "HTTP/1.1 200 O\rK": false,
		"HTTP/1.0 200 OK": true, "HTTP/1.2 200 OK": true, "HTTP/1.1 200": true, "HTTP/1.1 200 O\x80K": true,
	} {
		for shape, fields := range map[string]string{"with a length": "Content-Length: %d\r\n", "without a length": "X-Length: %d\r\n"} {
			Convey(fmt.Sprintf("The status line %q of an answer %s", line, shape), t, func() {
				answer := func(body string) *Client {
					return cutClient(line+"\r\n"+fmt.Sprintf(fields, len(body))+"\r\n"+body, io.EOF)
				}
				_, err := answer("{}").Call(context.Background(), cutCall(http.MethodPost))
				So(err == nil, ShouldEqual, valid)
				if !valid {
					So(fault.From(err).Code, ShouldEqual, fault.UpstreamFailed)
					So(fault.From(err).Run, ShouldEqual, fault.Unknown)
				}
				So(finished(answer(wholeStream)), ShouldEqual, valid)
			})
		}
	}
}

// Guards against an answer of HTTP/1.0 in chunks, of which a caller got the sizes of the
// chunks as a part of the body: the parser of net/http ignores the field there.
func TestAnAnswerOfHTTP10InChunksIsNoAnswer(t *testing.T) {
	const start = "HTTP/1.0 200 OK\r\n"
	long := "X-Trace: " + strings.Repeat("x", 8<<10) + "\r\n"
	for head, valid := range map[string]bool{
		start + "Transfer-Encoding: chunked\r\n": false, start + "Content-Length: 2\r\ntransfer-encoding:chunked\r\n": false,
		start + long + "Transfer-Encoding: chunked\r\n": false, "HTTP/1.1 103 Early Hints\r\n\r\n" + start + "Transfer-Encoding: chunked\r\n": false,
		start: true, start + long: true, "HTTP/1.1 103 Early Hints\r\n\r\n" + start: true, start + "X: Transfer-Encoding: chunked\r\n": true,
	} {
		Convey(fmt.Sprintf("Given the head %.120q of %d bytes", head, len(head)), t, func() {
			for _, newConnection := range []bool{true, false} {
				for _, step := range []int{1, 100, 1 << 20} {
					call := cutCall(http.MethodPost)
					call.NewConnection = newConnection
					answer, err := cutClientInSteps(head+"\r\n{}", io.EOF, step).Call(context.Background(), call)
					So(err == nil, ShouldEqual, valid)
					if valid {
						So(string(answer.Body), ShouldEqual, "{}")
					} else {
						So(fault.From(err).Code, ShouldEqual, fault.UpstreamFailed)
						So(fault.From(err).Run, ShouldEqual, fault.Unknown)
					}
				}
			}
		})
	}
}

// Guards against an answer of HTTP/1.0 in chunks on a connection that was used before.
func TestALaterAnswerOfHTTP10InChunksIsNoAnswer(t *testing.T) {
	Convey("Given a kept connection", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		Reset(func() { _ = listener.Close() })
		go func() {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = accepted.Close() }()
			reader := bufio.NewReader(accepted)
			for _, answer := range []string{
				"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
			} {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(accepted, answer)
			}
		}()
		call := cutCall(http.MethodPost)
		call.NewConnection, call.Target = false, core.Target{Address: listener.Addr().String()}
		client := NewClient()
		Reset(client.Close)
		_, err = client.Call(context.Background(), call)
		So(err, ShouldBeNil)
		_, err = client.Call(context.Background(), call)
		So(err, ShouldNotBeNil)
	})
}

// Guards against taking a part of an answer for the whole if the upstream ends its answer
// while the upload is on its way and then resets the connection, whether the upload is still
// being written or waits in the kernel's buffer.
func TestAnAnswerThatEndsBeforeItsUploadIsTakenIsNotComplete(t *testing.T) {
	const part = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"payout\":"
	for name, c := range map[string]struct {
		upload   int
		end      func(*net.TCPConn)
		complete bool
	}{
		"reset, while the upload is written":   {16 << 20, func(s *net.TCPConn) { _ = s.SetLinger(0) }, false},
		"reset, with the upload buffered":      {64 << 10, func(s *net.TCPConn) { _ = s.SetLinger(0) }, false},
		"ended and reset, while it is written": {16 << 20, func(s *net.TCPConn) { _, _ = s.CloseWrite(), s.SetLinger(0) }, false},
		"ended and reset, with it buffered":    {64 << 10, func(s *net.TCPConn) { _, _ = s.CloseWrite(), s.SetLinger(0) }, false},
		"ended, after the upload was read":     {64 << 10, func(s *net.TCPConn) { _ = s.CloseWrite() }, true},
	} {
		Convey("Given an answer whose connection is "+name, t, func() {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			Reset(func() { _ = listener.Close() })
			go func() {
				accepted, err := listener.Accept()
				if err != nil {
					return
				}
				socket := accepted.(*net.TCPConn)
				_ = socket.SetReadBuffer(4 << 10)
				reader := bufio.NewReaderSize(socket, 100)
				if request, err := http.ReadRequest(reader); err == nil && c.complete {
					_, _ = io.Copy(io.Discard, request.Body)
				}
				_, _ = io.WriteString(socket, part)
				c.end(socket)
				_ = socket.Close()
			}()
			request := attempt.Request{
				Work: &core.Work{ID: core.KeyedRequestID("team", "key"), Call: &core.Call{Kind: core.KindService, Service: &core.ServiceCall{
					Service: "ledger", Method: http.MethodPost, Path: "/payouts", Body: make([]byte, c.upload),
				}}}, Target: core.Target{Address: listener.Addr().String()}, Attempt: 1, NewConnection: true,
			}
			answer, err := NewClient().Call(context.Background(), request)
			So(err == nil, ShouldEqual, c.complete)
			if err != nil {
				So(fault.From(err).Run, ShouldEqual, fault.Unknown)
				return
			}
			So(string(answer.Body), ShouldEqual, "{\"payout\":")
		})
	}
}
