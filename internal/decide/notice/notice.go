// Package notice keeps what upstreams say in their answers about further requests:
// that they leave, or that they want none for a time. It answers the load that follows
// when all upstreams of a service are silent at once: hosts return to them one after
// the other, each with one request at a time.
package notice

import (
	"math"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/rendezvous"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

const (
	// MaxQuiet bounds the time for which an upstream may ask to get nothing. No
	// upstream knows its load so far ahead, and one that is out for longer is replaced.
	MaxQuiet = 5 * time.Minute
	// maxReturnSpread bounds the time over which hosts return to an upstream, and
	// returnSpreadFraction is that time as a fraction of the quiet time.
	maxReturnSpread      = 500 * time.Millisecond
	returnSpreadFraction = 0.2
	// returnTime is the time after a host's return in which it sends an upstream one
	// request each returnSpacing, unless the upstream takes one.
	returnTime    = time.Second
	returnSpacing = 100 * time.Millisecond
	// retention is how long what an upstream said is kept after its entry is gone. It
	// may be listed again, by a store that comes back from a copy.
	retention = 10 * time.Minute
)

// Notices is what one host has been told. Its callers pass in the current time.
type Notices struct {
	host core.HostID
	said map[core.UpstreamID]*said
}

// said is what one start of an upstream has said.
type said struct {
	start   int64
	at      time.Time
	leaving bool
	// startChecked is true once CheckStart was true, and laterLeaves if it was found that
	// a later start, which is not listed yet, leaves.
	startChecked bool
	laterLeaves  bool
	// quietUntil is when this host returns, and lastSent when it sent a request since.
	quietUntil time.Time
	lastSent   time.Time
	// returned is true once the upstream has taken a request since.
	returned bool
}

// New returns the notices of a host.
func New(host core.HostID) *Notices {
	return &Notices{host: host, said: make(map[core.UpstreamID]*said)}
}

// of returns the record of one start of an upstream. It replaces that of an earlier
// start, and returns nil if the answer is of an earlier start than the record.
func (n *Notices) of(id core.UpstreamID, start int64, now time.Time) *said {
	known, found := n.said[id]
	if !found || known.start < start {
		known = &said{start: start}
		n.said[id] = known
	}
	if known.start > start {
		return nil
	}
	known.at = now
	return known
}

// Leaves records that a start of an upstream has said that it leaves. It reports
// whether that is new.
func (n *Notices) Leaves(id core.UpstreamID, start int64, now time.Time) bool {
	known := n.of(id, start, now)
	if known == nil || known.leaving {
		return false
	}
	known.leaving = true
	return true
}

// CheckStart reports, once for each start, whether it is to be found out which start
// says that it leaves: the list may be outdated.
func (n *Notices) CheckStart(id core.UpstreamID, start int64, now time.Time) bool {
	known := n.of(id, start, now)
	if known == nil || known.startChecked {
		return false
	}
	known.startChecked = true
	return true
}

// LaterLeaves records that not this start but a later one has said that it leaves.
func (n *Notices) LaterLeaves(id core.UpstreamID, start int64, now time.Time) {
	if known := n.of(id, start, now); known != nil {
		known.laterLeaves = true
	}
}

// Listed records which start of an upstream is listed. The first one that is later than a
// start for which LaterLeaves was called leaves.
func (n *Notices) Listed(upstream gateway.Upstream, now time.Time) {
	known, found := n.said[upstream.ID]
	if found && known.laterLeaves && known.start < upstream.StartMillis {
		n.Leaves(upstream.ID, upstream.StartMillis, now)
	}
}

// Quiet records that a start of an upstream wants nothing for a time, at most
// MaxQuiet. It reports whether it was not quiet before.
func (n *Notices) Quiet(id core.UpstreamID, start int64, duration time.Duration, now time.Time) bool {
	known := n.of(id, start, now)
	if known == nil || duration <= 0 {
		return false
	}
	duration = min(duration, MaxQuiet)
	spread := min(time.Duration(returnSpreadFraction*float64(duration)), maxReturnSpread)
	share := float64(rendezvous.Weight(string(id), string(n.host))) / math.MaxUint64
	until := now.Add(duration + time.Duration(share*float64(spread)))
	began := !now.Before(known.quietUntil)
	if until.After(known.quietUntil) {
		known.quietUntil, known.lastSent, known.returned = until, time.Time{}, false
	}
	return began
}

// Took records that an upstream has taken a request.
func (n *Notices) Took(id core.UpstreamID, now time.Time) {
	if known, found := n.said[id]; found && !now.Before(known.quietUntil) {
		known.returned = true
	}
}

// Sent records that a request is sent to an upstream.
func (n *Notices) Sent(id core.UpstreamID, now time.Time) {
	if known, found := n.said[id]; found {
		known.lastSent = now
	}
}

// Leaving reports whether the start of an upstream that is listed has said that it
// leaves.
func (n *Notices) Leaving(upstream gateway.Upstream) bool {
	known, found := n.said[upstream.ID]
	return found && known.start == upstream.StartMillis && known.leaving
}

// Wait returns how long the start of an upstream that is listed is to get nothing, 0 if
// it may get a request now.
func (n *Notices) Wait(upstream gateway.Upstream, now time.Time) time.Duration {
	known, found := n.said[upstream.ID]
	if !found || known.start != upstream.StartMillis {
		return 0
	}
	if wait := known.quietUntil.Sub(now); wait > 0 {
		return wait
	}
	if known.returned || known.lastSent.IsZero() || now.Sub(known.quietUntil) > returnTime {
		return 0
	}
	return max(known.lastSent.Add(returnSpacing).Sub(now), 0)
}

// Forget drops what is too old of upstreams that are not listed.
func (n *Notices) Forget(listed func(core.UpstreamID) bool, now time.Time) {
	for id, known := range n.said {
		if !listed(id) && now.Sub(known.at) > retention {
			delete(n.said, id)
		}
	}
}

// SpreadDelay returns the delay to send to the n-th caller that is refused until an
// upstream is to return: up to a quarter more, so that callers do not return at once.
func SpreadDelay(delay time.Duration, n uint64) time.Duration {
	_, fraction := math.Modf(float64(n) * math.Phi)
	return delay + time.Duration(fraction*float64(delay)/4)
}
