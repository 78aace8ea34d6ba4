// Package membership decides which hosts of the fleet are alive. It follows
// SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002) with the local
// health awareness of Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local
// Health Awareness for More Accurate Failure Detection", DSN-W 2018).
//
// It has no clock, socket, goroutine or codec: the time and received messages
// are parameters, and messages to send are results.
package membership

import (
	"github.com/peridotreel/peridotreel/internal/core"
)

// Liveness is the failure detector's verdict on a process. At equal refutation
// counts, the higher value wins.
type Liveness uint8

// The levels of liveness.
const (
	Alive Liveness = iota + 1
	Suspect
	Dead
)

// Fact is one entry of the membership state: what is known about one process
// of a host. Facts about a host form a join semilattice under Join, so hosts
// that have received the same facts agree, whatever the order, delay or
// repetition of messages.
type Fact struct {
	Ref core.HostRef
	// Refutations counts how often the process has refuted a suspicion, as
	// SWIM's incarnation number does. Only the process itself increments it.
	Refutations uint32
	Liveness    Liveness
	// Leaving, once true, stays true for the incarnation.
	Leaving bool
	Zone    core.ZoneName
	Address string
	// Wire is the newest wire version the process reads, 0 if unknown.
	Wire int
	// Revision is the latest table revision known to be in force there.
	Revision int64
	// Reporter is the host that reported the suspicion. Join ignores it when it
	// compares facts; reports by distinct hosts shorten the suspicion timeout.
	Reporter core.HostID
}

// Join merges two facts about the same host. A fact of a later incarnation
// replaces one of an earlier incarnation. Within an incarnation, Leaving is
// kept if either has it; the liveness is that of the higher refutation count
// or, at equal counts, the higher liveness.
func Join(a, b Fact) Fact {
	if a.Ref.Incarnation != b.Ref.Incarnation {
		if a.Ref.Incarnation > b.Ref.Incarnation {
			return a
		}
		return b
	}
	joined := a
	if b.Refutations > a.Refutations || (b.Refutations == a.Refutations && b.Liveness > a.Liveness) {
		joined.Refutations, joined.Liveness, joined.Reporter = b.Refutations, b.Liveness, b.Reporter
	}
	joined.Leaving = a.Leaving || b.Leaving
	// Zone, address and wire version never change during a process's life. A
	// fact from the platform's directory has no wire version.
	joined.Zone = max(a.Zone, b.Zone)
	joined.Address = max(a.Address, b.Address)
	joined.Wire = max(a.Wire, b.Wire)
	joined.Revision = max(a.Revision, b.Revision)
	return joined
}

// worthGossiping reports whether later differs from earlier in something to be
// gossiped with priority. Revisions are not: they change every second and are
// sent with every message.
func worthGossiping(earlier, later Fact) bool {
	earlier.Revision, later.Revision = 0, 0
	earlier.Reporter, later.Reporter = "", ""
	return earlier != later
}

// State returns the state in the form that other packages use.
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

// Message is the content of pings and of answers to them.
type Message struct {
	// From is the sender's fact about itself.
	From Fact
	// Updates are at most MaxUpdates facts about other hosts or the receiver.
	Updates []Fact
}
