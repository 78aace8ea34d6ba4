package claimant

import (
	"context"

	"github.com/peridotreel/peridotreel/internal/decide/claims"
	"github.com/peridotreel/peridotreel/internal/rows"
)

// maxInline is the largest answer in a row, in encoded bytes; larger ones go
// to the object store.
const maxInline = 16 << 10

type finishMessage struct {
	waiter  claims.WaiterID
	key     claims.Key
	outcome claims.Record
	replies chan<- claims.Reply
}

func (m finishMessage) handle(ctx context.Context, owned *state) {
	if m.replies != nil {
		owned.waiting[m.waiter] = m.replies
	}
	if m.outcome.Answer != nil {
		if content := rows.EncodeAnswer(m.outcome.Answer); len(content) > maxInline {
			owned.store(ctx, m, content)
			return
		}
	}
	owned.register.Finish(m.key, m.outcome, m.waiter, owned.config.Now())
}

// store starts a worker that puts a large answer into the object store. It
// comes before the group commit, which must not wait for it.
func (s *state) store(ctx context.Context, finished finishMessage, content []byte) {
	s.storing++
	finished.outcome.Object = rows.AnswerObject(finished.key, s.config.Self, uint64(finished.waiter))
	go func() {
		err := s.repeat(ctx, func(ctx context.Context) error { return s.config.Objects.Put(ctx, finished.outcome.Object, content) })
		if err == nil {
			_ = s.inbox.Send(ctx, storedMessage{finished})
		}
	}()
}

type storedMessage struct{ finished finishMessage }

func (m storedMessage) handle(_ context.Context, owned *state) {
	owned.storing--
	owned.register.Finish(m.finished.key, m.finished.outcome, m.finished.waiter, owned.config.Now())
}
