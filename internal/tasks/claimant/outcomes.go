package claimant

import (
	"context"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/claims"
	"github.com/peridotreel/peridotreel/internal/rows"
)

// maxInlineBytes is the maximum encoded size of an answer in a claim's row.
// Larger answers go to the object store.
const maxInlineBytes = 16 << 10

// finishMessage reports the outcome of a call whose claim was acquired.
type finishMessage struct {
	// call is the pointer given to Claim; a retry of the call has another.
	call    *core.Call
	waiter  claims.WaiterID
	key     claims.Key
	outcome claims.Record
	replies chan<- claims.Reply
}

func (m finishMessage) handle(ctx context.Context, owned *state) {
	if m.replies != nil {
		owned.waiters[m.waiter] = waiter{replies: m.replies}
	}
	runner, found := owned.runners[m.call]
	if !found {
		owned.config.Log.Error("received an outcome for a call that is not running; only a call whose claim was acquired may be finished",
			zap.String("team", string(m.key.Team)))
	}
	delete(owned.runners, m.call)
	delete(owned.waiters, runner)
	if found && m.outcome.Answer != nil {
		if content := rows.EncodeAnswer(m.outcome.Answer); len(content) > maxInlineBytes {
			owned.storeAnswer(ctx, runner, m, content)
			return
		}
	}
	owned.register.Finish(runner, m.key, m.outcome, m.waiter, owned.config.Now())
}

// storeAnswer starts a worker that puts a large answer into the object store.
// The outcome is queued only after that, so that no batch waits for the store.
func (s *state) storeAnswer(ctx context.Context, runner claims.WaiterID, finished finishMessage, content []byte) {
	s.storesInFlight++
	finished.outcome.Object = rows.AnswerObjectName(finished.key, s.config.Self, uint64(finished.waiter))
	go func() {
		err := s.retry(ctx, func(ctx context.Context) error { return s.config.Objects.Put(ctx, finished.outcome.Object, content) })
		if err == nil {
			_ = s.inbox.Send(ctx, storedMessage{runner, finished})
		}
	}()
}

type storedMessage struct {
	runner   claims.WaiterID
	finished finishMessage
}

func (m storedMessage) handle(_ context.Context, owned *state) {
	owned.storesInFlight--
	owned.register.Finish(m.runner, m.finished.key, m.finished.outcome, m.finished.waiter, owned.config.Now())
}
