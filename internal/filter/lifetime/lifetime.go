// Package lifetime is the filter that refuses work that may outlast the host.
package lifetime

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
)

// retryAfter is short, because the retry reaches another host.
const retryAfter = 50 * time.Millisecond

// Host tells when this host stops.
type Host interface {
	// StopsAt returns the latest time at which the host still serves, or the zero
	// time if it isn't stopping.
	StopsAt() time.Time
}

// Filter refuses work whose deadline is after the end of the host.
type Filter struct {
	host Host
}

// New returns the filter.
func New(host Host) *Filter {
	return &Filter{host: host}
}

// Apply returns nil if the host can finish the work.
func (f *Filter) Apply(work *core.Work) error {
	stopsAt := f.host.StopsAt()
	if stopsAt.IsZero() || !work.Deadline.After(stopsAt) {
		return nil
	}
	return fault.Refuse(fault.HostDraining,
		"this host stops before the deadline of class %s; retry, which reaches another host", work.Class.Name).WithRetryAfter(retryAfter)
}
