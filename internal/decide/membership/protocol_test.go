package membership

import (
	"flag"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
)

// TestMain fixes the seed of the property tests, so that each run has the same
// result; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261204")
	}
	m.Run()
}

// convergenceTime covers the longest suspicion timeout of a small fleet, 24 s,
// the time to probe every dead host again, one a period at up to 9 s, and the
// dissemination of the results.
const convergenceTime = 3 * time.Minute

// Guards against a process that is mistaken for a later one, a lost mark of
// leaving, a live host that stays dead after a pause or a partition, and a
// lowest wire version that a live host can't read.
func TestMembershipConverges(t *testing.T) {
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
					leaver.protocol.Leave()
					s.perform(leaver, leaver.protocol.Announce(s.now))
				}
			},
			"cut":  func(*rapid.T) { s.cut[[2]int{host(), host()}] = true },
			"lose": func(t *rapid.T) { s.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss") },
			"listed": func(t *rapid.T) {
				// The directory lags: it may name an earlier process.
				s.nodes[host()].protocol.MergeDirectory(s.now, []Fact{s.staleListing(host(), t)})
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
		s.run(convergenceTime)
		if wrong := s.disagreement(); wrong != "" {
			t.Fatalf("after %s without faults: %s", convergenceTime, wrong)
		}
	})
}

// staleListing returns a directory entry for the present or a past process.
func (s *simulation) staleListing(i int, t *rapid.T) Fact {
	n := s.nodes[i]
	listed := Fact{Ref: n.ref, Zone: "z", Address: n.address}
	listed.Ref.Incarnation = core.Incarnation(rapid.Uint64Range(1, uint64(n.ref.Incarnation)).Draw(t, "listed"))
	return listed
}

// Guards against hosts that are declared dead when one direction between two
// hosts is lost: relays reach both, so no suspicion may last.
func TestOneDirectionLost(t *testing.T) {
	Convey("With one direction lost between two of nine hosts, no one is declared dead in 10 min", t, func() {
		s := newSimulation(9, 3, func(format string, args ...any) { t.Fatalf(format, args...) })
		s.run(30 * time.Second)
		So(s.disagreement(), ShouldEqual, "")
		s.cut[[2]int{2, 5}] = true
		for range 600 {
			s.run(time.Second)
			for i, n := range s.nodes {
				for _, peer := range n.protocol.View(s.now).Peers {
					if peer.State == core.PeerDead {
						t.Fatalf("host %d declared %s dead", i, peer.Ref)
					}
				}
			}
		}
	})
}

// Guards against a host that suspects the others when it resumes from a pause.
func TestPause(t *testing.T) {
	Convey("A host paused for a minute refutes its death and suspects no other host", t, func() {
		s := newSimulation(9, 4, func(format string, args ...any) { t.Fatalf(format, args...) })
		s.run(30 * time.Second)
		s.nodes[4].pausedUntil = s.now.Add(time.Minute)
		s.run(time.Minute)
		So(s.nodes[0].protocol.members["h4"].fact.Liveness, ShouldEqual, Dead)
		for range 60 {
			s.run(time.Second)
			for _, peer := range s.nodes[4].protocol.View(s.now).Peers {
				So(peer.State, ShouldEqual, core.PeerAlive)
			}
		}
		So(s.disagreement(), ShouldEqual, "")
		So(s.nodes[0].protocol.members["h4"].fact.Refutations, ShouldBeGreaterThan, uint32(0))
	})
}

// Guards against a host that resumes from a pause, finds its pings long overdue
// and suspects hosts that did answer.
func TestPauseRaisesNoSuspicion(t *testing.T) {
	Convey("Pings that expired during a pause of this host raise no suspicion", t, func() {
		s := newSimulation(9, 5, func(format string, args ...any) { t.Fatalf(format, args...) })
		s.run(30 * time.Second)
		protocol := s.nodes[4].protocol
		for len(protocol.probes) == 0 {
			s.run(time.Millisecond)
		}
		protocol.Tick(s.now.Add(time.Minute))
		So(protocol.suspects, ShouldBeEmpty)
		So(protocol.healthScore, ShouldEqual, maxHealthScore)
	})
}

// Guards against two halves of a fleet that declared each other dead and never
// probe each other again, and against hosts that are declared dead within their
// own half because the other half reports them dead.
func TestPartitionHeals(t *testing.T) {
	for _, length := range []time.Duration{5 * time.Minute, time.Hour} {
		Convey("After a partition of "+length.String()+" the halves reconnect without seeds", t, func() {
			s := newSimulation(9, 6, func(format string, args ...any) { t.Fatalf(format, args...) })
			s.run(30 * time.Second)
			for i, n := range s.nodes {
				n.protocol.config.Seeds = nil
				for j := range s.nodes {
					if (i < 4) != (j < 4) {
						s.cut[[2]int{i, j}] = true
					}
				}
			}
			s.run(length)
			So(s.nodes[0].protocol.liveCount(), ShouldEqual, 4)
			clear(s.cut)
			for range int(convergenceTime / time.Second) {
				s.run(time.Second)
				for i, j := range []int{1, 2, 3, 0, 5, 6, 7, 8, 4} {
					So(s.nodes[i].protocol.members[s.nodes[j].ref.Host].fact.Liveness, ShouldNotEqual, Dead)
				}
			}
			So(s.disagreement(), ShouldEqual, "")
		})
	}
}

// Guards against results that depend on the order of messages.
func TestJoinIgnoresOrder(t *testing.T) {
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
