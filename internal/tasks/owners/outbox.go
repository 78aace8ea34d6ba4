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
	// settleTimeout bounds one delivery.
	settleTimeout = 500 * time.Millisecond
	// settleRetry is the delay after a delivery that failed.
	settleRetry = 500 * time.Millisecond
	// settleFor is how long deliveries are tried. A host that is away for longer
	// has restarted and counts its reservations as spent.
	settleFor = 15 * time.Second
	// settleBatch bounds the settlements of one call.
	settleBatch = 200
)

// outbox holds settlements until their owners have taken them. Settlements of
// one owner that come while a call is under way go with the next.
type outbox struct {
	queues map[core.HostID]*queue
	// flushed is replied to once nothing is left.
	flushed chan<- struct{}
}

type queue struct {
	owner   allowance.Member
	waiting []due
	busy    bool
}

type due struct {
	Settlement
	since time.Time
}

type post struct {
	owner      allowance.Member
	settlement Settlement
}

type delivered struct {
	host core.HostID
	sent int
	err  error
	// again is set for the repeat after a failure.
	again bool
}

type flush struct{ reply chan<- struct{} }

func newOutbox() outbox { return outbox{queues: make(map[core.HostID]*queue)} }

// Flush waits until all settlements are delivered, or ctx ends.
func (o *Owners) Flush(ctx context.Context) error {
	_, err := task.Ask(ctx, o.inbox, func(reply chan<- struct{}) any { return flush{reply} })
	return err
}

func (o *Owners) post(ctx context.Context, m post, now time.Time) {
	q, found := o.outbox.queues[m.owner.Host]
	if !found {
		q = &queue{}
		o.outbox.queues[m.owner.Host] = q
	}
	q.owner = m.owner
	q.waiting = append(q.waiting, due{m.settlement, now})
	o.deliver(ctx, q)
}

// deliver starts a call with what waits for an owner, if none is under way.
func (o *Owners) deliver(ctx context.Context, q *queue) {
	if q.busy || len(q.waiting) == 0 {
		return
	}
	q.busy = true
	batch := make([]Settlement, 0, min(len(q.waiting), settleBatch))
	for _, next := range q.waiting[:cap(batch)] {
		batch = append(batch, next.Settlement)
	}
	owner := q.owner
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, settleTimeout)
		defer cancel()
		var reply int
		err := o.config.Caller.Call(callCtx, core.Peer{Address: owner.Address}, settleMethod, batch, &reply)
		_ = o.inbox.Send(context.WithoutCancel(ctx), delivered{host: owner.Host, sent: len(batch), err: err})
	}()
}

func (o *Owners) delivered(ctx context.Context, m delivered, now time.Time) {
	q := o.outbox.queues[m.host]
	switch {
	case m.again:
		q.busy = false
	case m.err != nil:
		o.dropOld(q, now, m.err)
		time.AfterFunc(settleRetry, func() { _ = o.inbox.Send(context.WithoutCancel(ctx), delivered{host: m.host, again: true}) })
		o.finishFlush()
		return
	default:
		q.busy = false
		q.waiting = append(q.waiting[:0], q.waiting[m.sent:]...)
	}
	o.deliver(ctx, q)
	o.finishFlush()
}

// dropOld gives up settlements that could not be delivered for long: the owner
// counts these reservations as spent.
func (o *Owners) dropOld(q *queue, now time.Time, cause error) {
	kept := q.waiting[:0]
	for _, next := range q.waiting {
		if now.Sub(next.since) < settleFor {
			kept = append(kept, next)
		}
	}
	if dropped := len(q.waiting) - len(kept); dropped > 0 {
		o.config.Log.Warn("settlements not delivered; the owner counts the reservations as spent", zap.String("event", "settlement_dropped"),
			zap.String("host", string(q.owner.Host)), zap.Int("count", dropped), zap.Error(cause))
	}
	q.waiting = kept
}

func (o *Owners) flush(m flush) {
	o.outbox.flushed = m.reply
	o.finishFlush()
}

func (o *Owners) finishFlush() {
	if o.outbox.flushed == nil {
		return
	}
	for _, q := range o.outbox.queues {
		if len(q.waiting) > 0 {
			return
		}
	}
	o.outbox.flushed <- struct{}{}
	o.outbox.flushed = nil
}
