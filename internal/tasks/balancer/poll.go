package balancer

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
)

const (
	// reportBytes is the size of one exchange for a load report: about 230
	// bytes of request, 120 of response headers and 250 of JSON.
	reportBytes = 600
	// reportBudget in bytes/s is half of the 8 KB/s that a host may use for
	// control traffic; the rest is for peers and the platform.
	reportBudget = 4096
	// pollInterval between any two reports follows from both: 6.8 reports/s,
	// so each of 16 upstreams reports every 2.3 s.
	pollInterval = time.Second * reportBytes / reportBudget
	// pollTimeout bounds one exchange; a later answer says too little.
	pollTimeout = 2 * time.Second
	// activeTime is how long after its last request a pool's upstreams are
	// polled before those of quiet pools.
	activeTime = 30 * time.Second
	// quietEvery is the least part of polls (one in so many) left to quiet
	// pools, so that their leaving upstreams are noticed too.
	quietEvery = 8
)

type poll struct {
	at      time.Time
	running bool
}

// polls remembers when each upstream was asked for its load.
type polls struct {
	next  time.Time
	count int
	last  map[core.UpstreamID]poll
	used  map[upstreams.Pool]time.Time
}

func newPolls() polls {
	return polls{last: make(map[core.UpstreamID]poll), used: make(map[upstreams.Pool]time.Time)}
}

// forget drops what is known of upstreams that have gone.
func (p *polls) forget(view *upstreams.View) {
	for id, last := range p.last {
		if !last.running && !view.Knows(id) {
			delete(p.last, id)
		}
	}
}

// startPoll asks the upstream whose report is oldest, in a worker.
func (t *Task) startPoll(ctx context.Context, now time.Time) {
	t.polls.next = now.Add(t.jitter(pollInterval))
	t.polls.count++
	target, found := t.duePoll(now, t.polls.count%quietEvery != 0)
	if !found {
		target, found = t.duePoll(now, false)
	}
	if !found {
		return
	}
	t.polls.last[target.Upstream] = poll{at: now, running: true}
	reporter, inbox := t.config.Reporter, t.inbox
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		report, err := reporter.Load(callCtx, target)
		// Fails only when the task is stopping.
		_ = inbox.Send(ctx, reportMessage{target: target, report: report, err: err})
	}()
}

// duePoll returns the target with the oldest report, among the pools in use
// or among all. An upstream of several pools is asked once.
func (t *Task) duePoll(now time.Time, onlyActive bool) (core.Target, bool) {
	var due core.Target
	var oldest time.Time
	found := false
	t.view.Each(func(pool upstreams.Pool, member *upstreams.Member) {
		target := member.Target()
		last := t.polls.last[target.Upstream]
		active := now.Sub(t.polls.used[pool]) < activeTime
		if last.running || !member.Usable() || now.Sub(last.at) < evaluateInterval || (onlyActive && !active) {
			return
		}
		if !found || last.at.Before(oldest) || (last.at.Equal(oldest) && target.Upstream < due.Upstream) {
			due, oldest, found = target, last.at, true
		}
	})
	return due, found
}

type answerMessage struct {
	target                       core.Target
	running, waiting, maxRunning int
}

func (m answerMessage) handle(t *Task, now time.Time) {
	t.view.ApplyAnswer(now, m.target, m.running, m.waiting, m.maxRunning)
}

// Answered tells the load that an answer of the target carried. It never
// blocks: a load that finds no place in the inbox is dropped, as newer ones
// follow.
func (t *Task) Answered(target core.Target, running, waiting, maxRunning int) {
	t.inbox.TrySend(answerMessage{target: target, running: running, waiting: waiting, maxRunning: maxRunning})
}

type reportMessage struct {
	target core.Target
	report upstreams.Report
	err    error
}

func (m reportMessage) handle(t *Task, now time.Time) {
	last := t.polls.last[m.target.Upstream]
	last.running = false
	t.polls.last[m.target.Upstream] = last
	// A missing report says nothing; attempts show whether the upstream works.
	// A report of another upstream means that an address has changed hands.
	if m.err != nil || m.report.Upstream != m.target.Upstream {
		t.metrics.missReport()
		return
	}
	t.view.ApplyReport(now, m.report)
}
