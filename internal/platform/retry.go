package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// initialBackoff is the mean delay before the first retry of a commit.
	initialBackoff = 50 * time.Millisecond
	// maxBackoff is the maximum of the mean delay. With it, 330 hosts with one
	// commit in flight each make about 150 attempts per second in a long outage,
	// which is below the platform's write limit.
	maxBackoff = 4 * time.Second
)

// CommitUntilKnown retries a commit with the same token until its outcome is known
// or ctx ends. It uses exponential backoff with full jitter, so that the hosts do
// not all retry at the same time after an outage. A delay that the platform
// requests is added to the backoff.
func CommitUntilKnown(ctx context.Context, table Table, commit Commit) (Revision, error) {
	backoff := initialBackoff
	for {
		revision, err := table.Commit(ctx, commit)
		if !errors.Is(err, ErrUnavailable) {
			return revision, err
		}
		delay := rand.N(2 * backoff)
		var limited *RateLimitError
		if errors.As(err, &limited) {
			delay += limited.RetryAfter
		}
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return 0, errors.Join(err, ctx.Err())
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
