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
	// MaxUpdates bounds the facts in a message, next to the sender's own.
	MaxUpdates = 8
	// pingsPerPeriod keeps control traffic constant in the size of the fleet.
	pingsPerPeriod = 3
	// indirectPings is how many others are asked to ping a host that did not
	// answer.
	indirectPings = 2
	// defaultPeriod is the time between rounds of pings.
	defaultPeriod = time.Second
	// directFraction of a period is the wait for a direct answer, 500 ms, as in
	// HashiCorp memberlist: a round trip between far regions takes 300 ms.
	directFraction = 0.5
	// maxHealth bounds Lifeguard's local health multiplier, as in its paper.
	maxHealth = 8
	// suspicionMin and suspicionMax are memberlist's multiples of the period,
	// scaled by the logarithm of the fleet's size, after which a suspicion
	// becomes a death. Lifeguard starts at the maximum.
	suspicionMin = 4
	suspicionMax = 6 * suspicionMin
	// confirmations is the number of further accusers that shorten a
	// suspicion to its minimum.
	confirmations = 3
	// transmissionFactor times log10 of the fleet's size is how often each host
	// passes on a piece of news, as in memberlist.
	transmissionFactor = 4
	// rotatingFacts old facts fill each message with room. They repair what
	// gossip missed and spread the revisions.
	rotatingFacts = 2
	// pausePeriods is how late a tick is, in periods, when this process was
	// paused.
	pausePeriods = 2
	// shownDead is how long a dead host stays in the view.
	shownDead = 10 * time.Minute
	// keptDead is how long a dead host is remembered, so that a late message
	// doesn't bring it back, and tried again, so that a fleet that was
	// partitioned for hours joins again.
	keptDead = 24 * time.Hour
	// maxDead bounds the dead hosts remembered: twice the 1,820 processes that
	// end in a day.
	maxDead = 4096
)

// Config describes a Machine.
type Config struct {
	Self    core.HostRef
	Zone    core.ZoneName
	Address string
	Wire    int
	// Seeds are addresses to ask while no other host is known.
	Seeds []string
	// Seed of the random choices.
	Seed uint64
	// Period between rounds of pings; 0 takes 1 s.
	Period time.Duration
}

// member is what is known about another host.
type member struct {
	fact Fact
	// changed is when the liveness last changed.
	changed time.Time
	// accusers are the hosts known to suspect the process.
	accusers []core.HostID
}

// Machine is one host's part of the protocol.
type Machine struct {
	config  Config
	random  *rand.Rand
	self    Fact
	members map[core.HostID]*member
	// superseded is true when a later process of this host is known.
	superseded bool
	// health is Lifeguard's local health multiplier: 0 is healthy.
	health int

	probes    map[uint64]*probe
	lastProbe uint64
	// order is the random order in which hosts are pinged, cursor the next.
	order      []core.HostID
	cursor     int
	nextPeriod time.Time
	// returned is a host that came back from the dead and whose view of the
	// fleet is to be fetched, "" if there is none.
	returned core.HostID
	// joined is true once the view of another host was asked for.
	joined bool

	// news counts how often a host's fact was passed on since it changed.
	news     map[core.HostID]int
	rotation int
	suspects map[core.HostID]bool
	// version counts changes that a view would show, revisions left out.
	version uint64
}

// New returns a machine that knows only itself.
func New(config Config) *Machine {
	if config.Period == 0 {
		config.Period = defaultPeriod
	}
	return &Machine{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, uint64(config.Self.Incarnation))),
		self: Fact{Ref: config.Self, Liveness: Alive, Zone: config.Zone, Address: config.Address,
			Wire: config.Wire},
		members:  make(map[core.HostID]*member),
		probes:   make(map[uint64]*probe),
		news:     make(map[core.HostID]int),
		suspects: make(map[core.HostID]bool),
	}
}

// Version changes whenever the view changes in more than revisions.
func (m *Machine) Version() uint64 {
	return m.version
}

// SetRevision sets the revision of the table that this host has in force.
func (m *Machine) SetRevision(revision int64) {
	m.self.Revision = max(m.self.Revision, revision)
}

// Leave marks this process as leaving.
func (m *Machine) Leave() {
	m.self.Leaving = true
	m.version++
}

// View returns a new view of the fleet, ordered by host.
func (m *Machine) View(now time.Time) *core.PeerView {
	view := &core.PeerView{Self: m.self.Peer(), Peers: make([]core.Peer, 0, len(m.members))}
	if m.superseded {
		view.Self.State = core.PeerDead
	}
	for _, other := range m.members {
		if other.fact.Liveness != Dead || now.Sub(other.changed) < shownDead {
			view.Peers = append(view.Peers, other.fact.Peer())
		}
	}
	slices.SortFunc(view.Peers, func(a, b core.Peer) int { return cmp.Compare(a.Ref.Host, b.Ref.Host) })
	return view
}

// MinWire returns the lowest wire version among this host and the live ones.
// A host that has not said its version counts as version 1.
func (m *Machine) MinWire() int {
	lowest := m.self.Wire
	for _, other := range m.members {
		if other.fact.Liveness != Dead {
			lowest = min(lowest, max(other.fact.Wire, 1))
		}
	}
	return lowest
}

// Listed takes the platform's lagging list of hosts. It makes hosts known and
// marks those that are leaving, but says nothing about liveness.
func (m *Machine) Listed(now time.Time, hosts []Fact) {
	for _, listed := range hosts {
		listed.Refutations, listed.Liveness, listed.Wire, listed.Revision = 0, Alive, 0, 0
		m.learn(now, listed)
	}
}

// learn takes a fact from another host. A death that contradicts what is known
// here counts as a suspicion, as in memberlist's state exchange: after a
// partition the other side believes hosts of this side to be dead, and they
// must have time to refute. Each host declares deaths by its own timer.
func (m *Machine) learn(now time.Time, fact Fact) {
	if fact.Ref.Host == m.self.Ref.Host {
		m.learnSelf(fact)
		return
	}
	known := m.members[fact.Ref.Host]
	if known != nil && fact.Liveness == Dead && known.fact.Liveness != Dead && known.fact.Ref == fact.Ref &&
		!known.fact.Leaving && !fact.Leaving {
		fact.Liveness, fact.Accuser = Suspect, ""
	}
	m.adopt(now, fact)
}

// adopt joins a fact about another host with what is known.
func (m *Machine) adopt(now time.Time, fact Fact) {
	other := m.members[fact.Ref.Host]
	if other == nil {
		other = &member{fact: fact, changed: now}
		m.members[fact.Ref.Host] = other
		m.insertTarget(fact.Ref.Host)
		m.spread(fact.Ref.Host)
		m.noteLiveness(now, other, fact)
		return
	}
	earlier := other.fact
	other.fact = Join(earlier, fact)
	if !news(earlier, other.fact) {
		m.noteAccuser(other, fact)
		return
	}
	m.spread(fact.Ref.Host)
	later := other.fact
	if later.Ref != earlier.Ref || later.Refutations != earlier.Refutations || later.Liveness != earlier.Liveness {
		other.changed = now
		other.accusers = nil
		m.noteLiveness(now, other, fact)
	}
}

func (m *Machine) noteLiveness(now time.Time, other *member, fact Fact) {
	host := other.fact.Ref.Host
	delete(m.suspects, host)
	if other.fact.Liveness == Suspect {
		m.suspects[host] = true
		m.noteAccuser(other, fact)
	}
	if other.fact.Liveness == Dead {
		m.forgetOldest(now)
	}
}

// noteAccuser counts a further accuser of a suspected process and passes the
// accusation on, as Lifeguard's dynamic suspicion timeout asks.
func (m *Machine) noteAccuser(other *member, fact Fact) {
	same := fact.Ref == other.fact.Ref && fact.Refutations == other.fact.Refutations && fact.Liveness == Suspect
	if !same || other.fact.Liveness != Suspect || fact.Accuser == "" || len(other.accusers) > confirmations ||
		slices.Contains(other.accusers, fact.Accuser) {
		return
	}
	other.accusers = append(other.accusers, fact.Accuser)
	other.fact.Accuser = fact.Accuser
	m.news[other.fact.Ref.Host] = 0
}

// learnSelf answers what others say about this host.
func (m *Machine) learnSelf(fact Fact) {
	switch {
	case fact.Ref.Incarnation > m.self.Ref.Incarnation:
		if !m.superseded {
			m.superseded = true
			m.version++
		}
	case fact.Ref.Incarnation == m.self.Ref.Incarnation:
		if fact.Liveness != Alive && fact.Refutations >= m.self.Refutations {
			// A refutation is a sign that this host was slow to answer.
			m.self.Refutations = fact.Refutations + 1
			m.worsen()
		}
		if fact.Leaving && !m.self.Leaving {
			m.Leave()
		}
	}
}

// forgetOldest bounds the number of dead hosts that are remembered.
func (m *Machine) forgetOldest(now time.Time) {
	var dead []*member
	for _, other := range m.members {
		if other.fact.Liveness != Dead {
			continue
		}
		if now.Sub(other.changed) > keptDead {
			m.forget(other.fact.Ref.Host)
			continue
		}
		dead = append(dead, other)
	}
	if len(dead) <= maxDead {
		return
	}
	slices.SortFunc(dead, func(a, b *member) int {
		return cmp.Or(a.changed.Compare(b.changed), cmp.Compare(a.fact.Ref.Host, b.fact.Ref.Host))
	})
	for _, other := range dead[:len(dead)-maxDead] {
		m.forget(other.fact.Ref.Host)
	}
}

func (m *Machine) forget(host core.HostID) {
	delete(m.members, host)
	delete(m.news, host)
	m.order = slices.DeleteFunc(m.order, func(candidate core.HostID) bool { return candidate == host })
}

// live returns the number of hosts that aren't dead, this one included.
func (m *Machine) live() int {
	count := 1
	for _, other := range m.members {
		if other.fact.Liveness != Dead {
			count++
		}
	}
	return count
}

// suspicionTime returns how long a process stays suspected in a fleet of some
// size. It starts at the maximum and falls with the logarithm of the number
// of accusers.
func (m *Machine) suspicionTime(size, accusers int) time.Duration {
	scale := max(1, math.Log10(float64(size)))
	shortest := suspicionMin * scale * float64(m.config.Period)
	longest := suspicionMax * scale * float64(m.config.Period)
	further := float64(max(accusers-1, 0))
	fraction := math.Log(further+1) / math.Log(confirmations+1)
	return time.Duration(max(shortest, longest-(longest-shortest)*fraction))
}

func (m *Machine) worsen() {
	m.health = min(m.health+1, maxHealth)
}

func (m *Machine) improve() {
	m.health = max(m.health-1, 0)
}
