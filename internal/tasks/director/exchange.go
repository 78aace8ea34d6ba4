package director

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/brittle"
	"github.com/peridotreel/peridotreel/internal/decide/connshare"
	"github.com/peridotreel/peridotreel/internal/decide/evacuation"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
	"github.com/peridotreel/peridotreel/internal/decide/quarantine"
	"github.com/peridotreel/peridotreel/internal/decide/requestlimit"
	"github.com/peridotreel/peridotreel/internal/decide/roster"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/task"
)

// peerFallbackAfter is how long the store may be silent before a host fetches
// the configuration and the upstream list from its peers. It exceeds the time
// for which the store holds a feed call without changes, because a host that
// reaches the store must not also fetch these large tables from peers.
const peerFallbackAfter = 1100 * time.Millisecond

// PeerState is what a peer tells this host about upstreams.
type PeerState struct {
	Host       core.HostID
	Loads      []placement.PeerLoad
	Quarantine quarantine.Report
	Limits     []requestlimit.Entry
	Brittle    []brittle.Entry
	// ConnectionWants are the upstreams to which the peer lacks connections, and
	// ConnectionGrants what it lends in its reply to a report that was sent at AskedAt.
	ConnectionWants  []connshare.Want
	ConnectionGrants []connshare.Grant
	AskedAt          time.Time
	// Hosts is the number of hosts that the peer has read, 0 if it has not.
	Hosts int
	// Evacuations are zero if they were passed on before, by OfferEvacuations.
	Evacuations evacuation.Report
}

// LocalState is what this host sends to its peers, and what it needs from them.
type LocalState struct {
	Config *gateway.Config
	// ConfigAge is the time since Config was last known to be the latest.
	ConfigAge    time.Duration
	UpstreamRows []rowstore.Row
	ListRevision core.Revision
	Loads        []placement.PeerLoad
	Quarantine   quarantine.Report
	Limits       []requestlimit.Entry
	Brittle      []brittle.Entry
	// ConnectionWants are for a report to a peer, ConnectionGrants for the reply to one.
	ConnectionWants  []connshare.Want
	ConnectionGrants []connshare.Grant
	Evacuations      evacuation.Report
	// Hosts is the number of hosts that this host has read, 0 if it has not.
	Hosts int
	// ListSettled is true if the list lacks no upstream because of an outage of the store,
	// or of this host: the store has answered for as long as entries need to come back.
	ListSettled bool
	// LacksConfig and LacksUpstreams are true if the host has no recent answer of
	// the store about the configuration or the upstream list. LacksConfig is also true
	// if a peer has a newer configuration.
	LacksConfig    bool
	LacksUpstreams bool
}

type offeredConfig struct {
	version int64
	config  *gateway.Config
	age     time.Duration
	source  string
}

type exchangeState struct {
	peer  *PeerState
	reply chan<- LocalState
}

type receivedState struct{ peer PeerState }

type offeredUpstreams struct {
	rows     []rowstore.Row
	revision core.Revision
	settled  bool
}

// OfferConfig passes on a peer's configuration: its version, its content if it is
// newer than this host's, and the time since the peer last knew it to be the
// latest.
func (d *Director) OfferConfig(version int64, config *gateway.Config, age time.Duration, source string) {
	_ = d.inbox.Send(context.Background(), offeredConfig{version, config, age, source})
}

// OfferUpstreams passes on a peer's upstream list, which is applied if it is
// newer. settled is LocalState.ListSettled of the peer.
func (d *Director) OfferUpstreams(rows []rowstore.Row, revision core.Revision, settled bool) {
	_ = d.inbox.Send(context.Background(), offeredUpstreams{rows, revision, settled})
}

// Exchange stores what a peer tells, if peer is not nil, and returns what this
// host sends to its peers.
func (d *Director) Exchange(ctx context.Context, peer *PeerState) (LocalState, error) {
	return task.Ask(ctx, d.inbox, func(reply chan<- LocalState) any { return exchangeState{peer, reply} })
}

// Receive stores what a peer tells.
func (d *Director) Receive(peer PeerState) {
	_ = d.inbox.Send(context.Background(), receivedState{peer})
}

func (d *Director) receive(peer PeerState, now time.Time) {
	d.hearHostCount(peer.Hosts)
	d.mergeEvacuations(peer.Evacuations, peer.Host, now)
	d.balancer.SetPeerLoads(peer.Host, peer.Loads, now)
	before := d.quarantine.Holds()
	if d.quarantine.Merge(peer.Quarantine, now) {
		d.logHolds(before, "peer "+string(peer.Host))
	}
	if len(peer.Quarantine.Crashes) > 0 || len(peer.Quarantine.Answers) > 0 {
		d.config.SuspicionsChanged(d.quarantine.Repeated())
	}
	for _, change := range d.limits.Merge(peer.Limits, d.zoneOf, now) {
		d.logLimit(change, "peer "+string(peer.Host))
	}
	d.mergeBrittle(peer, now)
	d.borrowConnections(peer, now)
}

func (d *Director) lacksConfig(now time.Time) bool {
	return d.activeConfig == nil || d.activeConfig.Version < d.peerConfigVersion || now.Sub(d.configConfirmed) > peerFallbackAfter
}

func (d *Director) lacksUpstreams(now time.Time) bool {
	return now.Sub(d.listConfirmed) > peerFallbackAfter
}

func (d *Director) localState(now time.Time) LocalState {
	return LocalState{
		Config: d.activeConfig, ConfigAge: now.Sub(d.configConfirmed), UpstreamRows: d.upstreamRows, ListRevision: d.listRevision,
		Loads: d.balancer.OwnLoads(), Hosts: d.knownHostCount(),
		ListSettled: !d.listSince.IsZero() && now.Sub(d.listSince) >= roster.RecoveryGrace,
		LacksConfig: d.lacksConfig(now), LacksUpstreams: d.lacksUpstreams(now),
	}
}
