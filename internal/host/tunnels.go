package host

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/tasks/balancer"
	"github.com/peridotreel/peridotreel/internal/tasks/tunnels"
	"github.com/peridotreel/peridotreel/internal/tunnel"
	"github.com/peridotreel/peridotreel/internal/upstream"
)

// links lets the balancer decide which upstreams are reached through other hosts.
type links struct{ tasks *tasks }

// CutOff implements upstream.Links.
func (l links) CutOff(id core.UpstreamID) bool {
	_, cutOff := l.tasks.balancer.CutOff(id)
	return cutOff
}

// Dialed implements upstream.Links.
func (l links) Dialed(address string, err error) { l.tasks.balancer.Dialed(address, err) }

// Tunnel implements upstream.Links.
func (l links) Tunnel(ctx context.Context, target core.Target) (net.Conn, error) {
	// The name is empty if the cut has just ended; helpers then count as not tried.
	pool, _ := l.tasks.balancer.CutOff(target.Upstream)
	return l.tasks.helpers.Dial(ctx, tunnels.Target{
		Upstream: target.Upstream, StartMillis: int64(target.Incarnation), Service: pool, Zone: target.Zone,
	})
}

// setHelpers passes on the hosts that are alive, which may be asked for tunnels.
func (t *tasks) setHelpers(view *core.PeerView) {
	var hosts []allowance.Member
	for i := range view.Peers {
		if peer := &view.Peers[i]; peer.State == core.PeerAlive {
			hosts = append(hosts, allowance.Member{Host: peer.Ref.Host, Zone: peer.Zone, Address: peer.Address})
		}
	}
	t.helpers.SetMembers(hosts)
}

// tunnelGate lets the balancer decide which upstreams this host reaches for others.
type tunnelGate struct{ balancer *balancer.Task }

// Admit implements tunnels.Gate. The start that a request names is the upstream's
// incarnation.
func (g tunnelGate) Admit(ctx context.Context, request tunnel.Request) (string, tunnel.Answer) {
	admission, err := g.balancer.AdmitTunnel(ctx, request.Upstream, core.Incarnation(request.StartMillis))
	if err != nil {
		return "", tunnel.Answer{Status: tunnel.Busy, Reason: fmt.Sprintf("this host does not decide in time: %v", err)}
	}
	switch admission.Verdict {
	case balancer.TunnelAllowed:
		return admission.Address, tunnel.Answer{Status: tunnel.Opened}
	case balancer.TunnelCutOff:
		return "", tunnel.Answer{Status: tunnel.CutOff, Reason: "this host does not reach the service itself"}
	case balancer.TunnelNotNow:
		return "", tunnel.Answer{Status: tunnel.NotNow, Reason: "the upstream leaves"}
	default:
		return "", tunnel.Answer{Status: tunnel.UnknownUpstream, Reason: "this host lists no such start of the upstream"}
	}
}

// Dialed implements tunnels.Gate.
func (g tunnelGate) Dialed(request tunnel.Request, err error) {
	g.balancer.TunnelDialed(request.Upstream, err)
}

// Observe implements tunnels.Gate. The heads of answers tell a host of this front end
// nothing about upstreams.
func (tunnelGate) Observe(core.UpstreamID, int64, gateway.AnswerHead) {}

// decodeHead reads nothing from the head of an answer.
func decodeHead(*http.Response) gateway.AnswerHead { return gateway.AnswerHead{} }

var (
	_ upstream.Links = links{}
	_ tunnels.Gate   = tunnelGate{}
)
