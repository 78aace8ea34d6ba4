// Package shed is the filter that rejects requests which this host cannot serve in time
// because it does not keep up itself. Callers return at once, and reach another host.
package shed

import (
	"math/rand/v2"
	"time"

	"github.com/peridotreel/peridotreel/internal/gateway"
)

// minRetryAfter and retryAfterSpread give the delay sent to callers. It is short, as
// other hosts keep up, and differs so that callers do not return together.
const (
	minRetryAfter    = 20 * time.Millisecond
	retryAfterSpread = 60 * time.Millisecond
)

// Load tells which requests to reject.
type Load interface {
	// Reject reports whether a request of an urgency is to be rejected, 0 to 9 with 0 as
	// the most urgent, and counts the request.
	Reject(urgency int) bool
}

// Filter rejects requests.
type Filter struct{ Load Load }

// Apply returns a *gateway.Refusal if a request of an urgency is to be rejected.
func (f *Filter) Apply(urgency int) error {
	if !f.Load.Reject(urgency) {
		return nil
	}
	return gateway.Refuse(gateway.Overloaded, minRetryAfter+rand.N(retryAfterSpread), "this host does not keep up with its requests; send the request again, which reaches another host")
}
