package coldstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

const (
	tick     = 20 * time.Millisecond
	coldFor  = 3 * time.Second
	downAt   = 3 * time.Second
	returnAt = 4200 * time.Millisecond
	endAt    = returnAt + coldFor
	// bunch is the time of which requests on the way arrive together.
	bunch = 100 * time.Millisecond
	// answerTime is the time from the arrival of a request to its answer at the host.
	answerTime = 40 * time.Millisecond
	// listRead is the time between two reads of the list, rewrite that between two rows of
	// an upstream.
	listRead = 250 * time.Millisecond
	rewrite  = time.Second
)

var start = time.Unix(1000, 0)

// tolerated is what a deployment states.
var tolerated = Bound{Overage: 1.5, Slack: 5}

// simulatedHost is one host of a simulation.
type simulatedHost struct {
	table *Table
	// lag is how old the entries are that the host reads, and read the last one of them.
	lag  time.Duration
	read time.Duration
	// free is when the host's last request was answered.
	free, from, until time.Duration
	// lacked are the hosts that its list lacks, and told is when the list was current.
	lacked []core.HostID
	told   time.Duration
}

// simulation is hosts before one upstream that goes down, returns cold, and is named in a
// list that lags. Each host sends whenever its table lets it.
type simulation struct {
	random   *rand.Rand
	hosts    []*simulatedHost
	members  []Member
	arrivals []time.Duration
	events   map[time.Duration][]func(now time.Time)
	// named is true if answers say how long the upstream stays cold.
	named bool
}

// entry is the row of the upstream as of a time.
func entry(at time.Duration) (gateway.Upstream, time.Duration) {
	upstream := gateway.Upstream{ID: "u", Service: "svc", Zone: "z0", StartMillis: 1}
	if at < returnAt {
		return upstream, min(at, downAt-1).Truncate(rewrite)
	}
	written := returnAt + (at - returnAt).Truncate(rewrite)
	upstream.StartMillis, upstream.ColdLeft = 2, max(returnAt+coldFor-written, 0)
	return upstream, written
}

func (s *simulation) at(when time.Duration, event func(now time.Time)) {
	when = max(when, 0).Truncate(tick) + tick
	s.events[when] = append(s.events[when], event)
}

// add adds a host that serves from one time until another. Its list lacks up to 3 others.
func (s *simulation) add(perSecond float64, from, until time.Duration) {
	index := len(s.hosts)
	member := Member{hostID(index), core.ZoneName(fmt.Sprint("z", index%3))}
	host := &simulatedHost{table: New(member.Host, tolerated), lag: time.Duration(s.random.Int64N(int64(2 * time.Second))), read: -1, from: from, until: until}
	host.table.Configure(map[core.ServiceName]gateway.Service{"svc": {ColdFor: coldFor, ColdPerSecond: perSecond}})
	for range 3 {
		if lacked := hostID(s.random.IntN(index + 1)); lacked != member.Host {
			host.lacked = append(host.lacked, lacked)
		}
	}
	s.hosts, s.members = append(s.hosts, host), append(s.members, member)
}

func hostID(index int) core.HostID { return core.HostID(fmt.Sprint("h", index)) }

// tell tells the hosts the members that serve at a time, each up to a second later.
func (s *simulation) tell(at, within time.Duration) {
	var members []Member
	for i, host := range s.hosts {
		if at >= host.from && at < host.until {
			members = append(members, s.members[i])
		}
	}
	for _, host := range s.hosts {
		delay := time.Duration(s.random.Int64N(int64(within)))
		if host.from == at {
			delay = 0
		}
		s.at(at+delay, func(now time.Time) {
			if host.told > at {
				return
			}
			host.told = at
			host.table.SetMembers(slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return slices.Contains(host.lacked, m.Host) }), now)
		})
	}
}

// tellAll tells the hosts of each start and end of a host.
func (s *simulation) tellAll() {
	s.tell(0, tick)
	for _, host := range s.hosts {
		for _, at := range []time.Duration{host.from, host.until} {
			if at > 0 && at < endAt {
				s.tell(at, time.Second)
			}
		}
	}
}

func (s *simulation) run() {
	s.tellAll()
	for at := time.Duration(0); at < endAt+time.Second; at += tick {
		now := start.Add(at)
		for _, event := range s.events[at] {
			event(now)
		}
		for _, i := range s.random.Perm(len(s.hosts)) {
			if host := s.hosts[i]; at >= host.from && at < host.until {
				s.step(host, at, now)
			}
		}
	}
}

func (s *simulation) step(host *simulatedHost, at time.Duration, now time.Time) {
	if at.Truncate(listRead) == at || host.read < 0 {
		if upstream, written := entry(max(at-host.lag, 0)); written > host.read {
			host.table.Listed(upstream, host.read < 0 || upstream.StartMillis > 1, now)
			host.read = written
		}
	}
	if at < host.free || host.table.Wait("u", now) != 0 {
		return
	}
	host.table.Sent("u", now)
	arrival := (at + time.Duration(s.random.Int64N(int64(bunch)))).Truncate(bunch) + bunch
	host.free = arrival + answerTime
	s.at(host.free-tick, func(now time.Time) {
		upstream, _ := entry(at)
		if arrival >= downAt && arrival < returnAt {
			host.table.Lost(upstream, now)
			return
		}
		var left *time.Duration
		if s.named && arrival >= returnAt {
			remaining := max(endAt-arrival, 0)
			left = &remaining
		}
		host.table.Answered(upstream, left, now)
	})
	if arrival >= returnAt && arrival < endAt {
		s.arrivals = append(s.arrivals, arrival)
	}
}

// most returns the largest number of arrivals in any second.
func (s *simulation) most() int {
	slices.Sort(s.arrivals)
	most, first := 0, 0
	for i, at := range s.arrivals {
		for at-s.arrivals[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func newSimulation(hosts int, perSecond float64, seed uint64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(uint64(hosts), seed)), events: make(map[time.Duration][]func(time.Time))}
	const forever = time.Hour
	for i := range hosts {
		until := forever
		if i%16 == 3 { // a part of the hosts ends before and after the return
			until = downAt + time.Duration(s.random.Int64N(int64(endAt-downAt)))
		}
		s.add(perSecond, 0, until)
	}
	return s
}

var (
	fleetSizes = []int{9, 65, 330}
	limits     = []float64{0.5, 1, 2.4, 5, 10, 20, 50}
)

// seeds returns the number of runs at a number of hosts; more hosts are more trials in one.
func seeds(hosts int) uint64 {
	if hosts > 100 {
		return 1
	}
	return 2
}

// Guards against a cold upstream that gets more than it bears from all hosts together: with
// 9 to 330 hosts that send whenever they may, lists of hosts that lack up to 3 members, a
// list of upstreams that lags by up to 2 s behind the restart, hosts that end, and requests
// that bunch up on the way. Guards also against a limit that is left unused.
func TestAColdUpstreamIsNotOverrun(t *testing.T) {
	for _, hosts := range fleetSizes {
		for _, perSecond := range limits {
			Convey(fmt.Sprintf("Given %d hosts and an upstream that bears %g requests per second", hosts, perSecond), t, func() {
				for seed := range seeds(hosts) {
					s := newSimulation(hosts, perSecond, seed)
					s.run()
					So(float64(s.most()), ShouldBeLessThanOrEqualTo, tolerated.Overage*perSecond+tolerated.Slack)
					if perSecond >= 10 {
						So(float64(len(s.arrivals)), ShouldBeGreaterThanOrEqualTo, perSecond*coldFor.Seconds()/2)
					}
				}
			})
		}
	}
}

// Guards against hosts that start while an upstream is cold and take themselves for users
// before the others know of them. Their list may be older than the restart; they learn of
// it from the first answer.
func TestHostsThatStartBesideAColdUpstream(t *testing.T) { startBesideColdUpstream(t, true) }

// Guards against the same hosts if answers do not name the coldness.
func TestHostsThatStartWithAnOldList(t *testing.T) { startBesideColdUpstream(t, false) }

func startBesideColdUpstream(t *testing.T, named bool) {
	t.Helper()
	for _, hosts := range fleetSizes {
		for _, perSecond := range limits {
			Convey(fmt.Sprintf("Given %d hosts, 3 that start, and an upstream that bears %g requests per second", hosts, perSecond), t, func() {
				for seed := range seeds(hosts) {
					s := newSimulation(hosts, perSecond, seed)
					s.named = named
					for i := range 3 {
						s.add(perSecond, returnAt+time.Duration(i)*600*time.Millisecond, time.Hour)
					}
					s.run()
					So(float64(s.most()), ShouldBeLessThanOrEqualTo, tolerated.Overage*perSecond+tolerated.Slack)
				}
			})
		}
	}
}
