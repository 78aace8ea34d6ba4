package connpool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

func decodeHead(response *http.Response) gateway.AnswerHead {
	ids := response.Header["Id"]
	return gateway.AnswerHead{Status: response.StatusCode, ID: response.Header.Get("Id"), Ambiguous: len(ids) > 1 && ids[0] != ids[1]}
}

// upstream starts a server that answers each request with the next script.
func upstream(scripts ...string) (address string, accepted func() int, stop func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	count := make(chan int, 1)
	count <- 0
	next := make(chan string, len(scripts))
	for _, script := range scripts {
		next <- script
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			count <- <-count + 1
			go func() {
				defer func() { _ = connection.Close() }()
				reader := bufio.NewReader(connection)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					script := <-next
					if _, err := connection.Write([]byte(script)); err != nil || script == "" {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), func() int {
			n := <-count
			count <- n
			return n
		}, func() {
			_ = listener.Close()
		}
}

// exchange sends one request and collects the events of its answer.
func exchange(pool *Pool, address, id string) (heads []gateway.AnswerHead, body string, end End) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	connection, _, err := pool.Acquire(ctx, Target{Upstream: "u", Address: address, MaxConnections: 2})
	So(err, ShouldBeNil)
	events := make(chan Event, 8)
	connection.Send(&Exchange{ID: id, Method: http.MethodGet, Payload: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), Events: events, Context: ctx})
	for event := range events {
		switch {
		case event.Head != nil:
			heads = append(heads, *event.Head)
		case event.End != nil:
			return heads, body, *event.End
		default:
			body += string(event.Data)
		}
	}
	return heads, body, end
}

func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func startPool() (*Pool, func()) {
	pool := NewPool(decodeHead, nil, nil)
	ctx, cancel := context.WithCancel(context.Background())
	go pool.Run(ctx)
	return pool, cancel
}

// Guards against connections that are not reused, as each new one has a cost.
func TestAConnectionIsUsedAgain(t *testing.T) {
	Convey("Given complete answers", t, func() {
		address, accepted, stop := upstream(whole("1", "a"), whole("2", "b"), whole("3", "c"))
		pool, end := startPool()
		Reset(func() { end(); stop() })
		for i, expected := range []string{"a", "b", "c"} {
			_, body, end := exchange(pool, address, fmt.Sprint(i+1))
			So(end.Err, ShouldBeNil)
			So(end.Framed, ShouldBeTrue)
			So(body, ShouldEqual, expected)
		}
		So(accepted(), ShouldEqual, 1)
	})
}

// Guards against an answer that is delivered to the wrong request.
func TestAnAnswerOfAnotherRequestIsReadPast(t *testing.T) {
	Convey("When a late answer comes first", t, func() {
		address, accepted, stop := upstream(whole("0", "late")+whole("1", "own"), whole("2", "next"))
		pool, end := startPool()
		Reset(func() { end(); stop() })
		heads, body, ending := exchange(pool, address, "1")
		So(ending.Err, ShouldBeNil)
		So(len(heads), ShouldEqual, 1)
		So(body, ShouldEqual, "own")
		Convey("the connection is not used again", func() {
			_, body, _ := exchange(pool, address, "2")
			So(body, ShouldEqual, "next")
			So(accepted(), ShouldEqual, 2)
		})
	})
	Convey("When bytes follow a whole answer, the connection is not used again", t, func() {
		address, accepted, stop := upstream(whole("1", "own")+whole("1", "again"), whole("2", "next"))
		pool, end := startPool()
		Reset(func() { end(); stop() })
		_, body, _ := exchange(pool, address, "1")
		So(body, ShouldEqual, "own")
		_, body, _ = exchange(pool, address, "2")
		So(body, ShouldEqual, "next")
		So(accepted(), ShouldEqual, 2)
	})
}

// Guards against incomplete answers that are reported as complete.
func TestBrokenAnswers(t *testing.T) {
	for name, script := range map[string]string{
		"truncated":     "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nabc",
		"cut in chunks": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"none":          "",
	} {
		Convey("An answer that is "+name, t, func() {
			address, _, stop := upstream(script, "")
			pool, end := startPool()
			Reset(func() { end(); stop() })
			ctx := context.Background()
			connection, _, err := pool.Acquire(ctx, Target{Upstream: "u", Address: address, MaxConnections: 1})
			So(err, ShouldBeNil)
			events := make(chan Event, 8)
			connection.Send(&Exchange{ID: "1", Method: http.MethodGet, Payload: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), Events: events, Context: ctx})
			if script != "" {
				head := <-events
				So(head.Head, ShouldNotBeNil)
				// The server waits for another request; this one makes it close.
				// Written before the head arrives, it could overtake the exchange.
				_, err = connection.socket.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
				So(err, ShouldBeNil)
			}
			for event := range events {
				if event.End != nil {
					So(event.End.Err, ShouldWrap, ErrClosed)
					So(event.End.Unsent, ShouldBeFalse)
					break
				}
			}
		})
	}
	Convey("Bytes that are not a valid answer", t, func() {
		address, _, stop := upstream("\x00garbage\r\n\r\n")
		pool, end := startPool()
		Reset(func() { end(); stop() })
		_, _, ending := exchange(pool, address, "1")
		So(ending.Err, ShouldWrap, ErrMalformedResponse)
	})
}

// Guards against a pool that hands out more connections than allowed, and one
// that keeps connections to an upstream that was removed.
func TestThePoolKeepsToItsBounds(t *testing.T) {
	Convey("Given a bound of one", t, func() {
		address, accepted, stop := upstream(whole("1", "a"), whole("2", "b"))
		pool, end := startPool()
		Reset(func() { end(); stop() })
		target := Target{Upstream: "u", Address: address, MaxConnections: 1}
		connection, fresh, err := pool.Acquire(context.Background(), target)
		So(err, ShouldBeNil)
		So(fresh, ShouldBeTrue)
		_, _, err = pool.Acquire(context.Background(), target)
		So(err, ShouldEqual, ErrConnectionLimit)
		pool.release(connection)
		_, _, ending := exchange(pool, address, "1")
		So(ending.Err, ShouldBeNil)
		So(accepted(), ShouldEqual, 1)
		pool.Drain([]core.UpstreamID{"u"})
		_, _, ending = exchange(pool, address, "2")
		So(ending.Err, ShouldBeNil)
		So(accepted(), ShouldEqual, 2)
	})
}

// Guards against using a connection that may lead to another process of an upstream than
// the listed one, while the list is too old to tell.
func TestConnectionsAreVerifiedWhileTheListIsOutdated(t *testing.T) {
	Convey("Given a connection that was set up without verification", t, func() {
		address, _, stop := upstream(whole("1", "a"))
		pool, end := startPool()
		Reset(func() { end(); stop() })
		target := Target{Upstream: "u", Address: address, MaxConnections: 4}
		connection, _, err := pool.Acquire(context.Background(), target)
		So(err, ShouldBeNil)
		pool.release(connection)
		verdict := error(nil)
		target.Verify = func(context.Context, net.Conn) error { return verdict }
		Convey("It is used if the list was confirmed after it was set up", func() {
			target.ListedAt = connection.setUpAt.Add(time.Millisecond)
			_, fresh, err := pool.Acquire(context.Background(), target)
			So(err, ShouldBeNil)
			So(fresh, ShouldBeFalse)
		})
		Convey("It is not used otherwise, and a verified one is used again", func() {
			target.ListedAt = connection.setUpAt
			verified, fresh, err := pool.Acquire(context.Background(), target)
			So(err, ShouldBeNil)
			So(fresh, ShouldBeTrue)
			pool.release(verified)
			again, fresh, err := pool.Acquire(context.Background(), target)
			So(err, ShouldBeNil)
			So(fresh, ShouldBeFalse)
			So(again, ShouldEqual, verified)
		})
		Convey("No connection is handed out that another process answers", func() {
			verdict = ErrMalformedResponse
			_, _, err := pool.Acquire(context.Background(), target)
			So(err, ShouldWrap, ErrMalformedResponse)
		})
	})
}

// Guards against a request that is turned away at the bound of connections, although one
// of them is idle and may only not be used while the list is too old.
func TestAConnectionThatMayNotBeUsedMakesRoomAtTheBound(t *testing.T) {
	Convey("Given a bound of two and two idle connections that were set up without verification", t, func() {
		address, _, stop := upstream()
		pool, end := startPool()
		Reset(func() { end(); stop() })
		target := Target{Upstream: "u", Address: address, MaxConnections: 2}
		var idle []*Connection
		for range 2 {
			connection, _, err := pool.Acquire(context.Background(), target)
			So(err, ShouldBeNil)
			idle = append(idle, connection)
		}
		for _, connection := range idle {
			pool.release(connection)
		}
		target.Verify = func(context.Context, net.Conn) error { return nil }
		Convey("new ones take their places, and the bound holds", func() {
			for range 2 {
				connection, fresh, err := pool.Acquire(context.Background(), target)
				So(err, ShouldBeNil)
				So(fresh, ShouldBeTrue)
				So(slices.Contains(idle, connection), ShouldBeFalse)
			}
			_, _, err := pool.Acquire(context.Background(), target)
			So(err, ShouldEqual, ErrConnectionLimit)
		})
		Convey("a request that is given up meanwhile leaves its place to the next", func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_, _, err := pool.Acquire(ctx, target)
			So(err, ShouldNotBeNil)
			for range 2 {
				_, _, err := pool.Acquire(context.Background(), target)
				// The place may still be in use for a moment.
				for tries := 0; tries < 2000 && errors.Is(err, ErrConnectionLimit); tries++ {
					time.Sleep(time.Millisecond)
					_, _, err = pool.Acquire(context.Background(), target)
				}
				So(err, ShouldBeNil)
			}
		})
	})
}
