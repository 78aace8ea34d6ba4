package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/gateway"
)

type plainCodec struct{}

func (plainCodec) DecodeRequest(r *http.Request, body []byte, now time.Time) (*gateway.Request, error) {
	return &gateway.Request{ID: r.Header.Get("Id"), Target: r.RequestURI, Body: body, Arrived: now}, nil
}

func (plainCodec) EncodeRefusal(refusal *gateway.Refusal, _ string) (int, []gateway.Field) {
	if refusal.Kind == gateway.BadRequest {
		return http.StatusBadRequest, nil
	}
	return http.StatusServiceUnavailable, nil
}

type limits gateway.Limits

func (l limits) Limits(context.Context) gateway.Limits { return gateway.Limits(l) }

type handlerFunc func(ctx context.Context, request *gateway.Request, answer gateway.Answer) error

func (f handlerFunc) Serve(ctx context.Context, request *gateway.Request, answer gateway.Answer) error {
	return f(ctx, request, answer)
}

// serve starts a server and returns it, a function that dials it and a function
// that stops it.
func serve(handler handlerFunc) (*Server, func() net.Conn, func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	server := NewServer(Config{
		Listener: listener, Codec: plainCodec{}, Handler: handler, Limits: limits{MaxBodyBytes: 64, MaxHeaderBytes: 512},
		Log: zap.NewNop(), Now: time.Now, MaxConnections: 100,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		server.Run(ctx)
		close(done)
	}()
	dial := func() net.Conn {
		connection, err := net.Dial("tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		return connection
	}
	return server, dial, func() {
		cancel()
		<-done
	}
}

func ask(connection net.Conn, text string) (reply, error) {
	_, err := io.WriteString(connection, text)
	So(err, ShouldBeNil)
	return readReply(bufio.NewReader(connection))
}

// reply is an answer as a caller sees it.
type reply struct {
	status int
	close  bool
	body   string
}

func readReply(reader *bufio.Reader) (reply, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Close, string(body)}, err
}

// Guards against connections that a draining host closes without reading them
// while the balancer still sends callers there. Callers saw 840 resets in
// deploy/days/rolling-restart-hot-team.
func TestALeavingServerServesOneRequestOfANewConnection(t *testing.T) {
	Convey("Given a server that closes idle connections and has a request under way", t, func() {
		release := make(chan struct{})
		started := make(chan struct{})
		server, dial, stop := serve(func(_ context.Context, request *gateway.Request, answer gateway.Answer) error {
			if request.Target == "/held" {
				close(started)
				<-release
			}
			return answer.Send(http.StatusOK, nil, []byte(request.Target))
		})
		Reset(stop)
		held := dial()
		_, err := io.WriteString(held, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
		So(err, ShouldBeNil)
		<-started
		server.Drain()
		closed := make(chan error, 1)
		go func() { closed <- server.CloseIdle(context.Background()) }()
		<-server.closingIdle
		fresh := dial()
		got, err := ask(fresh, "GET /new HTTP/1.1\r\nHost: h\r\n\r\n")
		So(err, ShouldBeNil)
		So(got, ShouldResemble, reply{http.StatusOK, true, "/new"})
		close(release)
		got, err = readReply(bufio.NewReader(held))
		So(err, ShouldBeNil)
		So(got.body, ShouldEqual, "/held")
		So(<-closed, ShouldBeNil)
	})
}

// Guards against ending a request without an answer because its host stops: its handler
// must learn why, and its answer must reach the caller.
func TestEndedRequestsAreAnswered(t *testing.T) {
	Convey("Given a request under way as the server ends requests", t, func() {
		started := make(chan struct{})
		server, dial, stop := serve(func(ctx context.Context, _ *gateway.Request, _ gateway.Answer) error {
			close(started)
			<-ctx.Done()
			if !errors.Is(context.Cause(ctx), gateway.ErrHostStopping) {
				return gateway.Refuse(gateway.CallerGone, 0, "gone")
			}
			return gateway.Refuse(gateway.Draining, 0, "this host stops")
		})
		Reset(stop)
		connection := dial()
		_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		So(err, ShouldBeNil)
		<-started
		server.Drain()
		server.EndRequests()
		got, err := readReply(bufio.NewReader(connection))
		So(err, ShouldBeNil)
		So(got.status, ShouldEqual, http.StatusServiceUnavailable)
		So(got.close, ShouldBeTrue)
		So(server.CloseIdle(context.Background()), ShouldBeNil)
	})
}

// Guards against a request that is accepted after CloseIdle has returned and is
// lost when the process exits. One was accepted 5.7 s after SIGTERM in
// deploy/days/rolling-restart-hot-team.
func TestNoConnectionIsTakenOnceTheServerHasEnded(t *testing.T) {
	Convey("Given a server whose connections have ended", t, func() {
		server, dial, stop := serve(func(_ context.Context, _ *gateway.Request, answer gateway.Answer) error {
			return answer.Send(http.StatusOK, nil, nil)
		})
		Reset(stop)
		_, err := ask(dial(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		So(err, ShouldBeNil)
		server.Drain()
		So(server.CloseIdle(context.Background()), ShouldBeNil)
		_, err = net.Dial("tcp", server.config.Listener.Addr().String())
		So(err, ShouldNotBeNil)
	})
}

// Guards against a body that is read into the next request on the connection,
// with a content length or in chunks.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	Convey("Given three requests sent together on one connection", t, func() {
		_, dial, stop := serve(func(_ context.Context, request *gateway.Request, answer gateway.Answer) error {
			return answer.Send(http.StatusOK, nil, append([]byte(request.Target+" "), request.Body...))
		})
		Reset(stop)
		connection := dial()
		_, err := io.WriteString(connection, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"+
			"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n"+
			"GET /c HTTP/1.1\r\nHost: h\r\n\r\n")
		So(err, ShouldBeNil)
		reader := bufio.NewReader(connection)
		for _, expected := range []string{"/a abc", "/b de", "/c "} {
			got, err := readReply(reader)
			So(err, ShouldBeNil)
			So(got.body, ShouldEqual, expected)
		}
	})
}

// Guards against an aborted stream that looks complete to the caller.
func TestAbortedStreamIsNotTerminated(t *testing.T) {
	Convey("When a handler fails after it has written", t, func() {
		_, dial, stop := serve(func(_ context.Context, _ *gateway.Request, answer gateway.Answer) error {
			if err := errors.Join(answer.Begin(http.StatusOK, nil), answer.Write([]byte("part"))); err != nil {
				return err
			}
			return gateway.Refuse(gateway.UpstreamBroke, 0, "broke")
		})
		Reset(stop)
		got, err := ask(dial(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		So(err, ShouldEqual, io.ErrUnexpectedEOF)
		So(got.body, ShouldEqual, "part")
	})
	Convey("When it fails before it has written, the caller gets a status", t, func() {
		_, dial, stop := serve(func(_ context.Context, _ *gateway.Request, answer gateway.Answer) error {
			if err := answer.Begin(http.StatusOK, nil); err != nil {
				return err
			}
			return gateway.Refuse(gateway.UpstreamBroke, 0, "broke")
		})
		Reset(stop)
		got, err := ask(dial(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		So(err, ShouldBeNil)
		So(got.status, ShouldEqual, http.StatusServiceUnavailable)
	})
}

// Guards against work that continues after the caller has disconnected.
func TestHandlerContextEndsWhenCallerDisconnects(t *testing.T) {
	Convey("When the caller closes its connection", t, func() {
		started, ended := make(chan struct{}), make(chan error, 1)
		_, dial, stop := serve(func(ctx context.Context, _ *gateway.Request, _ gateway.Answer) error {
			close(started)
			<-ctx.Done()
			ended <- ctx.Err()
			return gateway.Refuse(gateway.CallerGone, 0, "gone")
		})
		Reset(stop)
		connection := dial()
		_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		So(err, ShouldBeNil)
		<-started
		_ = connection.Close()
		So(<-ended, ShouldEqual, context.Canceled)
	})
}

// Guards against bodies over the limit that are read completely.
func TestBodyOverLimitIsRefused(t *testing.T) {
	Convey("Given a limit of 64 bytes", t, func() {
		_, dial, stop := serve(func(context.Context, *gateway.Request, gateway.Answer) error { return nil })
		Reset(stop)
		for _, head := range []string{
			"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n",
			"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n80\r\n" + string(make([]byte, 128)) + "\r\n0\r\n\r\n",
		} {
			got, err := ask(dial(), head)
			So(err, ShouldBeNil)
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			So(got.close, ShouldBeTrue)
		}
	})
}
