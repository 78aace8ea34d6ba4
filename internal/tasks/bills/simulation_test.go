package bills

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/billing"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
	standin "github.com/peridotreel/peridotreel/internal/standin/platform"
)

// mutation names a mechanism that is switched off. The checks must then fail.
type mutation string

const (
	noMutation   mutation = ""
	noNumber     mutation = "no condition on the segment number"
	noBillRow    mutation = "no bill row"
	noReread     mutation = "segments written by another host are not read"
	noCopy       mutation = "copies are not held"
	noRefund     mutation = "the cost of a dropped bill is not returned"
	sharedObject mutation = "all writers of a segment use the same object"
)

// recordedBill is what the oracle knows of a recorded bill.
type recordedBill struct {
	bill       core.Bill
	owner      *node
	copyHolder *node
	refunded   core.Tokens
}

// node is one process of a host. Its results are step and message outcomes that
// it has not handled yet, so a paused host acts on outdated state.
type node struct {
	ref      core.HostRef
	zone     core.ZoneName
	pending  *billing.PendingBills
	dead     bool
	suspects map[core.HostRef]bool
	steps    []*billing.Step
	results  []func()
}

// simulation runs the billing decisions of several hosts against a scripted
// platform.
type simulation struct {
	mutation mutation
	platform *standin.Scripted
	nodes    []*node
	recorded []*recordedBill
	// delayedMessages holds messages that are not delivered yet.
	delayedMessages []func()
	now             time.Time
}

func newSimulation(mutated mutation) *simulation {
	s := &simulation{mutation: mutated, platform: standin.NewScripted(), now: time.Unix(1_800_000_000, 0)}
	for _, host := range []core.HostID{"a", "b", "c"} {
		s.start(host, 1)
	}
	s.platform.Rewrite = s.rewrite
	return s
}

func (s *simulation) start(host core.HostID, incarnation core.Incarnation) {
	ref := core.HostRef{Host: host, Incarnation: incarnation}
	s.nodes = append(s.nodes, &node{
		ref: ref, zone: core.ZoneName("z-" + host), pending: billing.NewPendingBills(ref), suspects: make(map[core.HostRef]bool),
	})
}

// rewrite removes the conditions that the mutation switches off from a commit.
func (s *simulation) rewrite(commit platform.Commit) platform.Commit {
	prefix := map[mutation]string{noNumber: "segment/", noBillRow: "bill/"}[s.mutation]
	var kept []platform.Condition
	for _, condition := range commit.Conditions {
		if prefix == "" || !strings.HasPrefix(condition.Key, prefix) {
			kept = append(kept, condition)
		}
	}
	commit.Conditions = kept
	return commit
}

// sharedNames is an object store that removes the write ID from object names.
type sharedNames struct{ platform.Objects }

func sharedName(name string) string { return strings.Join(strings.Split(name, "/")[:4], "/") }

func (o sharedNames) Put(ctx context.Context, name string, content []byte) error {
	return o.Objects.Put(ctx, sharedName(name), content)
}

func (o sharedNames) Get(ctx context.Context, name string) ([]byte, bool, error) {
	return o.Objects.Get(ctx, sharedName(name))
}

func (s *simulation) objects() platform.Objects {
	if s.mutation == sharedObject {
		return sharedNames{s.platform.Objects()}
	}
	return s.platform.Objects()
}

func (s *simulation) alive() []*node {
	var alive []*node
	for _, candidate := range s.nodes {
		if !candidate.dead {
			alive = append(alive, candidate)
		}
	}
	return alive
}

func (n *node) gone(s *simulation) func(core.HostRef) bool {
	return func(ref core.HostRef) bool {
		for _, other := range s.nodes {
			if other.ref == ref {
				return n.suspects[ref]
			}
		}
		return false
	}
}

// record simulates a request that finishes at a host.
func (s *simulation) record(at *node, request core.RequestID, keyed bool) {
	serial := core.Tokens(len(s.recorded) + 1)
	entry := &recordedBill{owner: at, bill: core.Bill{
		Request: request, Keyed: keyed, Cost: serial, Share: core.ShareID{Budget: "b", Holder: at.ref},
	}}
	s.recorded = append(s.recorded, entry)
	if _, added := at.pending.Record(entry.bill, s.now); !added {
		s.refund(entry.bill)
	}
}

func (s *simulation) refund(bill core.Bill) {
	if s.mutation != noRefund {
		s.recorded[bill.Cost-1].refunded += bill.Cost
	}
}

// replicate sends a batch. The message is delivered, delivered without an
// answer, or lost. If it is duplicated, the duplicate arrives later.
func (s *simulation) replicate(from *node, delivered, answered, duplicated bool) bool {
	var candidates []core.Peer
	byRef := make(map[core.HostRef]*node)
	for _, other := range s.nodes {
		if other.ref.Host != from.ref.Host && !from.suspects[other.ref] {
			candidates = append(candidates, core.Peer{Ref: other.ref, Zone: other.zone, State: core.PeerAlive})
			byRef[other.ref] = other
		}
	}
	batch, _ := from.pending.NextBatch(rankCopyHolders(from.ref, from.zone, candidates), s.now)
	if batch == nil {
		return false
	}
	to := byRef[batch.Peer.Ref]
	hold := func() bool {
		return !to.dead && (s.mutation == noCopy || to.pending.HoldCopies(from.ref, batch.Settled, batch.Copies, s.now))
	}
	held := delivered && hold() && answered
	if duplicated {
		s.delayedMessages = append(s.delayedMessages, func() { hold() })
	}
	from.results = append(from.results, func() {
		outcome := billing.CopyUnanswered
		if held {
			outcome = billing.CopyHeld
		}
		from.pending.FinishBatch(batch, outcome, s.now)
		for _, entry := range s.recorded {
			for i := range batch.Copies {
				if held && batch.Copies[i].Bill.Cost == entry.bill.Cost {
					entry.copyHolder = to
				}
			}
		}
	})
	return true
}

func (s *simulation) acknowledge(from *node, delivered, duplicated bool) bool {
	due := from.pending.Acknowledgements(s.now)
	for _, ack := range due {
		dropSettled := func() {
			for _, to := range s.nodes {
				if to.ref == ack.Peer.Ref && !to.dead {
					to.pending.DropSettled(from.ref, ack.Settled)
				}
			}
		}
		if delivered {
			dropSettled()
		}
		if duplicated {
			s.delayedMessages = append(s.delayedMessages, dropSettled)
		}
		from.pending.FinishAcknowledgement(ack, delivered, s.now)
	}
	return len(due) > 0
}

// startSteps starts the next steps of a host.
func (s *simulation) startSteps(at *node, flush bool) {
	at.pending.RemoveEmptyJournals(at.gone(s))
	for _, step := range []*billing.Step{at.pending.NextOwnStep(s.now, flush), at.pending.NextTakeoverStep(at.gone(s))} {
		if step != nil {
			at.steps = append(at.steps, step)
		}
	}
}

// trySteps attempts each step of a host once. Steps with an unknown outcome are
// kept for the next attempt.
func (s *simulation) trySteps(at *node) {
	var left []*billing.Step
	for _, step := range at.steps {
		outcome, err := (&Task{config: Config{Table: s.platform, Objects: s.objects()}}).tryStep(context.Background(), step)
		if err != nil {
			left = append(left, step)
			continue
		}
		at.results = append(at.results, func() { s.finishStep(at, outcome) })
	}
	at.steps = left
}

func (s *simulation) finishStep(at *node, outcome stepResult) {
	switch {
	case outcome.conflict != nil:
		for _, bill := range at.pending.FinishConflict(outcome.step, *outcome.conflict) {
			s.refund(bill)
		}
	case outcome.step.Kind == billing.StepRead:
		if s.mutation == noReread {
			outcome.billed = nil
		}
		at.pending.FinishRead(outcome.step, outcome.head, outcome.billed)
	default:
		at.pending.FinishWrite(outcome.step)
	}
}

func (n *node) handleNextResult() {
	if len(n.results) > 0 {
		first := n.results[0]
		n.results = n.results[1:]
		first()
	}
}

// billed reads all segments and returns how often each recorded bill was
// written, by its cost, which is unique.
func (s *simulation) billed() (map[core.Tokens]int, error) {
	choose := s.platform.ChooseFault
	s.platform.ChooseFault = nil
	defer func() { s.platform.ChooseFault = choose }()
	billed := make(map[core.Tokens]int)
	for _, owner := range s.nodes {
		found := s.platform.Store.Get(rows.HeadKey(owner.ref))
		if len(found) == 0 {
			continue
		}
		head, err := rows.DecodeHead(found[0].Value)
		if err != nil {
			return nil, err
		}
		writeID, count, tokens := head.WriteID, uint64(0), core.Tokens(0)
		for number := head.Number; number > 0; number-- {
			content, _, _ := s.objects().Get(context.Background(), rows.SegmentObjectName(owner.ref, number, writeID))
			segment, err := rows.DecodeSegment(content)
			if err != nil {
				return nil, err
			}
			for i := range segment.Bills {
				billed[segment.Bills[i].Cost]++
				count++
				tokens += segment.Bills[i].Cost
			}
			writeID = segment.Previous
		}
		if count != head.Count || tokens != head.Tokens {
			return nil, fmt.Errorf("journal %s has %d bills of %d tokens, its head says %d of %d", owner.ref, count, tokens, head.Count, head.Tokens)
		}
	}
	return billed, nil
}

// checkNoneTwice checks that no request is billed twice, whatever the faults.
func (s *simulation) checkNoneTwice() error {
	billed, err := s.billed()
	if err != nil {
		return err
	}
	perRequest := make(map[core.RequestID]int)
	for cost, times := range billed {
		request := s.recorded[cost-1].bill.Request
		if perRequest[request] += times; perRequest[request] > 1 {
			return fmt.Errorf("request %s is billed %d times", request, perRequest[request])
		}
	}
	return nil
}

// checkExactlyOnce checks that each finished request is billed exactly once
// unless both the owner of its bill and the holder of the copy died. The plain
// list of recorded bills is the oracle. The cost of each bill of a running host
// must be either billed or returned, never both.
func (s *simulation) checkExactlyOnce() error {
	billed, err := s.billed()
	if err != nil {
		return err
	}
	perRequest := make(map[core.RequestID]int)
	for cost, times := range billed {
		perRequest[s.recorded[cost-1].bill.Request] += times
	}
	for _, entry := range s.recorded {
		cost := entry.bill.Cost
		survives := !entry.owner.dead || entry.copyHolder != nil && !entry.copyHolder.dead
		if survives && perRequest[entry.bill.Request] != 1 {
			return fmt.Errorf("bill of %d tokens at %s is billed %d times", cost, entry.owner.ref, perRequest[entry.bill.Request])
		}
		if paid := core.Tokens(billed[cost]) * cost; !entry.owner.dead && paid+entry.refunded != cost {
			return fmt.Errorf("bill of %d tokens at %s: %d tokens billed and %d returned", cost, entry.owner.ref, paid, entry.refunded)
		}
	}
	return nil
}

// quiesce ends all faults and lets every host finish its work.
func (s *simulation) quiesce() error {
	s.platform.ChooseFault = nil
	for s.platform.DelayedWrites() > 0 {
		s.platform.ApplyDelayed(0)
	}
	for round := range 400 {
		s.now = s.now.Add(2 * time.Second)
		idle := true
		for _, at := range s.alive() {
			for _, other := range s.nodes {
				at.suspects[other.ref] = other.dead
			}
			at.pending.RequeueLost(at.gone(s), s.now)
			s.startSteps(at, true)
			s.trySteps(at)
			sent := s.replicate(at, true, true, false)
			for len(at.results) > 0 {
				at.handleNextResult()
			}
			acknowledged := s.acknowledge(at, true, false)
			idle = idle && !sent && !acknowledged && at.pending.OwnCount() == 0 && at.pending.HeldCopies() == 0
		}
		if idle && round > 3 {
			return nil
		}
	}
	return fmt.Errorf("the hosts do not become idle")
}
