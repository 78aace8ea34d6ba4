package claimant

import (
	"context"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/claims"
	"github.com/peridotreel/peridotreel/internal/rows"
)

// maxInline is the largest answer in a row, in encoded bytes; larger ones go
// to the object store.
const maxInline = 16 << 10

// finishMessage hands over the outcome of a call that was won.
type finishMessage struct {
	// call is the one given to Claim; a repeat of it has another.
	call    *core.Call
	waiter  claims.WaiterID
	key     claims.Key
	outcome claims.Record
	replies chan<- claims.Reply
}

func (m finishMessage) handle(ctx context.Context, owned *state) {
	if m.replies != nil {
		owned.waiting[m.waiter] = waiting{replies: m.replies}
	}
	claimant, found := owned.won[m.call]
	if !found {
		owned.config.Log.Error("an outcome came for a call that does not run; finish only calls whose claim was won",
			zap.String("team", string(m.key.Team)))
	}
	delete(owned.won, m.call)
	delete(owned.waiting, claimant)
	if found && m.outcome.Answer != nil {
		if content := rows.EncodeAnswer(m.outcome.Answer); len(content) > maxInline {
			owned.store(ctx, claimant, m, content)
			return
		}
	}
	owned.register.Finish(claimant, m.key, m.outcome, m.waiter, owned.config.Now())
}

// store starts a worker that puts a large answer into the object store. It
// comes before the group commit, which must not wait for it.
func (s *state) store(ctx context.Context, claimant claims.WaiterID, finished finishMessage, content []byte) {
	s.storing++
	finished.outcome.Object = rows.AnswerObjectName(finished.key, s.config.Self, uint64(finished.waiter))
	go func() {
		err := s.repeat(ctx, func(ctx context.Context) error { return s.config.Objects.Put(ctx, finished.outcome.Object, content) })
		if err == nil {
			_ = s.inbox.Send(ctx, storedMessage{claimant, finished})
		}
	}()
}

type storedMessage struct {
	claimant claims.WaiterID
	finished finishMessage
}

func (m storedMessage) handle(_ context.Context, owned *state) {
	owned.storing--
	owned.register.Finish(m.claimant, m.finished.key, m.finished.outcome, m.finished.waiter, owned.config.Now())
}
