// Package placement chooses the upstream for each attempt by the host's
// estimates of the upstreams' load, cached prompt parts and health.
package placement

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

// LoadBalancer chooses upstreams by a host's estimates. Its callers pass in the
// current time.
type LoadBalancer struct {
	zone      core.ZoneName
	upstreams map[core.UpstreamID]*upstreamState
	// byService lists the upstreams of each service, sorted by id.
	byService map[core.ServiceName][]*upstreamState
	// candidatesByService are those of byService that are not in an evacuated zone. They
	// are listed apart, so that evacuations add nothing to the cost of a choice.
	candidatesByService map[core.ServiceName][]*upstreamState
	evacuated           []core.ZoneName
	peers               map[core.HostID]peerReport
	// sums are the loads of all peers by upstream, and peersExpire is when the oldest of
	// their reports is no longer used.
	sums        map[core.UpstreamID]PeerLoad
	peersExpire time.Time
	caches      *cacheTracker
	// scratch is the memory for the candidates of a choice.
	scratch []*upstreamState
}

// upstreamState is the state kept for one upstream.
type upstreamState struct {
	upstream gateway.Upstream
	// attempts are this host's attempts in flight, by number.
	attempts map[uint64]*attempt
	// load is the upstream's latest report, received at loadAt; ownAtLoad is the
	// number of this host's attempts at that time. Attempts beyond that number
	// are not in the report.
	load         gateway.Load
	loadAt       time.Time
	ownAtLoad    int
	failureRatio decayingMean
	slowdown     decayingMean
	// connectionFailures counts consecutive failures without an answer.
	connectionFailures int
	cooldownUntil      time.Time
}

type attempt struct {
	sentAt        time.Time
	prefillTokens core.Tokens
	kvTokens      core.Tokens
	started       bool
}

type peerReport struct {
	at    time.Time
	loads []PeerLoad
}

// PeerLoad is the load that one host puts on an upstream.
type PeerLoad struct {
	Upstream core.UpstreamID
	// Running counts attempts in flight.
	Running int
	// Unread is the number of uncached prompt tokens of attempts whose answers
	// have not started.
	Unread core.Tokens
}

// NewLoadBalancer returns a LoadBalancer without upstreams, for a host in a
// zone.
func NewLoadBalancer(zone core.ZoneName) *LoadBalancer {
	return &LoadBalancer{
		zone: zone, upstreams: make(map[core.UpstreamID]*upstreamState), byService: make(map[core.ServiceName][]*upstreamState),
		candidatesByService: make(map[core.ServiceName][]*upstreamState),
		peers:               make(map[core.HostID]peerReport), sums: make(map[core.UpstreamID]PeerLoad), caches: newCacheTracker(),
	}
}

// SetUpstreams replaces the list of upstreams. It returns the ids of those that
// must get no new work: they left, were replaced or are leaving.
func (b *LoadBalancer) SetUpstreams(list []gateway.Upstream) []core.UpstreamID {
	listed := make(map[core.UpstreamID]bool, len(list))
	var retired []core.UpstreamID
	for _, upstream := range list {
		listed[upstream.ID] = true
		known, found := b.upstreams[upstream.ID]
		switch {
		case !found || known.upstream.StartMillis != upstream.StartMillis || known.upstream.Address != upstream.Address:
			b.upstreams[upstream.ID] = &upstreamState{upstream: upstream, attempts: make(map[uint64]*attempt)}
			if found {
				retired = append(retired, upstream.ID)
				b.caches.forget(upstream.ID)
			}
		default:
			known.upstream = upstream
		}
		if upstream.Leaving {
			retired = append(retired, upstream.ID)
		}
	}
	for id := range b.upstreams {
		if !listed[id] {
			delete(b.upstreams, id)
			b.caches.forget(id)
			retired = append(retired, id)
		}
	}
	b.rebuildIndex()
	return retired
}

// SetEvacuated sets the zones whose upstreams are not chosen.
func (b *LoadBalancer) SetEvacuated(zones []core.ZoneName) {
	b.evacuated = zones
	b.rebuildIndex()
}

// SetPeerLoads stores a peer's load report and drops reports that are too old.
func (b *LoadBalancer) SetPeerLoads(host core.HostID, loads []PeerLoad, now time.Time) {
	b.dropPeer(host)
	b.expirePeers(now)
	if len(b.peers) == 0 {
		b.peersExpire = now.Add(maxPeerReportAge)
	}
	b.peers[host] = peerReport{at: now, loads: loads}
	for _, load := range loads {
		sum := b.sums[load.Upstream]
		sum.Running, sum.Unread = sum.Running+load.Running, sum.Unread+load.Unread
		b.sums[load.Upstream] = sum
	}
}

// dropPeer takes a peer's report out of the sums. These are kept because a choice reads
// them for each upstream: adding up the reports of 330 peers for 520 upstreams took some
// 20 ms a choice.
func (b *LoadBalancer) dropPeer(host core.HostID) {
	for _, load := range b.peers[host].loads {
		sum := b.sums[load.Upstream]
		sum.Running, sum.Unread = sum.Running-load.Running, sum.Unread-load.Unread
		b.sums[load.Upstream] = sum
		if sum == (PeerLoad{}) {
			delete(b.sums, load.Upstream)
		}
	}
	delete(b.peers, host)
}

// expirePeers drops the reports that are too old, if there are any.
func (b *LoadBalancer) expirePeers(now time.Time) {
	if len(b.peers) == 0 || now.Before(b.peersExpire) {
		return
	}
	b.peersExpire = now.Add(maxPeerReportAge)
	for host, report := range b.peers {
		expires := report.at.Add(maxPeerReportAge)
		if !now.Before(expires) {
			b.dropPeer(host)
		} else if expires.Before(b.peersExpire) {
			b.peersExpire = expires
		}
	}
}

// OwnLoads returns the load of this host's attempts, for its peers.
func (b *LoadBalancer) OwnLoads() []PeerLoad {
	var loads []PeerLoad
	for id, u := range b.upstreams {
		if len(u.attempts) > 0 {
			loads = append(loads, PeerLoad{Upstream: id, Running: len(u.attempts), Unread: u.pendingPrefill()})
		}
	}
	return loads
}

// Begin records that an attempt is sent to an upstream.
func (b *LoadBalancer) Begin(id core.UpstreamID, number uint64, prompt *gateway.Prompt, now time.Time) {
	u := b.upstreams[id]
	if u == nil {
		return
	}
	sent := &attempt{sentAt: now}
	if prompt != nil {
		sent.prefillTokens = b.uncachedTokens(u, prompt, now)
		sent.kvTokens = prompt.Input + prompt.MaxOutput
		b.caches.recordSent(id, prompt, now)
	}
	u.attempts[number] = sent
}

// Signal is an observation about an upstream made during an attempt.
type Signal uint8

// The signals.
const (
	// Started means that the answer started.
	Started Signal = iota + 1
	// Progressed means that the upstream answers the request, beyond the first
	// event.
	Progressed
	// Succeeded means that the answer is complete.
	Succeeded
	// Full means that the upstream or its connections had no capacity left.
	Full
	// Misdirected means that another upstream answered at the address.
	Misdirected
	// Unreachable means that no connection could be established.
	Unreachable
	// Failed means that the upstream answered with a server error.
	Failed
	// Broke means that the connection broke or the answer was not valid.
	Broke
	// ClosedEarly means that the connection ended before the upstream answered.
	ClosedEarly
	// Stalled means that the upstream has sent nothing for some time. The attempt goes on.
	Stalled
	// Silent means that the upstream sent nothing until the time was up.
	Silent
	// Abandoned means that the caller disconnected or the time was up.
	Abandoned
	// Connected means that a connection was set up for the attempt, which goes on.
	Connected
)

// Observe records a signal of an attempt. Any signal but Started, Progressed, Stalled and
// Connected ends the attempt.
func (b *LoadBalancer) Observe(id core.UpstreamID, number uint64, signal Signal, now time.Time) {
	u := b.upstreams[id]
	if u == nil {
		return
	}
	if sent, found := u.attempts[number]; found {
		switch signal {
		case Started, Progressed:
			sent.started = true
		case Stalled, Connected:
		default:
			delete(u.attempts, number)
		}
	}
	u.updateHealth(signal, now)
}

// ObserveLoad records a load report of an upstream.
func (b *LoadBalancer) ObserveLoad(id core.UpstreamID, load gateway.Load, now time.Time) {
	if u := b.upstreams[id]; u != nil {
		u.load, u.loadAt, u.ownAtLoad = load, now, len(u.attempts)
		u.slowdown.add(load.Slowdown, now, slowdownHalfLife)
	}
}
