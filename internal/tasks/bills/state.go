package bills

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/billing"
)

// state is what the task's goroutine owns.
type state struct {
	*Task
	book *billing.PendingBills
	// waiting holds who waits for a copy of a bill, by sequence number.
	waiting map[uint64]chan<- struct{}
	// draining holds who waits for all bills to be in the table.
	draining []chan<- struct{}
	// drainSince is when this host began to drain; it keeps no copies for
	// peers from then on.
	drainSince time.Time
	// telling holds the peers to which an acknowledgement is in flight.
	telling map[core.HostRef]bool
	view    fleetView
}

func newState(t *Task) *state {
	return &state{
		Task: t, book: billing.NewPendingBills(t.config.Self),
		waiting: make(map[uint64]chan<- struct{}), telling: make(map[core.HostRef]bool),
		view: fleetView{absentSince: make(map[core.HostRef]int64)},
	}
}

// tick does what depends on time only.
func (s *state) tick(ctx context.Context) {
	now := s.config.Now()
	s.view.update(&s.config, now)
	s.book.RequeueLost(s.view.gone, now)
	s.book.RemoveEmptyJournals(s.view.gone)
	s.counters.pending.Record(ctx, int64(s.book.OwnCount()))
	s.counters.kept.Record(ctx, int64(s.book.HeldCopies()))
	// A bill may be in the table before a peer has answered.
	for sequence := range s.waiting {
		if sequence < s.book.Settled() {
			s.release(sequence)
		}
	}
	for _, told := range s.book.Acknowledgements(now) {
		if !s.telling[told.Peer.Ref] {
			s.telling[told.Peer.Ref] = true
			s.acknowledge(ctx, told)
		}
	}
}

// advance starts the work that is due and not in flight.
func (s *state) advance(ctx context.Context) {
	now := s.config.Now()
	if step := s.book.NextOwnStep(now, len(s.draining) > 0); step != nil {
		s.perform(ctx, step)
	}
	if step := s.book.NextTakeoverStep(s.takesOver); step != nil {
		s.counters.takeovers.Add(ctx, 1)
		s.perform(ctx, step)
	}
	s.replicate(ctx)
	if s.book.OwnCount() == 0 && s.book.HeldCopies() == 0 {
		for _, done := range s.draining {
			done <- struct{}{}
		}
		s.draining = nil
	}
}

// keepGrace is how long a host that drains leaves the bills of which it keeps
// copies to their owners. Most owners have written them by then; writing them
// twice is harmless, while a longer wait delays every restart.
const keepGrace = 2 * time.Second

// takesOver reports whether this host writes the bills of another from their
// copies. A host that drains does so for all owners, as no host may notice in
// time that an owner is gone. That is safe for a live owner, as segments are
// conditional.
func (s *state) takesOver(owner core.HostRef) bool {
	leaving := !s.drainSince.IsZero() && s.config.Now().Sub(s.drainSince) >= keepGrace
	return leaving || s.view.gone(owner)
}

// replicate sends copies to a peer. Bills that no peer can take are not
// waited for.
func (s *state) replicate(ctx context.Context) {
	batch, reachable := s.book.NextBatch(s.view.candidates, s.config.Now())
	if !reachable {
		s.counters.uncopied.Add(ctx, int64(len(s.waiting)))
		for sequence := range s.waiting {
			s.release(sequence)
		}
	}
	if batch != nil {
		if batch.Peer.Zone == s.config.Zone {
			s.counters.sameZone.Add(ctx, int64(len(batch.Copies)))
		}
		s.send(ctx, batch)
	}
}

// release ends the wait for a copy of a bill.
func (s *state) release(sequence uint64) {
	if held, found := s.waiting[sequence]; found {
		held <- struct{}{}
		delete(s.waiting, sequence)
	}
}

// refund returns the cost of a bill whose request was billed before.
func (s *state) refund(ctx context.Context, bill core.Bill) {
	s.counters.duplicates.Add(ctx, 1)
	s.config.Log.Info("a bill is dropped because its request was billed before; its cost returns to the share",
		zap.Stringer("request", bill.Request), zap.Int64("tokens", int64(bill.Cost)))
	if s.config.Refunds != nil {
		s.config.Refunds.Refund(bill.Share, bill.Cost)
	}
}

type recordMessage struct {
	bill core.Bill
	held chan<- struct{}
}

func (m recordMessage) handle(ctx context.Context, owned *state) {
	sequence, added := owned.book.Record(m.bill, owned.config.Now())
	if !added {
		owned.refund(ctx, m.bill)
		m.held <- struct{}{}
		return
	}
	owned.waiting[sequence] = m.held
}

type drainMessage struct{ done chan<- struct{} }

func (m drainMessage) handle(_ context.Context, owned *state) {
	if owned.drainSince.IsZero() {
		owned.drainSince = owned.config.Now()
	}
	owned.draining = append(owned.draining, m.done)
}

type leftMessage struct{ reply chan<- leftovers }

func (m leftMessage) handle(_ context.Context, owned *state) {
	bills, copied, tokens := owned.book.Unwritten()
	m.reply <- leftovers{bills: bills, copied: copied, tokens: tokens, kept: owned.book.HeldCopies()}
}

type keepMessage struct {
	args  ReplicateArgs
	reply chan<- bool
}

func (m keepMessage) handle(_ context.Context, owned *state) {
	if !owned.drainSince.IsZero() {
		m.reply <- false
		return
	}
	m.reply <- owned.book.HoldCopies(m.args.Owner, m.args.Settled, m.args.Copies, owned.config.Now())
}

type settleMessage struct {
	args  AcknowledgeArgs
	reply chan<- bool
}

func (m settleMessage) handle(_ context.Context, owned *state) {
	owned.book.DropSettled(m.args.Owner, m.args.Settled)
	m.reply <- true
}
