// Package admission decides which work may run and in which order. Slots of a
// pool are shared between teams by weighted fair queueing over tokens: each
// team has a virtual counter per pool that grows by tokens divided by weight,
// and the waiting team with the smallest counter goes first. This is the
// Virtual Token Counter of Sheng et al., "Fairness in Serving Large Language
// Models" (OSDI 2024), with the system's virtual time as in start-time fair
// queueing (Goyal et al., SIGCOMM 1996). The time is passed in, and nothing
// here does input or output.
package admission

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
)

const (
	// longPart is the part of a pool's slots that long work may take; the
	// rest is kept for short work.
	longPart = 0.80
	// longAging is how much longer than short work of its team long work
	// waits before it goes first. It prevents starvation within a team.
	longAging = 2 * time.Second
	// defaultSlots of a pool apply until its capacity is known, which takes
	// one reading of the platform's list.
	defaultSlots = 32
	// maxWaiting bounds all queues together: 426 requests/s (three times the
	// planned peak of a host) waiting 10 s, rounded up.
	maxWaiting = 5000
	// maxEntries bounds running and waiting work together: four times the
	// largest queue.
	maxEntries = 20000
)

// Ticket names an entry. Tickets are not reused within 2^32 uses of a place.
type Ticket uint64

// Request is work that asks for a slot.
type Request struct {
	Team     *core.TeamRow
	Pool     upstreams.Pool
	Long     bool
	Estimate core.Tokens
	Deadline time.Time
}

// RequestOf returns the request that work makes.
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

// none marks the end of a list of entries.
const none int32 = -1

// Machine is the state of admission on one host.
type Machine struct {
	pools   map[upstreams.Pool]*pool
	teams   map[core.TeamName]*team
	entries []entry
	unused  []int32
	hosts   int
	waiting int
	wakes   wakeHeap
	granted []Ticket
	expired []Ticket
}

// NewMachine returns a machine without work.
func NewMachine() *Machine {
	return &Machine{
		pools: make(map[upstreams.Pool]*pool),
		teams: make(map[core.TeamName]*team),
		hosts: 1,
	}
}

// SetHosts tells the number of live hosts; a team without an allotment may use
// an even part of its limits here.
func (m *Machine) SetHosts(now time.Time, hosts int) {
	hosts = max(1, hosts)
	if hosts == m.hosts {
		return
	}
	m.hosts = hosts
	for _, team := range m.teams {
		team.applyLimits(now, m.hosts)
		m.resume(now, team)
	}
}

// SetAllotment tells which part of a team's limits this host may use until a
// time. After that the team falls back to an even part.
func (m *Machine) SetAllotment(now time.Time, name core.TeamName, part float64, until time.Time) {
	team, found := m.teams[name]
	if !found {
		return
	}
	team.allotment, team.allottedUntil = max(0, min(1, part)), until
	team.applyLimits(now, m.hosts)
	m.resume(now, team)
}

// SetCapacity sets the slots of a pool. Running work is never stopped; a pool
// that shrank grants nothing until enough has left.
func (m *Machine) SetCapacity(now time.Time, name upstreams.Pool, slots int) {
	pool := m.pool(name)
	pool.capacity, pool.known = max(0, slots), true
	m.pump(now, pool)
}

func (m *Machine) pool(name upstreams.Pool) *pool {
	found, ok := m.pools[name]
	if !ok {
		found = newPool()
		m.pools[name] = found
	}
	return found
}

func (m *Machine) team(now time.Time, row *core.TeamRow) *team {
	found, ok := m.teams[row.Team]
	if !ok {
		found = newTeam(now, row, m.hosts)
		m.teams[row.Team] = found
		return found
	}
	if found.row != row {
		found.row = row
		found.applyLimits(now, m.hosts)
	}
	return found
}

// Enter asks for a slot. The request runs if its ticket is among Granted, and
// waits otherwise. A request that can't meet its deadline is refused.
func (m *Machine) Enter(now time.Time, request Request) (Ticket, *Refusal) {
	team := m.team(now, request.Team)
	team.expireAllotment(now, m.hosts)
	team.ask(now, request.Estimate)
	pool := m.pool(request.Pool)
	flow := team.flow(pool)
	if refusal := m.judge(now, flow, &request); refusal != nil {
		return 0, refusal
	}
	index := m.allocate()
	e := &m.entries[index]
	*e = entry{
		state: waiting, long: request.Long, generation: e.generation + 1, flow: flow,
		estimate: request.Estimate, deadline: request.Deadline, arrived: now, prev: none, next: none,
	}
	m.enqueue(index)
	m.refresh(now, team)
	m.pump(now, pool)
	return m.ticket(index), nil
}

// Leave returns the slot of a running request with the tokens it took.
func (m *Machine) Leave(now time.Time, ticket Ticket, used core.Tokens) {
	index, ok := m.lookup(ticket, running)
	if !ok {
		return
	}
	e := &m.entries[index]
	flow := e.flow
	flow.pool.left(e, now, used)
	flow.charge(used - e.estimate)
	flow.team.inFlight--
	flow.team.bucket -= float64(used - e.estimate)
	m.release(index)
	m.resume(now, flow.team)
	m.pump(now, flow.pool)
}

// Abandon removes a waiting request, or returns the slot of one that was
// granted meanwhile without charging for it.
func (m *Machine) Abandon(now time.Time, ticket Ticket) {
	if index, ok := m.lookup(ticket, waiting); ok {
		flow := m.entries[index].flow
		m.dequeue(index)
		m.release(index)
		m.refresh(now, flow.team)
		return
	}
	m.Leave(now, ticket, 0)
}

// Granted returns the tickets that were given a slot since the last call. The
// list is valid until the next call to the machine.
func (m *Machine) Granted() []Ticket {
	list := m.granted
	m.granted = m.granted[:0]
	return list
}

// Expired returns the tickets that were dropped since the last call because
// their deadline passed while they waited.
func (m *Machine) Expired() []Ticket {
	list := m.expired
	m.expired = m.expired[:0]
	return list
}

// NextWake returns when Wake should be called, if at all.
func (m *Machine) NextWake() (time.Time, bool) {
	if len(m.wakes) == 0 {
		return time.Time{}, false
	}
	return m.wakes[0].wakeAt, true
}

// Wake lets teams go on whose rate limit permits more work.
func (m *Machine) Wake(now time.Time) {
	for len(m.wakes) > 0 && !m.wakes[0].wakeAt.After(now) {
		team := m.wakes[0]
		m.unwake(team)
		m.resume(now, team)
	}
}

func (m *Machine) allocate() int32 {
	if last := len(m.unused) - 1; last >= 0 {
		index := m.unused[last]
		m.unused = m.unused[:last]
		return index
	}
	m.entries = append(m.entries, entry{})
	return int32(len(m.entries) - 1)
}

func (m *Machine) release(index int32) {
	m.entries[index].state = free
	m.entries[index].flow = nil
	m.unused = append(m.unused, index)
}

func (m *Machine) ticket(index int32) Ticket {
	return Ticket(m.entries[index].generation)<<32 | Ticket(uint32(index))
}

func (m *Machine) lookup(ticket Ticket, want state) (int32, bool) {
	index := int32(uint32(ticket))
	if int(index) >= len(m.entries) || index < 0 {
		return 0, false
	}
	e := &m.entries[index]
	return index, e.state == want && e.generation == uint32(ticket>>32)
}
