// Package balancer is the task that knows the upstreams and their load and
// chooses one for each attempt, as the packages decide/upstreams,
// decide/routing and decide/retry decide.
package balancer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
	"github.com/peridotreel/peridotreel/internal/filter/classify"
	"github.com/peridotreel/peridotreel/internal/filter/route"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// inboxCapacity holds about a second of messages at three times the
	// planned peak (426 requests/s with five messages each).
	inboxCapacity = 2048
	// listInterval is the mean time between readings of the platform's list;
	// P6 allows 2 s until a leaving upstream gets no more work.
	listInterval = time.Second
	// listTimeout bounds one reading. It is longer than the interval, as a
	// slow platform should still be heard.
	listTimeout = 3 * time.Second
	// evaluateInterval is how often upstreams are compared and the capacity
	// is recomputed, well below a slow spell of some seconds.
	evaluateInterval = 250 * time.Millisecond
)

// Reporter asks an upstream for its load.
type Reporter interface {
	// Load returns the upstream's report. Errors mean that it gave none.
	Load(ctx context.Context, target core.Target) (upstreams.Report, error)
}

// CapacitySink is told how many requests each pool should hold and how many
// hosts share the upstreams. It must not block; false means that it did not
// take the message, and a newer one will follow. It may keep the slice.
type CapacitySink interface {
	SetCapacities(capacities []upstreams.Capacity, hosts int) bool
}

// Config is what the task needs.
type Config struct {
	Directory platform.Directory
	// Reporter may be nil; the view then rests on this host's own attempts.
	Reporter Reporter
	// Capacities may be nil.
	Capacities CapacitySink
	Self       core.HostID
	Zone       core.ZoneName
	// Now returns the time; nil stands for time.Now.
	Now func() time.Time
	// Seed of the random choices and jitter.
	Seed uint64
	// Log may be nil.
	Log *zap.Logger
	// Meter may be nil.
	Meter metric.Meter
}

// message is handled by the task's goroutine.
type message interface {
	handle(t *Task, now time.Time)
}

// Task owns the view of upstreams. Its fields are used by its own goroutine,
// apart from the inbox and the published snapshot of models.
type Task struct {
	config Config
	inbox  *task.Inbox[message]
	// done is closed when Run returns, which releases waiting picks.
	done    chan struct{}
	models  atomic.Pointer[modelSet]
	loaded  atomic.Bool
	view    *upstreams.View
	budgets map[core.ModelName]*budgets
	random  *rand.Rand
	metrics metrics
	polls   polls

	listing    bool
	listFailed bool
	listed     bool
	hosts      int
	nextList   time.Time
	nextCheck  time.Time
}

// modelSet is an immutable set of served models with what is usual for them.
type modelSet map[core.ModelName]upstreams.Usual

var (
	_ route.Balancer  = (*Task)(nil)
	_ classify.Models = (*Task)(nil)
)

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
	t := &Task{
		config:  config,
		inbox:   task.NewInbox[message](inboxCapacity),
		done:    make(chan struct{}),
		view:    upstreams.NewView(config.Self, config.Zone),
		budgets: make(map[core.ModelName]*budgets),
		random:  rand.New(rand.NewPCG(config.Seed, 0)),
		metrics: newMetrics(config.Meter, config.Log),
		polls:   newPolls(),
		hosts:   1,
	}
	t.models.Store(&modelSet{})
	return t
}

// Run handles messages until ctx ends.
func (t *Task) Run(ctx context.Context) {
	defer close(t.done)
	defer t.inbox.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case m := <-t.inbox.Messages():
			m.handle(t, t.config.Now())
		case <-timer.C:
			now := t.config.Now()
			t.startDue(ctx, now)
			timer.Reset(max(0, t.nextDue().Sub(now)))
		case <-ctx.Done():
			return
		}
	}
}

func (t *Task) nextDue() time.Time {
	due := t.nextCheck
	if t.nextList.Before(due) {
		due = t.nextList
	}
	if t.config.Reporter != nil && t.polls.next.Before(due) {
		due = t.polls.next
	}
	return due
}

// startDue does what is due. Calls to others run in workers.
func (t *Task) startDue(ctx context.Context, now time.Time) {
	if !now.Before(t.nextList) {
		t.nextList = now.Add(t.jitter(listInterval))
		t.startList(ctx)
	}
	if !now.Before(t.nextCheck) {
		t.nextCheck = now.Add(evaluateInterval)
		t.view.Evaluate(now)
		t.publishModels()
		t.publishCapacities(now)
	}
	if t.config.Reporter != nil && !now.Before(t.polls.next) {
		t.startPoll(ctx, now)
	}
}

// jitter returns a delay between 75% and 125% of the mean, so that hosts
// started together spread their calls.
func (t *Task) jitter(mean time.Duration) time.Duration {
	return mean*3/4 + time.Duration(t.random.Int64N(int64(mean/2)))
}

func (t *Task) publishCapacities(now time.Time) {
	if t.config.Capacities == nil || !t.listed {
		return
	}
	t.config.Capacities.SetCapacities(t.view.Capacities(now, nil), t.hosts)
}

// Loaded reports whether the platform's list has shown an upstream.
func (t *Task) Loaded() bool {
	return t.loaded.Load()
}

// Serves reports whether an upstream for the model is known.
func (t *Task) Serves(model core.ModelName) bool {
	_, found := (*t.models.Load())[model]
	return found
}

// Models returns the served models in no particular order.
func (t *Task) Models() []core.ModelName {
	set := *t.models.Load()
	list := make([]core.ModelName, 0, len(set))
	for model := range set {
		list = append(list, model)
	}
	return list
}

type statusMessage struct {
	reply chan<- []upstreams.Status
}

func (m statusMessage) handle(t *Task, now time.Time) {
	m.reply <- t.view.Status(now)
}

// Status returns the upstreams in use for operators.
func (t *Task) Status(ctx context.Context) ([]upstreams.Status, error) {
	return task.Ask(ctx, t.inbox, func(reply chan<- []upstreams.Status) message { return statusMessage{reply: reply} })
}

type leavingMessage struct {
	id          core.UpstreamID
	incarnation core.Incarnation
}

func (m leavingMessage) handle(t *Task, now time.Time) {
	t.view.Leave(now, m.id, m.incarnation)
}

// Leaving tells that an upstream is leaving, as a peer learned. It reports
// false if the inbox is full.
func (t *Task) Leaving(id core.UpstreamID, incarnation core.Incarnation) bool {
	return t.inbox.TrySend(leavingMessage{id: id, incarnation: incarnation})
}
