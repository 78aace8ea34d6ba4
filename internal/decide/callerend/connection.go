package callerend

import "github.com/peridotreel/peridotreel/internal/gateway"

// Phase is what a connection is used for.
type Phase int

// The phases.
const (
	// Waiting means that no byte of a next request was read.
	Waiting Phase = iota
	// Reading means that a part of a head was read, and no handler has ended since.
	Reading
	// Answered means that the handler of the latest request has ended.
	Answered
)

// Connection is what a front end has seen of a connection.
type Connection struct {
	Phase Phase
	// Ending is how the latest request ended, in the phase Answered.
	Ending gateway.Ending
	// CloseAsked is true if that request asked for the end of the connection.
	CloseAsked bool
	// Read and Write are how the transfers of this phase have ended.
	Read, Write Transfer
	// Draining is true if each answer ends its connection, as the host stops.
	Draining bool
	// HostEnded is true if this host has closed the callers' connections.
	HostEnded bool
}

// CloseCause returns why the connection was closed.
func (c Connection) CloseCause() gateway.CloseCause {
	if c.Phase == Answered {
		return c.causeAfterAnswer()
	}
	switch {
	case c.Read == CallerClosed:
		return gateway.CloseCaller
	case c.HostEnded:
		return gateway.CloseHostEnded
	case c.Phase == Reading && c.Read == TimedOut:
		return gateway.CloseDeadline
	case c.Phase == Reading:
		return gateway.CloseUnreadable
	case c.Read == TimedOut || !c.Draining:
		return gateway.CloseIdle
	}
	return gateway.CloseDraining
}

func (c Connection) causeAfterAnswer() gateway.CloseCause {
	lost := c.Ending.End.Lost()
	switch {
	case lost && c.HostEnded:
		return gateway.CloseHostEnded
	case lost && c.Ending.Cause == gateway.CauseWrite, c.Write == TimedOut:
		return gateway.CloseDeadline
	case lost:
		return gateway.CloseCut
	case c.Ending.End == gateway.EndUnread && c.Ending.Cause == gateway.CauseHostStopping:
		return gateway.CloseHostEnded
	case c.Ending.End == gateway.EndCallerGone, c.Ending.End == gateway.EndUnread, c.Write == CallerClosed, c.CloseAsked:
		return gateway.CloseCaller
	case c.Draining:
		return gateway.CloseDraining
	}
	// The rest of the request's body was not read.
	return gateway.CloseUnreadable
}
