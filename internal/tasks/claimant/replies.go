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
	// unreachableRetryDelay limits the rate of retries during an outage.
	unreachableRetryDelay = 5 * time.Second
	// inProgressRetryDelay is about the duration of a call to a service.
	inProgressRetryDelay = time.Second
)

// unreachableError refuses a call whose claim is not known to be in the table.
// The run state is unknown, because another host may hold a claim of the key.
func unreachableError() *fault.Error {
	return fault.New(fault.PlatformUnreachable, fault.Unknown,
		"the platform gave no answer in time, so the call was not sent now, but an earlier request with this Idempotency-Key may have run; retry with the same key").
		WithRetryAfter(unreachableRetryDelay)
}

// resolveReply converts a reply to the results of claim.Claims.Claim.
func (t *Task) resolveReply(ctx context.Context, reply claims.Reply) (*core.Answer, error) {
	switch reply.Kind {
	case claims.Acquired:
		return nil, nil
	case claims.Recorded:
		return t.recordedAnswer(ctx, reply)
	case claims.KeyReused:
		return nil, fault.Refuse(fault.KeyReused,
			"this Idempotency-Key belongs to another call of the team; send each call with a key of its own")
	case claims.InProgress:
		return nil, fault.New(fault.RequestInProgress, fault.Unknown,
			"an earlier request with this Idempotency-Key is still running; retry with the same key").WithRetryAfter(inProgressRetryDelay)
	case claims.OutcomeUnknown:
		return nil, fault.New(fault.OutcomeUnknown, fault.Unknown,
			"unknown, did not run again: the host that ran this call is gone or lost the upstream; check the effect of the call before sending it with a new key")
	case claims.Withdrawn:
		return nil, fault.Refuse(fault.DeadlineExceeded,
			"the deadline passed before the call was sent; retry with the same key").WithRetryAfter(inProgressRetryDelay)
	case claims.Overloaded:
		return nil, fault.New(fault.Overloaded, fault.Unknown,
			"this host has too many calls in progress, so the call was not sent now; retry with the same key").WithRetryAfter(inProgressRetryDelay)
	default:
		return nil, unreachableError()
	}
}

// recordedAnswer returns the answer of a reply, which may be in the object store.
func (t *Task) recordedAnswer(ctx context.Context, reply claims.Reply) (*core.Answer, error) {
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
		"the call ran, but its recorded answer can't be read now; retry with the same key").WithRetryAfter(unreachableRetryDelay).WithCause(err)
}
