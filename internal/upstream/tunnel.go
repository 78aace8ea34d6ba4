package upstream

import (
	"context"
	"errors"
	"net"

	"github.com/peridotreel/peridotreel/internal/core"
)

// errNoTunnelTarget means that a request for a tunnel does not tell where it leads.
var errNoTunnelTarget = errors.New("the request names no upstream for its tunnel")

type tunnelTargetKey struct{}

// withTunnelTarget returns a context that tells the transport for tunnels where its
// connection leads. net/http keeps the values of a request's context for its dialer.
func withTunnelTarget(ctx context.Context, target core.Target) context.Context {
	return context.WithValue(ctx, tunnelTargetKey{}, target)
}

// reportingDialer returns a function that opens connections by dial and reports to links,
// unless they are nil, how that ended.
func reportingDialer(dial DialFunc, links Links) DialFunc {
	if links == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		links.Dialed(address, err)
		return connection, err
	}
}

// tunnelDialer returns the function that opens connections through other hosts.
func tunnelDialer(links Links) DialFunc {
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		target, found := ctx.Value(tunnelTargetKey{}).(core.Target)
		if !found {
			return nil, errNoTunnelTarget
		}
		connection, err := links.Tunnel(ctx, target)
		if err != nil {
			return nil, err
		}
		return newSocket(connection), nil
	}
}
