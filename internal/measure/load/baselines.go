package load

// roundRobin is a baseline policy: each host has a FIFO queue and an equal part
// of the slots, and sends to the engines in turn.
type roundRobin struct {
	s          *simulation
	queues     [hostCount][]*job
	busySlots  [hostCount]int
	nextEngine [hostCount]int
}

func newRoundRobin(s *simulation) policy {
	return &roundRobin{s: s}
}

func (p *roundRobin) offer(j *job) {
	p.queues[j.host] = append(p.queues[j.host], j)
	p.sendQueued(j.host)
}

func (p *roundRobin) sendQueued(host int) {
	for p.busySlots[host]*hostCount < engineCount*engineSlots && len(p.queues[host]) > 0 {
		j := p.queues[host][0]
		p.queues[host] = p.queues[host][1:]
		if j.ended {
			continue
		}
		p.busySlots[host]++
		p.s.accept(j)
		p.nextEngine[host]++
		p.s.engines[(p.nextEngine[host]+host)%engineCount].submit(j)
	}
}

func (p *roundRobin) firstToken(a *attempt) { p.s.recordFirstToken(a.job) }

func (p *roundRobin) finished(a *attempt) {
	p.s.finish(a.job)
	p.busySlots[a.job.host]--
	p.sendQueued(a.job.host)
}

func (p *roundRobin) abandoned(j *job) {
	if !j.accepted {
		return
	}
	cancelAll(j)
	p.busySlots[j.host]--
	p.sendQueued(j.host)
}

func cancelAll(j *job) {
	for _, a := range j.attempts {
		if a.phase != ended {
			a.engine.remove(a)
		}
	}
}

// leastConnections is a baseline policy: each host sends to the engine with the
// fewest requests in its last report, which is as late as those that the
// product gets. Nothing is refused.
type leastConnections struct {
	s *simulation
}

func newLeastConnections(s *simulation) policy {
	return &leastConnections{s: s}
}

func (p *leastConnections) offer(j *job) {
	start := p.s.policyRandom.IntN(engineCount)
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

func (p *leastConnections) firstToken(a *attempt) { p.s.recordFirstToken(a.job) }
func (p *leastConnections) finished(a *attempt)   { p.s.finish(a.job) }
func (p *leastConnections) abandoned(j *job)      { cancelAll(j) }
