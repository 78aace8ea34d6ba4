// Package linkmeter counts the bytes that connections read and write, so that a host
// knows how much of its link they use.
package linkmeter

import (
	"io"
	"sync/atomic"
)

// Meter counts bytes. Connections add to it from their own goroutines; a nil Meter counts
// nothing.
type Meter struct {
	received, sent atomic.Int64
}

// Received counts bytes that were read from a connection.
func (m *Meter) Received(bytes int) {
	if m != nil {
		m.received.Add(int64(bytes))
	}
}

// Sent counts bytes that were written to a connection.
func (m *Meter) Sent(bytes int) {
	if m != nil {
		m.sent.Add(int64(bytes))
	}
}

// Totals returns the bytes that were read and written so far.
func (m *Meter) Totals() (received, sent int64) {
	return m.received.Load(), m.sent.Load()
}

// Reader returns a reader that counts what is read from source.
func (m *Meter) Reader(source io.Reader) io.Reader {
	if m == nil {
		return source
	}
	return &reader{meter: m, source: source}
}

type reader struct {
	meter  *Meter
	source io.Reader
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.meter.Received(n)
	return n, err
}
