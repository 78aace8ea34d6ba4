// Package claim is the filter that makes sure, before anything is reserved or
// sent, that a call which must not run twice has not run before.
package claim

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
)

// recordTimeout bounds the wait until an answer is recorded before it is given
// to the caller. When the platform is down longer, the caller gets its answer
// and a repeat is refused as unknown until the record is written.
const recordTimeout = 2 * time.Second

// Claims keeps the record of calls that must not run twice.
type Claims interface {
	// Claim records that this host is about to run the work. It returns the
	// recorded answer if the work has run, or an error if it may not run.
	Claim(ctx context.Context, work *core.Work) (recorded *core.Answer, err error)
	// Complete records the answer. It returns once the answer is in the
	// table or ctx ends; the write goes on in the background either way.
	Complete(ctx context.Context, work *core.Work, answer *core.Answer)
	// Release records that no byte of the work reached an upstream.
	Release(work *core.Work)
	// Abandon records that the outcome is unknown.
	Abandon(work *core.Work)
}

// Validator checks the idempotency key of a call that must not run twice.
type Validator func(key string, now time.Time) error

// Filter claims non-idempotent work and lets other work pass.
type Filter struct {
	claims   Claims
	validate Validator
}

// New returns the filter.
func New(claims Claims, validate Validator) *Filter {
	return &Filter{claims: claims, validate: validate}
}

// Apply returns a recorded answer if the work has run before. Otherwise the
// work may run, and Finish must be called with its outcome.
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

// Finish records the outcome of claimed work: its answer, or what the error
// says about whether it ran.
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
