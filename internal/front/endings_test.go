package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/gateway"
)

type (
	ends   = map[gateway.Ending]int64
	closes = map[gateway.Closing]int64
)

// endingCase is one way in which requests and connections end.
type endingCase struct {
	limits limits
	play   func(c *countedServer)
	ends   ends
	closes closes
}

var (
	answered    = gateway.Ending{End: gateway.EndAnswered}
	overloaded  = gateway.Ending{End: gateway.EndRefused, Cause: gateway.EndCause(gateway.Overloaded)}
	byCaller    = gateway.Closing{Cause: gateway.CloseCaller}
	byCut       = gateway.Closing{Cause: gateway.CloseCut}
	byDeadline  = gateway.Closing{Cause: gateway.CloseDeadline}
	byHostEnd   = gateway.Closing{Cause: gateway.CloseHostEnded}
	byDraining  = gateway.Closing{Cause: gateway.CloseDraining}
	callerGone  = gateway.Ending{End: gateway.EndCallerGone, Cause: gateway.CauseCaller}
	unread      = gateway.Ending{End: gateway.EndUnread, Cause: gateway.CauseCaller}
	badRequest  = gateway.Ending{End: gateway.EndRefused, Cause: gateway.EndCause(gateway.BadRequest)}
	drainedEnd  = gateway.Ending{End: gateway.EndRefused, Cause: gateway.EndCause(gateway.Draining)}
	upstreamEnd = gateway.Ending{End: gateway.EndUpstreamFailure, Cause: gateway.CauseUpstream}
)

// exchanged is the case of one connection whose end the server brings about.
func exchanged(text string, ending gateway.Ending, closing gateway.Closing) endingCase {
	return endingCase{
		play: func(c *countedServer) { c.exchange(text) }, ends: ends{ending: 1}, closes: closes{closing: 1},
	}
}

// asked is the case of one request whose caller closes the connection after the answer.
func asked(text string, ending gateway.Ending) endingCase {
	return endingCase{
		play: func(c *countedServer) { c.ask(text) }, ends: ends{ending: 1}, closes: closes{byCaller: 1},
	}
}

// left is the case of a caller that closes its connection after it has sent a text.
func left(text string, ending ends) endingCase {
	return endingCase{
		play: func(c *countedServer) { _ = c.send(text).Close() }, ends: ending, closes: closes{byCaller: 1},
	}
}

// waiting is the case of a request in whose handler something happens.
func waiting(target string, happens func(c *countedServer, connection net.Conn), ending gateway.Ending, closing gateway.Closing) endingCase {
	return endingCase{
		play: func(c *countedServer) {
			connection := c.send(get(target))
			<-c.started
			happens(c, connection)
		},
		ends: ends{ending: 1}, closes: closes{closing: 1},
	}
}

func requestCases() map[string]endingCase {
	cut := func(cause gateway.EndCause) gateway.Ending { return gateway.Ending{End: gateway.EndCut, Cause: cause} }
	unanswered := func(cause gateway.EndCause) gateway.Ending {
		return gateway.Ending{End: gateway.EndUnanswered, Cause: cause}
	}
	endServer := func(c *countedServer, _ net.Conn) { c.end() }
	return map[string]endingCase{
		"a whole answer":                            asked(get("/whole"), answered),
		"a whole stream":                            asked(get("/stream"), answered),
		"an answer to HEAD":                         exchanged("HEAD /whole HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", answered, byCaller),
		"an answer to HTTP/1.0":                     exchanged("GET /whole HTTP/1.0\r\n\r\n", answered, byCaller),
		"a stream to HTTP/1.0":                      exchanged("GET /stream HTTP/1.0\r\n\r\n", answered, byCaller),
		"a stream to HTTP/1.0 that is cut":          exchanged("GET /cut/upstream HTTP/1.0\r\n\r\n", cut(gateway.CauseUpstream), byCut),
		"an answer after 100 (Continue)":            exchanged("POST /whole HTTP/1.1\r\nHost: h\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc", answered, byCaller),
		"an upstream's failure":                     asked(get("/failure"), upstreamEnd),
		"a refusal":                                 asked(get("/refused"), overloaded),
		"a refusal that the handler wrote":          asked(get("/twice"), overloaded),
		"an error that is no refusal":               asked(get("/error"), gateway.Ending{End: gateway.EndRefused, Cause: gateway.EndCause(gateway.UpstreamBroke)}),
		"a request that can't be decoded":           asked(get("/undecodable"), badRequest),
		"a handler that writes nothing":             exchanged(get("/nothing"), unanswered(gateway.CauseInternal), byCut),
		"a cut by the upstream":                     exchanged(get("/cut/upstream"), cut(gateway.CauseUpstream), byCut),
		"a cut at the deadline":                     exchanged(get("/cut/deadline"), cut(gateway.CauseDeadline), byCut),
		"a cut by the host's stop":                  exchanged(get("/cut/host_stopping"), cut(gateway.CauseHostStopping), byHostEnd),
		"a cut without a cause":                     exchanged(get("/cut"), cut(gateway.CauseInternal), byCut),
		"a cut as the caller does not read":         exchanged(get("/blocked"), cut(gateway.CauseWrite), byDeadline),
		"a refusal that can't be written":           exchanged(get("/unwritable"), unanswered(gateway.CauseWrite), byDeadline),
		"a caller that leaves":                      waiting("/waits", func(_ *countedServer, connection net.Conn) { _ = connection.Close() }, callerGone, byCaller),
		"a caller that leaves a stream":             waiting("/begun", func(_ *countedServer, connection net.Conn) { _ = connection.Close() }, callerGone, byCaller),
		"a caller that resets a stream":             waiting("/endless", reset, callerGone, byCaller),
		"a host that ends":                          waiting("/waits", endServer, unanswered(gateway.CauseHostStopping), byHostEnd),
		"a host that ends within a stream":          waiting("/begun", endServer, cut(gateway.CauseHostStopping), byHostEnd),
		"a host that ends requests":                 waiting("/waits", func(c *countedServer, _ net.Conn) { c.server.Drain(); c.server.EndRequests() }, drainedEnd, byDraining),
		"a head that is not read":                   left("GET / HTTP/1.1\r\nHo", ends{unread: 1}),
		"a body that is not read":                   left("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc", ends{unread: 1}),
		"a chunked body that is not read":           left("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab", ends{unread: 1}),
		"a head that is malformed":                  exchangedAsked("GET / HTTP/1.1\r\nHost h\r\n\r\n", badRequest, gateway.Closing{Cause: gateway.CloseUnreadable}),
		"a body that is too long":                   exchangedAsked("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\nabc", gateway.Ending{End: gateway.EndRefused, Cause: gateway.EndCause(gateway.BodyTooLarge)}, gateway.Closing{Cause: gateway.CloseUnreadable, UnreadBytes: true}),
		"a head that does not arrive":               exchangedAsked("GET / HTTP/1.1\r\nHo", gateway.Ending{End: gateway.EndRefused, Cause: gateway.EndCause(gateway.SlowRequest)}, byDeadline),
		"a late head that can't be refused":         {play: unwritableHead, ends: ends{{End: gateway.EndUnread, Cause: gateway.CauseWrite}: 1}, closes: closes{byDeadline: 1}},
		"a host that ends within a head":            {play: endWithinHead, limits: limits{HeaderTimeout: time.Hour}, ends: ends{{End: gateway.EndUnread, Cause: gateway.CauseHostStopping}: 1}, closes: closes{byHostEnd: 1}},
		"requests that are sent together":           {play: func(c *countedServer) { c.exchange(get("/whole") + get("/failure") + get("/cut/upstream")) }, ends: ends{answered: 1, upstreamEnd: 1, cut(gateway.CauseUpstream): 1}, closes: closes{byCut: 1}},
		"a request after one that can't be decoded": exchanged("GET /undecodable HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"+get("/whole"), badRequest, gateway.Closing{Cause: gateway.CloseCaller, UnreadBytes: true}),
		"a request after the last that fits":        exchanged("GET /whole HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"+get("/whole"), answered, gateway.Closing{Cause: gateway.CloseCaller, UnreadBytes: true}),
	}
}

// exchangedAsked is the case of a refusal after which the server still reads on, until the
// caller closes the connection.
func exchangedAsked(text string, ending gateway.Ending, closing gateway.Closing) endingCase {
	return endingCase{
		limits: limits{MaxBodyBytes: 64, HeaderTimeout: 100 * time.Millisecond},
		play:   func(c *countedServer) { c.ask(text) }, ends: ends{ending: 1}, closes: closes{closing: 1},
	}
}

func reset(_ *countedServer, connection net.Conn) {
	_ = connection.(*net.TCPConn).SetLinger(0)
	_ = connection.Close()
}

func unwritableHead(c *countedServer) {
	c.moved.Store(hourBack)
	c.exchange("GET / HTTP/1.1\r\nHo")
}

func endWithinHead(c *countedServer) {
	c.send("GET / HTTP/1.1\r\nHo")
	for {
		totals, err := c.endings.Totals(context.Background())
		So(err, ShouldBeNil)
		if totals.RequestsInFlight == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	c.end()
}

func connectionCases() map[string]endingCase {
	full := int64(limitedConnections - 1)
	return map[string]endingCase{
		"a caller that sends nothing": left("", ends{}),
		"the idle limit": {
			limits: limits{IdleTimeout: shortIdleLimit},
			play:   func(c *countedServer) { _, _ = io.ReadAll(c.dial()) },
			ends:   ends{}, closes: closes{{Cause: gateway.CloseIdle}: 1},
		},
		"a host that drains": {
			play: func(c *countedServer) {
				connection := c.kept()
				c.server.Drain()
				So(c.server.CloseIdle(context.Background()), ShouldBeNil)
				_, _ = io.ReadAll(connection)
			},
			ends: ends{answered: 1}, closes: closes{byDraining: 1},
		},
		"an answer of a host that drains": {
			play: func(c *countedServer) {
				connection := c.send(get("/held"))
				<-c.started
				c.server.Drain()
				<-c.server.draining
				close(c.release)
				_, _ = io.ReadAll(connection)
			},
			ends: ends{answered: 1}, closes: closes{byDraining: 1},
		},
		"a host that ends beside an idle connection": {
			play: func(c *countedServer) {
				c.kept()
				c.end()
			},
			ends: ends{answered: 1}, closes: closes{byHostEnd: 1},
		},
		"room that is made at the limit": {
			play: func(c *countedServer) {
				var open []net.Conn
				for range full {
					open = append(open, c.dial())
				}
				c.waitUntilOpen(full)
				c.moved.Add(int64(time.Second))
				open = append(open, c.kept())
				_, _ = io.ReadAll(open[0])
				for _, connection := range open {
					_ = connection.Close()
				}
			},
			ends: ends{answered: 1}, closes: closes{byCaller: full, {Cause: gateway.CloseLimit}: 1},
		},
		"a refusal at the limit": {
			play: func(c *countedServer) {
				var open []net.Conn
				for range full {
					open = append(open, c.send(get("/held")))
					<-c.started
				}
				c.ask(plainRequest)
				close(c.release)
				for _, connection := range open {
					_, _ = readReply(bufio.NewReader(connection))
					_ = connection.Close()
				}
			},
			ends: ends{answered: full, overloaded: 1}, closes: closes{byCaller: full, {Cause: gateway.CloseLimit, UnreadBytes: true}: 1},
		},
	}
}

// Guards against requests and connections that end without a trace, twice, or with a wrong
// cause: the reports of lost requests could not be told from those of refused ones.
func TestEachRequestAndConnectionEndsOnce(t *testing.T) {
	for _, cases := range []map[string]endingCase{requestCases(), connectionCases()} {
		for name, expected := range cases {
			Convey("Given "+name, t, func() {
				c := startCountedServer(expected.limits)
				expected.play(c)
				var begun, accepted int64
				for _, count := range expected.ends {
					begun += count
				}
				for _, count := range expected.closes {
					accepted += count
				}
				totals := c.settled(accepted)
				So(totals.Ends, ShouldResemble, expected.ends)
				So(totals.Closes, ShouldResemble, expected.closes)
				So(totals.RequestsBegun, ShouldEqual, begun)
				So(totals.RequestsInFlight, ShouldEqual, 0)
				So(totals.Unmatched, ShouldEqual, 0)
			})
		}
	}
}

// Guards against bytes in the kernel that are thrown away without a trace, and against
// waiting for bytes as a connection is closed.
func TestBytesThatTheKernelHasReceivedAreFound(t *testing.T) {
	Convey("Given the ends of a connection", t, func() {
		listener := listen()
		own, err := net.Dial("tcp", listener.Addr().String())
		So(err, ShouldBeNil)
		served, err := listener.Accept()
		So(err, ShouldBeNil)
		Reset(func() { _, _, _ = own.Close(), served.Close(), listener.Close() })
		So(kernelHasUnread(served), ShouldBeFalse)
		Convey("sent bytes are found", func() {
			_, err = io.WriteString(own, "x")
			So(err, ShouldBeNil)
			for !kernelHasUnread(served) {
				time.Sleep(time.Millisecond)
			}
		})
		Convey("the end of a connection is none", func() {
			_ = own.Close()
			_, err = served.Read(make([]byte, 1))
			So(err, ShouldEqual, io.EOF)
			So(kernelHasUnread(served), ShouldBeFalse)
		})
	})
}

// Guards against ends that only the counts tell of, and against lines of losses that are
// sampled with others.
func TestEndsAreLogged(t *testing.T) {
	const lossLogger = "loss"
	for name, expected := range map[string]struct {
		text   string
		logger string
		fields map[string]any
	}{
		"a malformed head": {"GET / HTTP/1.1\r\nHost h\r\n\r\n", "", map[string]any{
			"event": "request_malformed", "end": "refused", "end_cause": "bad_request", "kind": "bad_request", "reason": "a header line has no valid name",
		}},
		"a head that is not read": {"GET / HTTP/1.1\r\nHo", "", map[string]any{
			"event": "request_unread", "end": "unread", "end_cause": "caller", "error": "EOF",
		}},
		"bytes that are not read": {"GET /whole HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/whole"), lossLogger, map[string]any{
			"event": "connection_closed", "close_cause": "caller", "unread_bytes": true,
		}},
	} {
		Convey("Given "+name, t, func() {
			c := startCountedServer(limits{})
			connection := c.send(expected.text)
			So(connection.(*net.TCPConn).CloseWrite(), ShouldBeNil)
			_, _ = io.ReadAll(connection)
			c.settled(1)
			So(c.lines.Len(), ShouldEqual, 1)
			line := c.lines.All()[0]
			So(line.ContextMap(), ShouldResemble, expected.fields)
			So(line.LoggerName, ShouldEqual, expected.logger)
		})
	}
	Convey("Given a request that can't be decoded and whose refusal can't be written", t, func() {
		c := startCountedServer(limits{})
		c.server.config.Codec = lateCodec{func() { c.moved.Store(hourBack) }}
		c.exchange(get("/undecodable"))
		c.settled(1)
		So(c.lines.Len(), ShouldEqual, 1)
		line := c.lines.All()[0]
		So(line.ContextMap(), ShouldResemble, map[string]any{
			"event": "request_done", "end": "unanswered", "end_cause": "write", "kind": "bad_request", "reason": "undecodable",
		})
		So(line.LoggerName, ShouldEqual, lossLogger)
	})
}

// lateCodec calls a function before it decodes a request.
type lateCodec struct{ before func() }

func (l lateCodec) DecodeRequest(r *http.Request, body []byte, now time.Time) (*gateway.Request, error) {
	l.before()
	return countedCodec{}.DecodeRequest(r, body, now)
}

func (lateCodec) EncodeRefusal(refusal *gateway.Refusal, id string) (int, []gateway.Field) {
	return plainCodec{}.EncodeRefusal(refusal, id)
}

// Guards against a server that has ended before its connections have reported their ends:
// the account of the host's stop would lack them.
func TestAServerThatHasEndedHasReportedAllEnds(t *testing.T) {
	Convey("Given a server that ends with a request and an idle connection", t, func() {
		c := startCountedServer(limits{})
		c.kept()
		c.send(get("/slow"))
		<-c.started
		c.end()
		totals, err := c.endings.Totals(context.Background())
		So(err, ShouldBeNil)
		So(totals.RequestsInFlight, ShouldEqual, 0)
		So(totals.Closes, ShouldResemble, closes{byHostEnd: 2})
	})
}
