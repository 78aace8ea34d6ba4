package connpool

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// unreadBytes is more than the socket buffers of a connection hold.
const unreadBytes = 32 << 20

// Guards against holding back a whole answer while its upstream does not read the rest of
// the request, until the caller's time is up or the connection is closed.
func TestAnAnswerIsDeliveredBeforeTheBodyIsRead(t *testing.T) {
	Convey("Given an upstream that answers after the head and then reads on", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		answered, read := make(chan struct{}), make(chan int64, 1)
		go func() {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(connection)
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = connection.Write([]byte("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok"))
			<-answered
			n, _ := io.Copy(io.Discard, request.Body)
			read <- n
		}()
		pool, stop := startPool()
		Reset(func() {
			stop()
			_ = listener.Close()
		})
		ctx, end := context.WithCancel(context.Background())
		connection, _, err := pool.Acquire(ctx, Target{Upstream: "u", Address: listener.Addr().String(), MaxConnections: 1})
		So(err, ShouldBeNil)
		events := make(chan Event, 8)
		head := []byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 33554432\r\n\r\n")
		connection.Send(&Exchange{ID: "a", Method: http.MethodPost, Payload: head, Body: make([]byte, unreadBytes), Events: events, Context: ctx})
		for event := range events {
			if event.End != nil {
				So(event.End.Err, ShouldBeNil)
				break
			}
		}
		end()
		close(answered)
		So(<-read, ShouldEqual, unreadBytes)
	})
}
