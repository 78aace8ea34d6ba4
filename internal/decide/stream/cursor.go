// Package stream decides which events of an upstream's answer may reach the
// caller. It does no input or output.
package stream

import (
	"fmt"
	"strings"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Verdict says what to do with an event.
type Verdict uint8

// The verdicts.
const (
	// Deliver passes the event on; it is the next of the answer.
	Deliver Verdict = iota + 1
	// Drop ignores an event that has been delivered or belongs to an attempt
	// that was replaced.
	Drop
	// Abort ends the attempt, as its events can't belong to the answer.
	Abort
)

// Cursor follows one answer over all attempts that contribute to it.
type Cursor struct {
	request  core.RequestID
	attempt  int
	next     int64
	text     strings.Builder
	finished bool
}

// NewCursor returns a cursor before the first token of a request's answer.
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

// Accept judges an event. The error explains an Abort.
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
