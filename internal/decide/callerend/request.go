// Package callerend decides how a caller's request or connection has ended, from what its
// front end has seen.
package callerend

import (
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

// Request is what a front end has seen of a request whose handler has ended.
type Request struct {
	// Code is that of the error with which the handler ended; "" if there is none.
	Code fault.Code
	// UpstreamFailure is true if an upstream's answer is a failure.
	UpstreamFailure bool
	// BodyEnded is true if the connection ended before the body was read.
	BodyEnded bool
	// Begun is true if a part of the answer has left the process.
	Begun bool
	// Aborted is true if the connection is closed in place of the rest of the answer.
	Aborted bool
	// Write is how the writes of the answer have ended.
	Write Transfer
	// CallerLeft is true if the caller closed the connection while the handler ran.
	CallerLeft bool
	// Stopping is true if this host ended the request because it stops.
	Stopping bool
	// HostEnded is true if this host has closed the callers' connections.
	HostEnded bool
}

// Ending returns how the request ended.
func (r Request) Ending() gateway.Ending {
	switch {
	case r.BodyEnded && r.HostEnded:
		return gateway.Ending{End: gateway.EndUnread, Cause: gateway.CauseHostStopping}
	case r.BodyEnded:
		return gateway.Ending{End: gateway.EndUnread, Cause: gateway.CauseCaller}
	case r.HostEnded && (r.Aborted || r.Write != Sound):
		return r.lost(gateway.CauseHostStopping)
	case r.Write == CallerClosed, r.Write == Sound && r.Aborted && r.Code == fault.CallerGone && r.CallerLeft:
		return gateway.Ending{End: gateway.EndCallerGone, Cause: gateway.CauseCaller}
	case r.Aborted && r.Code != fault.CallerGone:
		return r.lost(r.abortCause())
	case r.Write != Sound:
		return r.lost(gateway.CauseWrite)
	case r.Aborted:
		return r.lost(gateway.CauseInternal)
	case r.Code != "":
		return gateway.Ending{End: gateway.EndRefused, Cause: gateway.EndCause(r.Code)}
	case r.UpstreamFailure:
		return gateway.Ending{End: gateway.EndUpstreamFailure, Cause: gateway.CauseUpstream}
	}
	return gateway.Ending{End: gateway.EndAnswered}
}

func (r Request) lost(cause gateway.EndCause) gateway.Ending {
	if r.Begun {
		return gateway.Ending{End: gateway.EndCut, Cause: cause}
	}
	return gateway.Ending{End: gateway.EndUnanswered, Cause: cause}
}

// abortCause returns why an answer was not completed.
func (r Request) abortCause() gateway.EndCause {
	switch {
	case r.Stopping || r.Code == fault.HostDraining:
		return gateway.CauseHostStopping
	case r.Code == fault.DeadlineExceeded:
		return gateway.CauseDeadline
	case r.Code == "" || r.Code == fault.Internal:
		return gateway.CauseInternal
	}
	return gateway.CauseUpstream
}
