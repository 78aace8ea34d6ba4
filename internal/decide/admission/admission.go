// Package admission decides which requests may run and in which order. It
// shares the slots of a pool between teams by weighted fair queueing over
// tokens: each team has a virtual counter per pool that grows by tokens divided
// by weight, and the waiting team with the smallest counter is served first.
// This is the Virtual Token Counter of Sheng et al., "Fairness in Serving Large
// Language Models" (OSDI 2024), with the system's virtual time as in start-time
// fair queueing (Goyal et al., SIGCOMM 1996). Callers pass in the current time;
// the package does no I/O.
package admission

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
)

const (
	// maxLongFraction is the largest fraction of a pool's slots that long work
	// may take; the rest is kept for short work.
	maxLongFraction = 0.80
	// longPriorityDelay is how much longer than short work of the same team long
	// work waits before it goes first. The bounded delay prevents starvation
	// within a team.
	longPriorityDelay = 2 * time.Second
	// defaultSlots is the capacity of a pool until its real capacity is known,
	// which takes one read of the platform's list of upstreams.
	defaultSlots = 32
	// maxWaiting bounds the total length of all queues: 426 requests/s (three
	// times the planned peak of a host) waiting 10 s, rounded up.
	maxWaiting = 5000
	// maxEntries bounds running and waiting requests together, at four times
	// maxWaiting.
	maxEntries = 20000
)

// Ticket identifies a request that waits or runs: the index of its entry and,
// in the upper 32 bits, the entry's generation. A ticket is not reused until
// its entry has been reused 2^32 times.
type Ticket uint64

// Request asks for a slot of a pool.
type Request struct {
	Team     *core.TeamRow
	Pool     upstreams.Pool
	Long     bool
	Estimate core.Tokens
	Deadline time.Time
}

// RequestOf returns the slot request for a piece of work.
func RequestOf(work *core.Work) Request {
	return Request{
		Team: work.Caller.Team, Pool: upstreams.PoolOf(work), Long: work.Class.Long,
		Estimate: max(work.Estimate, 1), Deadline: work.Deadline,
	}
}

type state uint8

const (
	free state = iota
	waiting
	running
)

// entry is a request that waits or runs.
type entry struct {
	state      state
	long       bool
	generation uint32
	flow       *flow
	estimate   core.Tokens
	deadline   time.Time
	arrived    time.Time
	granted    time.Time
	prev, next int32
}

// noEntry is the index that ends a linked list of entries.
const noEntry int32 = -1

// Controller is the admission controller of one host.
type Controller struct {
	pools     map[upstreams.Pool]*pool
	teams     map[core.TeamName]*team
	entries   []entry
	freeList  []int32
	hosts     int
	waiting   int
	wakeQueue wakeHeap
	granted   []Ticket
	expired   []Ticket
}

// NewController returns a Controller without requests.
func NewController() *Controller {
	return &Controller{
		pools: make(map[upstreams.Pool]*pool),
		teams: make(map[core.TeamName]*team),
		hosts: 1,
	}
}

// SetHosts sets the number of live hosts. A team without an allotment may use
// an even fraction, 1/hosts, of its limits on this host.
func (c *Controller) SetHosts(now time.Time, hosts int) {
	hosts = max(1, hosts)
	if hosts == c.hosts {
		return
	}
	c.hosts = hosts
	for _, team := range c.teams {
		team.applyLimits(now, c.hosts)
		c.resume(now, team)
	}
}

// SetAllotment sets the fraction of a team's limits that this host may use until
// a time. After that the team falls back to an even fraction.
func (c *Controller) SetAllotment(now time.Time, name core.TeamName, fraction float64, until time.Time) {
	team, found := c.teams[name]
	if !found {
		return
	}
	team.allotment, team.allottedUntil = max(0, min(1, fraction)), until
	team.applyLimits(now, c.hosts)
	c.resume(now, team)
}

// SetCapacity sets the number of slots of a pool. Running requests are never
// stopped; a pool that shrank grants nothing until enough of them have ended.
func (c *Controller) SetCapacity(now time.Time, name upstreams.Pool, slots int) {
	pool := c.pool(name)
	pool.capacity, pool.capacityKnown = max(0, slots), true
	c.dispatch(now, pool)
}

func (c *Controller) pool(name upstreams.Pool) *pool {
	found, ok := c.pools[name]
	if !ok {
		found = newPool()
		c.pools[name] = found
	}
	return found
}

func (c *Controller) team(now time.Time, row *core.TeamRow) *team {
	found, ok := c.teams[row.Team]
	if !ok {
		found = newTeam(now, row, c.hosts)
		c.teams[row.Team] = found
		return found
	}
	if found.row != row {
		found.row = row
		found.applyLimits(now, c.hosts)
	}
	return found
}

// Enter asks for a slot. The request waits until Granted returns its ticket,
// which may be at once. A request that can't meet its deadline is refused.
func (c *Controller) Enter(now time.Time, request Request) (Ticket, *Refusal) {
	team := c.team(now, request.Team)
	team.expireAllotment(now, c.hosts)
	team.recordRequest(now, request.Estimate)
	pool := c.pool(request.Pool)
	flow := team.flow(pool)
	if refusal := c.checkAdmission(now, flow, &request); refusal != nil {
		return 0, refusal
	}
	index := c.allocate()
	e := &c.entries[index]
	*e = entry{
		state: waiting, long: request.Long, generation: e.generation + 1, flow: flow,
		estimate: request.Estimate, deadline: request.Deadline, arrived: now, prev: noEntry, next: noEntry,
	}
	c.enqueue(index)
	c.refresh(now, team)
	c.dispatch(now, pool)
	return c.ticket(index), nil
}

// Leave frees the slot of a running request and corrects its charge to the
// tokens that it used.
func (c *Controller) Leave(now time.Time, ticket Ticket, used core.Tokens) {
	index, ok := c.lookup(ticket, running)
	if !ok {
		return
	}
	e := &c.entries[index]
	flow := e.flow
	flow.pool.releaseSlot(e, now, used)
	flow.charge(used - e.estimate)
	flow.team.inFlight--
	flow.team.bucket -= float64(used - e.estimate)
	c.release(index)
	c.resume(now, flow.team)
	c.dispatch(now, flow.pool)
}

// Abandon removes a waiting request. If the request has been granted a slot in
// the meantime, Abandon frees the slot and charges nothing.
func (c *Controller) Abandon(now time.Time, ticket Ticket) {
	if index, ok := c.lookup(ticket, waiting); ok {
		flow := c.entries[index].flow
		c.dequeue(index)
		c.release(index)
		c.refresh(now, flow.team)
		return
	}
	c.Leave(now, ticket, 0)
}

// Granted returns the tickets that got a slot since the last call. The list is
// valid until the next call to the controller.
func (c *Controller) Granted() []Ticket {
	list := c.granted
	c.granted = c.granted[:0]
	return list
}

// Expired returns the tickets that were dropped since the last call because
// their deadline passed while they waited. The list is valid until the next call
// to the controller.
func (c *Controller) Expired() []Ticket {
	list := c.expired
	c.expired = c.expired[:0]
	return list
}

// NextWake returns when Wake must be called next, and false if no wake
// is scheduled.
func (c *Controller) NextWake() (time.Time, bool) {
	if len(c.wakeQueue) == 0 {
		return time.Time{}, false
	}
	return c.wakeQueue[0].wakeAt, true
}

// Wake resumes the teams whose scheduled wake time has come.
func (c *Controller) Wake(now time.Time) {
	for len(c.wakeQueue) > 0 && !c.wakeQueue[0].wakeAt.After(now) {
		team := c.wakeQueue[0]
		c.cancelWake(team)
		c.resume(now, team)
	}
}

func (c *Controller) allocate() int32 {
	if last := len(c.freeList) - 1; last >= 0 {
		index := c.freeList[last]
		c.freeList = c.freeList[:last]
		return index
	}
	c.entries = append(c.entries, entry{})
	return int32(len(c.entries) - 1)
}

func (c *Controller) release(index int32) {
	c.entries[index].state = free
	c.entries[index].flow = nil
	c.freeList = append(c.freeList, index)
}

func (c *Controller) ticket(index int32) Ticket {
	return Ticket(c.entries[index].generation)<<32 | Ticket(uint32(index))
}

func (c *Controller) lookup(ticket Ticket, want state) (int32, bool) {
	index := int32(uint32(ticket))
	if int(index) >= len(c.entries) || index < 0 {
		return 0, false
	}
	e := &c.entries[index]
	return index, e.state == want && e.generation == uint32(ticket>>32)
}
