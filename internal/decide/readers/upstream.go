package readers

import "github.com/peridotreel/peridotreel/internal/core"

// maxHeld bounds the bytes of requests that one upstream holds of all hosts together: sent,
// and not yet answered. Upstreams state no memory. A service with 128 slots and queues for
// as many more holds 12 KiB of each request, the usual longest, within a fifth of it.
const maxHeld = 16 << 20

// MayHold reports whether an upstream that holds a number of bytes of one host's requests,
// and is shared by a number of hosts, may get a further request. One that holds nothing may
// get any, so that a long request is served.
func MayHold(held, bytes int64, hosts int) bool {
	return held <= 0 || held+bytes <= maxHeld/int64(max(hosts, 1))
}

// Upstreams is what upstreams hold of this host's requests. Its zero value is not usable.
type Upstreams struct {
	hosts     int
	upstreams map[core.UpstreamID]*held
}

type held struct {
	bytes    int64
	attempts map[uint64]int64
}

// NewUpstreams returns the table of a host that shares the upstreams with others.
func NewUpstreams(hosts int) *Upstreams {
	return &Upstreams{hosts: max(hosts, 1), upstreams: make(map[core.UpstreamID]*held)}
}

// SetHosts sets the number of hosts that share the upstreams.
func (u *Upstreams) SetHosts(hosts int) { u.hosts = max(hosts, 1) }

// MaySend reports whether an upstream may get a request of a number of bytes.
func (u *Upstreams) MaySend(id core.UpstreamID, bytes int64) bool {
	return MayHold(u.Held(id), bytes, u.hosts)
}

// Sent records an attempt that is sent to an upstream.
func (u *Upstreams) Sent(id core.UpstreamID, attempt uint64, bytes int64) {
	if bytes <= 0 {
		return
	}
	h := u.upstreams[id]
	if h == nil {
		h = &held{attempts: make(map[uint64]int64)}
		u.upstreams[id] = h
	}
	h.bytes += bytes
	h.attempts[attempt] = bytes
}

// Ended records that an attempt is answered or has ended. It may be called again.
func (u *Upstreams) Ended(id core.UpstreamID, attempt uint64) {
	h := u.upstreams[id]
	if h == nil {
		return
	}
	h.bytes -= h.attempts[attempt]
	delete(h.attempts, attempt)
	if len(h.attempts) == 0 {
		delete(u.upstreams, id)
	}
}

// Held returns the bytes that an upstream holds of this host's requests.
func (u *Upstreams) Held(id core.UpstreamID) int64 {
	if h := u.upstreams[id]; h != nil {
		return h.bytes
	}
	return 0
}
