package selfload

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// machine is a host that serves requests one after the other, and whose timers are as
// late as its queue is long.
type machine struct {
	state State
	// perRequest is the time that a request takes, perRejected that of a rejected one.
	perRequest, perRejected time.Duration
	backlog                 time.Duration
	served, rejected        int
	// worst is the longest wait of a request that was served.
	worst time.Duration
	draw  float64
}

// run offers requests at a rate a second, for a time.
func (m *machine) run(rate float64, duration time.Duration, shed bool) {
	const tick = 10 * time.Millisecond
	offered := 0.0
	for now := time.Duration(0); now < duration; now += tick {
		offered += rate * tick.Seconds()
		for ; offered >= 1; offered-- {
			m.draw += 0.618
			if m.draw -= float64(int(m.draw)); shed && m.draw < m.state.Share() {
				m.rejected++
				m.backlog += m.perRejected
				continue
			}
			m.served++
			m.worst = max(m.worst, m.backlog)
			m.backlog += m.perRequest
		}
		m.state.Observe(m.backlog)
		m.backlog = max(m.backlog-tick, 0)
		if now%Window == 0 {
			m.state.EndWindow()
		}
	}
}

// Guards against a small host that holds requests until their deadlines while its peers
// are idle: with 240 requests a second where it can serve 50, as one host of 295 got,
// each request waited for seconds.
func TestAnOverloadedHostRejectsWhatItCannotServe(t *testing.T) {
	Convey("Given a host that serves 50 requests a second and gets 240", t, func() {
		before := &machine{perRequest: 20 * time.Millisecond, perRejected: time.Millisecond}
		before.run(240, 10*time.Second, false)
		So(before.worst, ShouldBeGreaterThan, 10*time.Second)
		m := &machine{perRequest: 20 * time.Millisecond, perRejected: time.Millisecond}
		m.run(240, 3*time.Second, true)
		m.served, m.worst = 0, 0
		m.run(240, 7*time.Second, true)
		So(m.worst, ShouldBeLessThan, 1500*time.Millisecond)
		So(m.served, ShouldBeGreaterThan, 150)
		So(m.state.Away() || m.state.rest > 0, ShouldBeTrue)
		Convey("it rejects nothing once the load is gone, and is back", func() {
			m.run(20, 10*time.Second, true)
			So(m.state.Share(), ShouldEqual, 0)
			So(m.state.Away(), ShouldBeFalse)
		})
	})
}

// Guards against rejections by a host that keeps up: short bursts, garbage collection
// and suspensions of the process are no overload.
func TestAHostThatKeepsUpRejectsNothing(t *testing.T) {
	Convey("Given a host at four fifths of what it can serve", t, func() {
		m := &machine{perRequest: 20 * time.Millisecond}
		m.run(40, 20*time.Second, true)
		So(m.rejected, ShouldEqual, 0)
		So(m.state.Away(), ShouldBeFalse)
	})
	Convey("Given a process that was suspended for 5 s", t, func() {
		var s State
		for range 20 {
			s.Observe(time.Millisecond)
		}
		s.Observe(5 * time.Second)
		s.EndWindow()
		So(s.Share(), ShouldEqual, 0)
	})
}

// Guards against a host that is away for good, or comes and goes all the time.
func TestAHostIsAwayForABoundedTime(t *testing.T) {
	Convey("Given a host that never keeps up", t, func() {
		var s State
		away, longest, current := 0, 0, 0
		const windows = 3000
		for range windows {
			s.Observe(time.Second)
			s.EndWindow()
			if current++; !s.Away() {
				current = 0
			} else {
				away++
			}
			longest = max(longest, current)
		}
		So(longest, ShouldBeLessThanOrEqualTo, maxAway)
		So(away, ShouldBeBetween, windows/4, windows*6/10)
	})
}
