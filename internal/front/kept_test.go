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

	"github.com/peridotreel/peridotreel/internal/gateway"
)

// afterLastLooks is longer than the wait for a request of a connection that is to close.
const afterLastLooks = 10 * lastLookTimeout

// keptConnections is a server with a connection on which a stream was answered whose head
// does not tell its caller of a close, and another on which a request is in progress.
type keptConnections struct {
	server *Server
	kept   net.Conn
	reader *bufio.Reader
	held   net.Conn
	// release ends the request in progress.
	release chan struct{}
	// idleClosed receives the result of CloseIdle.
	idleClosed chan error
}

// streamAcrossADrain lets a stream begin before a drain and end in it.
func streamAcrossADrain() *keptConnections {
	started, streamed := make(chan struct{}, 2), make(chan struct{})
	k := &keptConnections{release: make(chan struct{}), idleClosed: make(chan error, 1)}
	server, dial, stop := serve(func(ctx context.Context, request *gateway.Request, answer gateway.Answer) error {
		switch {
		case request.Target == "/stream":
			err := errors.Join(answer.Begin(http.StatusOK, nil), answer.Write([]byte("part")))
			started <- struct{}{}
			<-streamed
			return errors.Join(err, answer.End())
		case request.Target == "/held":
			started <- struct{}{}
			<-k.release
		case ctx.Err() != nil:
			return gateway.Refuse(gateway.Draining, 0, "this host stops")
		}
		return answer.Send(http.StatusOK, nil, []byte(request.Target))
	})
	Reset(stop)
	k.server, k.kept, k.held = server, dial(), dial()
	_, err := io.WriteString(k.kept, get("/stream"))
	So(err, ShouldBeNil)
	<-started
	_, err = io.WriteString(k.held, get("/held"))
	So(err, ShouldBeNil)
	<-started
	server.Drain()
	go func() { k.idleClosed <- server.CloseIdle(context.Background()) }()
	<-server.closingIdle
	close(streamed)
	k.reader = bufio.NewReader(k.kept)
	got, err := readReply(k.reader)
	So(err, ShouldBeNil)
	So(got, ShouldResemble, reply{http.StatusOK, false, "part"})
	return k
}

// ask sends a request on the kept connection.
func (k *keptConnections) ask() reply {
	_, err := io.WriteString(k.kept, get("/next"))
	So(err, ShouldBeNil)
	got, err := readReply(k.reader)
	So(err, ShouldBeNil)
	return got
}

// Guards against closing a connection in a stop while the host still runs, although its
// caller was not told: the head of its stream was written before the stop. The caller's
// next request got a reset.
func TestAnUntoldCallerIsAnsweredWhileItsHostStops(t *testing.T) {
	Convey("Given a stream that began before a stop and has ended in it, and a request in progress", t, func() {
		k := streamAcrossADrain()
		time.Sleep(afterLastLooks)
		Convey("the caller of the stream can send its next request", func() {
			So(k.ask(), ShouldResemble, reply{http.StatusOK, true, "/next"})
			close(k.release)
			So(<-k.idleClosed, ShouldBeNil)
		})
		Convey("its connection ends with the last request in progress", func() {
			close(k.release)
			So(<-k.idleClosed, ShouldBeNil)
			_, err := k.reader.ReadByte()
			So(err, ShouldEqual, io.EOF)
		})
	})
}

// Guards against closing such a connection as the requests in progress are ended, before
// their answers are written: its caller's next request got a reset.
func TestAnUntoldCallerIsAnsweredWhileTheLastRequestsEnd(t *testing.T) {
	Convey("Given such a connection, and a request that takes its time to end", t, func() {
		k := streamAcrossADrain()
		k.server.EndRequests()
		time.Sleep(afterLastLooks)
		got := k.ask()
		So(got.status, ShouldEqual, http.StatusServiceUnavailable)
		So(got.close, ShouldBeTrue)
		close(k.release)
		So(<-k.idleClosed, ShouldBeNil)
	})
}

// Guards against a server that ends beside a caller who does not take its last answer, and
// closes the other connections without a last look at what has arrived on them.
func TestIdleConnectionsCloseBesideARequestThatDoesNotEnd(t *testing.T) {
	Convey("Given such a connection, and a request that does not end with its context", t, func() {
		k := streamAcrossADrain()
		k.server.EndRequests()
		k.server.Finish()
		_, err := k.reader.ReadByte()
		So(err, ShouldEqual, io.EOF)
		open, err := k.server.Open(context.Background())
		So(err, ShouldBeNil)
		So(open, ShouldBeGreaterThan, 0)
		close(k.release)
		So(<-k.idleClosed, ShouldBeNil)
	})
}
