package tunnels_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/tasks/tunnels"
	"github.com/peridotreel/peridotreel/internal/telemetry"
)

// Guards against tunnels that the metrics of either end do not count.
func TestTheMetricsOfTunnels(t *testing.T) {
	Convey("Given a host with an open tunnel and one that was refused", t, func() {
		h := startHelper(tunnels.ServerConfig{})
		defer h.stop()
		listener, _ := startUpstream()
		defer func() { _ = listener.Close() }()
		h.gate.listed["u"] = listener.Addr().String()
		client, group := startClient(h.address)
		defer group.Stop()
		conn, err := client.Dial(t.Context(), target)
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		_, err = client.Dial(t.Context(), tunnels.Target{Upstream: "other", Service: "s"})
		So(errors.Is(err, tunnels.ErrNoHelper), ShouldBeTrue)

		metrics, err := telemetry.New()
		So(err, ShouldBeNil)
		So(telemetry.RegisterTunnels(metrics.Meter(), func(ctx context.Context) (telemetry.TunnelTotals, error) {
			return tunnels.Totals(ctx, client, h.server)
		}), ShouldBeNil)
		page := httptest.NewRecorder()
		metrics.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
		for _, line := range []string{
			`peridotreel_tunnels_open 1`, `peridotreel_tunnel_requests_total{result="opened"} 1`, `peridotreel_tunnel_requests_total{result="answered"} 1`,
			`peridotreel_tunnel_answers_total{answer="opened"} 1`, `peridotreel_tunnel_answers_total{answer="unknown_upstream"} 1`,
		} {
			So(strings.Contains(page.Body.String(), line+"\n"), ShouldBeTrue)
		}
		So(page.Body.String(), ShouldContainSubstring, "peridotreel_tunnels_served ")
	})
}
