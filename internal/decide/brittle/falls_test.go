package brittle_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against upstreams that fall over, as the hosts together send more than there is
// room for: at any load and number of hosts, beside bursts, while hosts know nothing of
// each other's load or come and go, and while others use slots.
func TestBrittleUpstreamsDoNotFallOver(t *testing.T) {
	const work = 1500 * time.Millisecond
	for hosts, tolerances := range map[int][]int{2: {0, 1, 5, 20}, 9: {0, 1, 5, 20}, 90: {0, 5}, 330: {0, 1, 20}} {
		for _, tolerance := range tolerances {
			Convey(fmt.Sprintf("Given %d hosts, and upstreams that can turn %d away", hosts, tolerance), t, func() {
				for _, scene := range []scenario{
					{load: 3, slots: 6, work: 60 * time.Millisecond},
					{load: 3, slots: 64, work: work, headFirst: true},
					{load: 1, slots: 64, work: work, headFirst: true, bursts: 5},
					{load: 1, slots: 6, work: 300 * time.Millisecond, bursts: 5},
					{load: 3, slots: 64, work: work, unaware: true},
					{load: 2, slots: 64, work: work, headFirst: true, restarts: true},
					{load: 0.7, slots: 64, work: work, headFirst: true, foreign: 40},
					{load: 3, slots: 64, work: work, headFirst: true, foreign: 40},
					{load: 3, slots: 64, work: work, headFirst: true, soundFor: 2 * time.Second, queue: 192},
					{load: 2, slots: 6, work: 60 * time.Millisecond, bursts: 5, soundFor: 2 * time.Second, queue: 24},
				} {
					scene.hosts, scene.tolerance, scene.upstreams = hosts, tolerance, 3
					s := newSimulation(scene, uint64(hosts))
					s.run(8*time.Second + scene.soundFor)
					SoMsg(s.describe(), s.falls(), ShouldBeLessThanOrEqualTo, s.allowedFalls())
				}
			})
		}
	}
}

// Guards against hosts that pause for so long after many rejections that none hears that
// the upstreams are still brittle, and that all take these for sound at once.
func TestHostsThatPauseDoNotReturnAtOnce(t *testing.T) {
	for _, hosts := range []int{90, 330} {
		for seed := range uint64(3) {
			Convey(fmt.Sprintf("Given %d hosts that upstreams with few slots turned away often, and seed %d", hosts, seed), t, func() {
				s := newSimulation(scenario{
					hosts: hosts, upstreams: 3, slots: 6, tolerance: 1, load: 2, bursts: 5, work: 60 * time.Millisecond,
					soundFor: 2 * time.Second, queue: 24,
				}, seed)
				s.run(14 * time.Second)
				SoMsg(s.describe(), s.falls(), ShouldBeLessThanOrEqualTo, s.allowedFalls())
			})
		}
	}
}

// Guards against hosts that have not heard of the queue that an upstream has when it
// becomes brittle, and that send to it although it can turn nothing away.
func TestManyHostsDoNotOverrunQueuesOfUpstreamsThatTurnNothingAway(t *testing.T) {
	Convey("Given 330 hosts and upstreams that become brittle with long queues", t, func() {
		s := newSimulation(scenario{
			hosts: 330, upstreams: 3, slots: 64, load: 3, work: 1500 * time.Millisecond, headFirst: true,
			soundFor: 2 * time.Second, queue: 192,
		}, 1)
		s.run(14 * time.Second)
		SoMsg(s.describe(), s.falls(), ShouldBeLessThanOrEqualTo, s.allowedFalls())
	})
}

// Guards against hosts that leave the slots of brittle upstreams unused at moderate load.
func TestSlotsOfBrittleUpstreamsAreUsed(t *testing.T) {
	for _, scene := range []scenario{
		{hosts: 2, upstreams: 3, tolerance: 0}, {hosts: 2, upstreams: 3, tolerance: 5},
		{hosts: 9, upstreams: 3, tolerance: 0}, {hosts: 9, upstreams: 9, tolerance: 1},
		{hosts: 90, upstreams: 90, tolerance: 5},
	} {
		scene.slots, scene.work, scene.headFirst, scene.load = 64, 1500*time.Millisecond, true, 0.5
		Convey(fmt.Sprintf("Given %+v", scene), t, func() {
			s := newSimulation(scene, 1)
			use := s.run(10 * time.Second)
			SoMsg(s.describe(), use, ShouldBeGreaterThanOrEqualTo, 0.9*scene.load)
			So(s.falls(), ShouldEqual, 0)
		})
	}
}
