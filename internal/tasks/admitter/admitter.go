// Package admitter is the task that queues requests and grants slots as package
// decide/admission decides, and that exchanges demand with other hosts to divide
// the limits of teams over the fleet.
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
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// inboxCapacity holds about a second of requests at three times the planned
	// peak (426/s, two messages each). A longer inbox would only hide that the
	// task can't keep up.
	inboxCapacity = 1024
	// inboxFullRetryAfter is the Retry-After of requests that are refused because
	// the inbox is full or the task has stopped.
	inboxFullRetryAfter = time.Second
)

// Config holds the dependencies of a Task.
type Config struct {
	// Peers and Caller serve to divide the limits of teams over the fleet. Without
	// them each host may use an even fraction.
	Peers  core.PeerSource
	Caller peerrpc.Caller
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Log may be nil to discard log lines.
	Log *zap.Logger
	// Meter may be nil to record no metrics.
	Meter metric.Meter
}

// message is a message to the task, handled in its goroutine.
type message interface {
	handle(t *Task, now time.Time)
}

// Task owns the queues and slots. Its mutable state is used by its own goroutine
// only; other goroutines send messages to the inbox.
type Task struct {
	inbox *task.Inbox[message]
	// done is closed when Run returns, which unblocks callers of Enter.
	done       chan struct{}
	now        func() time.Time
	log        *zap.Logger
	metrics    metrics
	controller *admission.Controller
	waiters    map[admission.Ticket]*waiter
	hosts      int
	allot      allotter
}

var _ admit.Admitter = (*Task)(nil)

// New returns a task; call Run to start it.
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
		inbox:      task.NewInbox[message](inboxCapacity),
		done:       make(chan struct{}),
		now:        config.Now,
		log:        config.Log,
		metrics:    newMetrics(config.Meter, config.Log),
		controller: admission.NewController(),
		waiters:    make(map[admission.Ticket]*waiter),
		allot:      newAllotter(config.Peers, config.Caller),
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
		if at, ok := t.controller.NextWake(); ok {
			timer.Reset(at.Sub(now))
		} else {
			timer.Stop()
		}
		select {
		case m := <-t.inbox.Messages():
			now = t.now()
			m.handle(t, now)
		case <-timer.C:
			t.controller.Wake(t.now())
		case <-exchange.C:
			t.exchangeDemand(ctx, t.now())
		case <-ctx.Done():
			return
		}
		t.sendResults()
	}
}

// sendResults replies to the requests that were granted a slot or expired.
func (t *Task) sendResults() {
	for _, ticket := range t.controller.Granted() {
		if w, found := t.waiters[ticket]; found {
			delete(t.waiters, ticket)
			w.reply <- enterResult{slot: admit.Slot{Serial: uint64(ticket)}}
		}
	}
	for _, ticket := range t.controller.Expired() {
		if w, found := t.waiters[ticket]; found {
			delete(t.waiters, ticket)
			w.reply <- enterResult{err: errExpired}
		}
	}
}

var errExpired = fault.Refuse(fault.DeadlineExceeded,
	"the deadline passed while the request waited for a slot; retry later or set a longer deadline").WithRetryAfter(time.Second)

type enterResult struct {
	slot admit.Slot
	err  *fault.Error
}

// waiter is a blocked call of Enter. Only the task's goroutine uses ticket.
type waiter struct {
	reply  chan enterResult
	ticket admission.Ticket
}

type enterMessage struct {
	waiter  *waiter
	request admission.Request
}

func (m enterMessage) handle(t *Task, now time.Time) {
	ticket, refusal := t.controller.Enter(now, m.request)
	if refusal != nil {
		m.waiter.reply <- enterResult{err: refusal.Fault()}
		return
	}
	m.waiter.ticket = ticket
	t.waiters[ticket] = m.waiter
}

type abandonMessage struct {
	waiter *waiter
}

// handle removes a waiting request. If the request was granted a slot in the
// meantime, the slot is freed, as the sender no longer reads the reply.
func (m abandonMessage) handle(t *Task, now time.Time) {
	if m.waiter.ticket == 0 {
		return
	}
	delete(t.waiters, m.waiter.ticket)
	t.controller.Abandon(now, m.waiter.ticket)
}

type leaveMessage struct {
	ticket admission.Ticket
	used   core.Tokens
}

func (m leaveMessage) handle(t *Task, now time.Time) {
	t.controller.Leave(now, m.ticket, m.used)
}

// Enter waits for a slot. It refuses work that can't meet its deadline, and any
// work while the inbox is full. When ctx ends, the request is removed from the
// queue. The deadline of ctx should not be later than that of the work.
func (t *Task) Enter(ctx context.Context, work *core.Work) (admit.Slot, error) {
	w := &waiter{reply: make(chan enterResult, 1)}
	if !t.inbox.TrySend(enterMessage{waiter: w, request: admission.RequestOf(work)}) {
		return admit.Slot{}, t.recordRefusal(ctx, work, fault.Refuse(fault.Overloaded,
			"this host has more requests than it can queue; retry later").WithRetryAfter(inboxFullRetryAfter))
	}
	select {
	case result := <-w.reply:
		if result.err != nil {
			return admit.Slot{}, t.recordRefusal(ctx, work, result.err)
		}
		return result.slot, nil
	case <-t.done:
		return admit.Slot{}, fault.Refuse(fault.HostDraining, "this host is stopping; retry at another host").WithRetryAfter(inboxFullRetryAfter)
	case <-ctx.Done():
		// Send fails only if the task has stopped, because the host is stopping.
		_ = t.inbox.Send(context.WithoutCancel(ctx), abandonMessage{waiter: w})
		return admit.Slot{}, t.recordRefusal(ctx, work, contextFault(ctx))
	}
}

func contextFault(ctx context.Context) *fault.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return errExpired
	}
	return fault.Refuse(fault.CallerGone, "the caller went away while the request waited for a slot")
}

func (t *Task) recordRefusal(ctx context.Context, work *core.Work, err *fault.Error) error {
	t.metrics.recordRefusal(ctx, work, err)
	return err
}

// Leave frees a slot and reports the tokens that the work used.
func (t *Task) Leave(slot admit.Slot, used core.Tokens) {
	// Block while the inbox is full: a dropped message would leak the slot.
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
	t.controller.SetHosts(now, m.hosts)
	for _, c := range m.capacities {
		if c.SharingHosts > 0 {
			t.controller.SetFreeSlots(now, c.Pool, c.FreeSlots, c.SharingHosts)
		}
		t.controller.SetCapacity(now, c.Pool, c.Slots)
	}
}

// SetCapacities sets the capacity of pools and the number of hosts that share the
// limits of teams. It returns false if the inbox is full; the sender can ignore
// this, as it calls SetCapacities again with newer values.
func (t *Task) SetCapacities(capacities []upstreams.Capacity, hosts int) bool {
	return t.inbox.TrySend(capacityMessage{capacities: capacities, hosts: hosts})
}

type statusMessage struct {
	reply chan<- admission.Status
}

func (m statusMessage) handle(t *Task, _ time.Time) {
	m.reply <- t.controller.Status()
}

// Status returns the state of the queues and slots as shown to operators.
func (t *Task) Status(ctx context.Context) (admission.Status, error) {
	return task.Ask(ctx, t.inbox, func(reply chan<- admission.Status) message { return statusMessage{reply: reply} })
}
