package shares

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/budget"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// callTimeout bounds one call to an owner. It leaves time for a recall.
	callTimeout = 600 * time.Millisecond
	// maxOwnersTried bounds the owners tried before this host serves its own
	// draw.
	maxOwnersTried = 2
	// serveBatchSize bounds the requests of one transaction, and with them the
	// chance that a row changed by another writer makes it run again.
	serveBatchSize = 50
	// serveTimeout bounds an owner's table transactions for one batch.
	serveTimeout = time.Second
)

// serveRequest asks this host to serve a request from the table. It does so as
// the zone's owner, or for its own draw if no owner answered.
type serveRequest struct {
	request budget.Request
	reply   chan<- requestResult
}

// batchServed is sent when a batch has been served.
type batchServed struct{}

// rankOwners returns the hosts of this zone in the order in which they own a
// budget, this host included, and the size of the fleet.
func (t *Task) rankOwners(id core.BudgetID) ([]core.Peer, budget.FleetSize) {
	self := core.Peer{Ref: t.config.Self, Zone: t.config.Zone, State: core.PeerAlive}
	return budget.RankOwners(id, self, t.peers())
}

// peers returns the other hosts of the fleet, or none for a host without peers.
func (t *Task) peers() []core.Peer {
	if t.config.Peers == nil || t.config.Caller == nil {
		return nil
	}
	return t.config.Peers.Peers().Peers
}

// drawFromZone sends a draw to the zone's owner, then to the next host in
// rendezvous order, and finally serves it on this host. It runs in a worker.
func (t *Task) drawFromZone(ctx context.Context, request budget.Request) (budget.Answer, error) {
	owners, _ := t.rankOwners(request.Share.Budget)
	owners = owners[:min(maxOwnersTried, len(owners))]
	var failures []error
	for _, owner := range owners {
		if owner.Ref == t.config.Self {
			break
		}
		answer, err := t.drawFromOwner(ctx, owner, request)
		if err == nil {
			return answer, nil
		}
		failures = append(failures, err)
	}
	result, err := task.Ask(ctx, t.inbox, func(replies chan<- requestResult) message { return &serveRequest{request, replies} })
	if err = errors.Join(err, result.err); err != nil {
		return budget.Answer{}, errors.Join(append(failures, err)...)
	}
	return result.Answer, nil
}

func (t *Task) drawFromOwner(ctx context.Context, owner core.Peer, request budget.Request) (budget.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply LedgerReply
	err := t.config.Caller.Call(ctx, owner, ReceiverName+".Draw", DrawArgs{
		Wire: peerrpc.WireVersion, Share: request.Share, Sequence: request.Sequence,
		Need: request.Need, Want: request.Want, Billed: request.Billed, Credited: request.Credited, Returned: request.Returned,
	}, &reply)
	if err != nil {
		return budget.Answer{}, err
	}
	return decodeReply(request.Share, reply)
}

// returnToOwner reports returned tokens to the zone's owner, so that the
// budget's row has one writer per zone. It runs in a worker.
func (t *Task) returnToOwner(ctx context.Context, request budget.Request) (budget.Answer, error) {
	owners, _ := t.rankOwners(request.Share.Budget)
	if owners[0].Ref == t.config.Self {
		return budget.Answer{}, errOwnedHere
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply LedgerReply
	err := t.config.Caller.Call(ctx, owners[0], ReceiverName+".Return", ReturnArgs{
		Wire: peerrpc.WireVersion, Share: request.Share, Billed: request.Billed, Credited: request.Credited, Returned: request.Returned,
	}, &reply)
	if err != nil {
		return budget.Answer{}, err
	}
	return decodeReply(request.Share, reply)
}

var (
	errOwnedHere = errors.New("this host owns the budget in its zone; write to the table directly")
	errStopping  = errors.New("this host is stopping; draw from the next host")
)

func (m *serveRequest) apply(t *Task) {
	if t.drain != nil && m.request.Share.Holder != t.config.Self {
		m.reply <- requestResult{err: errStopping}
		return
	}
	t.queue = append(t.queue, *m)
	t.startBatch()
}

// startBatch starts to serve the queued requests in one batch. Only one batch is
// in flight, so that a slow platform makes the batches larger and not the writes
// more frequent.
func (t *Task) startBatch() {
	if t.batchInFlight || len(t.queue) == 0 {
		return
	}
	batch := slices.Clone(t.queue[:min(serveBatchSize, len(t.queue))])
	t.queue = slices.Delete(t.queue, 0, len(batch))
	t.batchInFlight = true
	_, fleetSize := t.rankOwners("")
	t.startWorker(serveTimeout, func(ctx context.Context) message {
		t.serveBatch(ctx, fleetSize, batch)
		return &batchServed{}
	})
}

func (*batchServed) apply(t *Task) {
	t.batchInFlight = false
	t.startBatch()
}

// serveBatch runs in a worker. Draws that found the budget exhausted continue in
// workers of their own, so that they don't delay the next batch.
func (t *Task) serveBatch(ctx context.Context, fleetSize budget.FleetSize, batch []serveRequest) {
	requests := make([]budget.Request, len(batch))
	for i, queued := range batch {
		requests[i] = queued.request
	}
	results := t.ledger.serveRequests(ctx, fleetSize, requests)
	for i, queued := range batch {
		result := results[i]
		if result.err == nil && result.Outcome == budget.Exhausted {
			t.startWorker(maxRecallWait, func(ctx context.Context) message {
				queued.reply <- t.recallFor(ctx, fleetSize, queued.request, result.Answer)
				return nil
			})
			continue
		}
		queued.reply <- result
	}
}

// recallFor recalls tokens from other holders for the requester and then
// repeats its draw for what is still missing.
func (t *Task) recallFor(ctx context.Context, fleetSize budget.FleetSize, request budget.Request, before budget.Answer) requestResult {
	holders, err := t.ledger.Shares(ctx, request.Share.Budget)
	if err != nil {
		return requestResult{before, nil}
	}
	// What the exhausted budget still granted counts towards the need.
	missing := request.Need - before.Drawn
	if !t.recallAll(ctx, holders, request.Share, missing) {
		return requestResult{before, nil}
	}
	request.Sequence = before.Share.Sequence
	after := t.ledger.serveRequests(ctx, fleetSize, []budget.Request{request})
	if after[0].err != nil {
		return requestResult{before, nil}
	}
	return after[0]
}

// recallAll sends Recall to the holders with the most unspent tokens and
// reports whether any of them transferred tokens.
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
			return &recallRequest{to: to, need: need, reply: replies}
		})
		return given
	}
	for _, peer := range t.peers() {
		if peer.Ref != from || peer.State == core.PeerDead {
			continue
		}
		t.metrics.recalls.Add(ctx, 1)
		var reply RecallReply
		args := RecallArgs{Wire: peerrpc.WireVersion, Share: to, Need: need}
		if err := t.config.Caller.Call(ctx, peer, ReceiverName+".Recall", args, &reply); err == nil {
			return reply.Given
		}
	}
	return 0
}
