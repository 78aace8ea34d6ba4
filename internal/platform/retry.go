package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// firstBackoff is the mean delay before the second try of a commit.
	firstBackoff = 50 * time.Millisecond
	// maxBackoff keeps 330 hosts with one commit in flight each at about 150
	// tries a second in a long outage, below the platform's write limit.
	maxBackoff = 4 * time.Second
)

// CommitUntilKnown repeats a commit with the same token until the platform
// says whether it took effect or ctx ends. Delays grow exponentially with
// full jitter, so that hosts don't return at once after an outage. A delay that
// the platform asked for is added to them.
func CommitUntilKnown(ctx context.Context, table Table, commit Commit) (Revision, error) {
	backoff := firstBackoff
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
