package admission

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
	"github.com/peridotreel/peridotreel/internal/fault"
)

// TestMain fixes rapid's seed, so that the result is the same on each run;
// -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	m.Run()
}

var (
	epoch = time.Unix(1000, 0)
	model = upstreams.Pool{Model: "m"}
)

func newRow(name string, weight int) *core.TeamRow {
	return &core.TeamRow{Team: core.TeamName(name), Weight: weight, MaxInFlight: 1 << 20, TokensPerSecond: 1 << 40, QueueLength: 1 << 20}
}

func newRequest(team *core.TeamRow, isLong bool, estimate core.Tokens, now time.Time) Request {
	return Request{Team: team, Pool: model, Long: isLong, Estimate: estimate, Deadline: now.Add(time.Hour)}
}

func newSizedController(slots int) *Controller {
	m := NewController()
	m.SetCapacity(epoch, model, slots)
	return m
}

// modelRequest is a request in the reference model.
type modelRequest struct {
	ticket Ticket
	long   bool
	team   int
}

type controllerModel struct {
	m        *Controller
	now      time.Time
	teams    []*core.TeamRow
	waiting  map[Ticket]modelRequest
	running  map[Ticket]modelRequest
	capacity int
}

// collectDecisions applies the grants and expirations since the last step to the
// reference model.
func (o *controllerModel) collectDecisions(t *rapid.T) {
	for _, ticket := range o.m.Granted() {
		h, found := o.waiting[ticket]
		if !found {
			t.Fatalf("ticket %d was granted but does not wait", ticket)
		}
		delete(o.waiting, ticket)
		o.running[ticket] = h
	}
	for _, ticket := range o.m.Expired() {
		if _, found := o.waiting[ticket]; !found {
			t.Fatalf("ticket %d expired but does not wait", ticket)
		}
		delete(o.waiting, ticket)
	}
}

func (o *controllerModel) enter(t *rapid.T) {
	team := rapid.IntRange(0, len(o.teams)-1).Draw(t, "team")
	request := newRequest(o.teams[team], rapid.Bool().Draw(t, "long"), core.Tokens(rapid.IntRange(1, 500).Draw(t, "tokens")), o.now)
	request.Deadline = o.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "seconds")) * time.Second)
	longBefore, before := o.countRunning()
	ticket, refusal := o.m.Enter(o.now, request)
	if refusal != nil {
		if refusal.RetryAfter < minRetryAfter || refusal.Fault().Run != fault.NotRun {
			t.Fatalf("refusal with a wrong RetryAfter or Run: %+v", refusal)
		}
		return
	}
	o.waiting[ticket] = modelRequest{ticket: ticket, long: request.Long, team: team}
	o.collectDecisions(t)
	longs, all := o.countRunning()
	if all > before && all > o.capacity {
		t.Fatalf("%d requests run on %d slots", all, o.capacity)
	}
	if longs > longBefore && o.capacity > 1 && longs > o.capacity*80/100 {
		t.Fatalf("%d long requests run on %d slots", longs, o.capacity)
	}
}

func (o *controllerModel) countRunning() (longs, all int) {
	for _, h := range o.running {
		if h.long {
			longs++
		}
	}
	return longs, len(o.running)
}

func lowestTicket(t *rapid.T, set map[Ticket]modelRequest) (Ticket, bool) {
	lowest, found := Ticket(0), false
	for ticket := range set {
		if !found || ticket < lowest {
			lowest, found = ticket, true
		}
	}
	return lowest, found
}

func (o *controllerModel) leave(t *rapid.T) {
	if ticket, found := lowestTicket(t, o.running); found {
		delete(o.running, ticket)
		o.m.Leave(o.now, ticket, core.Tokens(rapid.IntRange(0, 600).Draw(t, "used")))
	}
}

func (o *controllerModel) abandon(t *rapid.T) {
	set := o.waiting
	if rapid.Bool().Draw(t, "granted") {
		set = o.running
	}
	if ticket, found := lowestTicket(t, set); found {
		delete(set, ticket)
		o.m.Abandon(o.now, ticket)
	}
}

// check compares the counts with the reference model, and checks that no slot is
// free while an eligible request waits.
func (o *controllerModel) check(t *rapid.T) {
	o.collectDecisions(t)
	status := o.m.Status()
	longs, all := o.countRunning()
	pool := o.m.pool(model)
	if status.Waiting != len(o.waiting) || pool.inUse() != all || pool.running[long] != longs {
		t.Fatalf("admission has %d waiting and %d running, the reference model %d and %d", status.Waiting, pool.inUse(), len(o.waiting), all)
	}
	if _, _, ok := pool.choose(); ok {
		t.Fatalf("a slot is free while an eligible request waits")
	}
	for name, team := range o.m.teams {
		if team.inFlight > team.maxInFlight && all > 0 && o.m.hosts == 1 && team.allottedUntil.IsZero() {
			t.Fatalf("team %s has %d in flight, more than %d", name, team.inFlight, team.maxInFlight)
		}
	}
	if at, ok := o.m.NextWake(); ok && at.Before(epoch) {
		t.Fatalf("the next wake %s is before the start of the test", at)
	}
}

// Guards against slots that are lost or granted twice, long work in slots kept
// for short work, and slots that stay free while eligible requests wait. Requests
// enter, leave and are abandoned while capacity, allotments and time change.
func TestControllerStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &controllerModel{m: NewController(), now: epoch, waiting: map[Ticket]modelRequest{}, running: map[Ticket]modelRequest{}, capacity: defaultSlots}
		for i := range 4 {
			team := newRow(fmt.Sprintf("t%d", i), 1+i)
			if i == 0 {
				team.MaxInFlight, team.TokensPerSecond, team.QueueLength = 2, 100, 3
			}
			o.teams = append(o.teams, team)
		}
		t.Repeat(map[string]func(*rapid.T){
			"enter": o.enter, "enter2": o.enter, "leave": o.leave, "abandon": o.abandon,
			"capacity": func(t *rapid.T) {
				o.capacity = rapid.IntRange(0, 10).Draw(t, "slots")
				o.m.SetCapacity(o.now, model, o.capacity)
			},
			"allot": func(t *rapid.T) {
				team := rapid.IntRange(0, 3).Draw(t, "team")
				o.m.SetAllotment(o.now, o.teams[team].Team, rapid.Float64Range(0, 1).Draw(t, "part"), o.now.Add(2*time.Second))
			},
			"time": func(t *rapid.T) {
				o.now = o.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				o.m.Wake(o.now)
			},
			"": o.check,
		})
		// All requests finish once limits and capacity permit.
		o.m.SetCapacity(o.now, model, 5)
		for range 100000 {
			o.collectDecisions(t)
			if len(o.waiting)+len(o.running) == 0 {
				break
			}
			if ticket, found := lowestTicket(t, o.running); found {
				delete(o.running, ticket)
				o.m.Leave(o.now, ticket, 1)
				continue
			}
			at, ok := o.m.NextWake()
			if !ok {
				t.Fatalf("%d requests wait, but no wake is scheduled", len(o.waiting))
			}
			o.now = at
			o.m.Wake(at)
		}
		if o.m.Status().Waiting != 0 || o.m.pool(model).inUse() != 0 || len(o.m.freeList) != len(o.m.entries) {
			t.Fatalf("entries are not freed after all requests ended")
		}
	})
}

// Guards against service that does not converge to the teams' weights. Between
// teams that always have requests waiting, the served tokens divided by weight
// may differ by at most largest*(slots+2): two requests of each team and those in
// its slots (the bound of the papers that the package cites).
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest, slots = 400, 8
		m := newSizedController(slots)
		teams := []*core.TeamRow{newRow("a", 1), newRow("b", rapid.IntRange(1, 5).Draw(t, "b")), newRow("c", rapid.IntRange(1, 5).Draw(t, "c"))}
		served := make([]float64, len(teams))
		waiting := make([]int, len(teams))
		owner := map[Ticket]int{}
		size := map[Ticket]core.Tokens{}
		var running []Ticket
		for range 600 {
			for i, team := range teams {
				for waiting[i] < 4 {
					tokens := core.Tokens(rapid.IntRange(1, largest).Draw(t, "tokens"))
					ticket, refusal := m.Enter(epoch, newRequest(team, false, tokens, epoch))
					if refusal != nil {
						t.Fatalf("refused: %+v", refusal)
					}
					owner[ticket], size[ticket] = i, tokens
					waiting[i]++
				}
			}
			for _, ticket := range m.Granted() {
				waiting[owner[ticket]]--
				served[owner[ticket]] += float64(size[ticket])
				running = append(running, ticket)
			}
			if len(running) > 0 {
				m.Leave(epoch, running[0], size[running[0]])
				running = running[1:]
			}
		}
		for i := range teams {
			for j := range teams {
				gap := served[i]/float64(teams[i].Weight) - served[j]/float64(teams[j].Weight)
				if gap > largest*(slots+2) {
					t.Fatalf("team %d is %f weighted tokens ahead of team %d", i, gap, j)
				}
			}
		}
	})
}

// Guards against long work that starves behind sustained short work of the same
// team, and against short work that starves behind long work.
func TestNoStarvation(t *testing.T) {
	Convey("Long work is granted while short work always waits", t, func() {
		m := newSizedController(4)
		team := newRow("a", 1)
		now := epoch
		longTicket := Ticket(0)
		var running []Ticket
		granted := time.Time{}
		for step := range 400 {
			now = now.Add(50 * time.Millisecond)
			for range 2 {
				_, _ = m.Enter(now, newRequest(team, false, 10, now))
			}
			if step == 20 {
				longTicket, _ = m.Enter(now, newRequest(team, true, 1000, now))
			}
			for _, ticket := range m.Granted() {
				if ticket == longTicket && longTicket != 0 {
					granted = now
					continue
				}
				running = append(running, ticket)
			}
			if len(running) > 0 {
				m.Leave(now, running[0], 10)
				running = running[1:]
			}
		}
		So(granted.IsZero(), ShouldBeFalse)
	})
	Convey("Long work never holds the slots kept for short work", t, func() {
		m := newSizedController(10)
		for range 50 {
			_, _ = m.Enter(epoch, newRequest(newRow("a", 100), true, 1000, epoch))
		}
		So(m.Granted(), ShouldHaveLength, 8)
		_, refusal := m.Enter(epoch, newRequest(newRow("b", 1), false, 10, epoch))
		So(refusal, ShouldBeNil)
		So(m.Granted(), ShouldHaveLength, 1)
	})
}

// Guards against queueing requests that, by the measured service rate, can't meet
// their deadline, and against an unrealistic Retry-After.
func TestEarlyRefusal(t *testing.T) {
	Convey("A pool that serves 100 tokens/s in each of two slots", t, func() {
		m := newSizedController(2)
		team := newRow("a", 1)
		now := epoch
		for range 200 {
			ticket, _ := m.Enter(now, newRequest(team, false, 100, now))
			now = now.Add(time.Second)
			m.Leave(now, ticket, 100)
		}
		m.Granted()
		for range 22 {
			_, refusal := m.Enter(now, newRequest(team, false, 100, now))
			So(refusal, ShouldBeNil)
		}
		// 20 requests wait, which takes 10 s at 200 tokens/s.
		request := newRequest(team, false, 100, now)
		request.Deadline = now.Add(20 * time.Second)
		_, refusal := m.Enter(now, request)
		So(refusal.Code, ShouldEqual, fault.DeadlineTooShort)
		So(refusal.Wait.Seconds(), ShouldBeBetween, 8, 13)
		So(refusal.RetryAfter.Seconds(), ShouldBeBetween, 6, 12)
	})
	Convey("A team beyond its rate is told that its limits are the reason", t, func() {
		m := newSizedController(10)
		team := newRow("a", 1)
		team.TokensPerSecond = 100
		_, refusal := m.Enter(epoch, newRequest(team, false, 1000, epoch))
		So(refusal, ShouldBeNil)
		late := newRequest(team, false, 10, epoch)
		late.Deadline = epoch.Add(time.Second)
		_, refusal = m.Enter(epoch, late)
		So(refusal.TeamLimit, ShouldBeTrue)
		So(refusal.Code, ShouldEqual, fault.Overloaded)
	})
}

func BenchmarkEnterLeave12000Teams(b *testing.B) {
	m := newSizedController(400)
	rows := make([]*core.TeamRow, 12000)
	running := make([]Ticket, 0, 1024)
	for i := range rows {
		rows[i] = newRow(fmt.Sprintf("team-%d", i), 1+i%3)
		_, _ = m.Enter(epoch, newRequest(rows[i], i%10 == 0, 100, epoch))
	}
	running = append(running, m.Granted()...)
	now := epoch
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		_, _ = m.Enter(now, newRequest(rows[i%len(rows)], i%10 == 0, 100, now))
		m.Leave(now, running[i%len(running)], 90)
		if granted := m.Granted(); len(granted) > 0 {
			running[i%len(running)] = granted[0]
		}
		i++
	}
}
