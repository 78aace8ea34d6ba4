package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// spread queues a host's fact to be passed on.
func (m *Machine) spread(host core.HostID) {
	m.news[host] = 0
	m.version++
}

// message returns what to tell a host: first what it must answer, then the
// news passed on least often, then some old facts in rotation.
func (m *Machine) message(to core.HostRef) Message {
	message := Message{From: m.self}
	about, known := m.members[to.Host]
	if known && (about.fact.Liveness != Alive || about.fact.Ref != to) {
		// Lifeguard's buddy system: a suspected process hears of it at once. So
		// does a process that was replaced by a later one.
		message.Updates = append(message.Updates, about.fact)
	}
	for _, host := range m.freshest(to.Host, MaxUpdates-len(message.Updates)) {
		message.Updates = append(message.Updates, m.members[host].fact)
		m.news[host]++
	}
	room := min(rotatingFacts, MaxUpdates-len(message.Updates))
	for ; room > 0; room-- {
		if fact, found := m.rotate(to.Host); found && !contains(message.Updates, fact.Ref.Host) {
			message.Updates = append(message.Updates, fact)
		}
	}
	return message
}

func contains(facts []Fact, host core.HostID) bool {
	return slices.ContainsFunc(facts, func(fact Fact) bool { return fact.Ref.Host == host })
}

// freshest returns up to limit hosts with news that was passed on least often,
// and drops the news that was passed on often enough.
func (m *Machine) freshest(except core.HostID, limit int) []core.HostID {
	enough := transmissionFactor * int(math.Ceil(math.Log10(float64(len(m.members)+2))))
	hosts := make([]core.HostID, 0, len(m.news))
	for host, passed := range m.news {
		switch {
		case passed >= enough:
			delete(m.news, host)
		case host != except:
			hosts = append(hosts, host)
		}
	}
	slices.SortFunc(hosts, func(a, b core.HostID) int {
		return cmp.Or(cmp.Compare(m.news[a], m.news[b]), cmp.Compare(a, b))
	})
	return hosts[:min(limit, len(hosts))]
}

// rotate returns the next fact of a walk through the live hosts. The order of
// the ping targets serves as the order of the walk.
func (m *Machine) rotate(except core.HostID) (Fact, bool) {
	if len(m.order) == 0 {
		return Fact{}, false
	}
	host := m.order[m.rotation%len(m.order)]
	m.rotation++
	other, known := m.members[host]
	if !known || host == except || other.fact.Liveness == Dead {
		return Fact{}, false
	}
	return other.fact, true
}

// PingFor returns the message for a process that another host wants pinged.
func (m *Machine) PingFor(target core.HostRef) Message {
	return m.message(target)
}

// Receive takes a message and returns the answer.
func (m *Machine) Receive(now time.Time, received Message) Message {
	m.take(now, received)
	return m.message(received.From.Ref)
}

// take learns from a message. The sender's own fact proves that it runs.
func (m *Machine) take(now time.Time, received Message) {
	received.From.Liveness = Alive
	sender := received.From.Ref.Host
	before, known := m.members[sender]
	wasDead := known && before.fact.Liveness == Dead
	m.learn(now, received.From)
	if after := m.members[sender]; after != nil && after.fact.Liveness != Dead && (wasDead || !m.joined) {
		m.joined = true
		m.returned = sender
	}
	for _, fact := range received.Updates[:min(len(received.Updates), MaxUpdates)] {
		if fact.Ref.Host != "" && fact.Liveness >= Alive && fact.Liveness <= Dead {
			m.learn(now, fact)
		}
	}
}

// Page returns up to MaxUpdates facts about the hosts that follow a host in
// order, for a process that joins or returns after a partition.
func (m *Machine) Page(now time.Time, received Message, after core.HostID) (page Message, more bool) {
	m.take(now, received)
	page.From = m.self
	var hosts []core.HostID
	for host, other := range m.members {
		if host > after && (other.fact.Liveness != Dead || now.Sub(other.changed) < shownDead) {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	for _, host := range hosts[:min(len(hosts), MaxUpdates)] {
		page.Updates = append(page.Updates, m.members[host].fact)
	}
	return page, len(hosts) > MaxUpdates
}
