// Package membership decides what a host believes about the other hosts. It
// follows SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002) with the local
// health awareness of Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local
// Health Awareness for More Accurate Failure Detection", DSN-W 2018).
//
// It has no clock, socket, goroutine or codec: time and received messages are
// passed in, messages to send are returned.
package membership

import (
	"github.com/peridotreel/peridotreel/internal/core"
)

// Liveness is how sure the fleet is that a process runs. A higher value
// overrides a lower one of the same refutation count.
type Liveness uint8

// The levels of liveness.
const (
	Alive Liveness = iota + 1
	Suspect
	Dead
)

// Fact is what is known about one process of a host. Facts about a host form
// a join semilattice under Join, so hosts that have received the same facts
// agree, whatever the order, delay or repetition of messages.
type Fact struct {
	Ref core.HostRef
	// Refutations counts how often the process has contradicted a suspicion.
	// Only the process itself raises it.
	Refutations uint32
	Liveness    Liveness
	// Leaving is sticky for the incarnation.
	Leaving bool
	Zone    core.ZoneName
	Address string
	// Wire is the newest wire version the process reads, 0 if unknown.
	Wire int
	// Revision of the table that the process was last known to have in force.
	Revision int64
	// Accuser is the host that suspects the process. It is no part of the
	// order of facts; distinct accusers shorten the suspicion.
	Accuser core.HostID
}

// Join returns the fact that holds when both hold. They must be about the same
// host. The later incarnation wins as a whole. Within an incarnation, leaving
// stays, and the higher refutation count decides about liveness, then the
// worse liveness.
func Join(a, b Fact) Fact {
	if a.Ref.Incarnation != b.Ref.Incarnation {
		if a.Ref.Incarnation > b.Ref.Incarnation {
			return a
		}
		return b
	}
	joined := a
	if b.Refutations > a.Refutations || (b.Refutations == a.Refutations && b.Liveness > a.Liveness) {
		joined.Refutations, joined.Liveness, joined.Accuser = b.Refutations, b.Liveness, b.Accuser
	}
	joined.Leaving = a.Leaving || b.Leaving
	// Zone, address and wire version are fixed for a process. A fact from the
	// platform's list has no wire version.
	joined.Zone = max(a.Zone, b.Zone)
	joined.Address = max(a.Address, b.Address)
	joined.Wire = max(a.Wire, b.Wire)
	joined.Revision = max(a.Revision, b.Revision)
	return joined
}

// news reports whether later has something that others should hear soon. The
// revision isn't: it changes every second and travels with each message.
func news(earlier, later Fact) bool {
	earlier.Revision, later.Revision = 0, 0
	earlier.Accuser, later.Accuser = "", ""
	return earlier != later
}

// State returns the state that other packages see.
func (f *Fact) State() core.PeerState {
	switch {
	case f.Liveness == Dead:
		return core.PeerDead
	case f.Leaving:
		return core.PeerLeaving
	case f.Liveness == Suspect:
		return core.PeerSuspect
	default:
		return core.PeerAlive
	}
}

// Peer returns the fact in the form that other packages use.
func (f *Fact) Peer() core.Peer {
	return core.Peer{Ref: f.Ref, Zone: f.Zone, Address: f.Address, State: f.State(), Wire: f.Wire, Revision: f.Revision}
}

// Message is what hosts tell each other in pings and in answers to them.
type Message struct {
	// From is the sender's fact about itself.
	From Fact
	// Updates are at most MaxUpdates facts about other hosts or the receiver.
	Updates []Fact
}
