package membership

import (
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// ActionKind tells what the driver must do.
type ActionKind uint8

// The kinds of action.
const (
	// SendPing asks the driver to ping Target and report with Answered or Unanswered.
	SendPing ActionKind = iota + 1
	// SendPingRequest asks the driver to have Via ping Target, and to report
	// with Relayed or RelayFailed.
	SendPingRequest
	// SendSync asks the driver to fetch all pages from Target and to report
	// each with Answered, with probe 0.
	SendSync
)

// Action is something that the driver of a machine must do.
type Action struct {
	Kind ActionKind
	// Probe identifies the probe in reports of the outcome.
	Probe uint64
	// Target has only an address when it is a seed.
	Target  core.Peer
	Via     core.Peer
	Message Message
	Timeout time.Duration
}

// probe is a check of one process.
type probe struct {
	target core.HostRef
	// indirectAt is when others are asked, failAt when the target is suspected.
	indirectAt, failAt time.Time
	asked              bool
	// helpers counts the hosts asked, expected those that have not answered.
	helpers, expected int
	// revive marks a try to reach a dead host, which accuses nobody.
	revive bool
}

// Tick starts what is due and returns what to send. The driver calls it at
// Next or later.
func (m *Machine) Tick(now time.Time) []Action {
	m.notePause(now)
	actions := append(m.syncReturned(), m.expireProbes(now)...)
	m.expireSuspicions(now)
	if !now.Before(m.nextPeriod) {
		actions = append(actions, m.startPeriod(now)...)
	}
	return actions
}

// Next returns when Tick has something to do.
func (m *Machine) Next() time.Time {
	next := m.nextPeriod
	for _, running := range m.probes {
		at := running.failAt
		if !running.asked {
			at = running.indirectAt
		}
		if at.Before(next) {
			next = at
		}
	}
	return next
}

// notePause recognizes that this process was paused. Answers that it missed
// accuse nobody, and suspected processes get the time to refute that they
// would have had.
func (m *Machine) notePause(now time.Time) {
	late := now.Sub(m.nextPeriod)
	if m.nextPeriod.IsZero() || late <= pausePeriods*m.config.Period {
		return
	}
	m.health = maxHealth
	clear(m.probes)
	for host := range m.suspects {
		m.members[host].changed = m.members[host].changed.Add(late)
	}
}

// scaled lengthens a time by the local health multiplier.
func (m *Machine) scaled(base time.Duration) time.Duration {
	return base * time.Duration(1+m.health)
}

func (m *Machine) startPeriod(now time.Time) []Action {
	m.nextPeriod = now.Add(m.scaled(m.config.Period))
	var actions []Action
	for range pingsPerPeriod {
		if host, found := m.nextTarget(); found {
			actions = append(actions, m.startProbe(now, m.members[host], false))
		}
	}
	if m.live() == 1 {
		actions = append(actions, m.contactSeeds()...)
	}
	return append(actions, m.reviveOne(now)...)
}

// Announce returns pings that tell some hosts at once what has changed.
func (m *Machine) Announce(now time.Time) []Action {
	m.nextPeriod = now
	return m.Tick(now)
}

func (m *Machine) startProbe(now time.Time, target *member, revive bool) Action {
	m.lastProbe++
	timeout := time.Duration(float64(m.scaled(m.config.Period)) * directFraction)
	m.probes[m.lastProbe] = &probe{
		target: target.fact.Ref, indirectAt: now.Add(timeout), failAt: now.Add(m.scaled(m.config.Period)), revive: revive}
	return Action{Kind: SendPing, Probe: m.lastProbe, Target: target.fact.Peer(),
		Message: m.message(target.fact.Ref), Timeout: timeout}
}

// contactSeeds pings hosts of which only the address is known.
func (m *Machine) contactSeeds() []Action {
	seeds := slices.DeleteFunc(slices.Clone(m.config.Seeds), func(address string) bool { return address == m.config.Address })
	m.random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	var actions []Action
	for _, address := range seeds[:min(len(seeds), pingsPerPeriod)] {
		actions = append(actions, Action{Kind: SendSync, Target: core.Peer{Address: address},
			Message: m.message(core.HostRef{}), Timeout: m.scaled(m.config.Period)})
	}
	return actions
}

// reviveOne tries one random dead host, so that two parts of a fleet that have
// declared each other dead during a partition find each other again.
func (m *Machine) reviveOne(now time.Time) []Action {
	var dead []core.HostID
	for host, other := range m.members {
		if other.fact.Liveness == Dead && !other.fact.Leaving && now.Sub(other.changed) < keptDead {
			dead = append(dead, host)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	slices.Sort(dead)
	return []Action{m.startProbe(now, m.members[dead[m.random.IntN(len(dead))]], true)}
}

// nextTarget walks through the hosts in a random order that changes after each
// pass, so that the time until a dead host is pinged is bounded.
func (m *Machine) nextTarget() (core.HostID, bool) {
	for range len(m.order) {
		if m.cursor >= len(m.order) {
			m.cursor = 0
			m.random.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
		}
		host := m.order[m.cursor]
		m.cursor++
		if m.members[host].fact.Liveness != Dead && !m.probing(host) {
			return host, true
		}
	}
	return "", false
}

func (m *Machine) probing(host core.HostID) bool {
	for _, running := range m.probes {
		if running.target.Host == host {
			return true
		}
	}
	return false
}

// insertTarget puts a new host at a random place of the order.
func (m *Machine) insertTarget(host core.HostID) {
	m.order = slices.Insert(m.order, m.random.IntN(len(m.order)+1), host)
}

// Answered takes the answer of a pinged process. It returns what to send next.
func (m *Machine) Answered(now time.Time, id uint64, answer Message) []Action {
	host := answer.From.Ref.Host
	m.take(now, answer)
	actions := m.syncReturned()
	running := m.probes[id]
	if running == nil {
		return actions
	}
	if host != running.target.Host || answer.From.Ref.Incarnation < running.target.Incarnation {
		// Another process answers at this address.
		return append(actions, m.Unanswered(now, id)...)
	}
	delete(m.probes, id)
	m.improve()
	return actions
}

// syncReturned fetches the view of a host that came back, and of the first
// host that this one has met.
func (m *Machine) syncReturned() []Action {
	other := m.members[m.returned]
	m.returned = ""
	if other == nil || other.fact.Liveness == Dead {
		return nil
	}
	return []Action{{Kind: SendSync, Target: other.fact.Peer(),
		Message: m.message(other.fact.Ref), Timeout: m.scaled(m.config.Period)}}
}

// Unanswered says that a direct ping failed. Helpers are asked at once.
func (m *Machine) Unanswered(now time.Time, id uint64) []Action {
	running := m.probes[id]
	if running == nil || running.asked {
		return nil
	}
	return m.askOthers(now, id, running)
}

// Relayed takes the answer of a helper: whether it has reached the target.
func (m *Machine) Relayed(now time.Time, id uint64, answer Message, reached bool) {
	m.take(now, answer)
	running := m.probes[id]
	if running == nil {
		return
	}
	running.expected--
	if reached {
		delete(m.probes, id)
		m.improve()
	}
}

// askOthers has helpers ping a target that did not answer, and pings it again:
// the driver uses a new connection, because the first may be silent for good.
func (m *Machine) askOthers(now time.Time, id uint64, running *probe) []Action {
	running.asked = true
	target, known := m.members[running.target.Host]
	if !known || running.revive {
		delete(m.probes, id)
		return nil
	}
	left := running.failAt.Sub(now)
	actions := []Action{{Kind: SendPing, Probe: id, Target: target.fact.Peer(),
		Message: m.message(running.target), Timeout: left}}
	for _, via := range m.helpers(running.target.Host) {
		running.helpers++
		running.expected++
		actions = append(actions, Action{Kind: SendPingRequest, Probe: id, Target: target.fact.Peer(),
			Via: via.fact.Peer(), Message: m.message(via.fact.Ref), Timeout: left})
	}
	return actions
}

func (m *Machine) helpers(target core.HostID) []*member {
	var chosen []*member
	if len(m.order) == 0 {
		return nil
	}
	start := m.random.IntN(len(m.order))
	for i := range m.order {
		candidate := m.members[m.order[(start+i)%len(m.order)]]
		if candidate.fact.Ref.Host == target || candidate.fact.Liveness != Alive {
			continue
		}
		if chosen = append(chosen, candidate); len(chosen) == indirectPings {
			break
		}
	}
	return chosen
}

func (m *Machine) expireProbes(now time.Time) []Action {
	var actions []Action
	for _, id := range m.probeIDs() {
		running := m.probes[id]
		switch {
		case !now.Before(running.failAt):
			delete(m.probes, id)
			m.fail(now, running)
		case !running.asked && !now.Before(running.indirectAt):
			actions = append(actions, m.askOthers(now, id, running)...)
		}
	}
	return actions
}

func (m *Machine) probeIDs() []uint64 {
	ids := make([]uint64, 0, len(m.probes))
	for id := range m.probes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// fail suspects a target that neither this host nor its helpers have reached.
// As in memberlist, helpers that did not answer either are signs that this
// host is at fault, and so is a failure without helpers.
func (m *Machine) fail(now time.Time, failed *probe) {
	if failed.revive {
		return
	}
	if failed.helpers == 0 {
		m.worsen()
	}
	m.health = min(m.health+failed.expected, maxHealth)
	target := m.members[failed.target.Host]
	if target == nil || target.fact.Ref != failed.target || target.fact.Liveness == Dead {
		return
	}
	accusation := target.fact
	accusation.Liveness, accusation.Accuser = Suspect, m.self.Ref.Host
	m.adopt(now, accusation)
}

func (m *Machine) expireSuspicions(now time.Time) {
	if len(m.suspects) == 0 {
		return
	}
	size := m.live()
	var expired []core.HostID
	for host := range m.suspects {
		suspected := m.members[host]
		if now.Sub(suspected.changed) >= m.suspicionTime(size, len(suspected.accusers)) {
			expired = append(expired, host)
		}
	}
	slices.Sort(expired)
	for _, host := range expired {
		verdict := m.members[host].fact
		verdict.Liveness = Dead
		m.adopt(now, verdict)
	}
}
