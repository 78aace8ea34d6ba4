package tunnels_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/decide/helpers"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/tunnels"
	"github.com/peridotreel/peridotreel/internal/tunnel"
)

// observed is a head that passed through a tunnel.
type observed struct {
	upstream core.UpstreamID
	start    int64
	status   int
}

// gate admits the upstreams that it lists by address, and refuses with verdict if that is
// set.
type gate struct {
	listed   map[core.UpstreamID]string
	verdict  tunnel.Answer
	observed chan observed
	dialed   chan error
}

func (g *gate) Admit(_ context.Context, request tunnel.Request) (string, tunnel.Answer) {
	address, found := g.listed[request.Upstream]
	switch {
	case g.verdict.Status != 0:
		return "", g.verdict
	case !found:
		return "", tunnel.Answer{Status: tunnel.UnknownUpstream, Reason: "not listed"}
	default:
		return address, tunnel.Answer{Status: tunnel.Opened}
	}
}

func (g *gate) Dialed(_ tunnel.Request, err error) { g.dialed <- err }

func (g *gate) Observe(upstream core.UpstreamID, start int64, head gateway.AnswerHead) {
	g.observed <- observed{upstream, start, head.Status}
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

func listen() net.Listener {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return listener
}

// helper is a host that opens tunnels.
type helper struct {
	gate    *gate
	server  *tunnels.Server
	address string
	rpc     task.Group
	tasks   task.Group
}

func startHelper(config tunnels.ServerConfig) *helper {
	listener := listen()
	h := &helper{gate: &gate{listed: make(map[core.UpstreamID]string), observed: make(chan observed, 8), dialed: make(chan error, 64)},
		address: listener.Addr().String()}
	config.Gate, config.Dial = h.gate, dial
	config.DecodeHead = func(response *http.Response) gateway.AnswerHead {
		return gateway.AnswerHead{Status: response.StatusCode}
	}
	h.server = tunnels.NewServer(config)
	h.tasks.Start(h.server)
	server := peerrpc.NewServer(peerrpc.ServerConfig{Listener: listener, Tunnels: h.server.Serve})
	if err := server.RegisterName("Echo", echo{}); err != nil {
		panic(err)
	}
	h.rpc.Start(server)
	return h
}

func (h *helper) stop() {
	h.rpc.Stop()
	h.tasks.Stop()
}

type echo struct{}

func (echo) Say(text string, reply *string) error { *reply = text; return nil }

// startUpstream accepts connections and passes them on.
func startUpstream() (net.Listener, <-chan *net.TCPConn) {
	listener := listen()
	accepted := make(chan *net.TCPConn, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn.(*net.TCPConn)
		}
	}()
	return listener, accepted
}

var target = tunnels.Target{Upstream: "u", StartMillis: 5, Service: "s", Zone: "a"}

// startClient starts a requester in zone a that knows hosts at the given addresses.
func startClient(addresses ...string) (*tunnels.Client, *task.Group) {
	client := tunnels.NewClient(tunnels.ClientConfig{Host: "self", Zone: "a", Now: time.Now})
	group := &task.Group{}
	group.Start(client)
	members := []allowance.Member{{Host: "self", Zone: "a", Address: "127.0.0.1:1"}}
	for _, address := range addresses {
		members = append(members, allowance.Member{Host: core.HostID(address), Zone: "a", Address: address})
	}
	client.SetMembers(members)
	return client, group
}

// drained waits until no tunnel is open through the helper.
func drained(h *helper) {
	So(h.server.Drain(context.Background()), ShouldBeNil)
}

// Guards against answers that are changed or cut off on their way, heads that the helper
// does not learn, and ends that do not reach the other side.
func TestTunnels(t *testing.T) {
	Convey("Given a helper, an upstream and a tunnel through it", t, func() {
		h := startHelper(tunnels.ServerConfig{})
		defer h.stop()
		listener, accepted := startUpstream()
		defer func() { _ = listener.Close() }()
		h.gate.listed["u"] = listener.Addr().String()
		client, group := startClient(h.address)
		defer group.Stop()
		conn, err := client.Dial(t.Context(), target)
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		So(<-h.gate.dialed, ShouldBeNil)
		upstream := <-accepted
		defer func() { _ = upstream.Close() }()

		Convey("a whole answer of unknown length passes, and its head is observed", func() {
			body := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
			go func() {
				request, _ := io.ReadAll(io.LimitReader(upstream, 1<<20))
				_, _ = io.WriteString(upstream, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 20")
				_, _ = io.WriteString(upstream, "0 OK\r\nServer-Load: 1\r\n\r\n")
				_, _ = upstream.Write(request)
				_ = upstream.Close()
			}()
			_, err := conn.Write(body)
			So(err, ShouldBeNil)
			got, err := io.ReadAll(conn)
			So(err, ShouldBeNil)
			_, rest, _ := strings.Cut(string(got), "Server-Load: 1\r\n\r\n")
			So(rest == string(body), ShouldBeTrue)
			So(<-h.gate.observed, ShouldResemble, observed{"u", 5, 200})
			So(conn.Close(), ShouldBeNil)
			drained(h)
		})
		Convey("an answer that ends while the request is still written arrives whole", func() {
			head := "HTTP/1.1 413 Too Long\r\n\r\n"
			go func() {
				for err == nil {
					_, err = conn.Write(make([]byte, 1<<14))
				}
			}()
			_, err := io.ReadFull(upstream, make([]byte, 1<<14))
			So(err, ShouldBeNil)
			_, err = io.WriteString(upstream, head+strings.Repeat("x", 1<<18))
			So(err, ShouldBeNil)
			So(upstream.CloseWrite(), ShouldBeNil)
			_, _ = io.Copy(io.Discard, upstream) // ends when the helper closes it
			got, err := io.ReadAll(conn)
			So(err, ShouldBeNil)
			So(len(got), ShouldEqual, len(head)+1<<18)
			So((<-h.gate.observed).status, ShouldEqual, 413)
			So(conn.Close(), ShouldBeNil)
			drained(h)
		})
		Convey("an upstream's reset is no end of the answer", func() {
			_, err := io.WriteString(upstream, "HTTP/1.1 200 OK\r\n\r\npart")
			So(err, ShouldBeNil)
			part := make([]byte, len("HTTP/1.1 200 OK\r\n\r\npart"))
			_, err = io.ReadFull(conn, part)
			So(err, ShouldBeNil)
			So(upstream.SetLinger(0), ShouldBeNil)
			So(upstream.Close(), ShouldBeNil)
			_, err = conn.Read(part)
			So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
			drained(h)
		})
		Convey("a cancelled request ends the upstream's connection", func() {
			So(conn.Close(), ShouldBeNil)
			_, err := upstream.Read(make([]byte, 1))
			So(err, ShouldEqual, io.EOF)
			totals, err := client.Totals(t.Context())
			So(err, ShouldBeNil)
			So(totals.Open, ShouldEqual, 0)
			So(totals.Tried[helpers.Opened], ShouldEqual, 1)
			drained(h)
		})
		Convey("a cancelled request whose answer is not read ends the upstream's connection", func() {
			written := make(chan error, 1)
			go func() {
				var err error
				for err == nil {
					_, err = upstream.Write(make([]byte, 1<<16))
				}
				written <- err
			}()
			_, err := conn.Read(make([]byte, 1<<10))
			So(err, ShouldBeNil)
			So(conn.Close(), ShouldBeNil)
			So(<-written, ShouldNotBeNil)
			drained(h)
		})
		Convey("a cancelled request that the upstream does not read ends the upstream's connection", func() {
			So(conn.SetWriteDeadline(time.Now().Add(300*time.Millisecond)), ShouldBeNil)
			for err == nil {
				_, err = conn.Write(make([]byte, 1<<20))
			}
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
			So(conn.Close(), ShouldBeNil)
			drained(h)
			_, err = io.Copy(io.Discard, upstream)
			So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
		})
		Convey("a helper that stops is no end of the answer", func() {
			_, err := io.WriteString(upstream, "HTTP/1.1 200 OK\r\n\r\npart")
			So(err, ShouldBeNil)
			_, err = io.ReadFull(conn, make([]byte, len("HTTP/1.1 200 OK\r\n\r\npart")))
			So(err, ShouldBeNil)
			h.rpc.Stop()
			_, err = conn.Read(make([]byte, 1))
			So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
		})
	})
}

// Guards against a reset that the kernel reports to the write of the request only, so that
// the read of the answer sees a plain end.
func TestAResetWhileTheRequestIsWrittenIsNoEnd(t *testing.T) {
	Convey("Given upstreams that reset amid the request and their answer", t, func() {
		h := startHelper(tunnels.ServerConfig{})
		defer h.stop()
		listener, accepted := startUpstream()
		defer func() { _ = listener.Close() }()
		h.gate.listed["u"] = listener.Addr().String()
		var socket net.Conn
		client := tunnels.NewClient(tunnels.ClientConfig{Host: "self", Now: time.Now, Dial: func(ctx context.Context, address string) (net.Conn, error) {
			var err error
			socket, err = dial(ctx, address)
			return socket, err
		}})
		var group task.Group
		group.Start(client)
		defer group.Stop()
		client.SetMembers([]allowance.Member{{Host: "h", Address: h.address}})
		ends := 0
		for range 30 {
			conn, err := client.Dial(t.Context(), target)
			So(err, ShouldBeNil)
			go func() {
				var err error
				for err == nil {
					_, err = conn.Write(make([]byte, 1<<12))
				}
			}()
			upstream := <-accepted
			_, _ = io.ReadFull(upstream, make([]byte, 1<<16))
			_, _ = io.WriteString(upstream, "HTTP/1.1 200 OK\r\n\r\npart")
			_ = upstream.SetLinger(0)
			_ = upstream.Close()
			// The kernel may report the helper's reset to the write here, too.
			if _, err = io.Copy(io.Discard, conn); err == nil && !tunnel.WasReset(socket) {
				ends++
			}
			_ = conn.Close()
			So(<-h.gate.dialed, ShouldBeNil)
			for len(h.gate.observed) > 0 {
				<-h.gate.observed
			}
		}
		So(ends, ShouldEqual, 0)
		drained(h)
	})
}

// Guards against a cancelled request whose end waits behind bytes that the upstream does
// not read.
func TestACancelledRequestIsResetIfItIsNotSent(t *testing.T) {
	Convey("Given a helper that opens a tunnel and reads nothing", t, func() {
		listener, accepted := startUpstream()
		defer func() { _ = listener.Close() }()
		client, group := startClient(listener.Addr().String())
		defer group.Stop()
		helping := make(chan *net.TCPConn, 1)
		go func() {
			conn := <-accepted
			_ = tunnel.WriteAnswer(conn, tunnel.Answer{Status: tunnel.Opened})
			helping <- conn
		}()
		conn, err := client.Dial(t.Context(), target)
		So(err, ShouldBeNil)
		So(conn.SetWriteDeadline(time.Now().Add(100*time.Millisecond)), ShouldBeNil)
		for err == nil {
			_, err = conn.Write(make([]byte, 1<<20))
		}
		So(conn.Close(), ShouldBeNil)
		helper := <-helping
		defer func() { _ = helper.Close() }()
		_, err = io.Copy(io.Discard, helper)
		So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
	})
}

// Guards against a helper that connects to what is not listed, exceeds its bound, or
// answers such that the requester blames the wrong one.
func TestRefusedTunnels(t *testing.T) {
	Convey("Given a helper with room for one tunnel", t, func() {
		h := startHelper(tunnels.ServerConfig{MaxTunnels: 1})
		defer h.stop()
		listener, accepted := startUpstream()
		defer func() { _ = listener.Close() }()
		client, group := startClient(h.address)
		defer group.Stop()

		Convey("an upstream that is not listed, or an address in its place, gets nothing", func() {
			for _, id := range []string{"u", listener.Addr().String()} {
				_, err := client.Dial(t.Context(), tunnels.Target{Upstream: core.UpstreamID(id), Service: "s"})
				So(errors.Is(err, tunnels.ErrNoHelper), ShouldBeTrue)
				So(err.Error(), ShouldContainSubstring, "unknown_upstream")
			}
			drained(h)
			So(len(h.gate.dialed)+len(accepted), ShouldEqual, 0)
		})
		Convey("beyond the bound it is busy, and has room again after an end", func() {
			h.gate.listed["u"] = listener.Addr().String()
			first, err := client.Dial(t.Context(), target)
			So(err, ShouldBeNil)
			_, err = client.Dial(t.Context(), target)
			So(errors.Is(err, tunnels.ErrNoHelper), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, "busy")
			So(first.Close(), ShouldBeNil)
			drained(h)
			totals, err := h.server.Totals(t.Context())
			So(err, ShouldBeNil)
			So(totals.Open, ShouldEqual, 0)
			So(totals.Answered, ShouldResemble, map[tunnel.Status]int64{tunnel.Opened: 1, tunnel.Busy: 1})
		})
		Convey("an upstream that wants nothing now is to be replaced by another", func() {
			h.gate.verdict = tunnel.Answer{Status: tunnel.NotNow, Wait: 1500 * time.Millisecond, Reason: "paused"}
			_, err := client.Dial(t.Context(), target)
			var refused *tunnels.UpstreamError
			So(errors.As(err, &refused), ShouldBeTrue)
			So(refused.Answer, ShouldResemble, h.gate.verdict)
			So(client.Usable(t.Context(), "s"), ShouldBeTrue)
		})
		Convey("an upstream that does not take connections is unreachable", func() {
			h.gate.listed["u"] = listener.Addr().String()
			So(listener.Close(), ShouldBeNil)
			_, err := client.Dial(t.Context(), target)
			var refused *tunnels.UpstreamError
			So(errors.As(err, &refused), ShouldBeTrue)
			So(refused.Answer.Status, ShouldEqual, tunnel.Refused)
			So(<-h.gate.dialed, ShouldNotBeNil)
		})
		Convey("a helper is not given up because upstreams refuse connections", func() {
			h := startHelper(tunnels.ServerConfig{})
			defer h.stop()
			client, group := startClient(h.address)
			defer group.Stop()
			closed := []string{"u-0", "u-1"}
			for _, id := range closed {
				gone, _ := startUpstream()
				h.gate.listed[core.UpstreamID(id)] = gone.Addr().String()
				So(gone.Close(), ShouldBeNil)
				_, err := client.Dial(t.Context(), tunnels.Target{Upstream: core.UpstreamID(id), Service: "s"})
				So(errors.Is(err, syscall.ECONNREFUSED), ShouldBeTrue)
			}
			h.gate.listed["u"] = listener.Addr().String()
			conn, err := client.Dial(t.Context(), target)
			So(err, ShouldBeNil)
			So(conn.Close(), ShouldBeNil)
		})
		Convey("a helper that is cut off is not asked again at once", func() {
			h.gate.verdict = tunnel.Answer{Status: tunnel.CutOff}
			_, err := client.Dial(t.Context(), target)
			So(errors.Is(err, tunnels.ErrNoHelper), ShouldBeTrue)
			So(client.Usable(t.Context(), "s"), ShouldBeFalse)
			So(client.Usable(t.Context(), "t"), ShouldBeTrue)
		})
		Convey("malformed openings are closed without an answer, and calls still work", func() {
			conn, err := dial(t.Context(), h.address)
			So(err, ShouldBeNil)
			_, err = conn.Write([]byte("\x00GET / HTTP/1.1\r\n\r\n"))
			So(err, ShouldBeNil)
			got, _ := io.ReadAll(conn)
			So(got, ShouldBeEmpty)
			conn, err = dial(t.Context(), h.address)
			So(err, ShouldBeNil)
			peer := rpc.NewClient(conn)
			defer func() { _ = peer.Close() }()
			var reply string
			So(peer.Call("Echo.Say", "hello", &reply), ShouldBeNil)
			So(reply, ShouldEqual, "hello")
		})
	})
}

// Guards against a requester that is stuck at hosts that can't help while one can.
func TestHostsThatCanNotHelpArePassedOver(t *testing.T) {
	Convey("Given a host without the feature, one that is gone, and a helper", t, func() {
		old := listen()
		oldServer := peerrpc.NewServer(peerrpc.ServerConfig{Listener: old})
		var tasks task.Group
		tasks.Start(oldServer)
		defer tasks.Stop()
		gone := listen()
		So(gone.Close(), ShouldBeNil)
		h := startHelper(tunnels.ServerConfig{})
		defer h.stop()
		listener, _ := startUpstream()
		defer func() { _ = listener.Close() }()
		h.gate.listed["u"] = listener.Addr().String()
		client, group := startClient(old.Addr().String(), gone.Addr().String(), h.address)
		defer group.Stop()
		for range 10 {
			conn, err := client.Dial(t.Context(), target)
			So(err, ShouldBeNil)
			So(conn.Close(), ShouldBeNil)
		}
		totals, err := client.Totals(t.Context())
		So(err, ShouldBeNil)
		So(totals.Tried[helpers.Opened], ShouldEqual, 10)
		Convey("an ended request blames no host", func() {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			_, err := client.Dial(ctx, target)
			So(errors.Is(err, context.Canceled), ShouldBeTrue)
			So(client.Usable(t.Context(), "s"), ShouldBeTrue)
		})
	})
}
