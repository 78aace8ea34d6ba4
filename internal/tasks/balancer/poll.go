package balancer

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
)

const (
	// bytesPerPoll is the size of one poll for a load report: about 230 bytes
	// of request, 120 of response headers and 250 of JSON.
	bytesPerPoll = 600
	// pollBytesPerSecond is half of the 8 KB/s that a host may use for control
	// traffic; the rest is for peers and the platform.
	pollBytesPerSecond = 4096
	// pollInterval is the time between two polls that follows from both: 6.8
	// polls/s, so each of 16 upstreams is polled every 2.3 s.
	pollInterval = time.Second * bytesPerPoll / pollBytesPerSecond
	// pollTimeout bounds one poll; a later report says too little about the
	// present load.
	pollTimeout = 2 * time.Second
	// poolActiveTime is how long after a pool's last request its upstreams are
	// polled before those of idle pools.
	poolActiveTime = 30 * time.Second
	// One poll in allPoolsEvery considers the upstreams of all pools, so that
	// it is noticed too when one of an idle pool leaves.
	allPoolsEvery = 8
)

type poll struct {
	startedAt time.Time
	running   bool
}

// polls records when each upstream was last polled and each pool was last used.
type polls struct {
	next       time.Time
	count      int
	lastPolls  map[core.UpstreamID]poll
	poolUsedAt map[upstreams.Pool]time.Time
}

func newPolls() polls {
	return polls{lastPolls: make(map[core.UpstreamID]poll), poolUsedAt: make(map[upstreams.Pool]time.Time)}
}

// removeGone drops the polls of upstreams that are gone.
func (p *polls) removeGone(view *upstreams.View) {
	for id, last := range p.lastPolls {
		if !last.running && !view.Knows(id) {
			delete(p.lastPolls, id)
		}
	}
}

// startPoll polls the upstream whose last poll is oldest, in a goroutine.
func (t *Task) startPoll(ctx context.Context, now time.Time) {
	t.polls.next = now.Add(t.jitter(pollInterval))
	t.polls.count++
	target, found := t.nextPollTarget(now, t.polls.count%allPoolsEvery != 0)
	if !found {
		target, found = t.nextPollTarget(now, false)
	}
	if !found {
		return
	}
	t.polls.lastPolls[target.Upstream] = poll{startedAt: now, running: true}
	reporter, inbox := t.config.LoadClient, t.inbox
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		report, err := reporter.Load(callCtx, target)
		// Send fails only if the task is stopping.
		_ = inbox.Send(ctx, reportMessage{target: target, report: report, err: err})
	}()
}

// nextPollTarget returns the target whose last poll is oldest, among the pools
// in use or among all. An upstream of several pools is polled once, and one that this host
// is cut off from is not: polls would wait for their time-out, or take up other hosts.
func (t *Task) nextPollTarget(now time.Time, onlyActive bool) (core.Target, bool) {
	var due core.Target
	var oldest time.Time
	found := false
	t.view.EachMember(func(pool upstreams.Pool, member *upstreams.Member) {
		target := member.Target()
		last := t.polls.lastPolls[target.Upstream]
		active := now.Sub(t.polls.poolUsedAt[pool]) < poolActiveTime
		if last.running || !member.Usable() || !t.reaches(target.Upstream) || now.Sub(last.startedAt) < evaluateInterval || (onlyActive && !active) {
			return
		}
		if !found || last.startedAt.Before(oldest) || (last.startedAt.Equal(oldest) && target.Upstream < due.Upstream) {
			due, oldest, found = target, last.startedAt, true
		}
	})
	return due, found
}

type answerMessage struct {
	target                       core.Target
	running, waiting, maxRunning int
}

func (m answerMessage) handle(t *Task, now time.Time) {
	t.view.ApplyAnswerLoad(now, m.target, m.running, m.waiting, m.maxRunning)
}

// ApplyAnswerLoad passes on the load that an answer of the target carried. It
// never blocks: if the inbox is full, the load is dropped, as newer ones
// follow.
func (t *Task) ApplyAnswerLoad(target core.Target, running, waiting, maxRunning int) {
	t.inbox.TrySend(answerMessage{target: target, running: running, waiting: waiting, maxRunning: maxRunning})
}

type reportMessage struct {
	target core.Target
	report upstreams.Report
	err    error
}

func (m reportMessage) handle(t *Task, now time.Time) {
	last := t.polls.lastPolls[m.target.Upstream]
	last.running = false
	t.polls.lastPolls[m.target.Upstream] = last
	// A missing report has no effect; attempts show whether the upstream works.
	// A report of another upstream means that the address now belongs to that
	// one.
	if m.err != nil || m.report.Upstream != m.target.Upstream {
		t.metrics.countMissingReport()
		if m.err != nil {
			t.suspect(m.target, now)
		}
		return
	}
	t.view.ApplyReport(now, m.report)
}
