package connshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	hosts        = 66
	maxOfAll     = 460
	evenPart     = 5 // 460 x 0.85 / 66
	step         = 10 * time.Millisecond
	lossPercent  = 20
	busyInFlight = 20.0
	idleInFlight = 0.3
	ended        = 10 // steps of work of a request
)

var start = time.Unix(1_000_000, 0)

type message struct {
	due      time.Time
	from, to int
	askedAt  time.Time
	wants    []Want
	grants   []Grant
}

// fleet is hosts that use one upstream and exchange reports which take 200 to 400 ms each
// way; some are lost.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	tables   []*Table
	inUse    [hosts]int
	ends     [hosts][ended]int
	messages []message
	cut      bool
	// highest is the largest sum of what the hosts might have used at once.
	highest int
	// arrived and refused count the requests of the busy host and of the others.
	arrived, refused [2]float64
}

func newFleet() *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(7, 1)), now: start}
	for range hosts {
		f.tables = append(f.tables, New())
	}
	return f
}

func (f *fleet) part(host int) func(core.UpstreamID) Part {
	return func(core.UpstreamID) Part { return Part{evenPart, f.inUse[host]} }
}

func (f *fleet) send(m message) {
	if f.cut || f.random.IntN(100) < lossPercent {
		return
	}
	m.due = f.now.Add(200*time.Millisecond + time.Duration(f.random.IntN(200))*time.Millisecond)
	f.messages = append(f.messages, m)
}

func (f *fleet) run(duration time.Duration, busy int) {
	for until := f.now.Add(duration); f.now.Before(until); f.now = f.now.Add(step) {
		tick := int(f.now.Sub(start)/step) % ended
		pending := f.messages
		f.messages = nil
		for _, m := range pending {
			switch {
			case m.due.After(f.now):
				f.messages = append(f.messages, m)
			case m.grants != nil:
				f.tables[m.to].Accept(m.grants, m.askedAt, f.now)
			default:
				if grants := f.tables[m.to].Grant(m.wants, f.part(m.to), f.now); grants != nil {
					f.send(message{from: m.to, to: m.from, askedAt: m.askedAt, grants: grants})
				}
			}
		}
		sum := 0
		for host, table := range f.tables {
			f.inUse[host] -= f.ends[host][tick]
			f.ends[host][tick] = 0
			rate := idleInFlight / ended
			if host == busy {
				rate = busyInFlight / ended
			}
			for ; rate > 0; rate-- {
				if f.random.Float64() < rate {
					f.request(host, tick, host == busy)
				}
			}
			if f.random.IntN(40) == 0 { // once in 400 ms
				for range 3 {
					f.send(message{from: host, to: f.random.IntN(hosts), askedAt: f.now, wants: table.Wants(f.part(host), f.now)})
				}
			}
			sum += max(table.share("u").limit(evenPart, f.now), f.inUse[host])
		}
		f.highest = max(f.highest, sum)
	}
}

func (f *fleet) request(host, tick int, busy bool) {
	kind := 0
	if busy {
		kind = 1
	}
	f.arrived[kind]++
	if f.inUse[host] >= f.tables[host].Began("u", Part{evenPart, f.inUse[host] + 1}, f.now) {
		f.refused[kind]++
		return
	}
	f.inUse[host]++
	f.ends[host][tick]++
}

// Guards against a busy host that runs out of connections which others leave unused, and
// against more connections of all hosts than the upstream takes, whatever is lost or late.
// Load: 66 hosts with 0.3 requests at once, one with 20; reports are 400 to 800 ms old when
// their replies arrive, 20 in 100 messages are lost.
func TestABusyHostGetsConnectionsThatOthersDoNotUse(t *testing.T) {
	Convey("Given a host that needs four times its equal part", t, func() {
		f := newFleet()
		f.cut = true
		f.run(10*time.Second, 3)
		before := f.refused[1] / f.arrived[1]
		f.cut = false
		f.run(4*time.Second, 3)
		f.arrived, f.refused = [2]float64{}, [2]float64{}
		f.run(20*time.Second, 3)
		after, others := f.refused[1]/f.arrived[1], f.refused[0]/f.arrived[0]
		_, _ = Printf("without a connection: %.3f before, %.3f after, %.3f at others; %d of %d connections at most ", before, after, others, f.highest, maxOfAll)
		So(before, ShouldBeGreaterThan, 0.2)
		So(after, ShouldBeLessThan, 0.02)
		Convey("another one gets them in its place, and each has its part back without peers", func() {
			f.run(10*time.Second, 9)
			f.cut = true
			f.run(loanTime+settleTime+time.Second, 9)
			for _, table := range f.tables {
				So(table.share("u").limit(evenPart, f.now), ShouldEqual, evenPart)
			}
			So(f.highest, ShouldBeLessThanOrEqualTo, maxOfAll*85/100)
		})
	})
}

// Guards against loans that a peer makes up, or that are as old as their end.
func TestOnlyLoansThatWereAskedForAndHoldAreUsed(t *testing.T) {
	Convey("Given a host with one upstream in use", t, func() {
		table := New()
		So(table.Began("u", Part{5, 1}, start), ShouldEqual, 5)
		for name, grant := range map[string]Grant{
			"of another upstream": {"v", 3, loanTime}, "of less than none": {"u", -3, loanTime}, "too long": {"u", 3, time.Hour}, "over": {"u", 3, time.Second},
		} {
			Convey("A loan "+name+" changes nothing", func() {
				table.Accept([]Grant{grant}, start, start.Add(2*time.Second))
				So(table.Began("u", Part{5, 1}, start.Add(2*time.Second)), ShouldEqual, 5)
			})
		}
	})
}

func BenchmarkBegan(b *testing.B) {
	for _, loans := range []int{0, 16, maxLoans} {
		b.Run(fmt.Sprint("loans=", loans), func(b *testing.B) {
			table := New()
			table.Began("u", Part{5, 5}, start)
			for range loans {
				table.Accept([]Grant{{"u", 1, loanTime}}, start, start)
			}
			b.ReportAllocs()
			for b.Loop() {
				table.Began("u", Part{5, 5}, start)
			}
		})
	}
}

// Guards against a host that may have no connection at all: its equal part becomes smaller
// than what it has lent, as more hosts are known, or the connections are divided no more.
func TestAnEqualPartThatShrinksLeavesConnections(t *testing.T) {
	Convey("Given a host that has lent most of its part", t, func() {
		now := time.Unix(100, 0)
		table := New()
		part := Part{Even: 16}
		partOf := func(core.UpstreamID) Part { return part }
		grants := table.Grant([]Want{{Upstream: "u", Count: 12}}, partOf, now)
		So(len(grants), ShouldEqual, 1)
		part.Even = 3
		So(table.Began("u", part, now), ShouldBeGreaterThanOrEqualTo, minKept)
		part.Even = 0
		So(table.Limits(partOf, now), ShouldBeEmpty)
	})
}
