package load

import (
	"fmt"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/admission"
	"github.com/peridotreel/peridotreel/internal/decide/retry"
	"github.com/peridotreel/peridotreel/internal/decide/routing"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
)

// The intervals that the balancer task uses.
const (
	pollInterval     = 146 * time.Millisecond
	evaluateInterval = 250 * time.Millisecond
)

var modelPool = upstreams.Pool{Model: "model"}

// productHost is one host that runs the product's decision code.
type productHost struct {
	s          *simulation
	controller *admission.Controller
	view       *upstreams.View
	hedges     retry.Budget
	waiting    map[admission.Ticket]*job
	lastPolled int
}

type product struct {
	s     *simulation
	hosts []*productHost
}

func newProduct(s *simulation) policy {
	p := &product{s: s}
	for i := range hostCount {
		h := &productHost{
			s: s, controller: admission.NewController(), hedges: retry.NewHedgeBudget(s.time()),
			view:    upstreams.NewView(core.HostID(fmt.Sprintf("host-%d", i)), "z"),
			waiting: make(map[admission.Ticket]*job), lastPolled: i,
		}
		var entries []upstreams.Entry
		for _, e := range s.engines {
			entries = append(entries, upstreams.Entry{Target: e.target, Pools: []upstreams.Pool{modelPool}})
		}
		h.view.SetHostCount(hostCount)
		h.view.ApplyList(s.time(), entries)
		h.evaluate()
		// Hosts start at random offsets so that their intervals are not synchronized.
		s.after(time.Duration(s.policyRandom.Int64N(int64(evaluateInterval))), func() {
			s.every(evaluateInterval, h.evaluate)
			s.every(pollInterval, h.poll)
		})
		p.hosts = append(p.hosts, h)
	}
	return p
}

func (h *productHost) evaluate() {
	h.view.Evaluate(h.s.time())
	for _, c := range h.view.Capacities(h.s.time(), nil) {
		if c.SharingHosts > 0 {
			h.controller.SetFreeSlots(h.s.time(), c.Pool, c.FreeSlots, c.SharingHosts)
		}
		h.controller.SetCapacity(h.s.time(), c.Pool, c.Slots)
	}
	h.sendGranted()
}

// poll applies the load report of one engine, each engine in turn.
func (h *productHost) poll() {
	h.lastPolled++
	if report, ok := h.s.engines[h.lastPolled%engineCount].report(h.s.reportLag); ok {
		h.view.ApplyReport(h.s.time(), report)
	}
}

func (p *product) offer(j *job) {
	p.hosts[j.host].offer(j)
}

func (h *productHost) offer(j *job) {
	ticket, refusal := h.controller.Enter(h.s.time(), admission.Request{
		Team: j.team, Pool: modelPool, Long: j.long, Estimate: j.estimate, Deadline: epoch.Add(j.deadline),
	})
	if refusal != nil {
		h.s.refuse(j)
		return
	}
	j.ticket = uint64(ticket)
	h.waiting[ticket] = j
	h.sendGranted()
}

// sendGranted sends the jobs that were granted a slot.
func (h *productHost) sendGranted() {
	for _, ticket := range append([]admission.Ticket(nil), h.controller.Granted()...) {
		j := h.waiting[ticket]
		delete(h.waiting, ticket)
		h.s.accept(j)
		h.dispatch(j, "")
	}
}

func (h *productHost) dispatch(j *job, excluded core.UpstreamID) bool {
	request := routing.Request{Pool: modelPool, Estimate: j.estimate, PrefixHash: j.prefixHash, Random: h.s.policyRandom.Uint64()}
	if excluded != "" {
		request.Excluded = []core.UpstreamID{excluded}
	} else {
		h.hedges.RecordRequest()
	}
	member := routing.Pick(h.view, h.s.time(), &request)
	if member == nil {
		return false
	}
	h.view.StartAttempt(h.s.time(), member, j.estimate)
	target := member.Target()
	for _, e := range h.s.engines {
		if e.target == target {
			e.submit(j)
			h.applyAnswerLoad(e)
		}
	}
	if excluded == "" {
		h.scheduleHedge(j, target.Upstream)
	}
	return true
}

// applyAnswerLoad applies the engine load that an answer carries at its start
// and with its first token.
func (h *productHost) applyAnswerLoad(e *engine) {
	h.view.ApplyAnswerLoad(h.s.time(), e.target, len(e.running), len(e.waiting), e.slots)
}

// scheduleHedge schedules a second attempt in case the first token takes too
// long.
func (h *productHost) scheduleHedge(j *job, firstUpstream core.UpstreamID) {
	delay := time.Duration(0)
	h.view.Models(func(_ core.ModelName, stats upstreams.ModelStats) {
		delay = retry.HedgeDelay(stats.MedianFirstToken, float64(j.estimate)/max(1, float64(stats.MeanEstimate)))
	})
	if delay == 0 {
		return
	}
	h.s.after(delay, func() {
		now := h.s.time()
		if j.ended || j.firstTokenSeen || !retry.MayHedge(true, len(j.attempts), 0, now, epoch.Add(j.deadline)) || !h.hedges.Take(now) {
			return
		}
		if h.dispatch(j, firstUpstream) {
			j.hedged = true
			h.s.result.Hedges++
		}
	})
}

func (p *product) firstToken(a *attempt) {
	h := p.hosts[a.job.host]
	h.view.RecordFirstToken(p.s.time(), modelPool, a.engine.target, p.s.now-a.sentAt, a.job.estimate)
	h.applyAnswerLoad(a.engine)
	p.s.recordFirstToken(a.job)
	for _, other := range a.job.attempts {
		if other != a && other.phase != ended {
			h.cancel(other)
		}
	}
}

func (h *productHost) cancel(a *attempt) {
	tokens := int64(0)
	if a.phase == decoding {
		tokens = 1
	}
	a.engine.remove(a)
	h.view.EndAttempt(h.s.time(), modelPool, a.engine.target, upstreams.Cancelled, h.s.now-a.sentAt, tokens, a.job.estimate)
}

func (p *product) finished(a *attempt) {
	h := p.hosts[a.job.host]
	h.view.EndAttempt(p.s.time(), modelPool, a.engine.target, upstreams.Completed, p.s.now-a.sentAt, int64(a.job.tokens), a.job.estimate)
	p.s.finish(a.job)
	h.controller.Leave(p.s.time(), admission.Ticket(a.job.ticket), a.job.tokens)
	h.sendGranted()
}

func (p *product) abandoned(j *job) {
	h := p.hosts[j.host]
	for _, a := range j.attempts {
		if a.phase != ended {
			h.cancel(a)
		}
	}
	delete(h.waiting, admission.Ticket(j.ticket))
	h.controller.Abandon(p.s.time(), admission.Ticket(j.ticket))
	h.sendGranted()
}
