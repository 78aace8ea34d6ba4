package core

// PeerState is the liveness of another host as this host's failure detector sees it.
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
	// Wire is the newest wire version that the peer can decode.
	Wire int
	// Revision is the table revision that the peer was last known to have applied.
	Revision int64
}

// Usable reports whether work such as copies of bills may be sent to the peer.
func (p *Peer) Usable() bool {
	return p.State == PeerAlive || p.State == PeerSuspect
}

// PeerView is an immutable snapshot of the fleet, this host included.
type PeerView struct {
	Self  Peer
	Peers []Peer
}

// PeerSource returns the current view of the fleet, which is never nil.
type PeerSource interface {
	Peers() *PeerView
}
