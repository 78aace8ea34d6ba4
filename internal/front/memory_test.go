package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/tasks/buffers"
)

const (
	heldBodyBytes = 40 << 10
	// heldBodies is how many bodies fit into the memory of the test's server; each takes a
	// multiple of 32 KiB.
	heldBodies = 3
)

// serveWithMemory starts a server that has memory for heldBodies bodies, and whose handler
// waits for release.
func serveWithMemory(release <-chan struct{}, started chan<- struct{}) func() net.Conn {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	memory := buffers.New(heldBodies * 64 << 10)
	server := NewServer(Config{
		Listener: listener, Codec: plainCodec{}, Limits: limits{MaxBodyBytes: 1 << 20}, Log: zap.NewNop(), Now: time.Now, MaxConnections: 100, Buffers: memory,
		Handler: handlerFunc(func(_ context.Context, request *gateway.Request, answer gateway.Answer) error {
			if request.Target == "/held" {
				started <- struct{}{}
				<-release
			}
			return answer.Send(http.StatusOK, nil, fmt.Append(nil, len(request.Body)))
		}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, 2)
	go func() {
		memory.Run(ctx)
		ended <- struct{}{}
	}()
	go func() {
		server.Run(ctx)
		ended <- struct{}{}
	}()
	Reset(func() {
		cancel()
		<-ended
		<-ended
	})
	return func() net.Conn {
		connection, err := net.Dial("tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		return connection
	}
}

func post(target string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", target, length, strings.Repeat("b", length))
}

func postChunked(target string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", target, length, strings.Repeat("b", length))
}

// Guards against bodies that together exceed the host's memory: the platform ended the
// process, and requests that upstreams ran got no answer.
func TestBodiesThatDoNotFitIntoTheMemoryAreRefused(t *testing.T) {
	for name, encode := range map[string]func(string, int) string{"of a stated length": post, "in chunks": postChunked} {
		Convey("Given a server whose memory is taken by bodies, and one "+name, t, func() {
			release, started := make(chan struct{}), make(chan struct{}, heldBodies)
			dial := serveWithMemory(release, started)
			var held []net.Conn
			for range heldBodies {
				connection := dial()
				held = append(held, connection)
				_, err := io.WriteString(connection, post("/held", heldBodyBytes))
				So(err, ShouldBeNil)
				<-started
			}
			refused, err := ask(dial(), encode("/", heldBodyBytes))
			So(err, ShouldBeNil)
			So(refused.status, ShouldEqual, http.StatusServiceUnavailable)
			So(refused.close, ShouldBeTrue)
			small, err := ask(dial(), encode("/", 1000))
			So(err, ShouldBeNil)
			So(small.status, ShouldEqual, http.StatusOK)
			close(release)
			for _, connection := range held {
				answered, err := readReply(bufio.NewReader(connection))
				So(err, ShouldBeNil)
				So(answered.body, ShouldEqual, fmt.Sprint(heldBodyBytes))
			}
			// The memory of a body is given back before the next request on its connection.
			for _, length := range []int{heldBodyBytes, 20_000, 17_000, 50_000, 0} {
				again, err := ask(held[0], encode("/", length))
				So(err, ShouldBeNil)
				So(again.body, ShouldEqual, fmt.Sprint(length))
			}
		})
	}
}
