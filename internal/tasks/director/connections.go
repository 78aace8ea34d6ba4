package director

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/connshare"
	"github.com/peridotreel/peridotreel/internal/task"
)

// connectionsInterval is the time between two announcements of limits of connections that
// differ from the equal parts. The pool holds a limit for five times as long.
const connectionsInterval = 200 * time.Millisecond

// ConnectionTotals counts the connections to upstreams that this host lends to its peers
// and borrows from them.
type ConnectionTotals struct{ Lent, Borrowed int }

type getConnectionTotals struct{ reply chan<- ConnectionTotals }

// ConnectionTotals returns the connections that are lent and borrowed now.
func (d *Director) ConnectionTotals(ctx context.Context) (ConnectionTotals, error) {
	return task.Ask(ctx, d.inbox, func(reply chan<- ConnectionTotals) any { return getConnectionTotals{reply} })
}

// connectionPart returns this host's part of the connections to an upstream. Those to
// engines are not divided by use, as engines are short of slots before.
func (d *Director) connectionPart(id core.UpstreamID) connshare.Part {
	upstream, listed := d.roster.Upstream(id)
	if !listed || d.activeConfig == nil {
		return connshare.Part{}
	}
	service := d.activeConfig.Services[upstream.Service]
	if service.Engine != nil || service.MaxConnections == 0 {
		return connshare.Part{}
	}
	return connshare.Part{Even: d.maxConnections(upstream.Service), InUse: d.balancer.InFlight(id)}
}

// beginConnection returns how many connections this host may have to an upstream to which
// an attempt has begun.
func (d *Director) beginConnection(id core.UpstreamID, service core.ServiceName, now time.Time) int {
	part := d.connectionPart(id)
	if part.Even == 0 {
		return d.maxConnections(service)
	}
	return d.connections.Began(id, part, now)
}

// lendConnections lends a peer what it lacks. The lent connections are closed before the
// reply is sent.
func (d *Director) lendConnections(wants []connshare.Want, now time.Time) []connshare.Grant {
	grants := d.connections.Grant(wants, d.connectionPart, now)
	if len(grants) > 0 {
		d.announceConnections(now)
	}
	return grants
}

// borrowConnections adds what a peer lends.
func (d *Director) borrowConnections(peer PeerState, now time.Time) {
	if len(peer.ConnectionGrants) > 0 {
		d.connections.Accept(peer.ConnectionGrants, peer.AskedAt, now)
		d.announceConnections(now)
	}
}

// announceConnections passes on the limits that differ from the equal parts.
func (d *Director) announceConnections(now time.Time) {
	for _, limit := range d.connections.Limits(d.connectionPart, now) {
		d.config.LimitConnections(limit.Upstream, limit.Count)
	}
	_, borrowed := d.connections.Totals(now)
	if (borrowed > 0) == d.borrows {
		return
	}
	d.borrows = borrowed > 0
	if d.borrows {
		d.config.Log.Info("this host lacks connections to upstreams and borrows some from its peers", zap.String("event", "connections_borrowed"), zap.Int("connections", borrowed))
	} else {
		d.config.Log.Info("this host borrows no connections any more", zap.String("event", "connections_returned"))
	}
}

func (d *Director) forgetConnections() {
	d.connections.Forget(func(id core.UpstreamID) bool { return d.connectionPart(id).Even == 0 }, d.config.Now())
}
