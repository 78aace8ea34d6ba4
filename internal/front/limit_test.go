package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/gateway"
)

// limitedConnections is the limit of the tests' server, of which one connection is kept
// back for refusals.
const limitedConnections = 5

// limitedServer is a server whose clock can be moved.
type limitedServer struct {
	listener net.Listener
	moved    atomic.Int64
	// held has an element for each request for /held under way, which wait for release.
	held    chan struct{}
	release chan struct{}
	server  *Server
}

func startLimitedServer(listener net.Listener) *limitedServer {
	l := &limitedServer{listener: listener, held: make(chan struct{}, limitedConnections), release: make(chan struct{})}
	l.server = NewServer(Config{
		Listener: listener, Codec: plainCodec{}, Limits: limits{MaxBodyBytes: 1 << 20}, Log: zap.NewNop(), MaxConnections: limitedConnections,
		Now: func() time.Time { return time.Now().Add(time.Duration(l.moved.Load())) },
		Handler: handlerFunc(func(_ context.Context, request *gateway.Request, answer gateway.Answer) error {
			if request.Target == "/held" {
				l.held <- struct{}{}
				<-l.release
			}
			return answer.Send(http.StatusOK, nil, []byte(request.Target))
		}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		l.server.Run(ctx)
		close(done)
	}()
	Reset(func() {
		cancel()
		<-done
	})
	return l
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	return listener
}

func (l *limitedServer) dial() net.Conn {
	connection, err := net.Dial("tcp", l.listener.Addr().String())
	So(err, ShouldBeNil)
	Reset(func() { _ = connection.Close() })
	return connection
}

// hold sends a request that waits for release.
func (l *limitedServer) hold() net.Conn {
	connection := l.dial()
	_, err := io.WriteString(connection, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	So(err, ShouldBeNil)
	<-l.held
	return connection
}

const plainRequest = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"

// Guards against a host at its limit of connections that closes new ones although idle
// ones could make room: 30 of 30 callers who had sent a request got a reset.
func TestAnIdleConnectionMakesRoomForANewOne(t *testing.T) {
	for name, kept := range map[string]bool{"kept connections": true, "connections without a request": false} {
		Convey("Given a host at its limit with idle "+name, t, func() {
			l := startLimitedServer(listen())
			var idle []net.Conn
			for range limitedConnections - 1 {
				connection := l.dial()
				if kept {
					_, err := ask(connection, plainRequest)
					So(err, ShouldBeNil)
				}
				idle = append(idle, connection)
			}
			waitUntilAccepted(l, limitedConnections-1)
			l.moved.Add(int64(time.Second))
			got, err := ask(l.dial(), plainRequest)
			So(err, ShouldBeNil)
			So(got, ShouldResemble, reply{http.StatusOK, false, "/x"})
			Convey("the one that was idle for longest is closed", func() {
				_, err := idle[0].Read(make([]byte, 1))
				So(err, ShouldEqual, io.EOF)
				got, err := ask(idle[1], plainRequest)
				So(err, ShouldBeNil)
				So(got.status, ShouldEqual, http.StatusOK)
			})
		})
	}
}

// waitUntilAccepted returns once the server has accepted a number of connections.
func waitUntilAccepted(l *limitedServer, count int) {
	for {
		open, err := l.server.Open(context.Background())
		So(err, ShouldBeNil)
		if open == count {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a host at its limit that closes a connection without an answer, or takes
// its request, where no connection can make room; also for more callers than it keeps
// connections for refusals.
func TestAHostWithoutRoomRefusesRequests(t *testing.T) {
	Convey("Given a host of which all connections have a request", t, func() {
		l := startLimitedServer(listen())
		var held []net.Conn
		for range limitedConnections - 1 {
			held = append(held, l.hold())
		}
		l.moved.Add(int64(time.Second))
		var refused []net.Conn
		for range 10 {
			connection := l.dial()
			_, err := io.WriteString(connection, plainRequest)
			So(err, ShouldBeNil)
			refused = append(refused, connection)
		}
		for _, connection := range refused {
			got, err := readReply(bufio.NewReader(connection))
			So(err, ShouldBeNil)
			So(got.status, ShouldEqual, http.StatusServiceUnavailable)
			So(got.close, ShouldBeTrue)
			So(got.body, ShouldContainSubstring, string(gateway.Overloaded))
			_ = connection.Close()
		}
		Convey("those that were served before get their answers", func() {
			close(l.release)
			for _, connection := range held {
				got, err := readReply(bufio.NewReader(connection))
				So(err, ShouldBeNil)
				So(got, ShouldResemble, reply{http.StatusOK, false, "/held"})
			}
		})
	})
}

// slowReader is a connection whose reads find what has arrived only once a deadline has
// interrupted them, as those of a process that was short of processor time.
type slowReader struct {
	net.Conn
	interrupted chan struct{}
	interrupt   sync.Once
}

func (s *slowReader) Read(buffer []byte) (int, error) {
	select {
	case <-s.interrupted:
		return s.Conn.Read(buffer)
	default:
		<-s.interrupted
		return 0, os.ErrDeadlineExceeded
	}
}

func (s *slowReader) SetReadDeadline(deadline time.Time) error {
	if deadline.Equal(past) {
		s.interrupt.Do(func() { close(s.interrupted) })
		return nil
	}
	return s.Conn.SetReadDeadline(deadline)
}

// Guards against closing a connection on which a request has arrived that the process has
// not read yet: its caller gets a reset.
func TestARequestThatHasArrivedAsTheIdleLimitPassesIsAnswered(t *testing.T) {
	Convey("Given a request that has arrived and is not read as the idle limit passes", t, func() {
		listener := listen()
		Reset(func() { _ = listener.Close() })
		l := startLimitedServer(newPipeListener())
		l.server.config.Limits = limits{IdleTimeout: shortIdleLimit}
		own, err := net.Dial("tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		_, err = io.WriteString(own, plainRequest)
		So(err, ShouldBeNil)
		served, err := listener.Accept()
		So(err, ShouldBeNil)
		go newConnection(l.server, &slowReader{Conn: served, interrupted: make(chan struct{})}).run(context.Background())
		got, err := readReply(bufio.NewReader(own))
		So(err, ShouldBeNil)
		So(got.body, ShouldEqual, "/x")
	})
}

// slowListener accepts nothing until it may.
type slowListener struct {
	*net.TCPListener
	may chan struct{}
}

func (s *slowListener) Accept() (net.Conn, error) {
	<-s.may
	return s.TCPListener.Accept()
}

// Guards against a host that stops while connections wait to be accepted, and closes them
// with the requests that they bring.
func TestConnectionsThatWaitAsTheHostStopsAreAnswered(t *testing.T) {
	for name, stop := range map[string]func(*Server){
		"closes idle connections": func(s *Server) {
			s.Drain()
			go func() { _ = s.CloseIdle(context.Background()) }()
			<-s.closingIdle
		},
		"ends requests": func(s *Server) {
			s.Drain()
			s.EndRequests()
		},
	} {
		Convey("Given connections that are not accepted as the host "+name, t, func() {
			listener := &slowListener{listen().(*net.TCPListener), make(chan struct{})}
			l := startLimitedServer(listener)
			var waiting []net.Conn
			for range limitedConnections - 1 {
				connection := l.dial()
				_, err := io.WriteString(connection, plainRequest)
				So(err, ShouldBeNil)
				waiting = append(waiting, connection)
			}
			stop(l.server)
			waitUntilAccepted(l, 0)
			close(listener.may)
			for _, connection := range waiting {
				got, err := readReply(bufio.NewReader(connection))
				So(err, ShouldBeNil)
				So(got.close, ShouldBeTrue)
			}
		})
	}
}
