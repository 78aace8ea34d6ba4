// Package placement chooses the upstream of each attempt from what the host
// believes about the upstreams' work, caches and health.
package placement

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

// Fleet is what a host believes about all upstreams. It is driven by messages
// and has no clock of its own.
type Fleet struct {
	zone  core.ZoneName
	units map[core.UpstreamID]*unit
	// byService lists the units of each service, in the order of their ids.
	byService map[core.ServiceName][]*unit
	peers     map[core.HostID]peerReport
	warm      *warmth
}

// unit is one upstream.
type unit struct {
	upstream gateway.Upstream
	// attempts are this host's attempts under way, by their number.
	attempts map[uint64]*attempt
	// load is the upstream's newest report; own work at that time is kept to
	// count what began since.
	load      gateway.Load
	loadAt    time.Time
	loadOwn   int
	failures  average
	slowness  average
	strikes   int
	shunUntil time.Time
}

type attempt struct {
	since   time.Time
	input   core.Tokens
	total   core.Tokens
	started bool
}

type peerReport struct {
	at    time.Time
	loads map[core.UpstreamID]PeerLoad
}

// PeerLoad is the work that one host has at an upstream.
type PeerLoad struct {
	Upstream core.UpstreamID
	// Running counts attempts under way.
	Running int
	// Unread is the number of prompt tokens of attempts that have not begun to
	// answer.
	Unread core.Tokens
}

// NewFleet returns a fleet seen from a zone.
func NewFleet(zone core.ZoneName) *Fleet {
	return &Fleet{
		zone: zone, units: make(map[core.UpstreamID]*unit), byService: make(map[core.ServiceName][]*unit),
		peers: make(map[core.HostID]peerReport), warm: newWarmth(),
	}
}

// SetUpstreams replaces the list of upstreams. It returns the ids of those
// that must get no new work any more.
func (f *Fleet) SetUpstreams(list []gateway.Upstream) []core.UpstreamID {
	listed := make(map[core.UpstreamID]bool, len(list))
	var closed []core.UpstreamID
	for _, upstream := range list {
		listed[upstream.ID] = true
		known, found := f.units[upstream.ID]
		switch {
		case !found || known.upstream.StartMillis != upstream.StartMillis || known.upstream.Address != upstream.Address:
			f.units[upstream.ID] = &unit{upstream: upstream, attempts: make(map[uint64]*attempt)}
			if found {
				closed = append(closed, upstream.ID)
				f.warm.forget(upstream.ID)
			}
		default:
			known.upstream = upstream
		}
		if upstream.Leaving {
			closed = append(closed, upstream.ID)
		}
	}
	for id := range f.units {
		if !listed[id] {
			delete(f.units, id)
			f.warm.forget(id)
			closed = append(closed, id)
		}
	}
	f.index()
	return closed
}

// SetPeer takes a peer's report of its work.
func (f *Fleet) SetPeer(host core.HostID, loads []PeerLoad, now time.Time) {
	report := peerReport{at: now, loads: make(map[core.UpstreamID]PeerLoad, len(loads))}
	for _, load := range loads {
		report.loads[load.Upstream] = load
	}
	f.peers[host] = report
	for name, known := range f.peers {
		if now.Sub(known.at) > peerReportAge {
			delete(f.peers, name)
		}
	}
}

// OwnLoads returns this host's work, for its peers.
func (f *Fleet) OwnLoads() []PeerLoad {
	var loads []PeerLoad
	for id, u := range f.units {
		if len(u.attempts) > 0 {
			loads = append(loads, PeerLoad{Upstream: id, Running: len(u.attempts), Unread: u.unread()})
		}
	}
	return loads
}

// Begin records an attempt at an upstream.
func (f *Fleet) Begin(id core.UpstreamID, number uint64, prompt *gateway.Prompt, now time.Time) {
	u := f.units[id]
	if u == nil {
		return
	}
	begun := &attempt{since: now}
	if prompt != nil {
		begun.input = f.unread(u, prompt, now)
		begun.total = prompt.Input + prompt.MaxOutput
		f.warm.touch(id, prompt, now)
	}
	u.attempts[number] = begun
}

// Signal is what an attempt showed about its upstream.
type Signal uint8

// The signals.
const (
	// Started means that the answer began.
	Started Signal = iota + 1
	// Succeeded means that the answer is whole.
	Succeeded
	// Full means that the upstream refused the request for lack of room.
	Full
	// Misdirected means that another upstream has the address.
	Misdirected
	// Unreachable means that no connection could be set up.
	Unreachable
	// Failed means that the upstream answered with an error of its own.
	Failed
	// Broke means that the connection broke or carried no answer.
	Broke
	// Silent means that nothing came for too long.
	Silent
	// Abandoned means that the caller left or the time was up.
	Abandoned
)

// Observe records a signal of an attempt.
func (f *Fleet) Observe(id core.UpstreamID, number uint64, signal Signal, now time.Time) {
	u := f.units[id]
	if u == nil {
		return
	}
	if begun, found := u.attempts[number]; found {
		if signal == Started {
			begun.started = true
		} else {
			delete(u.attempts, number)
		}
	}
	u.judge(signal, now)
}

// ObserveLoad records an upstream's own report.
func (f *Fleet) ObserveLoad(id core.UpstreamID, load gateway.Load, now time.Time) {
	if u := f.units[id]; u != nil {
		u.load, u.loadAt, u.loadOwn = load, now, len(u.attempts)
		u.slowness.add(load.Slowdown, now, slownessMemory)
	}
}
