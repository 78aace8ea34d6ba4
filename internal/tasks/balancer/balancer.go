// Package balancer is the task that keeps a host's view of the upstreams and
// picks one for each attempt. The decisions are those of the packages
// decide/upstreams, decide/routing and decide/retry.
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
	"github.com/peridotreel/peridotreel/internal/decide/reach"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
	"github.com/peridotreel/peridotreel/internal/filter/classify"
	"github.com/peridotreel/peridotreel/internal/filter/route"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// inboxCapacity holds the messages of about a second at three times the
	// planned peak (426 requests/s with five messages each).
	inboxCapacity = 2048
	// listInterval is the mean time between reads of the platform's list. An
	// upstream may get new work for 2 s at most after it has started to leave.
	listInterval = time.Second
	// listTimeout bounds one read. It is longer than the interval, so that the
	// list of a slow platform is still used.
	listTimeout = 3 * time.Second
	// evaluateInterval is how often upstreams are compared and capacities are
	// recomputed. It is well below the seconds that an upstream's slow period
	// lasts.
	evaluateInterval = 250 * time.Millisecond
)

// LoadClient asks an upstream for its load.
type LoadClient interface {
	// Load returns the upstream's load report, or an error if it gave none.
	Load(ctx context.Context, target core.Target) (upstreams.Report, error)
}

// CapacitySink receives how many requests each pool should hold and how many
// hosts share the upstreams.
type CapacitySink interface {
	// SetCapacities must not block. It returns false if it did not take the
	// message; a newer one follows. It may keep the slice.
	SetCapacities(capacities []upstreams.Capacity, hosts int) bool
}

// Config configures the task.
type Config struct {
	Directory platform.Directory
	// LoadClient may be nil; the view then relies on this host's own attempts.
	LoadClient LoadClient
	// Connect sets up a connection to an upstream and closes it. nil means that no upstream
	// is probed.
	Connect func(ctx context.Context, address string) error
	// LinksLost is called when this host has lost its links to the upstreams of a pool; open
	// connections may be silent. It may be nil, and must not call the task.
	LinksLost func()
	// Capacities may be nil.
	Capacities CapacitySink
	Self       core.HostID
	Zone       core.ZoneName
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// Seed seeds the random choices and the jitter.
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

// Task owns the view of the upstreams. Its fields belong to its own goroutine,
// except for the inbox and the published snapshot of models.
type Task struct {
	config Config
	inbox  *task.Inbox[message]
	// done is closed when Run returns, which releases waiting picks.
	done    chan struct{}
	models  atomic.Pointer[modelSet]
	loaded  atomic.Bool
	view    *upstreams.View
	budgets map[core.ModelName]*modelBudgets
	random  *rand.Rand
	metrics metrics
	polls   polls
	// reach has what this host knows of its own links; cutOff is a snapshot of it that
	// others read.
	reach  *reach.Table
	cutOff atomic.Pointer[cutOffSet]
	// probing counts the probes under way, for whose end probeWaiters wait.
	probing      int
	probeWaiters []chan<- struct{}

	listReading    bool
	listFailed     bool
	listed         bool
	hosts          int
	nextList       time.Time
	nextEvaluation time.Time
}

// modelSet is an immutable set of the served models with their statistics.
type modelSet map[core.ModelName]upstreams.ModelStats

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
		budgets: make(map[core.ModelName]*modelBudgets),
		random:  rand.New(rand.NewPCG(config.Seed, 0)),
		metrics: newMetrics(config.Meter, config.Log),
		polls:   newPolls(),
		reach:   reach.New(),
		hosts:   1,
	}
	t.models.Store(&modelSet{})
	t.cutOff.Store(&cutOffSet{})
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
			t.startDueWork(ctx, now)
			timer.Reset(max(0, t.nextDue().Sub(now)))
		case <-ctx.Done():
			return
		}
	}
}

func (t *Task) nextDue() time.Time {
	due := t.nextEvaluation
	if t.nextList.Before(due) {
		due = t.nextList
	}
	if t.config.LoadClient != nil && t.polls.next.Before(due) {
		due = t.polls.next
	}
	return due
}

// startDueWork does the work that is due. Calls to the platform and to
// upstreams run in goroutines of their own.
func (t *Task) startDueWork(ctx context.Context, now time.Time) {
	if !now.Before(t.nextList) {
		t.nextList = now.Add(t.jitter(listInterval))
		t.startListRead(ctx)
	}
	if !now.Before(t.nextEvaluation) {
		t.nextEvaluation = now.Add(evaluateInterval)
		t.view.Evaluate(now)
		t.publishModels()
		t.publishCapacities(now)
		t.probeCutOff(now)
	}
	if t.config.LoadClient != nil && !now.Before(t.polls.next) {
		t.startPoll(ctx, now)
	}
}

// jitter returns a delay between 75% and 125% of the mean, so that hosts
// started together spread their calls over time.
func (t *Task) jitter(mean time.Duration) time.Duration {
	return mean*3/4 + time.Duration(t.random.Int64N(int64(mean/2)))
}

func (t *Task) publishCapacities(now time.Time) {
	if t.config.Capacities == nil || !t.listed {
		return
	}
	t.config.Capacities.SetCapacities(t.view.Capacities(now, nil), t.hosts)
}

// Loaded reports whether the platform's list has contained an upstream.
func (t *Task) Loaded() bool {
	return t.loaded.Load()
}

// Serves reports whether a usable upstream serves the model.
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

// Status returns the upstreams of this host's subsets for operators.
func (t *Task) Status(ctx context.Context) ([]upstreams.Status, error) {
	return task.Ask(ctx, t.inbox, func(reply chan<- []upstreams.Status) message { return statusMessage{reply: reply} })
}

type leavingMessage struct {
	id          core.UpstreamID
	incarnation core.Incarnation
}

func (m leavingMessage) handle(t *Task, now time.Time) {
	t.view.MarkLeaving(now, m.id, m.incarnation)
}

// MarkLeaving passes on that an upstream is leaving, as a peer reported. It
// returns false if the inbox is full.
func (t *Task) MarkLeaving(id core.UpstreamID, incarnation core.Incarnation) bool {
	return t.inbox.TrySend(leavingMessage{id: id, incarnation: incarnation})
}
