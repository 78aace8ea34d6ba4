package linkload

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// zone is a zone of hosts behind a balancer that sends a heavy caller to the first host in
// rotation, in an order that is the caller's own. The balancer notices changes of the
// rotation after a delay.
type zone struct {
	hosts []State
	// capacity and base are in bytes a second, of each host's link and of its other load.
	capacity []float64
	base     float64
	heavy    float64
	// rotation has for each of the last windows which hosts were in rotation.
	rotation [][]bool
	at       int
	// carried counts the windows in which the heavy caller's host had room for it.
	carried, windows int
}

// balancerDelay is that of two failed checks at one a second, and of a check.
const balancerDelay = 25

func newZone(order []float64, base, heavy float64) *zone {
	return &zone{hosts: make([]State, len(order)), capacity: order, base: base, heavy: heavy}
}

func (z *zone) run(duration time.Duration) {
	for range windows(duration) {
		ready := make([]bool, len(z.hosts))
		for i := range z.hosts {
			ready[i] = !z.hosts[i].Away()
		}
		z.rotation = append(z.rotation, ready)
		if seen := len(z.rotation) - balancerDelay; seen > 0 {
			for z.at = 0; z.at < len(z.hosts)-1 && !z.rotation[seen][z.at]; z.at++ {
			}
		}
		for i := range z.hosts {
			load := z.base
			if i == z.at {
				load += z.heavy
			}
			z.hosts[i].EndWindow(min(load/z.capacity[i], 1))
			if i == z.at && load < z.capacity[i] {
				z.carried++
			}
		}
		z.windows++
	}
}

const (
	small = 1.25e6 // 10 Mbit/s
	large = 25e6   // 200 Mbit/s
)

// Guards against a caller with more traffic than a small host's link carries: the host held
// its requests until their deadlines, for the whole of a day, while a peer had room.
func TestAHeavyCallerMovesToAHostThatCarriesIt(t *testing.T) {
	Convey("Given a caller that reaches four small hosts before a large one", t, func() {
		z := newZone([]float64{small, small, small, small, large, small, small, small, small}, 0.1e6, 1.6e6)
		z.run(20 * time.Second)
		So(z.at, ShouldEqual, 4)
		Convey("it stays there for most of the time", func() {
			z.carried, z.windows = 0, 0
			z.run(3 * time.Minute)
			So(float64(z.carried)/float64(z.windows), ShouldBeGreaterThan, 0.8)
		})
		Convey("the small hosts are back once the caller is gone, and stay", func() {
			z.heavy = 0
			z.run(3 * time.Minute)
			for i := range z.hosts {
				So(z.hosts[i].Away(), ShouldBeFalse)
				So(z.hosts[i].Share(), ShouldEqual, 0)
			}
		})
	})
}

// Guards against hosts that leave the rotation, or reject requests, though their links
// have room.
func TestAZoneWithRoomStaysInRotation(t *testing.T) {
	Convey("Given hosts whose links are used by half, with peaks of a window", t, func() {
		var s State
		for i := range 3000 {
			use := 0.5
			if i%20 == 0 {
				use = 1
			}
			s.EndWindow(use)
			So(s.Away(), ShouldBeFalse)
			So(s.Share(), ShouldEqual, 0)
		}
	})
}

// Guards against calls to peers that wait behind callers' requests: a share of these is
// rejected while the link is nearly full, and none soon after.
func TestAFullLinkRejectsForAsLongAsItIsFull(t *testing.T) {
	Convey("Given a link that is full for two seconds", t, func() {
		var s State
		for range windows(2 * time.Second) {
			s.EndWindow(1)
		}
		So(s.Share(), ShouldEqual, maxShare)
		So(s.Full(), ShouldBeTrue)
		for range windows(3 * time.Second) {
			s.EndWindow(0.2)
		}
		So(s.Share(), ShouldEqual, 0)
		So(s.Full(), ShouldBeFalse)
	})
}

// Guards against an absence after a pause of the process, which then reads in one window
// what has arrived in many.
func TestOneWindowWithABacklogIsNoFullLink(t *testing.T) {
	Convey("Given a link that is used by a third, and a pause of a second", t, func() {
		var s State
		for range 50 {
			s.EndWindow(0.3)
		}
		s.EndWindow(0)
		s.EndWindow(3.3)
		So(s.Away(), ShouldBeFalse)
		So(s.Share(), ShouldEqual, 0)
	})
}
