package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// queueGossip queues a host's fact for dissemination.
func (p *Protocol) queueGossip(host core.HostID) {
	p.transmissions[host] = 0
	p.version++
}

// buildMessage returns the message to send to a host: first a fact that it must
// refute, then the queued facts that were transmitted least often, then some
// others in round-robin order.
func (p *Protocol) buildMessage(to core.HostRef) Message {
	message := Message{From: p.self}
	about, known := p.members[to.Host]
	if known && (about.fact.Liveness != Alive || about.fact.Ref != to) {
		// Lifeguard's buddy system: a suspected process is told at once, so that
		// it can refute. So is a process that a later one has replaced.
		message.Updates = append(message.Updates, about.fact)
	}
	for _, host := range p.leastTransmitted(to.Host, MaxUpdates-len(message.Updates)) {
		message.Updates = append(message.Updates, p.members[host].fact)
		p.transmissions[host]++
	}
	room := min(refreshFacts, MaxUpdates-len(message.Updates))
	for ; room > 0; room-- {
		if fact, found := p.nextRefresh(to.Host); found && !containsHost(message.Updates, fact.Ref.Host) {
			message.Updates = append(message.Updates, fact)
		}
	}
	return message
}

func containsHost(facts []Fact, host core.HostID) bool {
	return slices.ContainsFunc(facts, func(fact Fact) bool { return fact.Ref.Host == host })
}

// leastTransmitted returns up to limit hosts whose queued facts were transmitted
// least often, and removes those from the queue that reached the limit.
func (p *Protocol) leastTransmitted(except core.HostID, limit int) []core.HostID {
	maxTransmissions := retransmitMultiplier * int(math.Ceil(math.Log10(float64(len(p.members)+2))))
	hosts := make([]core.HostID, 0, len(p.transmissions))
	for host, count := range p.transmissions {
		switch {
		case count >= maxTransmissions:
			delete(p.transmissions, host)
		case host != except:
			hosts = append(hosts, host)
		}
	}
	slices.SortFunc(hosts, func(a, b core.HostID) int {
		return cmp.Or(cmp.Compare(p.transmissions[a], p.transmissions[b]), cmp.Compare(a, b))
	})
	return hosts[:min(limit, len(hosts))]
}

// nextRefresh returns the next host's fact in round-robin order, or false if it
// is unknown, dead or excepted. The order is that of the ping targets.
func (p *Protocol) nextRefresh(except core.HostID) (Fact, bool) {
	if len(p.pingOrder) == 0 {
		return Fact{}, false
	}
	host := p.pingOrder[p.refreshCursor%len(p.pingOrder)]
	p.refreshCursor++
	other, known := p.members[host]
	if !known || host == except || other.fact.Liveness == Dead {
		return Fact{}, false
	}
	return other.fact, true
}

// MessageFor returns the message to send to a process: a ping on behalf of another
// host, or the answer to that host's ping request.
func (p *Protocol) MessageFor(target core.HostRef) Message {
	return p.buildMessage(target)
}

// Receive merges a received message and returns the answer.
func (p *Protocol) Receive(now time.Time, received Message) Message {
	p.mergeMessage(now, received)
	return p.buildMessage(received.From.Ref)
}

// mergeMessage merges the facts of a message. The sender's fact about itself
// proves that it is alive.
func (p *Protocol) mergeMessage(now time.Time, received Message) {
	received.From.Liveness = Alive
	sender := received.From.Ref.Host
	before, known := p.members[sender]
	wasDead := known && before.fact.Liveness == Dead
	p.mergeFact(now, received.From)
	if after := p.members[sender]; after != nil && after.fact.Liveness != Dead && (wasDead || !p.joined) {
		p.joined = true
		p.syncFrom = sender
	}
	for _, fact := range received.Updates[:min(len(received.Updates), MaxUpdates)] {
		if fact.Ref.Host != "" && fact.Liveness >= Alive && fact.Liveness <= Dead {
			p.mergeFact(now, fact)
		}
	}
}

// Page returns up to MaxUpdates facts about the hosts after a given one in
// order of host ID, for a process that joins or returns after a partition. It
// also reports whether there are more.
func (p *Protocol) Page(now time.Time, received Message, after core.HostID) (page Message, more bool) {
	p.mergeMessage(now, received)
	page.From = p.self
	var hosts []core.HostID
	for host, other := range p.members {
		if host > after && (other.fact.Liveness != Dead || now.Sub(other.changedAt) < deadVisibleTime) {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	for _, host := range hosts[:min(len(hosts), MaxUpdates)] {
		page.Updates = append(page.Updates, p.members[host].fact)
	}
	return page, len(hosts) > MaxUpdates
}
