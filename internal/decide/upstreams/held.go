package upstreams

import "github.com/peridotreel/peridotreel/internal/decide/readers"

// MayHold reports whether the upstream may get a request of a number of bytes beside those
// of this host that it holds.
func (m *Member) MayHold(bytes int64) bool {
	return readers.MayHold(m.heldBytes, bytes, m.group.sharingHosts)
}

// Hold records a request that is sent to the upstream.
func (m *Member) Hold(bytes int64) { m.heldBytes += bytes }

// Release records that a request has ended. Requests of an earlier start of the upstream
// are not counted at a later one.
func (m *Member) Release(bytes int64) { m.heldBytes = max(m.heldBytes-bytes, 0) }
