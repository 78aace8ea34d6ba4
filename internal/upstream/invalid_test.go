package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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
