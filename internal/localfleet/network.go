package localfleet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/peridotreel/peridotreel/internal/core"
)

// network simulates the network between the hosts of different zones.
type network struct {
	// epochs holds the current epoch of each zone's link to the others.
	epochs map[core.ZoneName]*atomic.Pointer[epoch]
	// zoneByAddress holds the zone of each peer address.
	zoneByAddress sync.Map
}

func newNetwork(zones []core.ZoneName) *network {
	n := &network{epochs: make(map[core.ZoneName]*atomic.Pointer[epoch])}
	for _, zone := range zones {
		n.epochs[zone] = &atomic.Pointer[epoch]{}
		n.epochs[zone].Store(newEpoch(false))
	}
	return n
}

// register records the zone of a peer address.
func (n *network) register(address string, zone core.ZoneName) { n.zoneByAddress.Store(address, zone) }

// setCut cuts a zone off from the others or reconnects it. It closes the zone's
// connections with other zones.
func (n *network) setCut(zone core.ZoneName, cut bool) { n.epochs[zone].Swap(newEpoch(cut)).close() }

// dialer returns the function that opens connections from hosts of a zone to
// their peers.
func (n *network) dialer(from core.ZoneName) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		var dialer net.Dialer
		to, known := n.zoneByAddress.Load(address)
		if !known || to == from {
			return dialer.DialContext(ctx, "tcp", address)
		}
		source, destination := n.epochs[from].Load(), n.epochs[to.(core.ZoneName)].Load()
		if source.cut || destination.cut {
			return nil, fmt.Errorf("dial %s: zones %s and %s are partitioned", address, from, to)
		}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		for _, side := range []*epoch{source, destination} {
			context.AfterFunc(side.ended, func() { _ = conn.Close() })
		}
		return conn, nil
	}
}

// CutPlatform closes a zone's connections to the platform, established and new.
func (f *Fleet) CutPlatform(zone core.ZoneName) { f.forwarders[zone].disconnect() }

// SilencePlatform drops all data between a zone and the platform, without
// closing connections.
func (f *Fleet) SilencePlatform(zone core.ZoneName) { f.forwarders[zone].silence() }

// CutZone partitions the hosts of a zone from those of other zones and from the
// platform.
func (f *Fleet) CutZone(zone core.ZoneName) {
	f.network.setCut(zone, true)
	f.forwarders[zone].silence()
}

// HealZone ends the partition of a zone, also from the platform.
func (f *Fleet) HealZone(zone core.ZoneName) {
	f.network.setCut(zone, false)
	f.forwarders[zone].resume()
}
