package membership

import (
	"flag"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
)

// TestMain fixes the seed of the state machines, so that each run gives the
// same verdict; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261204")
	}
	m.Run()
}

// settleTime is the longest suspicion of a small fleet, 24 s, plus the time to
// try every dead host again, one a period at up to 9 s, and to spread the news.
const settleTime = 3 * time.Minute

// Guards against a process that is mistaken for a later one, a mark of leaving
// that is lost, a living host that stays dead after a pause or a partition, and
// a lowest wire version that a live host can't read.
func TestMembershipSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 9).Draw(t, "hosts")
		s := newSimulation(n, rapid.Uint64().Draw(t, "network"), func(format string, args ...any) { t.Fatalf(format, args...) })
		host := func() int { return rapid.IntRange(0, n-1).Draw(t, "host") }
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				s.run(time.Duration(rapid.IntRange(1, 20000).Draw(t, "milliseconds")) * time.Millisecond)
			},
			"crash":   func(*rapid.T) { s.nodes[host()].up = false },
			"restart": func(*rapid.T) { s.start(host(), rapid.IntRange(1, 3).Draw(t, "wire")) },
			"pause": func(t *rapid.T) {
				s.nodes[host()].pausedUntil = s.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
			},
			"leave": func(*rapid.T) {
				if leaver := s.nodes[host()]; leaver.up {
					leaver.leaving = true
					leaver.machine.Leave()
					s.perform(leaver, leaver.machine.Announce(s.now))
				}
			},
			"cut":  func(*rapid.T) { s.cut[[2]int{host(), host()}] = true },
			"lose": func(t *rapid.T) { s.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss") },
			"listed": func(t *rapid.T) {
				// The list lags: it may name an earlier process as well.
				s.nodes[host()].machine.Listed(s.now, []Fact{s.lagging(host(), t)})
			},
			"partition": func(*rapid.T) {
				side := rapid.IntRange(1, n-1).Draw(t, "side")
				for i := range n {
					for j := range n {
						if (i < side) != (j < side) {
							s.cut[[2]int{i, j}] = true
						}
					}
				}
			},
			"heal": func(*rapid.T) { clear(s.cut); s.loss = 0 },
		})
		clear(s.cut)
		s.loss = 0
		for i, other := range s.nodes {
			other.pausedUntil = time.Time{}
			if !other.up && rapid.Bool().Draw(t, "returns") {
				s.start(i, other.wire)
			}
		}
		s.run(settleTime)
		if wrong := s.disagreement(); wrong != "" {
			t.Fatalf("after %s without faults: %s", settleTime, wrong)
		}
	})
}

// lagging returns an entry of the platform's list for a present or past process.
func (s *simulation) lagging(i int, t *rapid.T) Fact {
	n := s.nodes[i]
	listed := Fact{Ref: n.ref, Zone: "z", Address: n.address}
	listed.Ref.Incarnation = core.Incarnation(rapid.Uint64Range(1, uint64(n.ref.Incarnation)).Draw(t, "listed"))
	return listed
}

// Guards against false deaths when one direction between two hosts is lost:
// the others reach both, so nobody may be suspected for long.
func TestOneDirectionLost(t *testing.T) {
	Convey("With one direction lost between two of nine hosts, no one is declared dead in 10 min", t, func() {
		s := newSimulation(9, 3, func(format string, args ...any) { t.Fatalf(format, args...) })
		s.run(30 * time.Second)
		So(s.disagreement(), ShouldEqual, "")
		s.cut[[2]int{2, 5}] = true
		for range 600 {
			s.run(time.Second)
			for i, n := range s.nodes {
				for _, peer := range n.machine.View(s.now).Peers {
					if peer.State == core.PeerDead {
						t.Fatalf("host %d declared %s dead", i, peer.Ref)
					}
				}
			}
		}
	})
}

// Guards against a paused host that accuses the others when it wakes.
func TestPause(t *testing.T) {
	Convey("A host paused for a minute refutes its death and accuses no one", t, func() {
		s := newSimulation(9, 4, func(format string, args ...any) { t.Fatalf(format, args...) })
		s.run(30 * time.Second)
		s.nodes[4].pausedUntil = s.now.Add(time.Minute)
		s.run(time.Minute)
		So(s.nodes[0].machine.members["h4"].fact.Liveness, ShouldEqual, Dead)
		for range 60 {
			s.run(time.Second)
			for _, peer := range s.nodes[4].machine.View(s.now).Peers {
				So(peer.State, ShouldEqual, core.PeerAlive)
			}
		}
		So(s.disagreement(), ShouldEqual, "")
		So(s.nodes[0].machine.members["h4"].fact.Refutations, ShouldBeGreaterThan, uint32(0))
	})
}

// Guards against a host that wakes from a pause, sees that its pings are long
// past their time, and suspects hosts that did answer.
func TestPauseAccusesNobody(t *testing.T) {
	Convey("Pings that ended during a pause of this host suspect nobody", t, func() {
		s := newSimulation(9, 5, func(format string, args ...any) { t.Fatalf(format, args...) })
		s.run(30 * time.Second)
		machine := s.nodes[4].machine
		for len(machine.probes) == 0 {
			s.run(time.Millisecond)
		}
		machine.Tick(s.now.Add(time.Minute))
		So(machine.suspects, ShouldBeEmpty)
		So(machine.health, ShouldEqual, maxHealth)
	})
}

// Guards against two halves of a fleet that have declared each other dead and
// never try again, and against deaths within a half that the other half tells.
func TestPartitionHeals(t *testing.T) {
	for _, length := range []time.Duration{5 * time.Minute, time.Hour} {
		Convey("After a partition of "+length.String()+" the halves find each other again, without seeds", t, func() {
			s := newSimulation(9, 6, func(format string, args ...any) { t.Fatalf(format, args...) })
			s.run(30 * time.Second)
			for i, n := range s.nodes {
				n.machine.config.Seeds = nil
				for j := range s.nodes {
					if (i < 4) != (j < 4) {
						s.cut[[2]int{i, j}] = true
					}
				}
			}
			s.run(length)
			So(s.nodes[0].machine.live(), ShouldEqual, 4)
			clear(s.cut)
			for range int(settleTime / time.Second) {
				s.run(time.Second)
				for i, j := range []int{1, 2, 3, 0, 5, 6, 7, 8, 4} {
					So(s.nodes[i].machine.members[s.nodes[j].ref.Host].fact.Liveness, ShouldNotEqual, Dead)
				}
			}
			So(s.disagreement(), ShouldEqual, "")
		})
	}
}

// Guards against facts whose outcome depends on the order of messages.
func TestJoinIsOrderless(t *testing.T) {
	facts := rapid.Custom(func(t *rapid.T) Fact {
		return Fact{Ref: core.HostRef{Host: "h", Incarnation: core.Incarnation(rapid.Uint64Range(1, 3).Draw(t, "incarnation"))},
			Refutations: rapid.Uint32Range(0, 2).Draw(t, "refutations"), Liveness: Liveness(rapid.IntRange(1, 3).Draw(t, "liveness")),
			Leaving: rapid.Bool().Draw(t, "leaving"), Revision: rapid.Int64Range(0, 3).Draw(t, "revision")}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := facts.Draw(t, "a"), facts.Draw(t, "b"), facts.Draw(t, "c")
		if Join(a, b) != Join(b, a) || Join(a, Join(b, c)) != Join(Join(a, b), c) || Join(a, a) != a {
			t.Fatalf("joining %+v, %+v and %+v depends on the order", a, b, c)
		}
	})
}
