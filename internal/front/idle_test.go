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

// shortIdleLimit passes while no request is sent.
const shortIdleLimit = 20 * time.Millisecond

// limitFunc returns the limits when they are asked for.
type limitFunc func() gateway.Limits

func (f limitFunc) Limits(context.Context) gateway.Limits { return f() }

// pipeListener accepts the server's ends of pipes. A write to the other end returns
// once the server has read it.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.closed:
		return errors.New("the listener is closed already")
	default:
		close(l.closed)
		return nil
	}
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	own, served := net.Pipe()
	l.accepted <- served
	return own
}

// Guards against closing a connection unanswered after a request on it was read: the
// limit of idle connections passed, and while the current limit was asked for, which
// takes long while a configuration is applied, the request arrived.
func TestARequestThatIsReadAsTheIdleLimitPassesIsAnswered(t *testing.T) {
	Convey("Given a request that is read while the current idle limit is asked for", t, func() {
		listener := newPipeListener()
		asked, resume := make(chan struct{}), make(chan struct{})
		calls := 0
		server := NewServer(Config{
			Listener: listener, Codec: plainCodec{}, Log: zap.NewNop(), Now: time.Now, MaxConnections: 100,
			Handler: handlerFunc(func(_ context.Context, request *gateway.Request, answer gateway.Answer) error {
				return answer.Send(http.StatusOK, nil, []byte(request.Target))
			}),
			Limits: limitFunc(func() gateway.Limits {
				if calls++; calls == 2 {
					close(asked)
					<-resume
				}
				return gateway.Limits{IdleTimeout: shortIdleLimit}
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
		<-asked
		_, err := io.WriteString(connection, "GET /late HTTP/1.1\r\nHost: h\r\n\r\n")
		So(err, ShouldBeNil)
		close(resume)
		got, err := readReply(bufio.NewReader(connection))
		So(err, ShouldBeNil)
		So(got.body, ShouldEqual, "/late")
	})
}

// Guards against closing a connection unanswered after a request on it was read: the
// host closes its idle connections at the same moment.
func TestARequestThatIsReadAsIdleConnectionsCloseIsAnswered(t *testing.T) {
	Convey("Given kept connections on which requests are read as idle ones are closed", t, func() {
		for range 200 {
			listener := newPipeListener()
			server := NewServer(Config{
				Listener: listener, Codec: plainCodec{}, Log: zap.NewNop(), Now: time.Now, MaxConnections: 100, Limits: limits{},
				Handler: handlerFunc(func(_ context.Context, request *gateway.Request, answer gateway.Answer) error {
					return answer.Send(http.StatusOK, nil, []byte(request.Target))
				}),
			})
			own, served := net.Pipe()
			ended := make(chan struct{})
			go func() {
				newConnection(server, served).run(context.Background())
				close(ended)
			}()
			reader := bufio.NewReader(own)
			_, err := io.WriteString(own, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
			So(err, ShouldBeNil)
			_, err = readReply(reader)
			So(err, ShouldBeNil)
			read := make(chan error, 1)
			go func() {
				_, err := io.WriteString(own, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n")
				read <- err
			}()
			close(server.closingIdle)
			if <-read == nil {
				got, err := readReply(reader)
				So(err, ShouldBeNil)
				So(got.body, ShouldEqual, "/second")
			}
			_ = own.Close()
			<-ended
		}
	})
}

// Guards against serving a request as if its caller had left, because the wait for it was
// interrupted a moment before it was read.
func TestARequestThatIsFoundAsTheIdleLimitPassesIsNotCancelled(t *testing.T) {
	Convey("Given a request that has arrived and is not read as the idle limit passes", t, func() {
		listener := listen()
		Reset(func() { _ = listener.Close() })
		l := startLimitedServer(newPipeListener())
		l.server.config.Limits = limits{IdleTimeout: shortIdleLimit}
		interruptions := make(chan error, 1)
		l.server.config.Handler = handlerFunc(func(ctx context.Context, _ *gateway.Request, answer gateway.Answer) error {
			interruptions <- ctx.Err()
			return answer.Send(http.StatusOK, nil, nil)
		})
		own, err := net.Dial("tcp", listener.Addr().String()) //nolint:noctx // loopback
		So(err, ShouldBeNil)
		_, err = io.WriteString(own, plainRequest)
		So(err, ShouldBeNil)
		served, err := listener.Accept()
		So(err, ShouldBeNil)
		go newConnection(l.server, &slowReader{Conn: served, interrupted: make(chan struct{})}).run(context.Background())
		So(<-interruptions, ShouldBeNil)
		got, err := readReply(bufio.NewReader(own))
		So(err, ShouldBeNil)
		So(got.status, ShouldEqual, http.StatusOK)
	})
}
