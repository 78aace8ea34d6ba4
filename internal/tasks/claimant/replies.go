package claimant

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/claims"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/rows"
)

const (
	// retryUnreachable lets an outage pass without repeats in quick succession.
	retryUnreachable = 5 * time.Second
	// retryInProgress is about the length of a call to a plain service.
	retryInProgress = time.Second
)

// unreachable refuses a call whose claim is not known to be in the table. The
// run state is unknown, because the key may have been used at another host.
func unreachable() *fault.Error {
	return fault.New(fault.PlatformUnreachable, fault.Unknown,
		"the platform gave no answer in time, so the call was not sent now, but an earlier request with this Idempotency-Key may have run; retry with the same key").
		WithRetryAfter(retryUnreachable)
}

// resolve turns a reply into what claim.Claims returns.
func (t *Task) resolve(ctx context.Context, reply claims.Reply) (*core.Answer, error) {
	switch reply.Kind {
	case claims.Won:
		return nil, nil
	case claims.Recorded:
		return t.recorded(ctx, reply)
	case claims.Reused:
		return nil, fault.Refuse(fault.KeyReused,
			"this Idempotency-Key belongs to another call of the team; send each call with a key of its own")
	case claims.InProgress:
		return nil, fault.New(fault.RequestInProgress, fault.Unknown,
			"an earlier request with this Idempotency-Key is still running; retry with the same key").WithRetryAfter(retryInProgress)
	case claims.Unknown:
		return nil, fault.New(fault.OutcomeUnknown, fault.Unknown,
			"unknown, did not run again: the host that ran this call is gone or lost the upstream; check the effect of the call before sending it with a new key")
	case claims.Withdrawn:
		return nil, fault.Refuse(fault.DeadlineExceeded,
			"the deadline passed before the call was sent; retry with the same key").WithRetryAfter(retryInProgress)
	case claims.Overloaded:
		return nil, fault.New(fault.Overloaded, fault.Unknown,
			"this host has too many calls in progress, so the call was not sent now; retry with the same key").WithRetryAfter(retryInProgress)
	default:
		return nil, unreachable()
	}
}

// recorded returns a recorded answer, read from the object store if need be.
func (t *Task) recorded(ctx context.Context, reply claims.Reply) (*core.Answer, error) {
	if reply.Object == "" {
		return reply.Answer, nil
	}
	content, found, err := t.config.Objects.Get(ctx, reply.Object)
	if err == nil && found {
		var answer *core.Answer
		if answer, err = rows.DecodeAnswer(content); err == nil {
			return answer, nil
		}
	}
	return nil, fault.New(fault.PlatformUnreachable, fault.Ran,
		"the call ran, but its recorded answer can't be read now; retry with the same key").WithRetryAfter(retryUnreachable).WithCause(err)
}
