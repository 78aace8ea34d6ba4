// Package readers decides how long this host goes on with a caller that does not read its
// answer, how much of an answer waits for one, and how many bytes of requests this host
// lets an upstream hold.
package readers

import "time"

const (
	// MaxGap is how long a caller may take nothing while bytes wait for it. Callers give up
	// a stream after a gap of a few seconds, so one that has taken nothing for so long is
	// not expected to go on.
	MaxGap = 10 * time.Second
	// rateWindow and minTaken are the least rate of a caller that reads steadily. Callers
	// that take a byte at times would hold their bytes until the end of the process.
	rateWindow = 30 * time.Second
	minTaken   = 1 << 10
	// MaxWaiting bounds the bytes of an answer that wait for one caller. It is what an
	// answer that is sent as a whole may have, and some seconds of a fast stream, in which
	// an upstream does not notice that its answer is not read.
	MaxWaiting = 256 << 10
)

// Verdict tells whether an answer goes on.
type Verdict uint8

// The verdicts.
const (
	// GoesOn means that the caller reads, or may still do so.
	GoesOn Verdict = iota
	// NotRead means that the caller has taken nothing for MaxGap.
	NotRead
	// TooSlow means that the caller takes bytes at less than the least rate.
	TooSlow
)

// Caller is what is known of a caller for which bytes wait.
type Caller struct {
	taken       int64
	takenAt     time.Time
	windowTaken int64
	windowAt    time.Time
}

// NewCaller returns the state of a caller from when the first bytes wait for it.
func NewCaller(now time.Time) Caller { return Caller{takenAt: now, windowAt: now} }

// Observe records how many bytes the caller has taken in all, and tells whether its answer
// goes on. It is called while bytes wait.
func (c *Caller) Observe(taken int64, now time.Time) Verdict {
	if taken > c.taken {
		c.taken, c.takenAt = taken, now
	}
	if now.Sub(c.takenAt) >= MaxGap {
		return NotRead
	}
	if now.Sub(c.windowAt) < rateWindow {
		return GoesOn
	}
	slow := c.taken-c.windowTaken < minTaken
	c.windowTaken, c.windowAt = c.taken, now
	if slow {
		return TooSlow
	}
	return GoesOn
}

// Progress tells whether a caller reads, from what was written for it and what it has not
// acknowledged.
type Progress struct {
	caller Caller
	// held is what was unacknowledged as the account began: it is taken first.
	held, written int64
}

// NewProgress returns the state of a caller with bytes that it has not acknowledged.
func NewProgress(unacknowledged int, now time.Time) Progress {
	return Progress{caller: NewCaller(now), held: int64(unacknowledged)}
}

// Next records that a further part is to be written. A caller that has taken all before it
// has been waiting for the part, so that its time begins anew.
func (p *Progress) Next(unacknowledged int, now time.Time) {
	if unacknowledged == 0 {
		*p = NewProgress(0, now)
	}
}

// Wrote records bytes that were written, and tells whether the answer goes on.
func (p *Progress) Wrote(bytes, unacknowledged int, now time.Time) Verdict {
	p.written += int64(bytes)
	return p.caller.Observe(p.held+p.written-int64(unacknowledged), now)
}

// MayWait reports whether further bytes may wait for a caller. One part may in any case, as
// it is held already.
func MayWait(waiting int64, part int) bool {
	return waiting == 0 || waiting+int64(part) <= MaxWaiting
}
