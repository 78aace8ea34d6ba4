package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
)

// fleet is the registries of hosts that exchange reports with random peers.
type fleet struct {
	hosts  []*Registry
	random *rand.Rand
	now    time.Time
	// most is the largest number of entries in a report.
	most int
}

func newFleet(hosts int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: start}
	for i := range hosts {
		f.hosts = append(f.hosts, New(core.HostID(fmt.Sprint("h", i))))
	}
	return f
}

// round lets each host exchange reports with three others, as the peers task does
// every 0.4 s.
func (f *fleet) round() {
	f.now = f.now.Add(400 * time.Millisecond)
	for _, caller := range f.hosts {
		for range 3 {
			called := f.hosts[f.random.IntN(len(f.hosts))]
			if called == caller {
				continue
			}
			request := caller.Report(nil, f.now)
			called.Merge(request, f.now)
			reply := called.Report(&request.Digest, f.now)
			caller.Merge(reply, f.now)
			f.most = max(f.most, len(request.Crashes), len(reply.Crashes), len(request.Answers), len(reply.Answers))
		}
	}
}

func (f *fleet) holding(part string) int {
	count := 0
	for _, host := range f.hosts {
		if _, held := host.Holds()[part]; held {
			count++
		}
	}
	return count
}

// Guards against hosts that learn too late of crashes which others observed, from
// a small site to the design size, and against reports that grow with the fleet.
func TestAllHostsHoldAPartWithinSeconds(t *testing.T) {
	for _, size := range []int{3, 9, 91, 330} {
		Convey(fmt.Sprintf("Given %d hosts, each crash observed by another host", size), t, func() {
			f := newFleet(size, uint64(size))
			for i := range crashesToHold {
				observer := f.hosts[(7*i)%size]
				crashed := Crash{Upstream: core.UpstreamID(fmt.Sprint("u", i)), At: f.now, SameZone: i == 0}
				record(observer, promptOf("a", fmt.Sprint("b", i), "deadly"), crashed, f.now)
				record(f.hosts[(5*i+1)%size], promptOf("a", "beside"), crashed, f.now)
				f.hosts[(3*i+2)%size].RecordAnswer(promptOf("a"), f.now.Add(time.Millisecond))
				f.round()
			}
			for range 5 { // 2 s; the platform allows 3 s
				f.round()
			}
			So(f.holding("deadly"), ShouldEqual, size)
			So(f.holding("a"), ShouldEqual, 0)
			So(f.most, ShouldBeLessThanOrEqualTo, maxReportEntries)
			Convey("a host that restarts or returns learns of it from one exchange", func() {
				f.hosts[0] = New("h0")
				f.now = f.now.Add(20 * time.Second)
				request := f.hosts[0].Report(nil, f.now)
				f.hosts[0].Merge(f.hosts[1].Report(&request.Digest, f.now), f.now)
				_, held := f.hosts[0].Holds()["deadly"]
				So(held, ShouldBeTrue)
			})
			Convey("an answer at one host releases it everywhere", func() {
				f.hosts[size/2].RecordAnswer(promptOf("deadly"), f.now)
				for range 8 {
					f.round()
				}
				So(f.holding("deadly"), ShouldEqual, 0)
			})
			Convey("once all know, nothing more is sent", func() {
				for range 20 {
					f.round()
				}
				f.most = 0
				f.round()
				So(f.most, ShouldEqual, 0)
			})
		})
	}
}

// Guards against losing the crashes of the request that causes them among those of the
// many that were waiting beside it at a large upstream: what a host remembers and sends
// is bounded.
func TestARequestIsHeldAmongManyThatWaitBesideIt(t *testing.T) {
	for size, loads := range map[int][]int{9: {16, 128}, 91: {64}, 330: {32}} {
		for _, waiting := range loads {
			Convey(fmt.Sprintf("Given %d hosts, and %d requests that wait at each upstream that crashes", size, waiting), t, func() {
				f := newFleet(size, uint64(size))
				for i := range crashesToHold {
					crashed := Crash{Upstream: core.UpstreamID(fmt.Sprint("u", i)), At: f.now, SameZone: i == 0}
					for n := range waiting {
						record(f.hosts[f.random.IntN(size)], promptOf(fmt.Sprint("a", n%4), fmt.Sprint("b", n%16)), crashed, f.now)
					}
					record(f.hosts[(7*i)%size], plain("request-deadly"), crashed, f.now)
					for range 5 {
						f.round()
					}
				}
				for range 2 { // with the rounds before 2.8 s; the platform allows 3 s
					f.round()
				}
				So(f.holding("request-deadly"), ShouldEqual, size)
				So(f.most, ShouldBeLessThanOrEqualTo, maxReportEntries)
				for _, host := range f.hosts {
					So(len(host.evidence), ShouldBeLessThanOrEqualTo, maxCrashes)
				}
			})
		}
	}
}
