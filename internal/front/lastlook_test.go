package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// lateReader is a connection on which a request arrives as the last look for one has found
// none, and before the process, which is short of processor time, closes it.
type lateReader struct {
	*net.TCPConn
	arrive func()
	looks  int
}

func (l *lateReader) SetReadDeadline(deadline time.Time) error {
	if !deadline.IsZero() && !deadline.Equal(past) {
		l.looks++
	}
	return l.TCPConn.SetReadDeadline(deadline)
}

func (l *lateReader) Read(buffer []byte) (int, error) {
	count, err := l.TCPConn.Read(buffer)
	if err != nil && l.looks == 1 {
		l.arrive()
		for !kernelHasUnread(l.TCPConn) {
			time.Sleep(time.Millisecond)
		}
		return 0, os.ErrDeadlineExceeded
	}
	return count, err
}

// Guards against closing a connection on which a request has arrived between the end of
// the last look and the close: its caller gets a reset, also if the host is stopping.
func TestARequestThatArrivesAfterTheLastLookIsAnswered(t *testing.T) {
	for name, stop := range map[string]bool{"at the idle limit": false, "in a stop": true} {
		Convey("Given a request that arrives after the last look "+name, t, func() {
			listener := listen()
			Reset(func() { _ = listener.Close() })
			l := startLimitedServer(newPipeListener())
			l.server.config.Limits = limits{IdleTimeout: shortIdleLimit}
			own, err := net.Dial("tcp", listener.Addr().String())
			So(err, ShouldBeNil)
			Reset(func() { _ = own.Close() })
			served, err := listener.Accept()
			So(err, ShouldBeNil)
			socket := &lateReader{TCPConn: served.(*net.TCPConn), arrive: func() { _, _ = io.WriteString(own, plainRequest) }}
			c := newConnection(l.server, socket)
			if stop {
				c.served = true
				l.server.config.Limits = limits{IdleTimeout: time.Hour}
				l.server.Drain()
				l.server.Finish()
			}
			go c.run(context.Background())
			got, err := readReply(bufio.NewReader(own))
			So(err, ShouldBeNil)
			So(got.body, ShouldEqual, "/x")
			So(got.close, ShouldEqual, stop)
		})
	}
}

// lateListener is a listener to which a caller connects as the last look for connections
// has found none, and before the process, which is short of processor time, closes it.
type lateListener struct {
	*net.TCPListener
	arrive func()
	looks  int
}

func (l *lateListener) Accept() (net.Conn, error) {
	connection, err := l.TCPListener.Accept()
	if err != nil {
		if l.looks++; l.looks == 2 {
			l.arrive()
		}
	}
	return connection, err
}

// Guards against closing the listener after a caller has connected between the end of the
// last look and the close: the caller gets a reset.
func TestAConnectionThatArrivesAfterTheLastLookIsAnswered(t *testing.T) {
	Convey("Given a caller that connects after the last look in a stop", t, func() {
		listener := &lateListener{TCPListener: listen().(*net.TCPListener)}
		var own net.Conn
		arrived := make(chan error, 1)
		listener.arrive = func() {
			var err error
			if own, err = net.Dial("tcp", listener.Addr().String()); err == nil {
				_, err = io.WriteString(own, plainRequest)
			}
			arrived <- err
		}
		l := startLimitedServer(listener)
		l.server.Drain()
		l.server.EndRequests()
		So(<-arrived, ShouldBeNil)
		Reset(func() { _ = own.Close() })
		got, err := readReply(bufio.NewReader(own))
		So(err, ShouldBeNil)
		So(got.close, ShouldBeTrue)
	})
}
