package returntime

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const guess = 250 * time.Millisecond

// play has 200 callers within 100 ms before 150 places that become free in a second, of
// which at most 10 are kept free. It returns how many were refused twice and served.
func play(in func(left time.Duration, random *rand.Rand) time.Duration) (twice, served int) {
	random := rand.New(rand.NewPCG(3, 9))
	type caller struct {
		refused int
		left    time.Duration
	}
	const step = 10 * time.Millisecond
	due := make(map[time.Duration][]caller)
	for range 200 {
		at := time.Duration(random.IntN(10)) * step
		due[at] = append(due[at], caller{left: 2*time.Second + time.Duration(random.IntN(4000))*time.Millisecond})
	}
	free := 10.0
	for now := time.Duration(0); now < 6*time.Second; now += step {
		free = min(free+1.5, 10)
		for _, c := range due[now] {
			if free >= 1 {
				free--
				served++
				continue
			}
			if c.refused++; c.refused == 2 {
				twice++
			}
			if delay := in(c.left, random).Truncate(step) + step; delay > step {
				c.left -= delay
				due[now+delay] = append(due[now+delay], c)
			}
		}
	}
	return twice, served
}

// Guards against callers that are refused together, return together and are refused again.
// Load: 200 callers within 100 ms before 150 places that become free in a second.
func TestCallersThatAreRefusedTogetherDoNotReturnTogether(t *testing.T) {
	Convey("Given a burst of callers", t, func() {
		before, servedBefore := play(func(left time.Duration, _ *rand.Rand) time.Duration { return min(guess, left*3/10) })
		after, servedAfter := play(func(left time.Duration, random *rand.Rand) time.Duration {
			return In(Refused{Earliest: guess, Left: left}, random.Float64())
		})
		_, _ = Printf("refused twice of 200: %d before, %d after; served %d and %d ", before, after, servedBefore, servedAfter)
		So(after, ShouldBeLessThan, before)
		So(servedAfter, ShouldBeGreaterThanOrEqualTo, servedBefore)
	})
}

// Guards against return times that callers ignore, or at which they are not served.
func TestAReturnThatServesNoMoreIsNotAskedFor(t *testing.T) {
	Convey("Given callers with little time left", t, func() {
		for name, c := range map[string]struct {
			refused  Refused
			low, top time.Duration
		}{
			"the work takes all that is left":  {Refused{Earliest: guess, Left: time.Second, Work: time.Second}, 0, 0},
			"none is served before":            {Refused{Earliest: time.Second, Certain: true, Left: 3 * time.Second}, 0, 0},
			"a guess is shortened":             {Refused{Earliest: 2 * time.Second, Left: 3 * time.Second}, 450 * time.Millisecond, 900 * time.Millisecond},
			"a time that differs stays":        {Refused{Earliest: 300 * time.Millisecond, Certain: true, Spread: true, Left: 3 * time.Second}, 300 * time.Millisecond, 300 * time.Millisecond},
			"a certain time is never too soon": {Refused{Earliest: 800 * time.Millisecond, Certain: true, Left: 3 * time.Second}, 800 * time.Millisecond, 900 * time.Millisecond},
		} {
			Convey(name, func() {
				So(In(c.refused, 0), ShouldEqual, c.low)
				So(In(c.refused, 1), ShouldAlmostEqual, c.top, time.Microsecond)
			})
		}
	})
}
