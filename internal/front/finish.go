package front

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/peridotreel/peridotreel/internal/gateway"
)

// Finish ends the answer and reports how the request ended.
func (a *answer) Finish(err error) gateway.Ending {
	if a.ending == (gateway.Ending{}) {
		a.ending = a.finish(err)
	}
	return a.ending
}

func (a *answer) finish(err error) gateway.Ending {
	// What was passed on is written also if the rest is missing.
	if flushErr := a.flush(); flushErr != nil && a.writeError == nil {
		a.failed, a.writeError = true, flushErr
	}
	a.failed = a.failed || err != nil
	if a.done && a.writeError == nil {
		return a.endDelivered()
	}
	var refusal *gateway.Refusal
	isRefusal := errors.As(err, &refusal)
	switch {
	case a.Begun():
		return a.abort(refusal)
	case err == nil:
		return a.endWithout(gateway.CauseInternal)
	case !isRefusal && !a.read:
		return a.endUnread(err)
	case !isRefusal:
		refusal = gateway.Refuse(gateway.UpstreamBroke, 0, "%v", err)
	case refusal.Kind == gateway.CallerGone:
		return a.endLeft()
	}
	return a.refuse(refusal)
}

// abort ends an answer of which a part may have reached the caller.
func (a *answer) abort(refusal *gateway.Refusal) gateway.Ending {
	a.failed = true
	if a.http10 {
		// The end of the connection would mark the answer as complete.
		a.connection.resetOnClose()
	}
	switch {
	case a.writeError != nil:
		return a.endOfWrite()
	case refusal != nil && refusal.Kind == gateway.CallerGone:
		return a.endLeft()
	case refusal != nil && refusal.Cut != "":
		return a.endWithout(refusal.Cut)
	default:
		return a.endWithout(gateway.CauseInternal)
	}
}

// refuse answers with a refusal.
func (a *answer) refuse(refusal *gateway.Refusal) gateway.Ending {
	if !a.read {
		a.closeAfter = a.connection.closeAfterUnread(refusal)
	}
	a.pendingHead, a.refused, a.failed = nil, refusal.Kind, false
	status, fields := a.connection.server.config.Codec.EncodeRefusal(refusal, a.requestID)
	body := fmt.Appendf(nil, "{\"error\":{\"code\":%q,\"message\":%q}}\n", refusal.Kind, refusal.Message)
	if a.Send(status, fields, body) != nil {
		return a.endOfWrite()
	}
	return a.endDelivered()
}

// endDelivered returns the end of a request whose answer was written whole.
func (a *answer) endDelivered() gateway.Ending {
	switch {
	case a.refused != "":
		return gateway.Ending{End: gateway.EndRefused, Cause: gateway.EndCause(a.refused)}
	case a.status >= http.StatusInternalServerError:
		return gateway.Ending{End: gateway.EndUpstreamFailure, Cause: gateway.CauseUpstream}
	default:
		return gateway.Ending{End: gateway.EndAnswered}
	}
}

// endLeft returns the end of a request that its handler gave up as left by its caller,
// which the context of a host that ends looks like.
func (a *answer) endLeft() gateway.Ending {
	if cause := a.interruption(); cause != nil && !errors.Is(cause, errCallerClosed) {
		return a.endWithout(gateway.CauseHostStopping)
	}
	return gateway.Ending{End: gateway.EndCallerGone, Cause: gateway.CauseCaller}
}

// endUnread returns the end of a request of which the rest could not be read.
func (a *answer) endUnread(err error) gateway.Ending {
	if a.interruption() != nil || closeCauseOfRead(err) == gateway.CloseHostEnded {
		return a.endWithout(gateway.CauseHostStopping)
	}
	return a.endWithout(gateway.CauseCaller)
}

// endOfWrite returns the end of a request whose answer could not be written.
func (a *answer) endOfWrite() gateway.Ending {
	switch {
	case errors.Is(a.writeError, os.ErrDeadlineExceeded):
		return a.endWithout(gateway.CauseWrite)
	case errors.Is(a.writeError, net.ErrClosed):
		// The connection's goroutine closes it after the request only, so the server did.
		return a.endWithout(gateway.CauseHostStopping)
	case a.read:
		return gateway.Ending{End: gateway.EndCallerGone, Cause: gateway.CauseCaller}
	default:
		return a.endWithout(gateway.CauseCaller)
	}
}

// endWithout returns the end of a request without a whole answer.
func (a *answer) endWithout(cause gateway.EndCause) gateway.Ending {
	switch {
	case a.written:
		return gateway.Ending{End: gateway.EndCut, Cause: cause}
	case !a.read:
		return gateway.Ending{End: gateway.EndUnread, Cause: cause}
	default:
		return gateway.Ending{End: gateway.EndUnanswered, Cause: cause}
	}
}

// closeAfterUnread returns why the connection is closed after the refusal of a request
// that was not read, since where the next request begins is not known.
func (c *connection) closeAfterUnread(refusal *gateway.Refusal) gateway.CloseCause {
	switch {
	case refusal == errNoConnection:
		return gateway.CloseLimit
	case refusal.Kind == gateway.SlowRequest:
		return gateway.CloseDeadline
	case refusal.Kind == gateway.Draining:
		return gateway.CloseDraining
	default:
		return gateway.CloseUnreadable
	}
}

// closeCause returns why the connection is closed after the request, "" if it can be used
// for another one.
func (a *answer) closeCause() gateway.CloseCause {
	switch a.ending.End {
	case gateway.EndAnswered, gateway.EndUpstreamFailure, gateway.EndRefused:
		if a.failed && a.closeAfter == "" {
			return gateway.CloseCut
		}
		return a.closeAfter
	default:
	}
	switch a.ending.Cause {
	case gateway.CauseCaller:
		return gateway.CloseCaller
	case gateway.CauseWrite:
		return gateway.CloseDeadline
	case gateway.CauseHostStopping:
		return gateway.CloseHostEnded
	default:
		return gateway.CloseCut
	}
}
