// Package stream decides which events of an upstream's answer are delivered to
// the caller, and when a stream is suspected to be silent. It does no I/O.
package stream

import (
	"fmt"
	"strings"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Verdict is the decision on one event.
type Verdict uint8

// The verdicts.
const (
	// Deliver forwards the event, which is the next of the answer.
	Deliver Verdict = iota + 1
	// Drop ignores an event that was already delivered or belongs to an earlier
	// attempt.
	Drop
	// Abort ends the attempt, because its events can't belong to the answer.
	Abort
)

// Cursor tracks the position in one answer over all attempts that contribute to
// it.
type Cursor struct {
	request core.RequestID
	attempt int
	// next is the position of the next token to deliver; the first is 1.
	next     int64
	text     strings.Builder
	finished bool
}

// NewCursor returns a cursor at the start of the answer to a request.
func NewCursor(request core.RequestID) *Cursor {
	return &Cursor{request: request, next: 1}
}

// StartAttempt makes the next attempt the current one and returns its number.
func (c *Cursor) StartAttempt() int {
	c.attempt++
	return c.attempt
}

// Delivered returns the position of the last delivered token; 0 if none.
func (c *Cursor) Delivered() int64 {
	return c.next - 1
}

// Text returns the text delivered so far.
func (c *Cursor) Text() string {
	return c.text.String()
}

// Finished reports whether the finish event was accepted.
func (c *Cursor) Finished() bool {
	return c.finished
}

// Accept decides on an event and advances the cursor if it is delivered. The
// error gives the reason for an Abort.
func (c *Cursor) Accept(event *core.Event) (Verdict, error) {
	switch {
	case event.Request != c.request:
		return Abort, fmt.Errorf("event belongs to request %s, not to %s", event.Request, c.request)
	case event.Attempt < c.attempt:
		return Drop, nil
	case event.Attempt > c.attempt:
		return Abort, fmt.Errorf("event belongs to attempt %d, the current one is %d", event.Attempt, c.attempt)
	case c.finished:
		return Drop, nil
	case event.Position < c.next:
		return Drop, nil
	case event.Position > c.next:
		return Abort, fmt.Errorf("event has position %d, expected %d", event.Position, c.next)
	}
	if event.Kind == core.EventFinish {
		c.finished = true
		return Deliver, nil
	}
	c.next++
	c.text.WriteString(event.Text)
	return Deliver, nil
}
