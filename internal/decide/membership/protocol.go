package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// MaxUpdates bounds the facts in a message, the sender's own not counted.
	MaxUpdates = 8
	// pingsPerPeriod is constant, so that a host's control traffic does not grow
	// with the fleet.
	pingsPerPeriod = 3
	// indirectPings is the number of relays asked to ping a host that did not
	// answer, SWIM's k.
	indirectPings = 2
	// defaultPeriod is SWIM's protocol period, the time between rounds of pings.
	defaultPeriod = time.Second
	// directTimeoutFraction is the part of a period to wait for a direct
	// answer: 500 ms, as in HashiCorp memberlist. A round trip between distant
	// regions takes 300 ms.
	directTimeoutFraction = 0.5
	// maxHealthScore is the upper limit of the local health score, as in the
	// Lifeguard paper.
	maxHealthScore = 8
	// suspicionMinMultiplier and suspicionMaxMultiplier give the bounds of the
	// suspicion timeout, in periods times log10 of the fleet's size, as in
	// memberlist. As in Lifeguard, the timeout starts at the maximum.
	suspicionMinMultiplier = 4
	suspicionMaxMultiplier = 6 * suspicionMinMultiplier
	// maxConfirmations is the number of further reporters at which the suspicion
	// timeout reaches its minimum.
	maxConfirmations = 3
	// retransmitMultiplier times log10 of the fleet's size is how often each
	// host transmits a queued fact, as in memberlist.
	retransmitMultiplier = 4
	// refreshFacts is the number of unchanged facts added to a message that has
	// room. They repair what gossip missed and disseminate revisions.
	refreshFacts = 2
	// pauseThresholdPeriods is the delay of a tick, in periods, above which this
	// process counts as having been paused.
	pauseThresholdPeriods = 2
	// deadVisibleTime is how long a dead host remains in the view.
	deadVisibleTime = 10 * time.Minute
	// deadRetention is how long a dead host is kept, so that a late message
	// can't make it alive again, and pinged now and then, so that the parts of
	// a fleet reconnect after a partition of hours.
	deadRetention = 24 * time.Hour
	// maxDeadRetained bounds the dead hosts kept: about twice the 1,820 processes
	// that end in a day.
	maxDeadRetained = 4096
)

// Config describes a Protocol.
type Config struct {
	Self    core.HostRef
	Zone    core.ZoneName
	Address string
	Wire    int
	// Seeds are addresses to contact while no other host is known to be alive.
	Seeds []string
	// Seed seeds the random choices.
	Seed uint64
	// Period between rounds of pings; 0 takes 1 s.
	Period time.Duration
}

// member is what is known about another host.
type member struct {
	fact Fact
	// changedAt is when the incarnation, refutation count or liveness last
	// changed.
	changedAt time.Time
	// reporters lists the distinct hosts that reported the present suspicion.
	reporters []core.HostID
}

// Protocol is the state machine of one host's part of SWIM: failure detector and
// dissemination.
type Protocol struct {
	config  Config
	random  *rand.Rand
	self    Fact
	members map[core.HostID]*member
	// superseded is true once a later incarnation of this host is known.
	superseded bool
	// healthScore is Lifeguard's local health multiplier: 0 is healthy, higher
	// values lengthen periods and timeouts.
	healthScore int

	probes      map[uint64]*probe
	lastProbeID uint64
	// pingOrder is the random order in which hosts are pinged, pingCursor the
	// index of the next.
	pingOrder  []core.HostID
	pingCursor int
	nextPeriod time.Time
	// syncFrom is the host whose facts are to be fetched: the first one met, or
	// one that was dead and is alive again; "" if there is none.
	syncFrom core.HostID
	// joined is true once another live host was met and chosen for a sync.
	joined bool

	// transmissions is the gossip queue: how often the fact of each queued host
	// was transmitted since it changed.
	transmissions map[core.HostID]int
	refreshCursor int
	suspects      map[core.HostID]bool
	// version counts changes of the view other than those of revisions.
	version uint64
}

// New returns a protocol that knows only its own host.
func New(config Config) *Protocol {
	if config.Period == 0 {
		config.Period = defaultPeriod
	}
	return &Protocol{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, uint64(config.Self.Incarnation))),
		self: Fact{Ref: config.Self, Liveness: Alive, Zone: config.Zone, Address: config.Address,
			Wire: config.Wire},
		members:       make(map[core.HostID]*member),
		probes:        make(map[uint64]*probe),
		transmissions: make(map[core.HostID]int),
		suspects:      make(map[core.HostID]bool),
	}
}

// Version increases whenever the view changes in anything but revisions.
func (p *Protocol) Version() uint64 {
	return p.version
}

// SetRevision sets the revision of the table that this host has in force.
func (p *Protocol) SetRevision(revision int64) {
	p.self.Revision = max(p.self.Revision, revision)
}

// Leave marks this process as leaving.
func (p *Protocol) Leave() {
	p.self.Leaving = true
	p.version++
}

// View returns a new view of the fleet, ordered by host.
func (p *Protocol) View(now time.Time) *core.PeerView {
	view := &core.PeerView{Self: p.self.Peer(), Peers: make([]core.Peer, 0, len(p.members))}
	if p.superseded {
		view.Self.State = core.PeerDead
	}
	for _, other := range p.members {
		if other.fact.Liveness != Dead || now.Sub(other.changedAt) < deadVisibleTime {
			view.Peers = append(view.Peers, other.fact.Peer())
		}
	}
	slices.SortFunc(view.Peers, func(a, b core.Peer) int { return cmp.Compare(a.Ref.Host, b.Ref.Host) })
	return view
}

// MinWire returns the lowest wire version among this host and the others that
// are not dead. A host whose version is unknown counts as version 1.
func (p *Protocol) MinWire() int {
	lowest := p.self.Wire
	for _, other := range p.members {
		if other.fact.Liveness != Dead {
			lowest = min(lowest, max(other.fact.Wire, 1))
		}
	}
	return lowest
}

// MergeDirectory merges the entries of the platform's directory of hosts. It adds hosts
// and marks those that are leaving, but does not change liveness, because the
// directory lags.
func (p *Protocol) MergeDirectory(now time.Time, hosts []Fact) {
	for _, entry := range hosts {
		entry.Refutations, entry.Liveness, entry.Wire, entry.Revision = 0, Alive, 0, 0
		p.mergeFact(now, entry)
	}
}

// mergeFact merges a fact received from another host. If it reports dead a
// process that is not dead here, the report counts as a suspicion, as in
// memberlist's state exchange: after a partition the other side holds hosts of
// this side to be dead, and they must have time to refute. Each host declares
// deaths by its own timer.
func (p *Protocol) mergeFact(now time.Time, fact Fact) {
	if fact.Ref.Host == p.self.Ref.Host {
		p.mergeOwnFact(fact)
		return
	}
	known := p.members[fact.Ref.Host]
	if known != nil && fact.Liveness == Dead && known.fact.Liveness != Dead && known.fact.Ref == fact.Ref &&
		!known.fact.Leaving && !fact.Leaving {
		fact.Liveness, fact.Reporter = Suspect, ""
	}
	p.applyFact(now, fact)
}

// applyFact joins a fact about another host with the known one and queues the
// result for gossip if it changed.
func (p *Protocol) applyFact(now time.Time, fact Fact) {
	other := p.members[fact.Ref.Host]
	if other == nil {
		other = &member{fact: fact, changedAt: now}
		p.members[fact.Ref.Host] = other
		p.insertTarget(fact.Ref.Host)
		p.queueGossip(fact.Ref.Host)
		p.livenessChanged(now, other, fact)
		return
	}
	earlier := other.fact
	other.fact = Join(earlier, fact)
	if !worthGossiping(earlier, other.fact) {
		p.confirmSuspicion(other, fact)
		return
	}
	p.queueGossip(fact.Ref.Host)
	later := other.fact
	if later.Ref != earlier.Ref || later.Refutations != earlier.Refutations || later.Liveness != earlier.Liveness {
		other.changedAt = now
		other.reporters = nil
		p.livenessChanged(now, other, fact)
	}
}

func (p *Protocol) livenessChanged(now time.Time, other *member, fact Fact) {
	host := other.fact.Ref.Host
	delete(p.suspects, host)
	if other.fact.Liveness == Suspect {
		p.suspects[host] = true
		p.confirmSuspicion(other, fact)
	}
	if other.fact.Liveness == Dead {
		p.pruneDead(now)
	}
}

// confirmSuspicion counts a further reporter of a suspected process and gossips
// the suspicion again, as Lifeguard's dynamic suspicion timeout requires.
func (p *Protocol) confirmSuspicion(other *member, fact Fact) {
	sameSuspicion := fact.Ref == other.fact.Ref && fact.Refutations == other.fact.Refutations && fact.Liveness == Suspect
	if !sameSuspicion || other.fact.Liveness != Suspect || fact.Reporter == "" || len(other.reporters) > maxConfirmations ||
		slices.Contains(other.reporters, fact.Reporter) {
		return
	}
	other.reporters = append(other.reporters, fact.Reporter)
	other.fact.Reporter = fact.Reporter
	p.transmissions[other.fact.Ref.Host] = 0
}

// mergeOwnFact handles another host's fact about this one: it refutes a
// suspicion or death, and notes a later incarnation or a mark of leaving.
func (p *Protocol) mergeOwnFact(fact Fact) {
	switch {
	case fact.Ref.Incarnation > p.self.Ref.Incarnation:
		if !p.superseded {
			p.superseded = true
			p.version++
		}
	case fact.Ref.Incarnation == p.self.Ref.Incarnation:
		if fact.Liveness != Alive && fact.Refutations >= p.self.Refutations {
			// Lifeguard: a host that had to refute was probably slow to answer.
			p.self.Refutations = fact.Refutations + 1
			p.worsenHealth()
		}
		if fact.Leaving && !p.self.Leaving {
			p.Leave()
		}
	}
}

// pruneDead removes dead hosts beyond the limits of age and number.
func (p *Protocol) pruneDead(now time.Time) {
	var dead []*member
	for _, other := range p.members {
		if other.fact.Liveness != Dead {
			continue
		}
		if now.Sub(other.changedAt) > deadRetention {
			p.remove(other.fact.Ref.Host)
			continue
		}
		dead = append(dead, other)
	}
	if len(dead) <= maxDeadRetained {
		return
	}
	slices.SortFunc(dead, func(a, b *member) int {
		return cmp.Or(a.changedAt.Compare(b.changedAt), cmp.Compare(a.fact.Ref.Host, b.fact.Ref.Host))
	})
	for _, other := range dead[:len(dead)-maxDeadRetained] {
		p.remove(other.fact.Ref.Host)
	}
}

func (p *Protocol) remove(host core.HostID) {
	delete(p.members, host)
	delete(p.transmissions, host)
	p.pingOrder = slices.DeleteFunc(p.pingOrder, func(candidate core.HostID) bool { return candidate == host })
}

// liveCount returns the number of hosts that are not dead, this one included.
func (p *Protocol) liveCount() int {
	count := 1
	for _, other := range p.members {
		if other.fact.Liveness != Dead {
			count++
		}
	}
	return count
}

// suspicionTimeout returns how long a process is suspected before it is declared
// dead, in a fleet of the given size. It starts at the maximum and falls with
// the logarithm of the number of reporters.
func (p *Protocol) suspicionTimeout(size, reporters int) time.Duration {
	scale := max(1, math.Log10(float64(size)))
	shortest := suspicionMinMultiplier * scale * float64(p.config.Period)
	longest := suspicionMaxMultiplier * scale * float64(p.config.Period)
	confirmations := float64(max(reporters-1, 0))
	fraction := math.Log(confirmations+1) / math.Log(maxConfirmations+1)
	return time.Duration(max(shortest, longest-(longest-shortest)*fraction))
}

func (p *Protocol) worsenHealth() {
	p.healthScore = min(p.healthScore+1, maxHealthScore)
}

func (p *Protocol) improveHealth() {
	p.healthScore = max(p.healthScore-1, 0)
}
