package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	account "github.com/peridotreel/peridotreel/internal/decide/endings"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/tasks/endings"
)

// countedServer is a server on a loopback address whose ends are counted and whose clock
// can be moved.
type countedServer struct {
	server  *Server
	address string
	endings *endings.Endings
	lines   *observer.ObservedLogs
	// moved is what the clock is set forward by. An hour back, each deadline is past.
	moved atomic.Int64
	// started has an element for each request that waits in its handler.
	started chan struct{}
	release chan struct{}
	end     func()
}

// slowEnd is how long the handler of /slow goes on after its context has ended.
const slowEnd = 20 * time.Millisecond

const hourBack = -int64(time.Hour)

func startCountedServer(limit limits) *countedServer {
	listener := listen()
	core, lines := observer.New(zapcore.DebugLevel)
	c := &countedServer{
		address: listener.Addr().String(), endings: endings.New(), lines: lines,
		started: make(chan struct{}, limitedConnections), release: make(chan struct{}),
	}
	c.server = NewServer(Config{
		Listener: listener, Codec: countedCodec{}, Handler: handlerFunc(c.handle), Limits: limit, Log: zap.New(core),
		Now:            func() time.Time { return time.Now().Add(time.Duration(c.moved.Load())) },
		MaxConnections: limitedConnections, Endings: c.endings,
	})
	c.server.endTimeout = time.Hour
	stopEndings := run(c.endings.Run)
	stopServer := run(c.server.Run)
	c.end = stopServer
	Reset(func() {
		stopServer()
		stopEndings()
	})
	return c
}

// run runs a task and returns a function that stops it and may be called again.
func run(task func(context.Context)) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		task(ctx)
		close(done)
	}()
	return func() {
		cancel()
		<-done
	}
}

// countedCodec refuses to decode requests for /undecodable.
type countedCodec struct{ plainCodec }

func (c countedCodec) DecodeRequest(r *http.Request, body []byte, now time.Time) (*gateway.Request, error) {
	if r.URL.Path == "/undecodable" {
		return nil, gateway.Refuse(gateway.BadRequest, 0, "undecodable")
	}
	return c.plainCodec.DecodeRequest(r, body, now)
}

// handle plays what the target names.
func (c *countedServer) handle(ctx context.Context, request *gateway.Request, answer gateway.Answer) error {
	what, cause, _ := strings.Cut(strings.TrimPrefix(request.Target, "/"), "/")
	gone := gateway.Refuse(gateway.CallerGone, 0, "gone")
	begin := func() { _ = errors.Join(answer.Begin(http.StatusOK, nil), answer.Write([]byte("part"))) }
	switch what {
	case "failure":
		return answer.Send(http.StatusBadGateway, nil, []byte("failed"))
	case "refused":
		return gateway.Refuse(gateway.Overloaded, 0, "overloaded")
	case "error":
		return errors.New("an error of another kind")
	case "nothing":
		return nil
	case "stream":
		begin()
		return answer.End()
	case "cut":
		begin()
		refusal := gateway.Refuse(gateway.UpstreamBroke, 0, "cut")
		refusal.Cut = gateway.EndCause(cause)
		return refusal
	case "blocked":
		begin()
		c.moved.Store(hourBack)
		_ = answer.Write([]byte("rest"))
		return gone
	case "unwritable":
		c.moved.Store(hourBack)
		return gateway.Refuse(gateway.Overloaded, 0, "overloaded")
	case "endless":
		begin()
		c.started <- struct{}{}
		for answer.Write([]byte("part")) == nil {
			continue
		}
		return gone
	case "begun":
		begin()
		c.started <- struct{}{}
		<-ctx.Done()
		return gone
	case "waits":
		c.started <- struct{}{}
		<-ctx.Done()
		if errors.Is(context.Cause(ctx), gateway.ErrHostStopping) {
			return gateway.Refuse(gateway.Draining, 0, "this host stops")
		}
		return gone
	case "slow":
		c.started <- struct{}{}
		<-ctx.Done()
		// Long enough that a server that does not wait for its connections has ended.
		time.Sleep(slowEnd)
		return gone
	case "held":
		c.started <- struct{}{}
		<-c.release
	case "twice":
		_ = answer.Finish(gateway.Refuse(gateway.Overloaded, 0, "overloaded"))
		return gateway.Refuse(gateway.NoRoute, 0, "another")
	default:
	}
	return answer.Send(http.StatusOK, nil, []byte("whole"))
}

func (c *countedServer) dial() net.Conn {
	connection, err := net.Dial("tcp", c.address)
	So(err, ShouldBeNil)
	Reset(func() { _ = connection.Close() })
	return connection
}

// send writes on a new connection.
func (c *countedServer) send(text string) net.Conn {
	connection := c.dial()
	_, err := io.WriteString(connection, text)
	So(err, ShouldBeNil)
	return connection
}

// exchange writes on a new connection, reads all that comes back, and closes it.
func (c *countedServer) exchange(text string) {
	connection := c.send(text)
	_, _ = io.ReadAll(connection)
	_ = connection.Close()
}

// ask writes on a new connection, reads one answer, and closes it.
func (c *countedServer) ask(text string) {
	connection := c.send(text)
	_, _ = readReply(bufio.NewReader(connection))
	_ = connection.Close()
}

// kept returns a connection on which a request was answered.
func (c *countedServer) kept() net.Conn {
	connection := c.send(get("/whole"))
	_, err := readReply(bufio.NewReader(connection))
	So(err, ShouldBeNil)
	return connection
}

// waitUntilOpen returns once the server has taken a number of connections.
func (c *countedServer) waitUntilOpen(count int64) {
	for {
		open, err := c.server.Open(context.Background())
		So(err, ShouldBeNil)
		if int64(open) == count {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// settled returns the counts once a number of connections was accepted and all are closed.
func (c *countedServer) settled(accepted int64) account.Totals {
	for {
		totals, err := c.endings.Totals(context.Background())
		So(err, ShouldBeNil)
		if totals.ConnectionsAccepted == accepted && totals.ConnectionsOpen == 0 {
			return totals
		}
		time.Sleep(time.Millisecond)
	}
}

func get(target string) string { return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n" }
