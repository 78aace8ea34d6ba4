package gateway

import (
	"fmt"
	"time"
)

// RefusalKind is a stable identifier of why a request got no answer of an
// upstream.
type RefusalKind string

// The kinds of refusal.
const (
	// NotRun kinds promise that the request has not run and never will.
	NotReady      RefusalKind = "not_ready"
	NoUpstream    RefusalKind = "no_upstream"
	Overloaded    RefusalKind = "overloaded"
	BalanceAway   RefusalKind = "balance_unavailable"
	Draining      RefusalKind = "draining"
	SlowRequest   RefusalKind = "slow_request"
	TimeoutNotRun RefusalKind = "timeout_not_run"

	// Final kinds say that the request is not allowed.
	NoRoute        RefusalKind = "no_route"
	BadKey         RefusalKind = "bad_key"
	BalanceSpent   RefusalKind = "balance_spent"
	BadRequest     RefusalKind = "bad_request"
	BodyTooLarge   RefusalKind = "body_too_large"
	HeaderTooLarge RefusalKind = "header_too_large"

	// Open kinds promise nothing: the request may have run.
	UpstreamBroke RefusalKind = "upstream_broke"
	Timeout       RefusalKind = "timeout"
	CallerGone    RefusalKind = "caller_gone"
)

// Refusal is an error that ends a request without an upstream's answer.
type Refusal struct {
	Kind RefusalKind
	// Message names what is wrong and the remedy.
	Message string
	// RetryAfter is when a retry is sensible; 0 leaves it to the caller.
	RetryAfter time.Duration
}

// Error returns kind and message.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Kind, r.Message) }

// Refuse returns a refusal.
func Refuse(kind RefusalKind, retryAfter time.Duration, format string, args ...any) *Refusal {
	return &Refusal{Kind: kind, Message: fmt.Sprintf(format, args...), RetryAfter: retryAfter}
}
