// Package fault defines the typed errors that are reported to callers. Each has
// a stable code, a message that says what to do, and whether the request ran.
package fault

import (
	"errors"
	"fmt"
	"time"
)

// RunState says whether a refused or failed request ran at an upstream.
type RunState string

// The run states.
const (
	// NotRun means that no byte of the request can have reached an upstream, or
	// that the upstream refused it without running it.
	NotRun RunState = "not_run"
	// Ran means that an upstream is known to have run the request.
	Ran RunState = "ran"
	// Unknown means that an upstream may or may not have run the request.
	Unknown RunState = "unknown"
)

// Code is a stable identifier of an error kind.
type Code string

// The error codes. Operators find what to do for each in docs/OPERATIONS.md.
const (
	InvalidRequest        Code = "invalid_request"
	BodyTooLarge          Code = "body_too_large"
	InvalidKey            Code = "invalid_api_key"
	ModelNotFound         Code = "model_not_found"
	ServiceNotFound       Code = "service_not_found"
	ClassNotFound         Code = "class_not_found"
	InsufficientQuota     Code = "insufficient_quota"
	BudgetUnavailable     Code = "budget_unavailable"
	BillingBacklog        Code = "billing_backlog"
	Overloaded            Code = "overloaded"
	DeadlineTooShort      Code = "deadline_too_short"
	DeadlineExceeded      Code = "deadline_exceeded"
	NoUpstream            Code = "no_upstream"
	UpstreamFailed        Code = "upstream_failed"
	PlatformUnreachable   Code = "platform_unreachable"
	KeyRequired           Code = "idempotency_key_required"
	KeyInvalid            Code = "idempotency_key_invalid"
	KeyExpired            Code = "idempotency_key_expired"
	KeyReused             Code = "idempotency_key_reused"
	RequestInProgress     Code = "request_in_progress"
	OutcomeUnknown        Code = "outcome_unknown"
	ConfigurationNotReady Code = "configuration_not_ready"
	HostDraining          Code = "host_draining"
	CallerGone            Code = "caller_gone"
	Internal              Code = "internal"
)

// ErrHostStopping is the cause of a request's context that ends because the host stops
// before the request is finished.
var ErrHostStopping = errors.New("this host stops before the request is finished")

// Error is an error that is reported to a caller.
type Error struct {
	Code Code
	// Message names what is wrong and what to do about it.
	Message string
	Run     RunState
	// RetryAfter is the minimum delay before a retry; 0 means that a retry of
	// the same request will not succeed.
	RetryAfter time.Duration
	cause      error
}

// New returns an error with the given code and run state.
func New(code Code, run RunState, format string, args ...any) *Error {
	return &Error{Code: code, Run: run, Message: fmt.Sprintf(format, args...)}
}

// Refuse returns an error for a request that did not run.
func Refuse(code Code, format string, args ...any) *Error {
	return New(code, NotRun, format, args...)
}

// WithRetryAfter returns a copy of the error with a retry delay.
func (e *Error) WithRetryAfter(delay time.Duration) *Error {
	updated := *e
	updated.RetryAfter = delay
	return &updated
}

// WithCause returns a copy of the error with its cause, which is logged and not
// shown to callers.
func (e *Error) WithCause(cause error) *Error {
	updated := *e
	updated.cause = cause
	return &updated
}

// Error returns the code, the message and the cause, if any.
func (e *Error) Error() string {
	if e.cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Code, e.Message, e.cause)
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// From returns the typed error that err wraps. Any other error becomes an
// internal error with an unknown run state, the only safe assumption.
func From(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return New(Internal, Unknown, "the host failed to handle the request; report it with the request id").WithCause(err)
}
