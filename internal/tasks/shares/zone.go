package shares

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/budget"
	"github.com/peridotreel/peridotreel/internal/fleet"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// callTimeout bounds one call to an owner. It leaves room for a recall.
	callTimeout = 600 * time.Millisecond
	// ownersTried bounds the owners tried before this host draws for itself.
	ownersTried = 2
	// serveBatchSize bounds the requests of one transaction, and with them
	// the chance that a row changed by others makes it run again.
	serveBatchSize = 50
	// serveTimeout bounds the table transactions of an owner for one batch.
	serveTimeout = time.Second
)

// serve asks this host, as the zone's owner, to carry out a request.
type serve struct {
	request budget.Request
	reply   chan<- result
}

// servedBatch is the end of a batch.
type servedBatch struct{}

// zoneView returns the ranked owners of a budget in this zone, this host
// included, and the size of the fleet.
func (t *Task) zoneView(id core.BudgetID) ([]core.Peer, budget.Fleet) {
	self := core.Peer{Ref: t.config.Self, Zone: t.config.Zone, State: core.PeerAlive}
	return budget.RankOwners(id, self, t.peers())
}

// peers returns the other hosts of the fleet, none for a host that works alone.
func (t *Task) peers() []core.Peer {
	if t.config.Peers == nil || t.config.Caller == nil {
		return nil
	}
	return t.config.Peers.Peers().Peers
}

// drawFromZone asks the zone's owner, then the next host in rendezvous order
// and finally this host. It runs in a worker.
func (t *Task) drawFromZone(ctx context.Context, request budget.Request) (budget.Answer, error) {
	owners, _ := t.zoneView(request.Share.Budget)
	owners = owners[:min(ownersTried, len(owners))]
	var failures []error
	for _, owner := range owners {
		if owner.Ref == t.config.Self {
			break
		}
		answer, err := t.drawFrom(ctx, owner, request)
		if err == nil {
			return answer, nil
		}
		failures = append(failures, err)
	}
	answer, err := task.Ask(ctx, t.inbox, func(replies chan<- result) message { return &serve{request, replies} })
	if err = errors.Join(err, answer.err); err != nil {
		return budget.Answer{}, errors.Join(append(failures, err)...)
	}
	return answer.Answer, nil
}

func (t *Task) drawFrom(ctx context.Context, owner core.Peer, request budget.Request) (budget.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply LedgerReply
	err := t.config.Caller.Call(ctx, owner, ReceiverName+".Draw", DrawArgs{
		Wire: fleet.WireVersion, Share: request.Share, Sequence: request.Sequence,
		Need: request.Need, Want: request.Want, Billed: request.Billed, Credited: request.Credited, Returned: request.Returned,
	}, &reply)
	if err != nil {
		return budget.Answer{}, err
	}
	return decodeReply(request.Share, reply)
}

// returnToOwner hands what was returned to the zone's owner, so that the
// budget's row has one writer in each zone. It runs in a worker.
func (t *Task) returnToOwner(ctx context.Context, request budget.Request) (budget.Answer, error) {
	owners, _ := t.zoneView(request.Share.Budget)
	if owners[0].Ref == t.config.Self {
		return budget.Answer{}, errOwnedHere
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply LedgerReply
	err := t.config.Caller.Call(ctx, owners[0], ReceiverName+".Return", ReturnArgs{
		Wire: fleet.WireVersion, Share: request.Share, Billed: request.Billed, Credited: request.Credited, Returned: request.Returned,
	}, &reply)
	if err != nil {
		return budget.Answer{}, err
	}
	return decodeReply(request.Share, reply)
}

var (
	errOwnedHere = errors.New("this host owns the budget in its zone; write the table directly")
	errStopping  = errors.New("this host is stopping; draw from the next one")
)

func (m *serve) apply(t *Task) {
	if t.drain != nil && m.request.Share.Holder != t.config.Self {
		m.reply <- result{err: errStopping}
		return
	}
	t.queue = append(t.queue, *m)
	t.serveQueue()
}

// serveQueue carries out what waits in one batch. One batch is in flight, so
// that the batches grow and the writes don't when the platform slows down.
func (t *Task) serveQueue() {
	if t.serving || len(t.queue) == 0 {
		return
	}
	batch := slices.Clone(t.queue[:min(serveBatchSize, len(t.queue))])
	t.queue = slices.Delete(t.queue, 0, len(batch))
	t.serving = true
	_, size := t.zoneView("")
	t.start(serveTimeout, func(ctx context.Context) message {
		t.serveBatch(ctx, size, batch)
		return &servedBatch{}
	})
}

func (*servedBatch) apply(t *Task) {
	t.serving = false
	t.serveQueue()
}

// serveBatch runs in a worker. Draws that found the budget exhausted go on
// in workers of their own, so that they don't delay the next batch.
func (t *Task) serveBatch(ctx context.Context, size budget.Fleet, batch []serve) {
	requests := make([]budget.Request, len(batch))
	for i, entry := range batch {
		requests[i] = entry.request
	}
	results := t.ledger.exchange(ctx, size, requests)
	for i, entry := range batch {
		answer := results[i]
		if answer.err == nil && answer.Outcome == budget.Exhausted {
			t.start(recallLimit, func(ctx context.Context) message {
				entry.reply <- t.recallFor(ctx, size, entry.request, answer.Answer)
				return nil
			})
			continue
		}
		entry.reply <- answer
	}
}

// recallFor asks other holders to transfer tokens to the requester and then
// repeats the draw for what is still missing.
func (t *Task) recallFor(ctx context.Context, size budget.Fleet, request budget.Request, before budget.Answer) result {
	holders, err := t.ledger.Shares(ctx, request.Share.Budget)
	if err != nil {
		return result{before, nil}
	}
	// What was granted as the budget ran out counts towards the need.
	missing := request.Need - before.Drawn
	if !t.recallAll(ctx, holders, request.Share, missing) {
		return result{before, nil}
	}
	request.Sequence = before.Share.Sequence
	after := t.ledger.exchange(ctx, size, []budget.Request{request})
	if after[0].err != nil {
		return result{before, nil}
	}
	return after[0]
}

// recallAll sends Recall to the holders with the most unspent tokens and
// reports whether any of them gave something.
func (t *Task) recallAll(ctx context.Context, holders []budget.Share, to core.ShareID, need core.Tokens) bool {
	targets := budget.RecallTargets(holders, to)
	given := make([]core.Tokens, len(targets))
	var calls sync.WaitGroup
	for i, target := range targets {
		calls.Go(func() { given[i] = t.recallOne(ctx, target, to, need) })
	}
	calls.Wait()
	return slices.ContainsFunc(given, func(amount core.Tokens) bool { return amount > 0 })
}

func (t *Task) recallOne(ctx context.Context, from core.HostRef, to core.ShareID, need core.Tokens) core.Tokens {
	if from == t.config.Self {
		given, _ := task.Ask(ctx, t.inbox, func(replies chan<- core.Tokens) message {
			return &recall{to: to, need: need, reply: replies}
		})
		return given
	}
	for _, peer := range t.peers() {
		if peer.Ref != from || peer.State == core.PeerDead {
			continue
		}
		t.metrics.recalls.Add(ctx, 1)
		var reply RecallReply
		args := RecallArgs{Wire: fleet.WireVersion, Share: to, Need: need}
		if err := t.config.Caller.Call(ctx, peer, ReceiverName+".Recall", args, &reply); err == nil {
			return reply.Given
		}
	}
	return 0
}
