package gateway

import (
	"errors"
	"fmt"
	"time"
)

// RefusalKind is a stable identifier of the reason why a request is refused.
type RefusalKind string

// The kinds of refusal.
const (
	// These kinds guarantee that the request has not run and never will.
	NotReady           RefusalKind = "not_ready"
	NoUpstream         RefusalKind = "no_upstream"
	Overloaded         RefusalKind = "overloaded"
	BalanceUnavailable RefusalKind = "balance_unavailable"
	Draining           RefusalKind = "draining"
	SlowRequest        RefusalKind = "slow_request"
	TimeoutNotRun      RefusalKind = "timeout_not_run"
	Quarantined        RefusalKind = "quarantined"
	Limited            RefusalKind = "limited"
	// CutOff refuses requests to a service of which the host reaches no upstream, neither
	// itself nor through another host.
	CutOff RefusalKind = "cut_off"
	// Evacuated refuses requests to a service of which all upstreams are in evacuated
	// zones.
	Evacuated RefusalKind = "evacuated"
	// UnknownOrigin refuses to resume a stream of which it is not known at which
	// software it began.
	UnknownOrigin RefusalKind = "unknown_origin"
	// SoftwareGone refuses to resume a stream of which no upstream with the software
	// that began it is left.
	SoftwareGone RefusalKind = "software_gone"

	// These kinds are final: the request is not allowed.
	NoRoute        RefusalKind = "no_route"
	BadKey         RefusalKind = "bad_key"
	BalanceSpent   RefusalKind = "balance_spent"
	BadRequest     RefusalKind = "bad_request"
	BodyTooLarge   RefusalKind = "body_too_large"
	HeaderTooLarge RefusalKind = "header_too_large"

	// These kinds guarantee nothing: the request may have run.
	UpstreamBroke RefusalKind = "upstream_broke"
	Timeout       RefusalKind = "timeout"
	CallerGone    RefusalKind = "caller_gone"
)

// ErrHostStopping is the cause of a request's context that ends because the host stops
// before the request is finished.
var ErrHostStopping = errors.New("this host stops before the request is finished")

// DrainRetryAfter is the retry delay given by a host that stops too soon for a request.
// It is short, as the retry reaches another host.
const DrainRetryAfter = 50 * time.Millisecond

// Refusal is an error that ends a request without an upstream's answer.
type Refusal struct {
	Kind RefusalKind
	// Message describes the problem and its remedy.
	Message string
	// RetryAfter is the delay after which the caller should retry; 0 leaves the
	// delay to the caller.
	RetryAfter time.Duration
	// Cut is why an answer of which a part was written is aborted, "" if that is not
	// known.
	Cut EndCause
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Kind, r.Message) }

// Refuse returns a refusal with a formatted message.
func Refuse(kind RefusalKind, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Kind: kind, Message: fmt.Sprintf(format, args...), RetryAfter: retryAfter}
}
