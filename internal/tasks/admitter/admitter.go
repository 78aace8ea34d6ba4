// Package admitter is the task that queues work fairly between teams and
// grants slots, as package decide/admission decides.
package admitter

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/admission"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/filter/admit"
	"github.com/peridotreel/peridotreel/internal/fleet"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// inboxCapacity is about a second of requests at three times the planned
	// peak (426/s, two messages each). A longer inbox would only hide that
	// the task doesn't keep up.
	inboxCapacity = 1024
	// inboxRetry is the delay told to callers when the inbox is full.
	inboxRetry = time.Second
)

// Config is what the task needs.
type Config struct {
	// Peers and Caller are for dividing limits over the fleet. Without them
	// each host may use an even part.
	Peers  core.PeerSource
	Caller fleet.Caller
	// Now returns the time; nil stands for time.Now.
	Now func() time.Time
	// Log may be nil.
	Log *zap.Logger
	// Meter may be nil.
	Meter metric.Meter
}

// message is handled by the task's goroutine.
type message interface {
	handle(t *Task, now time.Time)
}

// Task owns the queues and slots. Its fields are used by its own goroutine,
// apart from the inbox.
type Task struct {
	inbox *task.Inbox[message]
	// done is closed when Run returns, which releases waiting requests.
	done    chan struct{}
	now     func() time.Time
	log     *zap.Logger
	metrics metrics
	machine *admission.Machine
	waiters map[admission.Ticket]*waiter
	hosts   int
	allot   allotter
}

var _ admit.Admitter = (*Task)(nil)

// New returns a task that has not started.
func New(config Config) *Task {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	if config.Meter == nil {
		config.Meter = noop.NewMeterProvider().Meter("")
	}
	return &Task{
		inbox:   task.NewInbox[message](inboxCapacity),
		done:    make(chan struct{}),
		now:     config.Now,
		log:     config.Log,
		metrics: newMetrics(config.Meter, config.Log),
		machine: admission.NewMachine(),
		waiters: make(map[admission.Ticket]*waiter),
		allot:   newAllotter(config.Peers, config.Caller),
	}
}

// Run handles messages until ctx ends.
func (t *Task) Run(ctx context.Context) {
	defer close(t.done)
	defer t.inbox.Close()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	exchange := time.NewTicker(exchangeInterval)
	defer exchange.Stop()
	for {
		now := t.now()
		if at, ok := t.machine.NextWake(); ok {
			timer.Reset(at.Sub(now))
		} else {
			timer.Stop()
		}
		select {
		case m := <-t.inbox.Messages():
			now = t.now()
			m.handle(t, now)
		case <-timer.C:
			t.machine.Wake(t.now())
		case <-exchange.C:
			t.exchange(ctx, t.now())
		case <-ctx.Done():
			return
		}
		t.deliver()
	}
}

// deliver answers the requests whose fate was decided.
func (t *Task) deliver() {
	for _, ticket := range t.machine.Granted() {
		if w, found := t.waiters[ticket]; found {
			delete(t.waiters, ticket)
			w.reply <- outcome{slot: admit.Slot{Serial: uint64(ticket)}}
		}
	}
	for _, ticket := range t.machine.Expired() {
		if w, found := t.waiters[ticket]; found {
			delete(t.waiters, ticket)
			w.reply <- outcome{err: errExpired}
		}
	}
}

var errExpired = fault.Refuse(fault.DeadlineExceeded,
	"the deadline passed while the request waited for a slot; retry later or set a longer deadline").After(time.Second)

type outcome struct {
	slot admit.Slot
	err  *fault.Error
}

// waiter is a request in Enter. The ticket is used by the task only.
type waiter struct {
	reply  chan outcome
	ticket admission.Ticket
}

type enterMessage struct {
	waiter  *waiter
	request admission.Request
}

func (m enterMessage) handle(t *Task, now time.Time) {
	ticket, refusal := t.machine.Enter(now, m.request)
	if refusal != nil {
		m.waiter.reply <- outcome{err: refusal.Fault()}
		return
	}
	m.waiter.ticket = ticket
	t.waiters[ticket] = m.waiter
}

type abandonMessage struct {
	waiter *waiter
}

// handle removes a waiting request. One that was granted in the same instant
// gives its slot back, since its sender no longer reads the reply.
func (m abandonMessage) handle(t *Task, now time.Time) {
	if m.waiter.ticket == 0 {
		return
	}
	delete(t.waiters, m.waiter.ticket)
	t.machine.Abandon(now, m.waiter.ticket)
}

type leaveMessage struct {
	ticket admission.Ticket
	used   core.Tokens
}

func (m leaveMessage) handle(t *Task, now time.Time) {
	t.machine.Leave(now, m.ticket, m.used)
}

// Enter waits for a slot. It refuses work that can't meet its deadline, and
// any work while the inbox is full. When ctx ends, the request leaves the
// queue. ctx should end at the work's deadline at the latest.
func (t *Task) Enter(ctx context.Context, work *core.Work) (admit.Slot, error) {
	w := &waiter{reply: make(chan outcome, 1)}
	if !t.inbox.TrySend(enterMessage{waiter: w, request: admission.RequestOf(work)}) {
		return admit.Slot{}, t.refused(ctx, work, fault.Refuse(fault.Overloaded,
			"this host has more requests than it can queue; retry later").After(inboxRetry))
	}
	select {
	case result := <-w.reply:
		if result.err != nil {
			return admit.Slot{}, t.refused(ctx, work, result.err)
		}
		return result.slot, nil
	case <-t.done:
		return admit.Slot{}, fault.Refuse(fault.HostDraining, "this host is stopping; retry at another host").After(inboxRetry)
	case <-ctx.Done():
		// The task ends before this only if the host is stopping.
		_ = t.inbox.Send(context.WithoutCancel(ctx), abandonMessage{waiter: w})
		return admit.Slot{}, t.refused(ctx, work, abandoned(ctx))
	}
}

func abandoned(ctx context.Context) *fault.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errExpired
	}
	return fault.Refuse(fault.CallerGone, "the caller went away while the request waited for a slot")
}

func (t *Task) refused(ctx context.Context, work *core.Work, err *fault.Error) error {
	t.metrics.refusal(ctx, work, err)
	return err
}

// Leave returns a slot with the tokens that the work really took.
func (t *Task) Leave(slot admit.Slot, used core.Tokens) {
	// Blocks while the inbox is full: a lost slot would never come back.
	_ = t.inbox.Send(context.Background(), leaveMessage{ticket: admission.Ticket(slot.Serial), used: used})
}

type capacityMessage struct {
	capacities []upstreams.Capacity
	hosts      int
}

func (m capacityMessage) handle(t *Task, now time.Time) {
	if m.hosts != t.hosts {
		t.log.Info("the number of hosts that share the teams' limits changed", zap.Int("hosts", m.hosts))
		t.hosts = m.hosts
	}
	t.machine.SetHosts(now, m.hosts)
	for _, c := range m.capacities {
		if c.SharingHosts > 0 {
			t.machine.SetFree(now, c.Pool, c.FreeSlots, c.SharingHosts)
		}
		t.machine.SetCapacity(now, c.Pool, c.Slots)
	}
}

// SetCapacities tells how many requests each pool should hold and how many
// hosts share the teams' limits. It reports false if the inbox is full; the
// sender repeats it with newer values anyway.
func (t *Task) SetCapacities(capacities []upstreams.Capacity, hosts int) bool {
	return t.inbox.TrySend(capacityMessage{capacities: capacities, hosts: hosts})
}

type statusMessage struct {
	reply chan<- admission.Status
}

func (m statusMessage) handle(t *Task, _ time.Time) {
	m.reply <- t.machine.Status()
}

// Status returns the queues and slots for operators.
func (t *Task) Status(ctx context.Context) (admission.Status, error) {
	return task.Ask(ctx, t.inbox, func(reply chan<- admission.Status) message { return statusMessage{reply: reply} })
}
