package tunnels_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/connpool"
	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/filter/attempt"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/tunnels"
	"github.com/peridotreel/peridotreel/internal/upstream"
)

// tunnelLinks reach all upstreams through tunnels.
type tunnelLinks struct{ client *tunnels.Client }

func (tunnelLinks) CutOff(core.UpstreamID) bool { return true }

func (tunnelLinks) Dialed(string, error) {}

func (l tunnelLinks) Tunnel(ctx context.Context, _ core.Target) (net.Conn, error) {
	return l.client.Dial(ctx, target)
}

// sendPooled sends an upload through a tunnel as a gateway host does, and reports whether
// its answer is complete.
func sendPooled(client *tunnels.Client, upload int) bool {
	pool := connpool.NewPool(func(r *http.Response) gateway.AnswerHead { return gateway.AnswerHead{Status: r.StatusCode} }, nil, nil)
	var group task.Group
	group.Start(pool)
	defer group.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	connection, _, err := pool.Acquire(ctx, connpool.Target{Upstream: "u", MaxConnections: 1, Tunnel: func(ctx context.Context) (net.Conn, error) {
		return client.Dial(ctx, target)
	}})
	So(err, ShouldBeNil)
	events := make(chan connpool.Event, 16)
	head := fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", upload)
	connection.Send(&connpool.Exchange{Method: http.MethodPost, Payload: head, Body: make([]byte, upload), Events: events, Context: ctx})
	for event := range events {
		if event.End != nil {
			return event.End.Err == nil
		}
	}
	return false
}

// sendByClient does so as a host of the product's own path does.
func sendByClient(client *tunnels.Client, upload int) bool {
	_, err := upstream.NewClient(upstream.WithLinks(tunnelLinks{client})).Call(context.Background(), attempt.Request{
		Work: &core.Work{ID: core.KeyedRequestID("team", "key"), Call: &core.Call{Kind: core.KindService, Service: &core.ServiceCall{
			Service: "ledger", Method: http.MethodPost, Path: "/payouts", Body: make([]byte, upload),
		}}}, Target: core.Target{Upstream: "u", Address: "unused:1"}, Attempt: 1,
	})
	return err == nil
}

// Guards against a helper that turns an answer into a whole one which its upstream ended,
// and whose connection it then reset, while the upload was on its way; and against one that
// passes on an invalid status as that of an answer.
func TestAnAnswerThroughATunnelIsCompleteOnlyIfItsUploadIsTaken(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart"
	cut := func(s *net.TCPConn) { _, _ = s.CloseWrite(), s.SetLinger(0) }
	reset := func(s *net.TCPConn) { _ = s.SetLinger(0) }
	read := func(s *net.TCPConn) {
		_ = s.CloseWrite()
		_, _ = io.Copy(io.Discard, s)
	}
	for name, c := range map[string]struct {
		text     string
		upload   int
		end      func(*net.TCPConn)
		complete bool
	}{
		"reset, while the upload is written":   {unframed, 8 << 20, reset, false},
		"reset, with the upload buffered":      {unframed, 64 << 10, reset, false},
		"ended and reset, while it is written": {unframed, 8 << 20, cut, false},
		"ended and reset, with it buffered":    {unframed, 64 << 10, cut, false},
		"ended, and the upload is read":        {unframed, 64 << 10, read, true},
		"ended after the status 000":           {"HTTP/1.1 000 Nothing\r\nContent-Length: 4\r\n\r\npart", 1 << 10, read, false},
		"ended after the status 600":           {"HTTP/1.1 600 Nothing\r\nConnection: close\r\n\r\npart", 1 << 10, read, false},
		"ended after an answer with a length":  {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart", 64 << 10, read, true},
	} {
		for path, send := range map[string]func(*tunnels.Client, int) bool{"a gateway": sendPooled, "the product's own path": sendByClient} {
			Convey(fmt.Sprintf("Given %s and an upstream whose connection is %s", path, name), t, func() {
				h := startHelper(tunnels.ServerConfig{})
				defer h.stop()
				listener, accepted := startUpstream()
				defer func() { _ = listener.Close() }()
				h.gate.listed["u"] = listener.Addr().String()
				client, group := startClient(h.address)
				defer group.Stop()
				go func() {
					socket := <-accepted
					_ = socket.SetReadBuffer(4 << 10)
					_, _ = io.ReadFull(socket, make([]byte, 50))
					_, _ = io.WriteString(socket, c.text)
					c.end(socket)
					_ = socket.Close()
				}()
				So(send(client, c.upload), ShouldEqual, c.complete)
			})
		}
	}
}
