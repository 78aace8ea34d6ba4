package upstream_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/upstream"
)

// fakeLinks are cut off from all upstreams once a connection has failed.
type fakeLinks struct {
	cutOff          atomic.Bool
	dialed, tunnels atomic.Int64
	tunnelErr       error
}

func (l *fakeLinks) CutOff(core.UpstreamID) bool { return l.cutOff.Load() }

func (l *fakeLinks) Dialed(_ string, err error) {
	l.dialed.Add(1)
	if err != nil {
		l.cutOff.Store(true)
	}
}

func (l *fakeLinks) Tunnel(ctx context.Context, target core.Target) (net.Conn, error) {
	l.tunnels.Add(1)
	if l.tunnelErr != nil {
		return nil, l.tunnelErr
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", target.Address)
}

// Guards against a tunnel that carries two requests, or a request that net/http repeats
// over a second tunnel, and against calls that count as run although nobody got them.
func TestEachRequestThroughAnotherHostHasItsOwnTunnel(t *testing.T) {
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	Convey("A host finds with a call that it is cut off", t, func() {
		received, hangUp := atomic.Int64{}, atomic.Bool{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			received.Add(1)
			if hangUp.Load() {
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write([]byte("{}"))
		}))
		defer server.Close()
		target := core.Target{Upstream: "u", Address: server.Listener.Addr().String()}
		links := &fakeLinks{}
		client := upstream.NewClient(upstream.WithDial(refused), upstream.WithLinks(links))
		defer client.Close()
		for range 3 {
			answer, err := client.Call(t.Context(), serviceCall(target, "key"))
			So(err, ShouldBeNil)
			So(string(answer.Body), ShouldEqual, "{}")
		}
		So(links.dialed.Load(), ShouldEqual, 1)
		So(links.tunnels.Load(), ShouldEqual, 3)
		So(received.Load(), ShouldEqual, 3)
		So(client.LinksLost(t.Context(), target), ShouldBeTrue)

		Convey("A tunnel that ends without an answer carried one call, which may have run", func() {
			hangUp.Store(true)
			_, err := client.Call(t.Context(), serviceCall(target, "key"))
			So(fault.From(err).Run, ShouldEqual, fault.Unknown)
			So(links.tunnels.Load(), ShouldEqual, 4)
			So(received.Load(), ShouldEqual, 4)
		})

		Convey("Without a host that helps, a call did not run", func() {
			links.tunnelErr = errors.New("no host helps")
			_, err := client.Call(t.Context(), serviceCall(target, "key"))
			So(fault.From(err).Run, ShouldEqual, fault.NotRun)
			So(received.Load(), ShouldEqual, 3)
		})
	})
}
