package front

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/gateway"
)

// Guards against closing a connection without an answer at the end of the grace period
// while a request is being read from it: the caller can't tell whether it was taken.
func TestARequestThatIsStillReadAsTheHostStopsIsRefused(t *testing.T) {
	for name, part := range map[string]string{
		"head":                         "POST /x HTTP/1.1\r\nHost: h\r\nContent-Le",
		"body":                         "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc",
		"chunked body":                 "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"body that waits for a prompt": "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\nExpect: 100-continue\r\n\r\n",
	} {
		Convey("Given a host that stops while it reads a "+name, t, func() {
			listener := newPipeListener()
			passedOn := make(chan string, 1)
			server := NewServer(Config{
				Listener: listener, Codec: plainCodec{}, Log: zap.NewNop(), Now: time.Now, MaxConnections: 100, Limits: limits{},
				Handler: handlerFunc(func(_ context.Context, request *gateway.Request, _ gateway.Answer) error {
					passedOn <- request.Target
					return gateway.Refuse(gateway.UpstreamBroke, 0, "passed on")
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
			connection := listener.dial()
			_, err := io.WriteString(connection, part)
			So(err, ShouldBeNil)
			server.Drain()
			server.EndRequests()
			reader := bufio.NewReader(connection)
			got, err := readReply(reader)
			for err == nil && got.status == http.StatusContinue {
				got, err = readReply(reader)
			}
			So(err, ShouldBeNil)
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			So(got.body, ShouldContainSubstring, string(gateway.Draining))
			So(got.close, ShouldBeTrue)
			So(passedOn, ShouldBeEmpty)
		})
	}
}

// Guards against a server that loses the order to drain, or to end its requests, because
// its inbox is full at that moment: it went on as before, and cut its callers at the end.
func TestABusyServerLosesNoOrderToStop(t *testing.T) {
	Convey("Given a server whose inbox is full", t, func() {
		listener := newPipeListener()
		server := NewServer(Config{
			Listener: listener, Codec: plainCodec{}, Log: zap.NewNop(), Now: time.Now, MaxConnections: 100, Limits: limits{},
			Handler: handlerFunc(func(_ context.Context, request *gateway.Request, answer gateway.Answer) error {
				return answer.Send(http.StatusOK, nil, []byte(request.Target))
			}),
		})
		for server.inbox.TrySend(connectionClosed{}) { //nolint:revive // the body is in the condition
		}
		// runAfter gives an order, runs the server, and returns once it has handled all
		// messages before and the order.
		runAfter := func(order func()) {
			ordered := make(chan struct{})
			go func() {
				order()
				close(ordered)
			}()
			select {
			case <-ordered:
			case <-time.After(50 * time.Millisecond): // the order waits, as it should
			}
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
			<-ordered
			for range inboxCapacity + 1 {
				So(server.inbox.Send(ctx, connectionClosed{}), ShouldBeNil)
			}
		}
		Convey("an order to drain is carried out", func() {
			runAfter(server.Drain)
			got, err := ask(listener.dial(), "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
			So(err, ShouldBeNil)
			So(got, ShouldResemble, reply{http.StatusOK, true, "/x"})
		})
		Convey("an order to end requests is carried out", func() {
			runAfter(server.EndRequests)
			select {
			case <-listener.closed:
			default:
				So("the listener", ShouldEqual, "closed")
			}
		})
	})
}
