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

// mutation switches one mechanism off; the checks must then fail.
type mutation string

const (
	intact       mutation = ""
	noNumber     mutation = "no condition on the segment number"
	noBillRow    mutation = "no bill row"
	noReread     mutation = "no reading of the segments that another host wrote"
	noCopy       mutation = "copies are not kept"
	noRefund     mutation = "the cost of a dropped bill is not returned"
	sharedObject mutation = "all writers of a segment use one object"
)

// charge is the oracle's note of one recorded bill.
type charge struct {
	bill   core.Bill
	owner  *node
	keeper *node
	refund core.Tokens
}

// node is one process of a host. Its callbacks are results that it has not
// handled yet, so a paused host acts on old decisions.
type node struct {
	ref       core.HostRef
	zone      core.ZoneName
	book      *billing.Book
	dead      bool
	suspects  map[core.HostRef]bool
	steps     []*billing.Step
	callbacks []func()
}

type world struct {
	mutation mutation
	platform *standin.Scripted
	nodes    []*node
	charges  []*charge
	// late holds messages that are still on their way.
	late []func()
	now  time.Time
}

func newWorld(mutated mutation) *world {
	w := &world{mutation: mutated, platform: standin.NewScripted(), now: time.Unix(1_800_000_000, 0)}
	for _, host := range []core.HostID{"a", "b", "c"} {
		w.start(host, 1)
	}
	w.platform.Rewrite = w.rewrite
	return w
}

func (w *world) start(host core.HostID, incarnation core.Incarnation) {
	ref := core.HostRef{Host: host, Incarnation: incarnation}
	w.nodes = append(w.nodes, &node{
		ref: ref, zone: core.ZoneName("z-" + host), book: billing.NewBook(ref), suspects: make(map[core.HostRef]bool),
	})
}

// rewrite leaves out the conditions that a mutation switches off.
func (w *world) rewrite(commit platform.Commit) platform.Commit {
	prefix := map[mutation]string{noNumber: "segment/", noBillRow: "bill/"}[w.mutation]
	var kept []platform.Condition
	for _, condition := range commit.Conditions {
		if prefix == "" || !strings.HasPrefix(condition.Key, prefix) {
			kept = append(kept, condition)
		}
	}
	commit.Conditions = kept
	return commit
}

// sharedNames is an object store that drops the writer's mark from names.
type sharedNames struct{ platform.Objects }

func shared(name string) string { return strings.Join(strings.Split(name, "/")[:4], "/") }

func (o sharedNames) Put(ctx context.Context, name string, content []byte) error {
	return o.Objects.Put(ctx, shared(name), content)
}

func (o sharedNames) Get(ctx context.Context, name string) ([]byte, bool, error) {
	return o.Objects.Get(ctx, shared(name))
}

func (w *world) objects() platform.Objects {
	if w.mutation == sharedObject {
		return sharedNames{w.platform.Objects()}
	}
	return w.platform.Objects()
}

func (w *world) alive() []*node {
	var alive []*node
	for _, candidate := range w.nodes {
		if !candidate.dead {
			alive = append(alive, candidate)
		}
	}
	return alive
}

func (n *node) gone(w *world) func(core.HostRef) bool {
	return func(ref core.HostRef) bool {
		for _, other := range w.nodes {
			if other.ref == ref {
				return n.suspects[ref]
			}
		}
		return false
	}
}

// record lets a host finish a request.
func (w *world) record(at *node, request core.RequestID, keyed bool) {
	serial := core.Tokens(len(w.charges) + 1)
	noted := &charge{owner: at, bill: core.Bill{
		Request: request, Keyed: keyed, Cost: serial, Share: core.ShareID{Budget: "b", Holder: at.ref},
	}}
	w.charges = append(w.charges, noted)
	if _, added := at.book.Record(noted.bill, w.now); !added {
		w.refund(noted.bill)
	}
}

func (w *world) refund(bill core.Bill) {
	if w.mutation != noRefund {
		w.charges[bill.Cost-1].refund += bill.Cost
	}
}

// replicate sends a batch. It is delivered, delivered without an answer, or
// lost; a copy of the message may arrive later.
func (w *world) replicate(from *node, delivered, answered, again bool) bool {
	var candidates []core.Peer
	byRef := make(map[core.HostRef]*node)
	for _, other := range w.nodes {
		if other.ref.Host != from.ref.Host && !from.suspects[other.ref] {
			candidates = append(candidates, core.Peer{Ref: other.ref, Zone: other.zone, State: core.PeerAlive})
			byRef[other.ref] = other
		}
	}
	batch, _ := from.book.NextBatch(rankKeepers(from.ref, from.zone, candidates), w.now)
	if batch == nil {
		return false
	}
	to := byRef[batch.Peer.Ref]
	keep := func() bool {
		return !to.dead && (w.mutation == noCopy || to.book.Keep(from.ref, batch.Settled, batch.Copies, w.now))
	}
	held := delivered && keep() && answered
	if again {
		w.late = append(w.late, func() { keep() })
	}
	from.callbacks = append(from.callbacks, func() {
		from.book.Sent(batch, held, w.now)
		for _, noted := range w.charges {
			for i := range batch.Copies {
				if held && batch.Copies[i].Bill.Cost == noted.bill.Cost {
					noted.keeper = to
				}
			}
		}
	})
	return true
}

func (w *world) acknowledge(from *node, delivered, again bool) bool {
	due := from.book.Acknowledgements(w.now)
	for _, told := range due {
		settle := func() {
			for _, to := range w.nodes {
				if to.ref == told.Peer.Ref && !to.dead {
					to.book.Settle(from.ref, told.Settled)
				}
			}
		}
		if delivered {
			settle()
		}
		if again {
			w.late = append(w.late, settle)
		}
		from.book.Acknowledged(told, delivered, w.now)
	}
	return len(due) > 0
}

// begin lets a host ask for its next steps.
func (w *world) begin(at *node, flush bool) {
	at.book.Forget(at.gone(w))
	for _, step := range []*billing.Step{at.book.NextOwn(w.now, flush), at.book.NextTakeover(at.gone(w))} {
		if step != nil {
			at.steps = append(at.steps, step)
		}
	}
}

// try performs the steps of a host once. Unknown outcomes are tried again.
func (w *world) try(at *node) {
	var left []*billing.Step
	for _, step := range at.steps {
		done, err := (&Task{config: Config{Table: w.platform, Objects: w.objects()}}).try(context.Background(), step)
		if err != nil {
			left = append(left, step)
			continue
		}
		at.callbacks = append(at.callbacks, func() { w.finish(at, done) })
	}
	at.steps = left
}

func (w *world) finish(at *node, done result) {
	switch {
	case done.conflict != nil:
		for _, bill := range at.book.Conflicted(done.step, *done.conflict) {
			w.refund(bill)
		}
	case done.step.Kind == billing.StepRead:
		if w.mutation == noReread {
			done.contained = nil
		}
		at.book.Read(done.step, done.head, done.contained)
	default:
		at.book.Written(done.step)
	}
}

func (n *node) resume() {
	if len(n.callbacks) > 0 {
		first := n.callbacks[0]
		n.callbacks = n.callbacks[1:]
		first()
	}
}

// billed reads all segments and returns how often each charge was billed.
func (w *world) billed() (map[core.Tokens]int, error) {
	choose := w.platform.ChooseFault
	w.platform.ChooseFault = nil
	defer func() { w.platform.ChooseFault = choose }()
	billed := make(map[core.Tokens]int)
	for _, owner := range w.nodes {
		found := w.platform.Store.Get(rows.SegmentKey(owner.ref))
		if len(found) == 0 {
			continue
		}
		head, err := rows.DecodeHead(found[0].Value)
		if err != nil {
			return nil, err
		}
		mark, count, tokens := head.Mark, uint64(0), core.Tokens(0)
		for number := head.Number; number > 0; number-- {
			content, _, _ := w.objects().Get(context.Background(), rows.SegmentObject(owner.ref, number, mark))
			segment, err := rows.DecodeSegment(content)
			if err != nil {
				return nil, err
			}
			for i := range segment.Bills {
				billed[segment.Bills[i].Cost]++
				count++
				tokens += segment.Bills[i].Cost
			}
			mark = segment.Previous
		}
		if count != head.Count || tokens != head.Tokens {
			return nil, fmt.Errorf("journal %s has %d bills of %d tokens, its head says %d of %d", owner.ref, count, tokens, head.Count, head.Tokens)
		}
	}
	return billed, nil
}

// checkNoneTwice is the check "no request is billed twice in any case".
func (w *world) checkNoneTwice() error {
	billed, err := w.billed()
	if err != nil {
		return err
	}
	perRequest := make(map[core.RequestID]int)
	for cost, times := range billed {
		request := w.charges[cost-1].bill.Request
		if perRequest[request] += times; perRequest[request] > 1 {
			return fmt.Errorf("request %s is billed %d times", request, perRequest[request])
		}
	}
	return nil
}

// checkExactlyOnce is the check "each finished request is billed exactly once
// when at most one host of the pair died"; the naive list of charges is the
// oracle. A charge of a host that lives is billed or returned, never both.
func (w *world) checkExactlyOnce() error {
	billed, err := w.billed()
	if err != nil {
		return err
	}
	perRequest := make(map[core.RequestID]int)
	for cost, times := range billed {
		perRequest[w.charges[cost-1].bill.Request] += times
	}
	for _, noted := range w.charges {
		cost := noted.bill.Cost
		survives := !noted.owner.dead || noted.keeper != nil && !noted.keeper.dead
		if survives && perRequest[noted.bill.Request] != 1 {
			return fmt.Errorf("charge %d of %s is billed %d times", cost, noted.owner.ref, perRequest[noted.bill.Request])
		}
		if paid := core.Tokens(billed[cost]) * cost; !noted.owner.dead && paid+noted.refund != cost {
			return fmt.Errorf("charge of %d tokens at %s: %d billed and %d returned", cost, noted.owner.ref, paid, noted.refund)
		}
	}
	return nil
}

// settle ends all faults and lets every host finish its work.
func (w *world) settle() error {
	w.platform.ChooseFault = nil
	for w.platform.DelayedWrites() > 0 {
		w.platform.ApplyDelayed(0)
	}
	for round := range 400 {
		w.now = w.now.Add(2 * time.Second)
		idle := true
		for _, at := range w.alive() {
			for _, other := range w.nodes {
				at.suspects[other.ref] = other.dead
			}
			at.book.Lost(at.gone(w), w.now)
			w.begin(at, true)
			w.try(at)
			sent := w.replicate(at, true, true, false)
			for len(at.callbacks) > 0 {
				at.resume()
			}
			told := w.acknowledge(at, true, false)
			idle = idle && !sent && !told && at.book.Pending() == 0 && at.book.Kept() == 0
		}
		if idle && round > 3 {
			return nil
		}
	}
	return fmt.Errorf("the hosts don't come to rest")
}
