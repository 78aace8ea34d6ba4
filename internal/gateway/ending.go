package gateway

// End is what a caller got of a request of which the host read the first byte. Each such
// request ends exactly once. The ends are counted and logged; no decision depends on them.
type End string

// The ends of a request.
const (
	// EndAnswered means that a whole answer of an upstream was written.
	EndAnswered End = "answered"
	// EndUpstreamFailure means that a whole failure answer of an upstream was written.
	EndUpstreamFailure End = "upstream_failure"
	// EndRefused means that a whole refusal of this host was written. The cause is its
	// kind.
	EndRefused End = "refused"
	// EndCut means that the connection was closed after a part of the answer.
	EndCut End = "cut"
	// EndUnanswered means that the request was read, and its connection was closed
	// without any part of an answer.
	EndUnanswered End = "unanswered"
	// EndCallerGone means that the caller had closed its connection before it had the
	// whole answer.
	EndCallerGone End = "caller_gone"
	// EndUnread means that the connection ended before the whole request was read, and
	// nothing was written.
	EndUnread End = "unread"
)

// Lost reports whether the caller was left without a whole answer although it had not
// closed its connection.
func (e End) Lost() bool { return e == EndCut || e == EndUnanswered }

// EndCause is why a request ended as it did. The cause of EndRefused is the kind of the
// refusal, and EndAnswered has none.
type EndCause string

// The causes of ends other than EndAnswered and EndRefused.
const (
	// CauseUpstream means that the upstream failed or its answer broke off.
	CauseUpstream EndCause = "upstream"
	// CauseDeadline means that the request's time was up.
	CauseDeadline EndCause = "deadline"
	// CauseHostStopping means that this host stopped.
	CauseHostStopping EndCause = "host_stopping"
	// CauseWrite means that a write to the caller failed or took too long.
	CauseWrite EndCause = "write"
	// CauseCaller means that the caller closed its connection or reset it.
	CauseCaller EndCause = "caller"
	// CauseInternal means that no other cause is known.
	CauseInternal EndCause = "internal"
)

// Ending is how a request ended.
type Ending struct {
	End   End
	Cause EndCause
}

// CloseCause is why a caller's connection was closed.
type CloseCause string

// The causes of a close.
const (
	// CloseIdle means that no request came within the idle limit.
	CloseIdle CloseCause = "idle"
	// CloseDraining means that the host stops or that callers are to move to others.
	CloseDraining CloseCause = "draining"
	// CloseLimit means that the host was at its limit of open connections.
	CloseLimit CloseCause = "limit"
	// CloseCaller means that the caller closed the connection, or asked for its end.
	CloseCaller CloseCause = "caller"
	// CloseUnreadable means that a request's head or body could not be read, so that the
	// start of the next request is not known.
	CloseUnreadable CloseCause = "unreadable"
	// CloseDeadline means that a read or a write took too long.
	CloseDeadline CloseCause = "deadline"
	// CloseCut means that an answer could not be completed.
	CloseCut CloseCause = "cut"
	// CloseHostEnded means that the host's process ended.
	CloseHostEnded CloseCause = "host_ended"
)

// Closing is how a caller's connection was closed.
type Closing struct {
	Cause CloseCause
	// UnreadBytes is true if bytes that the caller had sent were thrown away.
	UnreadBytes bool
}
