package localfleet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/peridotreel/peridotreel/internal/core"
)

// network is the way between the hosts of different zones.
type network struct {
	// zones holds the present period of each zone's way to the others.
	zones map[core.ZoneName]*atomic.Pointer[period]
	// places holds the zone of each peer address.
	places sync.Map
}

func newNetwork(zones []core.ZoneName) *network {
	n := &network{zones: make(map[core.ZoneName]*atomic.Pointer[period])}
	for _, zone := range zones {
		n.zones[zone] = &atomic.Pointer[period]{}
		n.zones[zone].Store(newPeriod(false))
	}
	return n
}

// place notes in which zone an address is.
func (n *network) place(address string, zone core.ZoneName) { n.places.Store(address, zone) }

// set cuts a zone from the others or connects it again. Connections between
// zones that were opened before are broken.
func (n *network) set(zone core.ZoneName, cut bool) { n.zones[zone].Swap(newPeriod(cut)).close() }

// dialer returns how hosts of a zone open connections to peers.
func (n *network) dialer(from core.ZoneName) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		var dialer net.Dialer
		to, known := n.places.Load(address)
		if !known || to == from {
			return dialer.DialContext(ctx, "tcp", address)
		}
		near, far := n.zones[from].Load(), n.zones[to.(core.ZoneName)].Load()
		if near.cut || far.cut {
			return nil, fmt.Errorf("dial %s: zones %s and %s are cut from each other", address, from, to)
		}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		for _, way := range []*period{near, far} {
			context.AfterFunc(way.over, func() { _ = conn.Close() })
		}
		return conn, nil
	}
}

// CutPlatform breaks a zone's connections to the platform, old and new.
func (f *Fleet) CutPlatform(zone core.ZoneName) { f.forwarders[zone].stop() }

// SilencePlatform loses everything between a zone and the platform.
func (f *Fleet) SilencePlatform(zone core.ZoneName) { f.forwarders[zone].silence() }

// CutZone cuts the hosts of a zone off from those of other zones and from the
// platform.
func (f *Fleet) CutZone(zone core.ZoneName) {
	f.network.set(zone, true)
	f.forwarders[zone].silence()
}

// HealZone ends all cuts of a zone.
func (f *Fleet) HealZone(zone core.ZoneName) {
	f.network.set(zone, false)
	f.forwarders[zone].resume()
}
