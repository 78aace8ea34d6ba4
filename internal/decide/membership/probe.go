package membership

import (
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of action.
const (
	// SendPing asks the driver to ping Target and to report the result with
	// Answered or Unanswered.
	SendPing ActionKind = iota + 1
	// SendPingRequest asks the driver to have Relay ping Target, and to report
	// the relay's answer with PingRequestAnswered. A missing answer is not
	// reported.
	SendPingRequest
	// SendSync asks the driver to fetch all pages of facts from Target and to
	// report each with Answered and probe 0.
	SendSync
)

// Action is a call that the driver of a Protocol must make.
type Action struct {
	Kind ActionKind
	// Probe identifies the probe when the result is reported.
	Probe uint64
	// Target has only an address if it is a seed.
	Target core.Peer
	// Relay is set for SendPingRequest.
	Relay   core.Peer
	Message Message
	Timeout time.Duration
}

// probe is one check of a process by the failure detector.
type probe struct {
	target core.HostRef
	// indirectAt is when relays are asked at the latest, failAt when the probe
	// fails.
	indirectAt, failAt time.Time
	relaysAsked        bool
	// relays counts the relays asked, pendingRelays those that have not answered.
	relays, pendingRelays int
	// reconnect marks a probe of a dead host. Its failure has no effect.
	reconnect bool
}

// Tick handles timers that are due and returns what to send. The driver calls
// it at the time of Next or later.
func (p *Protocol) Tick(now time.Time) []Action {
	p.detectPause(now)
	actions := append(p.startSync(), p.expireProbes(now)...)
	p.expireSuspicions(now)
	if !now.Before(p.nextPeriod) {
		actions = append(actions, p.startPeriod(now)...)
	}
	return actions
}

// Next returns when Tick is due.
func (p *Protocol) Next() time.Time {
	next := p.nextPeriod
	for _, running := range p.probes {
		at := running.failAt
		if !running.relaysAsked {
			at = running.indirectAt
		}
		if at.Before(next) {
			next = at
		}
	}
	return next
}

// detectPause recognizes that this process was paused. Answers missed during the
// pause raise no suspicion, and the suspicion timeouts are extended by the
// pause, because refutations could not arrive.
func (p *Protocol) detectPause(now time.Time) {
	late := now.Sub(p.nextPeriod)
	if p.nextPeriod.IsZero() || late <= pauseThresholdPeriods*p.config.Period {
		return
	}
	p.healthScore = maxHealthScore
	clear(p.probes)
	for host := range p.suspects {
		p.members[host].changedAt = p.members[host].changedAt.Add(late)
	}
}

// scaled multiplies a duration according to the local health score.
func (p *Protocol) scaled(base time.Duration) time.Duration {
	return base * time.Duration(1+p.healthScore)
}

func (p *Protocol) startPeriod(now time.Time) []Action {
	p.nextPeriod = now.Add(p.scaled(p.config.Period))
	var actions []Action
	for range pingsPerPeriod {
		if host, found := p.nextTarget(); found {
			actions = append(actions, p.startProbe(now, p.members[host], false))
		}
	}
	if p.liveCount() == 1 {
		actions = append(actions, p.contactSeeds()...)
	}
	return append(actions, p.reconnectOne(now)...)
}

// Announce starts a round of pings at once, to disseminate a change.
func (p *Protocol) Announce(now time.Time) []Action {
	p.nextPeriod = now
	return p.Tick(now)
}

func (p *Protocol) startProbe(now time.Time, target *member, reconnect bool) Action {
	p.lastProbeID++
	timeout := time.Duration(float64(p.scaled(p.config.Period)) * directTimeoutFraction)
	p.probes[p.lastProbeID] = &probe{
		target: target.fact.Ref, indirectAt: now.Add(timeout), failAt: now.Add(p.scaled(p.config.Period)), reconnect: reconnect}
	return Action{Kind: SendPing, Probe: p.lastProbeID, Target: target.fact.Peer(),
		Message: p.buildMessage(target.fact.Ref), Timeout: timeout}
}

// contactSeeds syncs with some seeds, of which only the address is known.
func (p *Protocol) contactSeeds() []Action {
	seeds := slices.DeleteFunc(slices.Clone(p.config.Seeds), func(address string) bool { return address == p.config.Address })
	p.random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	var actions []Action
	for _, address := range seeds[:min(len(seeds), pingsPerPeriod)] {
		actions = append(actions, Action{Kind: SendSync, Target: core.Peer{Address: address},
			Message: p.buildMessage(core.HostRef{}), Timeout: p.scaled(p.config.Period)})
	}
	return actions
}

// reconnectOne probes one random dead host, so that two parts of a fleet that
// declared each other dead during a partition find each other again.
func (p *Protocol) reconnectOne(now time.Time) []Action {
	var dead []core.HostID
	for host, other := range p.members {
		if other.fact.Liveness == Dead && !other.fact.Leaving && now.Sub(other.changedAt) < deadRetention {
			dead = append(dead, host)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	slices.Sort(dead)
	return []Action{p.startProbe(now, p.members[dead[p.random.IntN(len(dead))]], true)}
}

// nextTarget returns the next host to ping, in a random order that is reshuffled
// after each pass, so that the time until a failed host is pinged is bounded.
func (p *Protocol) nextTarget() (core.HostID, bool) {
	for range len(p.pingOrder) {
		if p.pingCursor >= len(p.pingOrder) {
			p.pingCursor = 0
			p.random.Shuffle(len(p.pingOrder), func(i, j int) { p.pingOrder[i], p.pingOrder[j] = p.pingOrder[j], p.pingOrder[i] })
		}
		host := p.pingOrder[p.pingCursor]
		p.pingCursor++
		if p.members[host].fact.Liveness != Dead && !p.probing(host) {
			return host, true
		}
	}
	return "", false
}

func (p *Protocol) probing(host core.HostID) bool {
	for _, running := range p.probes {
		if running.target.Host == host {
			return true
		}
	}
	return false
}

// insertTarget inserts a new host at a random position of the ping order.
func (p *Protocol) insertTarget(host core.HostID) {
	p.pingOrder = slices.Insert(p.pingOrder, p.random.IntN(len(p.pingOrder)+1), host)
}

// Answered handles the answer to a ping or a page of facts. It returns what to
// send next.
func (p *Protocol) Answered(now time.Time, id uint64, answer Message) []Action {
	host := answer.From.Ref.Host
	p.mergeMessage(now, answer)
	actions := p.startSync()
	running := p.probes[id]
	if running == nil {
		return actions
	}
	if host != running.target.Host || answer.From.Ref.Incarnation < running.target.Incarnation {
		// An earlier incarnation or another host answers at this address.
		return append(actions, p.Unanswered(now, id)...)
	}
	delete(p.probes, id)
	p.improveHealth()
	return actions
}

// startSync fetches the facts of the host in syncFrom, if there is one.
func (p *Protocol) startSync() []Action {
	other := p.members[p.syncFrom]
	p.syncFrom = ""
	if other == nil || other.fact.Liveness == Dead {
		return nil
	}
	return []Action{{Kind: SendSync, Target: other.fact.Peer(),
		Message: p.buildMessage(other.fact.Ref), Timeout: p.scaled(p.config.Period)}}
}

// Unanswered handles a failed direct ping. Relays are asked at once.
func (p *Protocol) Unanswered(now time.Time, id uint64) []Action {
	running := p.probes[id]
	if running == nil || running.relaysAsked {
		return nil
	}
	return p.probeIndirectly(now, id, running)
}

// PingRequestAnswered handles the answer of a relay, which says whether it
// reached the target.
func (p *Protocol) PingRequestAnswered(now time.Time, id uint64, answer Message, reached bool) {
	p.mergeMessage(now, answer)
	running := p.probes[id]
	if running == nil {
		return
	}
	running.pendingRelays--
	if reached {
		delete(p.probes, id)
		p.improveHealth()
	}
}

// probeIndirectly has relays ping a target that did not answer, and pings it
// again itself: the driver then uses a new connection, because the first may be
// silent for good.
func (p *Protocol) probeIndirectly(now time.Time, id uint64, running *probe) []Action {
	running.relaysAsked = true
	target, known := p.members[running.target.Host]
	if !known || running.reconnect {
		delete(p.probes, id)
		return nil
	}
	left := running.failAt.Sub(now)
	actions := []Action{{Kind: SendPing, Probe: id, Target: target.fact.Peer(),
		Message: p.buildMessage(running.target), Timeout: left}}
	for _, relay := range p.chooseRelays(running.target.Host) {
		running.relays++
		running.pendingRelays++
		actions = append(actions, Action{Kind: SendPingRequest, Probe: id, Target: target.fact.Peer(),
			Relay: relay.fact.Peer(), Message: p.buildMessage(relay.fact.Ref), Timeout: left})
	}
	return actions
}

func (p *Protocol) chooseRelays(target core.HostID) []*member {
	var chosen []*member
	if len(p.pingOrder) == 0 {
		return nil
	}
	start := p.random.IntN(len(p.pingOrder))
	for i := range p.pingOrder {
		candidate := p.members[p.pingOrder[(start+i)%len(p.pingOrder)]]
		if candidate.fact.Ref.Host == target || candidate.fact.Liveness != Alive {
			continue
		}
		if chosen = append(chosen, candidate); len(chosen) == indirectPings {
			break
		}
	}
	return chosen
}

func (p *Protocol) expireProbes(now time.Time) []Action {
	var actions []Action
	for _, id := range p.probeIDs() {
		running := p.probes[id]
		switch {
		case !now.Before(running.failAt):
			delete(p.probes, id)
			p.probeFailed(now, running)
		case !running.relaysAsked && !now.Before(running.indirectAt):
			actions = append(actions, p.probeIndirectly(now, id, running)...)
		}
	}
	return actions
}

func (p *Protocol) probeIDs() []uint64 {
	ids := make([]uint64, 0, len(p.probes))
	for id := range p.probes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// probeFailed suspects a target that neither this host nor its relays reached.
// As in memberlist, relays that did not answer either indicate a fault of this
// host, and so does a failure without relays.
func (p *Protocol) probeFailed(now time.Time, failed *probe) {
	if failed.reconnect {
		return
	}
	if failed.relays == 0 {
		p.worsenHealth()
	}
	p.healthScore = min(p.healthScore+failed.pendingRelays, maxHealthScore)
	target := p.members[failed.target.Host]
	if target == nil || target.fact.Ref != failed.target || target.fact.Liveness == Dead {
		return
	}
	suspicion := target.fact
	suspicion.Liveness, suspicion.Reporter = Suspect, p.self.Ref.Host
	p.applyFact(now, suspicion)
}

func (p *Protocol) expireSuspicions(now time.Time) {
	if len(p.suspects) == 0 {
		return
	}
	size := p.liveCount()
	var expired []core.HostID
	for host := range p.suspects {
		suspected := p.members[host]
		if now.Sub(suspected.changedAt) >= p.suspicionTimeout(size, len(suspected.reporters)) {
			expired = append(expired, host)
		}
	}
	slices.Sort(expired)
	for _, host := range expired {
		death := p.members[host].fact
		death.Liveness = Dead
		p.applyFact(now, death)
	}
}
