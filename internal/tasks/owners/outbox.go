package owners

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// settleTimeout bounds one call that delivers settlements.
	settleTimeout = 500 * time.Millisecond
	// settleRetryDelay is the delay after a failed delivery.
	settleRetryDelay = 500 * time.Millisecond
	// maxSettlementAge is how long delivery of a settlement is tried. An owner
	// that is away for longer has restarted and counts its reservations as spent.
	maxSettlementAge = 15 * time.Second
	// maxSettleBatch is the maximum number of settlements in one call.
	maxSettleBatch = 200
)

// outbox holds settlements until their owners have acknowledged them. Settlements
// that arrive while a call to their owner is in progress go with the next call.
type outbox struct {
	queues map[core.HostID]*queue
	// flushReply is replied to once no settlement is left.
	flushReply chan<- struct{}
}

type queue struct {
	owner   allowance.Member
	waiting []queuedSettlement
	busy    bool
}

type queuedSettlement struct {
	Settlement
	queuedAt time.Time
}

type sendSettlement struct {
	owner      allowance.Member
	settlement Settlement
}

type deliveryResult struct {
	host core.HostID
	sent int
	err  error
	// retry is true for the message that ends the delay after a failure.
	retry bool
}

type flush struct{ reply chan<- struct{} }

func newOutbox() outbox { return outbox{queues: make(map[core.HostID]*queue)} }

// Flush waits until all settlements are delivered or given up, or ctx ends.
func (o *Owners) Flush(ctx context.Context) error {
	_, err := task.Ask(ctx, o.inbox, func(reply chan<- struct{}) any { return flush{reply} })
	return err
}

func (o *Owners) enqueue(ctx context.Context, m sendSettlement, now time.Time) {
	q, found := o.outbox.queues[m.owner.Host]
	if !found {
		q = &queue{}
		o.outbox.queues[m.owner.Host] = q
	}
	q.owner = m.owner
	q.waiting = append(q.waiting, queuedSettlement{m.settlement, now})
	o.deliver(ctx, q)
}

// deliver calls an owner with its queued settlements, unless a call is in
// progress.
func (o *Owners) deliver(ctx context.Context, q *queue) {
	if q.busy || len(q.waiting) == 0 {
		return
	}
	q.busy = true
	batch := make([]Settlement, 0, min(len(q.waiting), maxSettleBatch))
	for _, next := range q.waiting[:cap(batch)] {
		batch = append(batch, next.Settlement)
	}
	owner := q.owner
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, settleTimeout)
		defer cancel()
		var reply int
		err := o.config.Caller.Call(callCtx, core.Peer{Address: owner.Address}, settleMethod, batch, &reply)
		_ = o.inbox.Send(context.WithoutCancel(ctx), deliveryResult{host: owner.Host, sent: len(batch), err: err})
	}()
}

func (o *Owners) handleDelivery(ctx context.Context, m deliveryResult, now time.Time) {
	q := o.outbox.queues[m.host]
	switch {
	case m.retry:
		q.busy = false
	case m.err != nil:
		o.dropExpired(q, now, m.err)
		time.AfterFunc(settleRetryDelay, func() { _ = o.inbox.Send(context.WithoutCancel(ctx), deliveryResult{host: m.host, retry: true}) })
		o.finishFlush()
		return
	default:
		q.busy = false
		q.waiting = append(q.waiting[:0], q.waiting[m.sent:]...)
	}
	o.deliver(ctx, q)
	o.finishFlush()
}

// dropExpired drops settlements that could not be delivered within
// maxSettlementAge. Their owner counts these reservations as spent.
func (o *Owners) dropExpired(q *queue, now time.Time, cause error) {
	kept := q.waiting[:0]
	for _, next := range q.waiting {
		if now.Sub(next.queuedAt) < maxSettlementAge {
			kept = append(kept, next)
		}
	}
	if dropped := len(q.waiting) - len(kept); dropped > 0 {
		o.config.Log.Warn("dropped undelivered settlements; the owner counts the reservations as spent", zap.String("event", "settlement_dropped"),
			zap.String("host", string(q.owner.Host)), zap.Int("count", dropped), zap.Error(cause))
	}
	q.waiting = kept
}

func (o *Owners) flush(m flush) {
	o.outbox.flushReply = m.reply
	o.finishFlush()
}

func (o *Owners) finishFlush() {
	if o.outbox.flushReply == nil {
		return
	}
	for _, q := range o.outbox.queues {
		if len(q.waiting) > 0 {
			return
		}
	}
	o.outbox.flushReply <- struct{}{}
	o.outbox.flushReply = nil
}
