package front

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/gateway"
)

// Guards against an answer that is cut as its connection ends with the next request of its
// caller unread: the kernel resets the connection and drops what the caller has not read.
func TestAnAnswerIsWholeAlthoughTheNextRequestIsUnread(t *testing.T) {
	Convey("Given a stopping host, a long answer and a further request behind the first", t, func() {
		listener := listen()
		whole := bytes.Repeat([]byte("answer"), 1<<20)
		server := NewServer(Config{
			Listener: listener, Codec: plainCodec{}, Limits: limits{MaxBodyBytes: 1 << 20}, Log: zap.NewNop(), MaxConnections: limitedConnections,
			Now: time.Now,
			Handler: handlerFunc(func(_ context.Context, _ *gateway.Request, answer gateway.Answer) error {
				return answer.Send(http.StatusOK, nil, whole)
			}),
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			server.Run(ctx)
			close(done)
		}()
		Reset(func() {
			cancel()
			<-done
		})
		l := &limitedServer{listener: listener, server: server}
		server.Drain()
		connection := l.dial()
		next := strings.Repeat("x", 100<<10)
		_, err := fmt.Fprintf(connection, "%sPOST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", plainRequest, len(next), next)
		So(err, ShouldBeNil)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		So(err, ShouldBeNil)
		defer func() { _ = response.Body.Close() }()
		got, err := io.ReadAll(response.Body)
		So(err, ShouldBeNil)
		So(len(got), ShouldEqual, len(whole))
	})
}
