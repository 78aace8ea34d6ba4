// Package claim is the filter that ensures that a non-idempotent call runs at
// most once. It records the call before anything is reserved or sent.
package claim

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
)

// recordTimeout limits how long an answer waits until it is recorded. If the
// platform is down for longer, the caller gets the answer anyway, and a retry is
// refused with an unknown outcome until the record is written.
const recordTimeout = 2 * time.Second

// Claims stores the claims of non-idempotent calls.
type Claims interface {
	// Claim records that this host is about to run the work. It returns the
	// recorded answer if the work has run, or an error if it may not run.
	Claim(ctx context.Context, work *core.Work) (recorded *core.Answer, err error)
	// Complete records the answer. It returns when the answer is in the table
	// or ctx ends; in the latter case the write continues in the background.
	Complete(ctx context.Context, work *core.Work, answer *core.Answer)
	// Release records that the work certainly did not run.
	Release(work *core.Work)
	// Abandon records that the outcome is unknown.
	Abandon(work *core.Work)
}

// Validator checks the idempotency key of a non-idempotent call.
type Validator func(key string, now time.Time) error

// Filter claims non-idempotent work. Idempotent work needs no claim.
type Filter struct {
	claims   Claims
	validate Validator
}

// New returns the filter.
func New(claims Claims, validate Validator) *Filter {
	return &Filter{claims: claims, validate: validate}
}

// Apply returns the recorded answer if the work has run before. If answer and
// error are nil, the work may run, and Finish must be called with its outcome.
func (f *Filter) Apply(ctx context.Context, work *core.Work, now time.Time) (*core.Answer, error) {
	if work.Idempotent {
		return nil, nil
	}
	if work.Call.IdempotencyKey == "" {
		return nil, fault.Refuse(fault.KeyRequired,
			"this call must not run twice; send an Idempotency-Key header with a ULID or UUIDv7 and use the same key for every retry")
	}
	if err := f.validate(work.Call.IdempotencyKey, now); err != nil {
		return nil, err
	}
	return f.claims.Claim(ctx, work)
}

// Finish records the outcome of claimed work: its answer, or whether it ran
// according to the error.
func (f *Filter) Finish(ctx context.Context, work *core.Work, answer *core.Answer, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	switch {
	case work.Idempotent:
	case err == nil && answer != nil:
		f.claims.Complete(ctx, work, answer)
	case err != nil && fault.From(err).Run == fault.NotRun:
		f.claims.Release(work)
	default:
		f.claims.Abandon(work)
	}
}
