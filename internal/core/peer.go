package core

// PeerState is what a host believes about another host.
type PeerState uint8

// The states of a peer.
const (
	PeerAlive PeerState = iota + 1
	PeerSuspect
	PeerLeaving
	PeerDead
)

// String returns the state as logs, metrics and the admin interface show it.
func (s PeerState) String() string {
	switch s {
	case PeerAlive:
		return "alive"
	case PeerSuspect:
		return "suspect"
	case PeerLeaving:
		return "leaving"
	default:
		return "dead"
	}
}

// Peer is another host of the fleet as this host sees it.
type Peer struct {
	Ref     HostRef
	Zone    ZoneName
	Address string
	State   PeerState
	// Wire is the newest wire version the peer reads.
	Wire int
	// Revision is the table revision the peer was last known to have in force.
	Revision int64
}

// Usable reports whether the peer may be given work such as copies of bills.
func (p *Peer) Usable() bool {
	return p.State == PeerAlive || p.State == PeerSuspect
}

// PeerView is an immutable view of the fleet, this host included.
type PeerView struct {
	Self  Peer
	Peers []Peer
}

// PeerSource gives the current view of the fleet; it never returns nil.
type PeerSource interface {
	Peers() *PeerView
}
