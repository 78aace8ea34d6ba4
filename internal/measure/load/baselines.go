package load

// roundRobin is a baseline: each host has a first-in, first-out queue, an even
// part of the slots, and sends to the engines in turn.
type roundRobin struct {
	s      *simulation
	queues [hostCount][]*job
	busy   [hostCount]int
	next   [hostCount]int
}

func newRoundRobin(s *simulation) policy {
	return &roundRobin{s: s}
}

func (p *roundRobin) offer(j *job) {
	p.queues[j.host] = append(p.queues[j.host], j)
	p.pump(j.host)
}

func (p *roundRobin) pump(host int) {
	for p.busy[host]*hostCount < engineCount*engineSlots && len(p.queues[host]) > 0 {
		j := p.queues[host][0]
		p.queues[host] = p.queues[host][1:]
		if j.ended {
			continue
		}
		p.busy[host]++
		p.s.accept(j)
		p.next[host]++
		p.s.engines[(p.next[host]+host)%engineCount].submit(j)
	}
}

func (p *roundRobin) first(a *attempt) { p.s.sawFirst(a.job) }

func (p *roundRobin) done(a *attempt) {
	p.s.finish(a.job)
	p.busy[a.job.host]--
	p.pump(a.job.host)
}

func (p *roundRobin) gone(j *job) {
	if !j.accepted {
		return
	}
	cancelAll(j)
	p.busy[j.host]--
	p.pump(j.host)
}

func cancelAll(j *job) {
	for _, a := range j.attempts {
		if a.phase != over {
			a.engine.remove(a)
		}
	}
}

// leastConnections is a baseline: each host sends to the engine whose last
// report, as late as any, shows the fewest requests. Nothing is refused.
type leastConnections struct {
	s *simulation
}

func newLeastConnections(s *simulation) policy {
	return &leastConnections{s: s}
}

func (p *leastConnections) offer(j *job) {
	start := p.s.choices.IntN(engineCount)
	best, fewest := p.s.engines[start], int(^uint(0)>>1)
	for i := range engineCount {
		e := p.s.engines[(start+i)%engineCount]
		report, _ := e.report(p.s.reportLag)
		if count := report.Running + report.Waiting; count < fewest {
			best, fewest = e, count
		}
	}
	p.s.accept(j)
	best.submit(j)
}

func (p *leastConnections) first(a *attempt) { p.s.sawFirst(a.job) }
func (p *leastConnections) done(a *attempt)  { p.s.finish(a.job) }
func (p *leastConnections) gone(j *job)      { cancelAll(j) }
