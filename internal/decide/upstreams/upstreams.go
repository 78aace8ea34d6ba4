// Package upstreams keeps a host's view of the upstreams: which exist, which
// are leaving, how loaded and how fast they are. Callers pass in the time, and
// the package does no input or output.
package upstreams

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Pool identifies the upstreams that can serve the same work: those of a model,
// or those of a plain service. Exactly one field is set.
type Pool struct {
	Model   core.ModelName
	Service core.ServiceName
}

// PoolOf returns the pool that serves the work.
func PoolOf(work *core.Work) Pool {
	if work.Call.Service != nil {
		return Pool{Service: work.Call.Service.Service}
	}
	return Pool{Model: work.Model()}
}

// Entry is an upstream in the platform's list.
type Entry struct {
	Target  core.Target
	Leaving bool
	Pools   []Pool
}

// Report is an upstream's report of its own load. It lags behind the load.
type Report struct {
	Upstream    core.UpstreamID
	Incarnation core.Incarnation
	Leaving     bool
	// Running and Waiting count requests of all hosts.
	Running int
	Waiting int
	// MaxRunning is the largest batch; 0 if unknown.
	MaxRunning int
	// KVUsed and KVTotal count tokens of the engine's KV cache.
	KVUsed  core.Tokens
	KVTotal core.Tokens
	// TokensPerSecond is the engine's present throughput.
	TokensPerSecond float64
	MeasuredAt      time.Time
}

// Upstream is the state kept of one upstream process.
type Upstream struct {
	// heldBytes is what the upstream holds of this host's requests that have not ended.
	heldBytes int64
	target    core.Target
	hash      uint64
	leaving   bool
	listed    bool
	members   []*Member

	report      Report
	reported    bool
	otherHosts  otherHosts
	ownRequests int
	ownTokens   core.Tokens
	history     history
}

func newUpstream(target core.Target) *Upstream {
	return &Upstream{target: target, hash: xxhash.Sum64String(string(target.Upstream))}
}

// Target returns how to reach the upstream.
func (u *Upstream) Target() core.Target {
	return u.target
}

// Hash identifies the upstream in rendezvous hashing.
func (u *Upstream) Hash() uint64 {
	return u.hash
}

// Usable reports whether the upstream may be given new work.
func (u *Upstream) Usable() bool {
	return u.listed && !u.leaving
}

// InFlight returns the number of this host's attempts that have not ended, and
// their estimated tokens.
func (u *Upstream) InFlight() (requests int, tokens core.Tokens) {
	return u.ownRequests, u.ownTokens
}

// Requests estimates the requests at the upstream now: the reports corrected
// by what this host has sent and finished since they were measured.
func (u *Upstream) Requests(now time.Time) float64 {
	return u.otherRequests(now) + float64(u.ownRequests)
}
