package bills

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/billing"
)

// state is the state that only the task's goroutine uses.
type state struct {
	*Task
	pending *billing.PendingBills
	// waits holds the answers that wait for a copy of their bill.
	waits *copyWaits
	// drainWaiters holds the callers of Drain.
	drainWaiters []chan<- struct{}
	// drainingSince is when this host began to drain, or zero. From then on it
	// accepts no copies from peers.
	drainingSince time.Time
	// acknowledging holds the peers with an acknowledgement in flight.
	acknowledging map[core.HostRef]bool
	view          fleetView
}

func newState(t *Task) *state {
	return &state{
		Task: t, pending: billing.NewPendingBills(t.config.Self),
		waits: newCopyWaits(t), acknowledging: make(map[core.HostRef]bool),
		view: fleetView{absentSince: make(map[core.HostRef]int64)},
	}
}

// tick does the periodic work: it updates the view of the fleet and the gauges,
// and sends acknowledgements.
func (s *state) tick(ctx context.Context) {
	now := s.config.Now()
	s.view.update(&s.config, now)
	s.pending.RequeueLost(s.view.gone, now)
	s.pending.RemoveEmptyJournals(s.view.gone)
	s.counters.pending.Record(ctx, int64(s.pending.OwnCount()))
	s.counters.heldCopies.Record(ctx, int64(s.pending.HeldCopies()))
	s.waits.endExpired(ctx)
	for _, ack := range s.pending.Acknowledgements(now) {
		if !s.acknowledging[ack.Peer.Ref] {
			s.acknowledging[ack.Peer.Ref] = true
			s.sendAcknowledgement(ctx, ack)
		}
	}
}

// startDueWork starts the steps and the batch that are due, and ends a drain if
// nothing is left to write.
func (s *state) startDueWork(ctx context.Context) {
	now := s.config.Now()
	if step := s.pending.NextOwnStep(now, len(s.drainWaiters) > 0); step != nil {
		s.runStep(ctx, step)
	}
	if step := s.pending.NextTakeoverStep(s.mayTakeOver); step != nil {
		s.counters.takeovers.Add(ctx, 1)
		s.runStep(ctx, step)
	}
	// The gauge is set before any wait for a copy ends, so that it is not below the
	// number of answers that have gone out without one.
	s.counters.onlyHere.Record(ctx, int64(s.pending.Uncopied()))
	s.replicate(ctx)
	if s.pending.OwnCount() == 0 && s.pending.HeldCopies() == 0 {
		for _, done := range s.drainWaiters {
			done <- struct{}{}
		}
		s.drainWaiters = nil
	}
}

// drainTakeoverDelay is how long a draining host waits for the owners of the
// copies it holds to write these bills. Most owners have written them by then. A
// longer delay would slow down every restart, while an attempt to write them
// twice is harmless.
const drainTakeoverDelay = 2 * time.Second

// mayTakeOver reports whether this host writes the bills of another host from
// their copies. A draining host does so for all owners, because the death of
// an owner may not be detected before the drain ends. This is safe for a running
// owner, because segments are committed conditionally.
func (s *state) mayTakeOver(owner core.HostRef) bool {
	leaving := !s.drainingSince.IsZero() && s.config.Now().Sub(s.drainingSince) >= drainTakeoverDelay
	return leaving || s.view.gone(owner)
}

// replicate sends the next batch of copies. If no peer can take copies, answers
// do not wait for them.
func (s *state) replicate(ctx context.Context) {
	batch, reachable := s.pending.NextBatch(s.view.candidates, s.config.Now())
	if !reachable {
		s.waits.endAll(ctx)
	}
	if batch != nil {
		if batch.Peer.Zone == s.config.Zone {
			s.counters.sameZone.Add(ctx, int64(len(batch.Copies)))
		}
		s.sendCopies(ctx, batch)
	}
}

// refund returns the cost of a bill whose request is already billed.
func (s *state) refund(ctx context.Context, bill core.Bill) {
	s.counters.duplicates.Add(ctx, 1)
	s.config.Log.Info("dropped a bill because its request is already billed; its cost is returned to the share",
		zap.Stringer("request", bill.Request), zap.Int64("tokens", int64(bill.Cost)))
	if s.config.Refunds != nil {
		s.config.Refunds.Refund(bill.Share, bill.Cost)
	}
}

type recordMessage struct {
	bill core.Bill
	done chan<- struct{}
}

func (m recordMessage) handle(ctx context.Context, owned *state) {
	sequence, added := owned.pending.Record(m.bill, owned.config.Now())
	if !added {
		owned.refund(ctx, m.bill)
		m.done <- struct{}{}
		return
	}
	owned.waits.begin(sequence, m.done)
}

type drainMessage struct{ done chan<- struct{} }

func (m drainMessage) handle(_ context.Context, owned *state) {
	if owned.drainingSince.IsZero() {
		owned.drainingSince = owned.config.Now()
	}
	owned.drainWaiters = append(owned.drainWaiters, m.done)
}

type unwrittenMessage struct{ reply chan<- unwrittenBills }

func (m unwrittenMessage) handle(_ context.Context, owned *state) {
	bills, copied, tokens := owned.pending.Unwritten()
	m.reply <- unwrittenBills{bills: bills, copied: copied, tokens: tokens, heldCopies: owned.pending.HeldCopies()}
}

type holdCopiesMessage struct {
	args  ReplicateArgs
	reply chan<- bool
}

func (m holdCopiesMessage) handle(_ context.Context, owned *state) {
	if !owned.drainingSince.IsZero() {
		m.reply <- false
		return
	}
	m.reply <- owned.pending.HoldCopies(m.args.Owner, m.args.Settled, m.args.Copies, owned.config.Now())
}

type dropSettledMessage struct {
	args  AcknowledgeArgs
	reply chan<- bool
}

func (m dropSettledMessage) handle(_ context.Context, owned *state) {
	owned.pending.DropSettled(m.args.Owner, m.args.Settled)
	m.reply <- true
}
