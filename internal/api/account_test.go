package api

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/connections"
	"github.com/peridotreel/peridotreel/internal/tasks/endings"
)

// accountedServer serves one endpoint on a loopback address and has the account of its
// requests and connections.
type accountedServer struct {
	address string
	server  *http.Server
	endings *endings.Endings
	follow  *connections.Connections
	lines   *observer.ObservedLogs
	ended   chan struct{}
}

func serveAccounted(next endpoint) *accountedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	written, lines := observer.New(zapcore.InfoLevel)
	s := &accountedServer{address: listener.Addr().String(), endings: endings.New(), lines: lines, ended: make(chan struct{})}
	s.follow = connections.New(s.endings)
	account := &Account{Requests: s.endings, Connections: s.follow, HostEnded: s.ended, Now: time.Now, Log: zap.New(written)}
	s.server = &http.Server{Handler: account.wrap(next), ReadHeaderTimeout: time.Minute, ErrorLog: zap.NewStdLog(zap.NewNop())}
	s.follow.Follow(s.server)
	var group task.Group
	group.Start(s.endings)
	group.Start(s.follow)
	go func() { _ = s.server.Serve(s.follow.Listener(listener)) }()
	Reset(func() {
		_ = s.server.Close()
		group.Stop()
	})
	return s
}

// send sends a request on a new connection, reads until the host closes it, and returns
// what was read. If half is true, the caller closes its sending side after the request.
func (s *accountedServer) send(request string, half bool) string {
	connection, err := net.Dial("tcp", s.address)
	So(err, ShouldBeNil)
	defer func() { _ = connection.Close() }()
	_, err = io.WriteString(connection, request)
	So(err, ShouldBeNil)
	if half {
		So(connection.(*net.TCPConn).CloseWrite(), ShouldBeNil)
	}
	read, _ := io.ReadAll(connection)
	return string(read)
}

// check waits until all connections have ended, and checks the account.
func (s *accountedServer) check(ending gateway.Ending, cause gateway.CloseCause) {
	So(s.follow.AwaitClosed(context.Background()), ShouldBeNil)
	totals, err := s.endings.Totals(context.Background())
	So(err, ShouldBeNil)
	So(totals.Ends, ShouldResemble, map[gateway.Ending]int64{ending: 1})
	So(totals.RequestsBegun, ShouldEqual, 1)
	So(totals.RequestsInFlight, ShouldEqual, 0)
	So(totals.Closes, ShouldResemble, map[gateway.Closing]int64{{Cause: cause}: 1})
	So(totals.ConnectionsAccepted, ShouldEqual, 1)
	So(totals.ConnectionsOpen, ShouldEqual, 0)
	So(totals.Unmatched, ShouldEqual, 0)
	var lost []string
	for _, line := range s.lines.All() {
		fields := line.ContextMap()
		lost = append(lost, fmt.Sprintf("%s %v %v %v", line.LoggerName, fields["event"], fields["end"], fields["end_cause"]))
	}
	if !ending.End.Lost() {
		So(lost, ShouldBeEmpty)
		return
	}
	So(lost, ShouldResemble, []string{fmt.Sprintf("loss request_done %s %s", ending.End, ending.Cause)})
}

// Requests that ask for the end of their connection, and one that ends within its body.
const (
	wholeRequest = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
	partRequest  = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf"
)

// past is a write deadline with which each write fails like one that took too long.
var past = time.Unix(1, 0)

// must panics in a handler, which ends its request in another way than the test expects.
// Assertions of goconvey work on the test's goroutine only.
func must(holds bool) {
	if !holds {
		panic("the handler of a test failed")
	}
}

func expireWrites(w http.ResponseWriter) {
	must(http.NewResponseController(w).SetWriteDeadline(past) == nil)
}

func sendPart(response *answer) *streamSink {
	sink := newStreamSink(response, "model", time.Unix(0, 0))
	sink.Begin(&core.Work{})
	must(errors.Join(sink.Token(" card"), sink.Flush()) == nil)
	return sink
}

// Guards against an end that is not reported, is reported twice or with another cause, and
// against answers and refusals that count as delivered although their writes failed.
func TestEachRequestEndsOnceWithItsCause(t *testing.T) {
	whole := &core.Answer{Completion: &core.CompletionAnswer{Text: " card", FinishReason: "stop"}}
	service := func(status int) endpoint {
		return func(response *answer, _ *http.Request) {
			sink := accountedSink{newNonStreamSink(response, "", time.Unix(0, 0)), response}
			must(sink.Finish(&core.Answer{Service: &core.ServiceAnswer{Status: status, Body: []byte("body")}}) == nil)
		}
	}
	refuse := func(response *answer, _ *http.Request) {
		response.refuse(fault.Refuse(fault.Overloaded, "retry"))
	}
	cut := func(err *fault.Error) endpoint {
		return func(response *answer, _ *http.Request) {
			response.failure = err
			sendPart(response).fail(err)
		}
	}
	for name, c := range map[string]struct {
		next    endpoint
		request string
		ending  gateway.Ending
		closed  gateway.CloseCause
	}{
		"a whole stream": {func(response *answer, _ *http.Request) {
			must(sendPart(response).Finish(whole) == nil)
		}, wholeRequest, gateway.Ending{End: gateway.EndAnswered}, gateway.CloseCaller},
		"a whole answer": {func(response *answer, _ *http.Request) {
			must(newNonStreamSink(response, "model", time.Unix(0, 0)).Finish(whole) == nil)
		}, wholeRequest, gateway.Ending{End: gateway.EndAnswered}, gateway.CloseCaller},
		"a service's answer":  {service(http.StatusNotFound), wholeRequest, gateway.Ending{End: gateway.EndAnswered}, gateway.CloseCaller},
		"a service's failure": {service(http.StatusInternalServerError), wholeRequest, gateway.Ending{End: gateway.EndUpstreamFailure, Cause: gateway.CauseUpstream}, gateway.CloseCaller},
		"a refusal":           {refuse, wholeRequest, gateway.Ending{End: gateway.EndRefused, Cause: "overloaded"}, gateway.CloseCaller},
		"a refusal that could not be written": {func(response *answer, r *http.Request) {
			expireWrites(response.ResponseWriter)
			refuse(response, r)
		}, wholeRequest, gateway.Ending{End: gateway.EndUnanswered, Cause: gateway.CauseWrite}, gateway.CloseDeadline},
		"a whole answer that could not be written": {func(response *answer, _ *http.Request) {
			expireWrites(response.ResponseWriter)
			must(newNonStreamSink(response, "model", time.Unix(0, 0)).Finish(whole) != nil)
		}, wholeRequest, gateway.Ending{End: gateway.EndUnanswered, Cause: gateway.CauseWrite}, gateway.CloseDeadline},
		"a stream whose later writes fail": {func(response *answer, _ *http.Request) {
			sink := sendPart(response)
			expireWrites(response.ResponseWriter)
			must(errors.Join(sink.Token(" card"), sink.Flush()) != nil)
			response.failure = fault.New(fault.CallerGone, fault.Unknown, "the caller took no more")
			panic(http.ErrAbortHandler)
		}, wholeRequest, gateway.Ending{End: gateway.EndCut, Cause: gateway.CauseWrite}, gateway.CloseDeadline},
		"a stream that its upstream broke":    {cut(fault.New(fault.UpstreamFailed, fault.Unknown, "broke")), wholeRequest, gateway.Ending{End: gateway.EndCut, Cause: gateway.CauseUpstream}, gateway.CloseCut},
		"a stream that reached its deadline":  {cut(fault.New(fault.DeadlineExceeded, fault.Unknown, "late")), wholeRequest, gateway.Ending{End: gateway.EndCut, Cause: gateway.CauseDeadline}, gateway.CloseCut},
		"a stream that the host's stop ended": {cut(fault.New(fault.HostDraining, fault.NotRun, "stop")), wholeRequest, gateway.Ending{End: gateway.EndCut, Cause: gateway.CauseHostStopping}, gateway.CloseCut},
		"a handler that panics": {func(*answer, *http.Request) { panic("fault") }, wholeRequest,
			gateway.Ending{End: gateway.EndUnanswered, Cause: gateway.CauseInternal}, gateway.CloseCut},
		"a body that ends early": {func(response *answer, r *http.Request) {
			_, err := (&Handler{now: time.Now}).readBody(response, r)
			response.refuse(err)
		}, partRequest, gateway.Ending{End: gateway.EndUnread, Cause: gateway.CauseCaller}, gateway.CloseCaller},
		"a body that is too long": {func(response *answer, r *http.Request) {
			_, err := (&Handler{now: time.Now}).readBody(response, r)
			response.refuse(err)
		}, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000000\r\n\r\n" + strings.Repeat("x", 4<<20+1),
			gateway.Ending{End: gateway.EndRefused, Cause: "body_too_large"}, gateway.CloseUnreadable},
	} {
		Convey("Given "+name, t, func() {
			s := serveAccounted(c.next)
			s.send(c.request, c.request == partRequest)
			s.check(c.ending, c.closed)
		})
	}
}

// Guards against callers that left, which count as lost, and against requests that the end
// of the host cut, which count as left by their callers.
func TestCallersThatLeaveAndHostsThatEndAreToldApart(t *testing.T) {
	abandon := func(response *answer, r *http.Request) {
		sendPart(response)
		<-r.Context().Done()
		response.failure = fault.New(fault.CallerGone, fault.Unknown, "the caller took no more")
		panic(http.ErrAbortHandler)
	}
	open := func(s *accountedServer) net.Conn {
		connection, err := net.Dial("tcp", s.address)
		So(err, ShouldBeNil)
		_, err = io.WriteString(connection, wholeRequest)
		So(err, ShouldBeNil)
		_, err = bufio.NewReader(connection).ReadString('\n')
		So(err, ShouldBeNil)
		return connection
	}
	Convey("Given a caller that leaves within a stream", t, func() {
		s := serveAccounted(abandon)
		So(open(s).Close(), ShouldBeNil)
		s.check(gateway.Ending{End: gateway.EndCallerGone, Cause: gateway.CauseCaller}, gateway.CloseCaller)
	})
	Convey("Given a host that ends within a stream", t, func() {
		s := serveAccounted(abandon)
		connection := open(s)
		Reset(func() { _ = connection.Close() })
		s.follow.EndHost()
		close(s.ended)
		So(s.server.Close(), ShouldBeNil)
		s.check(gateway.Ending{End: gateway.EndCut, Cause: gateway.CauseHostStopping}, gateway.CloseHostEnded)
	})
}

// Guards against an answer of another form on the wire: a length for whole answers, none
// for answers to HEAD, and no body where the status has none.
func TestWholeAnswersDeclareTheirLength(t *testing.T) {
	serve := func(status int, body string) endpoint {
		return func(response *answer, _ *http.Request) {
			sink := newNonStreamSink(response, "", time.Unix(0, 0))
			must(sink.Finish(&core.Answer{Service: &core.ServiceAnswer{Status: status, Body: []byte(body)}}) == nil)
		}
	}
	for _, c := range []struct {
		method, body string
		status       int
		length       string
	}{
		{http.MethodGet, "body", http.StatusOK, "4"}, {http.MethodGet, "", http.StatusOK, "0"},
		{http.MethodHead, "", http.StatusOK, ""}, {http.MethodGet, "", http.StatusNoContent, ""},
	} {
		Convey(fmt.Sprintf("Given %s, status %d and the body %q", c.method, c.status, c.body), t, func() {
			s := serveAccounted(serve(c.status, c.body))
			answered := s.send(strings.Replace(wholeRequest, "GET", c.method, 1), false)
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(answered)), &http.Request{Method: c.method})
			So(err, ShouldBeNil)
			defer response.Body.Close()
			read, err := io.ReadAll(response.Body)
			So(err, ShouldBeNil)
			So(string(read), ShouldEqual, c.body)
			So(response.StatusCode, ShouldEqual, c.status)
			So(response.Header.Get("Content-Length"), ShouldEqual, c.length)
			So(response.TransferEncoding, ShouldBeEmpty)
			s.check(gateway.Ending{End: gateway.EndAnswered}, gateway.CloseCaller)
		})
	}
}

// Guards against the end of an idle connection that is taken for that of its last request.
func TestAConnectionThatIsKeptOpenEndsForItsOwnCause(t *testing.T) {
	whole := func(response *answer, _ *http.Request) {
		must(sendWhole(response, http.StatusOK, []byte("body")) == nil)
	}
	keep := strings.Replace(wholeRequest, "Connection: close\r\n", "", 1)
	exchange := func(s *accountedServer) net.Conn {
		connection, err := net.Dial("tcp", s.address)
		So(err, ShouldBeNil)
		Reset(func() { _ = connection.Close() })
		reader := bufio.NewReader(connection)
		for range 2 {
			_, err = io.WriteString(connection, keep)
			So(err, ShouldBeNil)
			response, err := http.ReadResponse(reader, nil)
			So(err, ShouldBeNil)
			_, err = io.ReadAll(response.Body)
			So(err, ShouldBeNil)
			So(response.Body.Close(), ShouldBeNil)
		}
		return connection
	}
	for name, c := range map[string]struct {
		end    func(s *accountedServer, connection net.Conn)
		closed gateway.CloseCause
	}{
		"its caller closes": {func(_ *accountedServer, connection net.Conn) { So(connection.Close(), ShouldBeNil) }, gateway.CloseCaller},
		"a stopping host closes": {func(s *accountedServer, _ net.Conn) {
			s.follow.Drain()
			So(s.server.Shutdown(context.Background()), ShouldBeNil)
		}, gateway.CloseDraining},
		"a caller ends within a head": {func(_ *accountedServer, connection net.Conn) {
			_, err := io.WriteString(connection, "GET / HT")
			So(err, ShouldBeNil)
			So(connection.Close(), ShouldBeNil)
		}, gateway.CloseCaller},
		"has a malformed head": {func(_ *accountedServer, connection net.Conn) {
			_, err := io.WriteString(connection, "GET\r\n\r\n")
			So(err, ShouldBeNil)
		}, gateway.CloseUnreadable},
	} {
		Convey("Given a connection with two requests, which "+name, t, func() {
			s := serveAccounted(whole)
			c.end(s, exchange(s))
			So(s.follow.AwaitClosed(context.Background()), ShouldBeNil)
			totals, err := s.endings.Totals(context.Background())
			So(err, ShouldBeNil)
			So(totals.Ends, ShouldResemble, map[gateway.Ending]int64{{End: gateway.EndAnswered}: 2})
			So(totals.Closes, ShouldResemble, map[gateway.Closing]int64{{Cause: c.closed}: 1})
			So(totals.Unmatched, ShouldEqual, 0)
		})
	}
}
