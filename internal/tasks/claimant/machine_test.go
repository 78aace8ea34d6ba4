package claimant

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/claims"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
	standin "github.com/peridotreel/peridotreel/internal/standin/platform"
)

// mutation switches one mechanism off; the checks must then fail.
type mutation string

const (
	intact           mutation = ""
	noCondition      mutation = "no condition on the claim's row"
	expiringClaim    mutation = "a claim of a host that is gone expires"
	retryAfterByte   mutation = "a retry after a byte was written"
	runsUnclaimed    mutation = "a call runs although its claim is unknown"
	unreachableIsNot mutation = "not_run is said when the platform gives no answer"
	noRelease        mutation = "a withdrawn claim is not given back"
)

type identity struct {
	key  claims.Key
	body byte
}

// caller is one request. While won, its host may send it at any time.
type caller struct {
	call identity
	won  bool
	sent bool
}

// node is one process of a host. Its callbacks are results that it has not
// handled yet, so a paused host acts on old decisions.
type node struct {
	ref       core.HostRef
	register  *claims.Register
	dead      bool
	suspects  map[core.HostRef]bool
	batch     *claims.Batch
	callbacks []func()
	// callers is indexed by waiter; nil entries have been answered.
	callers []*caller
}

// world holds the hosts and the oracle: how often each call ran, and the
// answer of its run.
type world struct {
	mutation mutation
	platform *standin.Scripted
	nodes    []*node
	now      time.Time
	ran      map[identity]int
	answers  map[identity]string
	err      error
}

func newWorld(mutated mutation) *world {
	w := &world{
		mutation: mutated, platform: standin.NewScripted(), now: time.Unix(1_800_000_000, 0),
		ran: make(map[identity]int), answers: make(map[identity]string),
	}
	for _, host := range []core.HostID{"a", "b", "c"} {
		w.start(host, 1)
	}
	if mutated == noCondition {
		w.platform.Rewrite = func(commit platform.Commit) platform.Commit {
			commit.Conditions = nil
			return commit
		}
	}
	return w
}

func (w *world) start(host core.HostID, incarnation core.Incarnation) {
	ref := core.HostRef{Host: host, Incarnation: incarnation}
	w.nodes = append(w.nodes, &node{
		ref: ref, register: claims.NewRegister(ref), suspects: make(map[core.HostRef]bool), callers: make([]*caller, 1),
	})
}

func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
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

func (n *node) gone(ref core.HostRef) bool {
	return n.suspects[ref] || ref.Host == n.ref.Host && ref != n.ref
}

func (w *world) call(at *node, call identity) {
	at.callers = append(at.callers, &caller{call: call})
	at.register.Claim(claims.WaiterID(len(at.callers)-1), call.key, [32]byte{call.body}, w.now)
	w.deliver(at)
}

// deliver checks what callers are told against the oracle.
func (w *world) deliver(at *node) {
	for _, reply := range at.register.TakeReplies() {
		told := at.callers[reply.Waiter]
		if reply.Kind == claims.Won {
			told.won = true
			continue
		}
		at.callers[reply.Waiter] = nil
		answer, err := (&Task{config: Config{Objects: w.quiet().Objects()}}).resolve(context.Background(), reply)
		if err == nil && reply.Kind != claims.Recorded {
			continue
		}
		if err == nil {
			if body := string(answer.Service.Body); body != w.answers[told.call] {
				w.fail("%v: the answer returned is %q, the one recorded is %q", told.call, body, w.answers[told.call])
			}
			continue
		}
		state := fault.From(err).Run
		if w.mutation == unreachableIsNot && reply.Kind == claims.Unreachable {
			state = fault.NotRun
		}
		if state == fault.NotRun && w.ran[told.call] > 0 {
			w.fail("%v: not_run is said of a call that ran: %v", told.call, err)
		}
		if w.mutation == runsUnclaimed && reply.Kind == claims.Unreachable {
			w.run(told.call)
		}
	}
}

// quiet returns the platform without faults.
func (w *world) quiet() *standin.Scripted {
	still := *w.platform
	still.Choose = nil
	return &still
}

// run notes that a call ran at an upstream.
func (w *world) run(call identity) {
	if w.ran[call]++; w.ran[call] > 1 {
		w.fail("%v ran %d times", call, w.ran[call])
	}
}

// send lets the host of a won call send it. The dial may fail, and the answer
// may be lost after the call ran.
func (w *world) send(at *node, waiter int, dialed, answered bool) {
	sender := at.callers[waiter]
	if sender == nil || !sender.won || sender.sent {
		return
	}
	sender.sent = true
	outcome := claims.Record{State: claims.NotRun}
	if dialed {
		w.run(sender.call)
		outcome = claims.Record{State: claims.Claimed, Abandoned: true}
	}
	if dialed && !answered && w.mutation == retryAfterByte {
		w.run(sender.call)
	}
	if dialed && answered {
		body := fmt.Sprintf("%s/%d/%d", at.ref, waiter, sender.call.body)
		if sender.call.body == 1 {
			body += strings.Repeat("x", maxInline)
		}
		w.answers[sender.call] = body
		outcome = claims.Record{State: claims.Done, Answer: service(body)}
		if len(body) > maxInline {
			outcome.Object = rows.AnswerObjectName(sender.call.key, at.ref, uint64(waiter))
			_ = w.quiet().Objects().Put(context.Background(), outcome.Object, rows.EncodeAnswer(outcome.Answer))
		}
	}
	// The host may be paused or die between the answer and its record.
	at.callbacks = append(at.callbacks, func() {
		at.callers[waiter] = nil
		at.register.Finish(claims.WaiterID(waiter), sender.call.key, outcome, 0, w.now)
	})
}

// withdraw ends the wait of a caller that has not been sent.
func (w *world) withdraw(at *node, waiter int) {
	told := at.callers[waiter]
	if told == nil || told.sent {
		return
	}
	if told.won && w.mutation == noRelease {
		at.callers[waiter] = nil
		return
	}
	at.register.Withdraw(claims.WaiterID(waiter), at.gone, w.now)
	w.deliver(at)
}

func (w *world) try(at *node) {
	if at.batch == nil {
		at.batch = at.register.NextBatch(w.now)
	}
	if at.batch == nil {
		return
	}
	batch := at.batch
	host := &Task{config: Config{Self: at.ref, Table: w.platform, Objects: w.platform.Objects()}}
	failed, err := host.try(context.Background(), batch)
	if err != nil {
		return
	}
	at.batch = nil
	at.callbacks = append(at.callbacks, func() {
		if failed == nil {
			at.register.Committed(batch, w.now)
		} else {
			at.register.Conflicted(batch, w.expire(at, failed), at.gone, w.now)
		}
	})
}

func (w *world) poll(at *node) {
	keys := at.register.NextPoll(w.now)
	if keys == nil {
		return
	}
	found, err := readRows(context.Background(), w.platform, keys)
	at.callbacks = append(at.callbacks, func() {
		if err != nil {
			at.register.PollFailed()
		} else {
			at.register.Polled(keys, w.expire(at, found), at.gone, w.now)
		}
	})
}

// expire applies the mutation by which claims of hosts that are gone expire.
func (w *world) expire(at *node, found map[claims.Key]claims.Row) map[claims.Key]claims.Row {
	for key, row := range found {
		if w.mutation == expiringClaim && row.Record.State == claims.Claimed && at.gone(row.Record.Holder) {
			row.Record.State, row.Record.Abandoned = claims.NotRun, false
			found[key] = row
		}
	}
	return found
}

func (w *world) resume(at *node) {
	if len(at.callbacks) > 0 {
		first := at.callbacks[0]
		at.callbacks = at.callbacks[1:]
		first()
		w.deliver(at)
	}
}

// settle ends all faults, sends what may be sent, and checks that no host
// that lives holds a claim of a call that it does not run.
func (w *world) settle() {
	w.platform.Choose = nil
	for w.platform.Delayed() > 0 {
		w.platform.Release(0)
	}
	for round := range 60 {
		w.now = w.now.Add(time.Second)
		for _, at := range w.alive() {
			for _, other := range w.nodes {
				at.suspects[other.ref] = other.dead
			}
			for waiter := range at.callers {
				w.send(at, waiter, true, true)
				if round > 40 {
					w.withdraw(at, waiter)
				}
			}
			w.try(at)
			w.poll(at)
			for len(at.callbacks) > 0 {
				w.resume(at)
			}
		}
	}
	for _, at := range w.alive() {
		if at.register.Calls() > 0 || !at.register.Idle() {
			w.fail("host %s does not come to rest", at.ref)
		}
		for _, row := range w.platform.Store.List(rows.ClaimPrefix) {
			record, err := rows.DecodeClaim(row.Value)
			if err != nil || record.State == claims.Claimed && !record.Abandoned && record.Holder == at.ref {
				w.fail("%s is left claimed by %s: %v", row.Key, at.ref, err)
			}
		}
	}
}
