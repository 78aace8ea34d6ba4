// Package buffers decides how much memory the buffered bodies of requests and answers
// may use on a host.
package buffers

// Pool is the memory for buffered bodies. Its zero value has none.
type Pool struct {
	capacity, used int64
}

// New returns a pool of a capacity in bytes.
func New(capacity int64) Pool { return Pool{capacity: capacity} }

// Take takes bytes from the pool and reports whether it had them.
func (p *Pool) Take(bytes int64) bool {
	if bytes < 0 || bytes > p.capacity-p.used {
		return false
	}
	p.used += bytes
	return true
}

// Return gives back bytes that were taken.
func (p *Pool) Return(bytes int64) { p.used = max(p.used-bytes, 0) }

// Used returns the bytes that are taken.
func (p *Pool) Used() int64 { return p.used }
