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

// mutation disables one mechanism, so that the checks must fail.
type mutation string

const (
	noMutation          mutation = ""
	noCondition         mutation = "no condition on the claim's row"
	expiringClaim       mutation = "a claim of a dead host expires"
	retryAfterSend      mutation = "a call is retried after a byte was written"
	runWithoutClaim     mutation = "a call runs although its claim is not known to be in the table"
	notRunIfUnreachable mutation = "not_run is reported when the platform does not respond"
	noRelease           mutation = "a withdrawn claim is not released"
)

type callIdentity struct {
	key  claims.Key
	body byte
}

// request is a request of a caller. Once its claim is acquired, its host may
// send it at any time.
type request struct {
	call     callIdentity
	acquired bool
	sent     bool
}

// process is one process of a host.
type process struct {
	ref      core.HostRef
	register *claims.Register
	dead     bool
	suspects map[core.HostRef]bool
	batch    *claims.Batch
	// unhandled holds results that have not been handled yet, so that a paused
	// host acts on outdated state.
	unhandled []func()
	// requests is indexed by waiter; nil entries have been answered.
	requests []*request
}

// simulation holds the processes and the oracle, which is how often each call
// ran and the answer of its run.
type simulation struct {
	mutation  mutation
	platform  *standin.Scripted
	processes []*process
	now       time.Time
	ran       map[callIdentity]int
	answers   map[callIdentity]string
	err       error
}

func newSimulation(mutated mutation) *simulation {
	s := &simulation{
		mutation: mutated, platform: standin.NewScripted(), now: time.Unix(1_800_000_000, 0),
		ran: make(map[callIdentity]int), answers: make(map[callIdentity]string),
	}
	for _, host := range []core.HostID{"a", "b", "c"} {
		s.startProcess(host, 1)
	}
	if mutated == noCondition {
		s.platform.Rewrite = func(commit platform.Commit) platform.Commit {
			commit.Conditions = nil
			return commit
		}
	}
	return s
}

func (s *simulation) startProcess(host core.HostID, incarnation core.Incarnation) {
	ref := core.HostRef{Host: host, Incarnation: incarnation}
	s.processes = append(s.processes, &process{
		ref: ref, register: claims.NewRegister(ref), suspects: make(map[core.HostRef]bool), requests: make([]*request, 1),
	})
}

func (s *simulation) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

func (s *simulation) alive() []*process {
	var alive []*process
	for _, candidate := range s.processes {
		if !candidate.dead {
			alive = append(alive, candidate)
		}
	}
	return alive
}

func (p *process) knownDead(ref core.HostRef) bool {
	return p.suspects[ref] || ref.Host == p.ref.Host && ref != p.ref
}

func (s *simulation) call(at *process, call callIdentity) {
	at.requests = append(at.requests, &request{call: call})
	at.register.Claim(claims.WaiterID(len(at.requests)-1), call.key, [32]byte{call.body}, s.now)
	s.checkReplies(at)
}

// checkReplies compares the replies of a process with the oracle.
func (s *simulation) checkReplies(at *process) {
	for _, reply := range at.register.TakeReplies() {
		pending := at.requests[reply.Waiter]
		if reply.Kind == claims.Acquired {
			pending.acquired = true
			continue
		}
		at.requests[reply.Waiter] = nil
		answer, err := (&Task{config: Config{Objects: s.withoutFaults().Objects()}}).resolveReply(context.Background(), reply)
		if err == nil && reply.Kind != claims.Recorded {
			continue
		}
		if err == nil {
			if body := string(answer.Service.Body); body != s.answers[pending.call] {
				s.fail("%v: returned answer %q, recorded answer %q", pending.call, body, s.answers[pending.call])
			}
			continue
		}
		state := fault.From(err).Run
		if s.mutation == notRunIfUnreachable && reply.Kind == claims.PlatformUnreachable {
			state = fault.NotRun
		}
		if state == fault.NotRun && s.ran[pending.call] > 0 {
			s.fail("%v: not_run reported for a call that ran: %v", pending.call, err)
		}
		if s.mutation == runWithoutClaim && reply.Kind == claims.PlatformUnreachable {
			s.recordRun(pending.call)
		}
	}
}

// withoutFaults returns a copy of the platform that injects no faults.
func (s *simulation) withoutFaults() *standin.Scripted {
	faultless := *s.platform
	faultless.ChooseFault = nil
	return &faultless
}

// recordRun records that a call ran at an upstream.
func (s *simulation) recordRun(call callIdentity) {
	if s.ran[call]++; s.ran[call] > 1 {
		s.fail("%v ran %d times", call, s.ran[call])
	}
}

// send sends a call whose claim is acquired. The dial may fail, and the answer
// may be lost after the call has run.
func (s *simulation) send(at *process, waiter int, dialed, answered bool) {
	pending := at.requests[waiter]
	if pending == nil || !pending.acquired || pending.sent {
		return
	}
	pending.sent = true
	outcome := claims.Record{State: claims.NotRun}
	if dialed {
		s.recordRun(pending.call)
		outcome = claims.Record{State: claims.Claimed, Abandoned: true}
	}
	if dialed && !answered && s.mutation == retryAfterSend {
		s.recordRun(pending.call)
	}
	if dialed && answered {
		body := fmt.Sprintf("%s/%d/%d", at.ref, waiter, pending.call.body)
		if pending.call.body == 1 {
			body += strings.Repeat("x", maxInlineBytes)
		}
		s.answers[pending.call] = body
		outcome = claims.Record{State: claims.Done, Answer: serviceAnswer(body)}
		if len(body) > maxInlineBytes {
			outcome.Object = rows.AnswerObjectName(pending.call.key, at.ref, uint64(waiter))
			_ = s.withoutFaults().Objects().Put(context.Background(), outcome.Object, rows.EncodeAnswer(outcome.Answer))
		}
	}
	// The host may be paused or die before it records the outcome.
	at.unhandled = append(at.unhandled, func() {
		at.requests[waiter] = nil
		at.register.Finish(claims.WaiterID(waiter), pending.call.key, outcome, 0, s.now)
	})
}

// withdraw ends the wait of a request that has not been sent.
func (s *simulation) withdraw(at *process, waiter int) {
	pending := at.requests[waiter]
	if pending == nil || pending.sent {
		return
	}
	if pending.acquired && s.mutation == noRelease {
		at.requests[waiter] = nil
		return
	}
	at.register.Withdraw(claims.WaiterID(waiter), at.knownDead, s.now)
	s.checkReplies(at)
}

func (s *simulation) commit(at *process) {
	if at.batch == nil {
		at.batch = at.register.NextBatch(s.now)
	}
	if at.batch == nil {
		return
	}
	batch := at.batch
	host := &Task{config: Config{Self: at.ref, Table: s.platform, Objects: s.platform.Objects()}}
	failed, err := host.commitOnce(context.Background(), batch)
	if err != nil {
		return
	}
	at.batch = nil
	at.unhandled = append(at.unhandled, func() {
		if failed == nil {
			at.register.Committed(batch, s.now)
		} else {
			at.register.Conflicted(batch, s.expireClaims(at, failed), at.knownDead, s.now)
		}
	})
}

func (s *simulation) poll(at *process) {
	keys := at.register.NextPoll(s.now)
	if keys == nil {
		return
	}
	found, err := readRows(context.Background(), s.platform, keys)
	at.unhandled = append(at.unhandled, func() {
		if err != nil {
			at.register.PollFailed()
		} else {
			at.register.Polled(keys, s.expireClaims(at, found), at.knownDead, s.now)
		}
	})
}

// expireClaims applies the mutation by which the claims of dead hosts expire.
func (s *simulation) expireClaims(at *process, found map[claims.Key]claims.Row) map[claims.Key]claims.Row {
	for key, row := range found {
		if s.mutation == expiringClaim && row.Record.State == claims.Claimed && at.knownDead(row.Record.Holder) {
			row.Record.State, row.Record.Abandoned = claims.NotRun, false
			found[key] = row
		}
	}
	return found
}

func (s *simulation) handleResult(at *process) {
	if len(at.unhandled) > 0 {
		first := at.unhandled[0]
		at.unhandled = at.unhandled[1:]
		first()
		s.checkReplies(at)
	}
}

// settleAndCheck ends all faults, sends or withdraws all requests, and checks
// that no live host holds a claim of a call that it does not run.
func (s *simulation) settleAndCheck() {
	s.platform.ChooseFault = nil
	for s.platform.DelayedWrites() > 0 {
		s.platform.ApplyDelayed(0)
	}
	for round := range 60 {
		s.now = s.now.Add(time.Second)
		for _, at := range s.alive() {
			for _, other := range s.processes {
				at.suspects[other.ref] = other.dead
			}
			for waiter := range at.requests {
				s.send(at, waiter, true, true)
				if round > 40 {
					s.withdraw(at, waiter)
				}
			}
			s.commit(at)
			s.poll(at)
			for len(at.unhandled) > 0 {
				s.handleResult(at)
			}
		}
	}
	for _, at := range s.alive() {
		if at.register.Calls() > 0 || !at.register.Idle() {
			s.fail("host %s still has calls or writes in its register", at.ref)
		}
		for _, row := range s.platform.Store.List(rows.ClaimPrefix) {
			record, err := rows.DecodeClaim(row.Value)
			if err != nil || record.State == claims.Claimed && !record.Abandoned && record.Holder == at.ref {
				s.fail("%s is still claimed by %s: %v", row.Key, at.ref, err)
			}
		}
	}
}
