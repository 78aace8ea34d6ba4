package teams_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
	measure "github.com/peridotreel/peridotreel/internal/measure/fleet"
	standin "github.com/peridotreel/peridotreel/internal/standin/platform"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	fuzzHosts = 4
	// inForceWithin is the target of promise P8.
	inForceWithin = 5 * time.Second
)

// fuzzed is a fleet under fuzzing, with the oracle: the weights saved so far.
type fuzzed struct {
	service *standin.Service
	network *measure.Network
	hosts   []*host
	saved   map[core.TeamName]int
	// held is the highest weight that each host had in force.
	held []map[core.TeamName]int
}

func (f *fuzzed) start(i int) {
	f.hosts[i] = startHost(f.network, f.service, i)
	f.hosts[i].group.Start(f.hosts[i].Task)
	f.held[i] = make(map[core.TeamName]int)
}

// gossip shows each host the revisions of those that it isn't cut from.
func (f *fuzzed) gossip(cut map[int]bool) {
	for i, h := range f.hosts {
		var peers []core.Peer
		for j, other := range f.hosts {
			if i != j && cut[i] == cut[j] {
				peers = append(peers, core.Peer{Ref: core.HostRef{Host: core.HostID(fmt.Sprint(j)), Incarnation: 1},
					Address: address(j), State: core.PeerAlive, Revision: other.Status().Revision})
			}
		}
		h.view.Store(&core.PeerView{Peers: peers})
	}
}

// pass lets time go by with gossip twice a second and checks that no weight
// that a host had in force goes back.
func (f *fuzzed) pass(t *rapid.T, d time.Duration, cut map[int]bool) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		f.gossip(cut)
		for i, h := range f.hosts {
			for team, last := range f.saved {
				weight := h.weight(team)
				if weight < f.held[i][team] || weight > last {
					t.Fatalf("host %d has version %d of %s in force after %d; %d was saved", i, weight, team, f.held[i][team], last)
				}
				f.held[i][team] = weight
			}
		}
	}
}

// Guards against an accepted version that reverts on a host or doesn't reach
// every host that is connected to the platform or to a peer that is, while
// hosts restart, lose the platform and are cut off.
func TestAcceptedVersionsReachEveryHost(t *testing.T) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261204")
	}
	synctest.Test(t, func(t *testing.T) {
		// rapid asks a *testing.T for its deadline, which a bubble forbids.
		rapid.Check(struct{ testing.TB }{t}, fuzzConfiguration)
	})
}

func fuzzConfiguration(t *rapid.T) {
	f := &fuzzed{service: standin.NewService(), network: measure.NewNetwork(), hosts: make([]*host, fuzzHosts),
		saved: make(map[core.TeamName]int), held: make([]map[core.TeamName]int, fuzzHosts)}
	var group task.Group
	group.Start(f.service)
	for i := range fuzzHosts {
		f.start(i)
	}
	defer func() {
		for _, h := range f.hosts {
			h.group.Stop()
		}
		group.Stop()
		time.Sleep(3 * time.Second)
	}()
	cut := make(map[int]bool)
	drawHost := func(t *rapid.T) int { return rapid.IntRange(0, fuzzHosts-1).Draw(t, "host") }
	t.Repeat(map[string]func(*rapid.T){
		"save": func(t *rapid.T) {
			team := core.TeamName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"))
			f.saved[team]++
			save(f.service, team, f.saved[team])
		},
		"pass": func(t *rapid.T) {
			f.pass(t, time.Duration(rapid.IntRange(1, 10).Draw(t, "seconds"))*time.Second, cut)
		},
		"platform down": func(t *rapid.T) { f.hosts[drawHost(t)].gate.down.Store(true) },
		"platform up":   func(t *rapid.T) { f.hosts[drawHost(t)].gate.down.Store(false) },
		"restart": func(t *rapid.T) {
			i := drawHost(t)
			f.hosts[i].group.Stop()
			f.start(i)
		},
		"cut off": func(t *rapid.T) {
			i := drawHost(t)
			cut[i] = true
			for j := range fuzzHosts {
				f.network.Partition([]string{address(i)}, []string{address(j)})
			}
		},
	})
	// One host reaches the platform, all hosts reach each other.
	f.network.Heal()
	clear(cut)
	lucky := drawHost(t)
	for i, h := range f.hosts {
		h.gate.down.Store(i != lucky)
	}
	f.pass(t, 3*inForceWithin, cut)
	for team := range f.saved {
		f.saved[team]++
		save(f.service, team, f.saved[team])
	}
	f.pass(t, inForceWithin, cut)
	for i, h := range f.hosts {
		for team, weight := range f.saved {
			if h.weight(team) != weight {
				t.Fatalf("host %d has version %d of %s in force %s after version %d was saved", i, h.weight(team), team, inForceWithin, weight)
			}
		}
	}
}
