package edge

import (
	"context"
	"fmt"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/tasks/director"
	"github.com/peridotreel/peridotreel/internal/tasks/tunnels"
	"github.com/peridotreel/peridotreel/internal/tunnel"
)

// probeThrough connects to an upstream through another host and closes the connection.
func (e *Edge) probeThrough(ctx context.Context, upstream gateway.Upstream) error {
	return e.helpers.Probe(ctx, tunnels.TargetOf(upstream))
}

// tunnelGate lets the director decide which upstreams this host reaches for others.
type tunnelGate struct{ director *director.Director }

// Admit implements tunnels.Gate.
func (g tunnelGate) Admit(ctx context.Context, request tunnel.Request) (string, tunnel.Answer) {
	admission, err := g.director.AdmitTunnel(ctx, director.TunnelRequest{Upstream: request.Upstream, StartMillis: request.StartMillis})
	if err != nil {
		return "", tunnel.Answer{Status: tunnel.Busy, Reason: fmt.Sprintf("this host does not decide in time: %v", err)}
	}
	switch admission.Verdict {
	case director.TunnelAllowed:
		return admission.Address, tunnel.Answer{Status: tunnel.Opened}
	case director.TunnelCutOff:
		return "", tunnel.Answer{Status: tunnel.CutOff, Reason: "this host does not reach the service itself"}
	case director.TunnelNotNow:
		return "", tunnel.Answer{Status: tunnel.NotNow, Wait: admission.RetryAfter, Reason: "the upstream leaves, wants no requests for a time, or is in an evacuated zone"}
	default:
		return "", tunnel.Answer{Status: tunnel.UnknownUpstream, Reason: "this host lists no such start of the upstream"}
	}
}

// Dialed implements tunnels.Gate.
func (g tunnelGate) Dialed(request tunnel.Request, err error) {
	g.director.TunnelDialed(director.TunnelRequest{Upstream: request.Upstream, StartMillis: request.StartMillis}, err)
}

// Observe implements tunnels.Gate.
func (g tunnelGate) Observe(upstream core.UpstreamID, startMillis int64, head gateway.AnswerHead) {
	g.director.TunnelObserved(director.TunnelRequest{Upstream: upstream, StartMillis: startMillis}, head)
}
