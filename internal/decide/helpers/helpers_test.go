package helpers

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// fleet returns hosts h0, h1 and so on, dealt to zones a, b and c in turn.
func fleet(n int) []Host {
	hosts := make([]Host, n)
	for i := range hosts {
		hosts[i] = Host{ID: core.HostID(fmt.Sprint("h", i)), Zone: core.ZoneName("abc"[i%3 : i%3+1]), Address: fmt.Sprint("10.0.0.1:", i)}
	}
	return hosts
}

// Guards against requests to the own host, to hosts that were tried, and to hosts that
// have just failed, against back-offs without end, and against counts of open tunnels
// that go wrong.
func TestOnlyHostsThatMayHelpAreChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := fleet(rapid.IntRange(2, 330).Draw(t, "hosts"))
		h := New("h0", "a")
		h.SetHosts(hosts)
		now := start
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		blocked := make(map[core.HostID]time.Time) // until when for service s, as an oracle
		unreached := make(map[core.HostID]int)
		open := make(map[core.HostID]int)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			query := Query{Service: "s", Zone: "b"}
			for range 3 {
				eligible := slices.DeleteFunc(slices.Clone(hosts), func(host Host) bool {
					return host.ID == "h0" || now.Before(blocked[host.ID]) || slices.Contains(query.Excluded, host.ID)
				})
				host, found := h.Choose(query, now, random.IntN)
				if found != (len(eligible) > 0) {
					t.Fatalf("found %v with %d eligible hosts", found, len(eligible))
				}
				if !found {
					break
				}
				if !slices.Contains(eligible, host) {
					t.Fatalf("chose %v", host)
				}
				if !h.Usable("s", now) {
					t.Fatalf("chose %v although none is usable", host)
				}
				query.Excluded = append(query.Excluded, host.ID)
				result := Result(rapid.IntRange(int(Opened), int(Unsupported)).Draw(t, "result"))
				h.Tried(host.ID, "s", result, now)
				wait := map[Result]time.Duration{CutOff: 2 * time.Second, Failed: 2 * time.Second, Unsupported: 5 * time.Second, Busy: 250 * time.Millisecond}[result]
				if result == Unreachable {
					if unreached[host.ID]++; unreached[host.ID] == 2 {
						wait = 2 * time.Second
					}
				}
				if result == Opened {
					open[host.ID]++
				}
				if result == Opened || wait >= 2*time.Second {
					unreached[host.ID] = 0
				}
				if until := now.Add(wait); wait > 0 && until.After(blocked[host.ID]) {
					blocked[host.ID] = until
				}
			}
		}
		for id, n := range open {
			for range n {
				h.Closed(id)
			}
			if h.machines[id].open != 0 {
				t.Fatalf("%d tunnels open at %s", h.machines[id].open, id)
			}
		}
		h.SetHosts(nil)
		if len(h.machines)+len(h.services) != 0 || h.Usable("s", now) {
			t.Fatalf("state is kept of hosts that are gone")
		}
	})
}

// choices counts the hosts chosen for requests whose tunnels stay open, with the given
// result by host.
func choices(h *Helpers, n int, now time.Time, result func(Host) Result) map[Host]int {
	random := rand.New(rand.NewPCG(7, 7))
	chosen := make(map[Host]int)
	for range n {
		query := Query{Service: "s", Zone: "b"}
		for range 3 {
			host, found := h.Choose(query, now, random.IntN)
			if !found {
				break
			}
			got := result(host)
			h.Tried(host.ID, "s", got, now)
			query.Excluded = append(query.Excluded, host.ID)
			if got == Opened {
				chosen[host]++
				break
			}
		}
	}
	return chosen
}

// Guards against one helper that gets all of the load.
func TestLoadIsSpreadOverHelpers(t *testing.T) {
	Convey("Given 12 hosts of which all help", t, func() {
		h := New("h0", "a")
		h.SetHosts(fleet(12))
		chosen := choices(h, 60, start, func(Host) Result { return Opened })
		So(len(chosen), ShouldEqual, 3) // those of zone a
		for _, n := range chosen {
			So(n, ShouldBeBetween, 10, 30)
		}
	})
}

// Guards against requests that stay in a zone that is cut as a whole, and against a zone
// that is left for good.
func TestAZoneThatIsCutIsLeft(t *testing.T) {
	Convey("Given 12 hosts, of which those of the own zone are cut off", t, func() {
		h := New("h0", "a")
		h.SetHosts(fleet(12))
		tries := 0
		cut := func(host Host) Result {
			if host.Zone == "a" {
				tries++
				return CutOff
			}
			return Opened
		}
		chosen := choices(h, 60, start, cut)
		So(tries, ShouldEqual, zoneFailures)
		for host := range chosen {
			So(host.Zone, ShouldEqual, core.ZoneName("b"))
		}
		Convey("it is not tried again as soon as its back-off ends", func() {
			choices(h, 60, at(3), cut)
			So(tries, ShouldEqual, zoneFailures)
		})
		Convey("it is used again later", func() {
			for host := range choices(h, 10, at(12), func(Host) Result { return Opened }) {
				So(host.Zone, ShouldEqual, core.ZoneName("a"))
			}
		})
	})
	Convey("Given a host of a zone that was left which works", t, func() {
		h := New("h0", "a")
		h.SetHosts(fleet(12))
		h.Tried("h3", "s", CutOff, start)
		h.Tried("h6", "s", CutOff, start)
		h.Tried("h9", "s", Opened, start)
		host, found := h.Choose(Query{Service: "s", Zone: "b"}, at(1), func(int) int { return 0 })
		So(found, ShouldBeTrue)
		So(host.ID, ShouldEqual, core.HostID("h9"))
		Convey("a failure for one service says nothing about another", func() {
			host, _ := h.Choose(Query{Service: "t", Zone: "b"}, at(1), func(int) int { return 0 })
			So(host.ID, ShouldEqual, core.HostID("h3"))
		})
	})
}
