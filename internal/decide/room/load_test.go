package room

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	modelHosts   = 60
	modelEngines = 140
	modelSlots   = 12
	modelTeams   = 40
	modelStep    = 10 * time.Millisecond
	reportSteps  = 20 // reports of engines are 200 ms old
	// compared is the number of engines of which the best is chosen: prompts and zones
	// differ, so that hosts do not all prefer the same engine.
	compared   = 8
	meanWork   = 2 * time.Second
	patience   = 3 * time.Second
	callerTime = 12 * time.Second
	warmUp     = 14 * time.Second
	modelTime  = 42 * time.Second
)

// caller is one request until it is served or given up. Kinds 0 to 2 are 30, 40 and 30 in
// 100 callers and as urgent as their number says.
type caller struct {
	kind, team, refused, host int
	tokens                    core.Tokens
	work                      time.Duration
	deadline, sentAt, endAt   time.Time
	number                    uint64
	counted, large            bool
}

// tally counts callers of a group that came and that were served.
type tally struct{ came, served, servedWork, twice, dismissed float64 }

func (t tally) share() float64 { return t.served / max(t.came, 1) }

// model is hosts before engines that take the most urgent request of their queues first.
type model struct {
	random     *rand.Rand
	now        time.Time
	room       []*Table // nil for the rule that refuses all alike by the expected wait
	running    [modelEngines][]*caller
	queued     [modelEngines][]*caller
	reported   [modelEngines]int
	sentSince  [modelHosts][modelEngines]int
	returns    map[int][]*caller
	step       int
	number     uint64
	all        tally
	kinds      [3]tally
	largeKinds [3]tally
	teams      [modelTeams]tally
}

// run plays a load, as multiples of what the engines can serve by kind and of team 0.
func run(rooms bool, load float64, leastUrgent, team0 float64) *model {
	m := &model{random: rand.New(rand.NewPCG(5, 11)), now: time.Unix(1_000_000, 0), returns: make(map[int][]*caller)}
	if rooms {
		for range modelHosts {
			m.room = append(m.room, New())
		}
	}
	weights := []float64{0.3, 0.4, 0.3 * leastUrgent}
	perStep := load * modelEngines * modelSlots / meanWork.Seconds() * modelStep.Seconds()
	began := m.now
	for ; m.now.Sub(began) < modelTime; m.now, m.step = m.now.Add(modelStep), m.step+1 {
		if m.step%reportSteps == 0 {
			for e := range m.reported {
				m.reported[e] = len(m.running[e]) + len(m.queued[e])
			}
			m.sentSince = [modelHosts][modelEngines]int{}
		}
		m.advance()
		for _, c := range m.returns[m.step] {
			m.arrive(c)
		}
		for kind, weight := range weights {
			for n := perStep * weight * (1 + (team0-1)/modelTeams); n > 0; n-- {
				if m.random.Float64() < n {
					m.arrive(m.newCaller(kind, team0, m.now.Sub(began) > warmUp && m.now.Sub(began) < modelTime-callerTime))
				}
			}
		}
	}
	return m
}

func (m *model) newCaller(kind int, team0 float64, counted bool) *caller {
	team := max(int(m.random.Float64()*(modelTeams-1+team0)-team0+1), 0)
	size := m.random.ExpFloat64()
	c := &caller{
		kind: kind, team: team, tokens: core.Tokens(100 + 1000*size), work: time.Duration((0.25 + 0.75*size) * float64(meanWork)),
		deadline: m.now.Add(callerTime), counted: counted, large: size > 2.3,
	}
	m.tally(c, func(t *tally) { t.came++ })
	return c
}

func (m *model) tally(c *caller, add func(*tally)) {
	if !c.counted {
		return
	}
	add(&m.all)
	add(&m.kinds[c.kind])
	add(&m.teams[c.team])
	if c.large {
		add(&m.largeKinds[c.kind])
	}
}

// advance ends requests and starts those that wait and whose callers are still there.
func (m *model) advance() {
	for e := range m.running {
		ended := func(c *caller) bool {
			if m.room != nil {
				m.room[c.host].Ended(c.number, m.now)
			}
			return true
		}
		m.running[e] = slices.DeleteFunc(m.running[e], func(c *caller) bool { return !m.now.Before(c.endAt) && ended(c) })
		m.queued[e] = slices.DeleteFunc(m.queued[e], func(c *caller) bool { return m.now.Sub(c.sentAt) > patience && ended(c) })
		for len(m.running[e]) < modelSlots && len(m.queued[e]) > 0 {
			first := 0
			for i, c := range m.queued[e] {
				if c.kind < m.queued[e][first].kind {
					first = i
				}
			}
			c := m.queued[e][first]
			m.queued[e] = slices.Delete(m.queued[e], first, first+1)
			c.endAt = m.now.Add(c.work)
			if m.room != nil {
				m.room[c.host].Started(c.number)
			}
			m.running[e] = append(m.running[e], c)
			if !c.endAt.After(c.deadline) {
				m.tally(c, func(t *tally) { t.served++; t.servedWork += c.work.Seconds() })
			}
		}
	}
}

func (m *model) arrive(c *caller) {
	c.host = m.random.IntN(modelHosts)
	best, least := 0, 1<<30
	for range compared {
		e := m.random.IntN(modelEngines)
		if count := m.reported[e] + m.sentSince[c.host][e]; count < least {
			best, least = e, count
		}
	}
	wait := meanWork / modelSlots * time.Duration(max(least-modelSlots+1, 0))
	left := c.deadline.Sub(m.now)
	longest := min(left, patience) / 2
	verdict := Verdict{Send: wait <= longest, ReturnIn: min(max(2*wait, 250*time.Millisecond), left*3/10)}
	if m.room != nil {
		verdict = m.room[c.host].Decide(Request{
			Kind: fmt.Sprint(c.kind), Rank: c.kind, Team: core.TeamName(fmt.Sprint(c.team)), Tokens: c.tokens,
			Wait: wait, MaxWait: longest, Busy: least >= modelSlots, Left: left, Arrived: left,
		}, m.now)
		m.room[c.host].Tick(m.now)
	}
	if !verdict.Send {
		if c.refused++; c.refused == 2 {
			m.tally(c, func(t *tally) { t.twice++ })
		}
		if verdict.ReturnIn > 0 {
			due := m.step + 1 + int(verdict.ReturnIn/modelStep)
			m.returns[due] = append(m.returns[due], c)
		} else {
			m.tally(c, func(t *tally) { t.dismissed++ })
		}
		return
	}
	m.number++
	c.number, c.sentAt = m.number, m.now
	if m.room != nil {
		m.room[c.host].Began(c.number, fmt.Sprint(c.kind), c.kind, m.now)
	}
	m.sentSince[c.host][best]++
	m.queued[best] = append(m.queued[best], c)
}

func (m *model) line(name string) string {
	worst := m.worstTenthOfTeams()
	return fmt.Sprintf("\n%s: served %.3f (%.0f s of work), refused twice %.4f, without a time to return %.3f; by kind %.3f %.3f %.3f; largest tenth %.3f %.3f %.3f; team 0 %.3f, worst tenth of teams %.3f",
		name, m.all.share(), m.all.servedWork, m.all.twice/m.all.came, m.all.dismissed/m.all.came, m.kinds[0].share(), m.kinds[1].share(), m.kinds[2].share(),
		m.largeKinds[0].share(), m.largeKinds[1].share(), m.largeKinds[2].share(), m.teams[0].share(), worst)
}

func (m *model) worstTenthOfTeams() float64 {
	var shares []float64
	for _, t := range m.teams {
		shares = append(shares, t.share())
	}
	slices.Sort(shares)
	sum := 0.0
	for _, s := range shares[:modelTeams/10] {
		sum += s
	}
	return sum / (modelTeams / 10)
}

// Guards against callers that are refused again and again, and against kinds, large
// requests or teams that starve. Load: 60 hosts that read the same reports, 200 ms old, before
// 140 engines of 12 slots; 40 teams; callers leave after 3 s without a first event.
func TestRoomIsSharedUnderLoad(t *testing.T) {
	for _, load := range []struct {
		name                    string
		load, leastUrgent, team float64
	}{
		{"1.2 times the capacity", 1.2, 1, 1},
		{"1.6 times the capacity", 1.6, 1, 1},
		{"2 times the capacity", 2, 1, 1},
		{"the least urgent kind at 3 times its rate", 0.9, 3, 1},
		{"one team with 7 times its traffic", 1.2, 1, 7},
	} {
		Convey(load.name, t, func() {
			before, after := run(false, load.load, load.leastUrgent, load.team), run(true, load.load, load.leastUrgent, load.team)
			_, _ = Print(before.line("before"), after.line("after "), "\n")
			So(after.all.twice/after.all.came, ShouldBeLessThanOrEqualTo, before.all.twice/before.all.came/2)
			// By work: a rule that refuses the large requests serves more in number.
			So(after.all.servedWork, ShouldBeGreaterThan, 0.98*before.all.servedWork)
			for kind := range after.kinds {
				So(after.kinds[kind].share(), ShouldBeGreaterThan, after.all.share()/4)
				So(after.largeKinds[kind].share(), ShouldBeGreaterThan, after.kinds[kind].share()/2)
			}
			So(after.kinds[0].share(), ShouldBeGreaterThanOrEqualTo, after.kinds[2].share())
			for _, team := range after.teams {
				So(team.share(), ShouldBeGreaterThan, after.all.share()/4)
			}
		})
	}
}

// Guards against requests that are refused although nothing is short: a host that has just
// started and knows of no ended attempt, before engines with free slots. Load: 1000 requests
// within a second whose expected wait is 0.9 of the longest.
func TestNothingIsRefusedWhileSlotsAreFree(t *testing.T) {
	Convey("Given engines with free slots", t, func() {
		table, now := New(), time.Unix(1_000_000, 0)
		r := Request{Kind: "r", Rank: 9, Team: "t", Tokens: 500, Wait: 900 * time.Millisecond, MaxWait: time.Second, Left: callerTime, Arrived: callerTime}
		for range 1000 {
			now = now.Add(time.Millisecond)
			So(table.Decide(r, now).Send, ShouldBeTrue)
		}
		Convey("and some are once there are none", func() {
			r.Busy = true
			sent := 0
			for range 1000 {
				now = now.Add(time.Millisecond)
				if table.Decide(r, now).Send {
					sent++
				}
			}
			So(sent, ShouldBeLessThan, 500)
		})
	})
}

// The cost of a decision must not grow with the teams that a host knows.
func BenchmarkDecide(b *testing.B) {
	for _, teams := range []int{10, 1000, 10_000} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			table, now := New(), time.Unix(1_000_000, 0)
			names := make([]core.TeamName, teams)
			for i := range names {
				names[i] = core.TeamName(fmt.Sprint(i))
				table.teamOf(names[i])
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(100 * time.Microsecond)
				table.Decide(Request{Kind: "r", Rank: i % 3, Team: names[i%teams], Tokens: 500, Wait: time.Second, MaxWait: 1500 * time.Millisecond, Busy: true, Left: callerTime, Arrived: callerTime}, now)
			}
		})
	}
}
