package shedding

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// rejected returns the part of all requests that a plan rejects.
func rejected(plan Plan, requests [Urgencies]int64) float64 {
	sum, total := 0.0, 0.0
	for i, count := range requests {
		sum += plan[i] * float64(count)
		total += float64(count)
	}
	return sum / total
}

// Guards against rejections by lot: with a burst of the least urgent work at three times
// its rate, a host must go on with the rest.
func TestABurstOfTheLeastUrgentIsRejectedFirst(t *testing.T) {
	Convey("Given a host that must reject half of what it gets", t, func() {
		var traffic Traffic
		requests := [Urgencies]int64{0: 10, 3: 10, 6: 60}
		for range 20 {
			traffic.EndWindow(requests)
		}
		plan := traffic.Plan(0.5)
		So(plan[0], ShouldEqual, 0)
		So(plan[3], ShouldEqual, 0)
		So(rejected(plan, requests), ShouldAlmostEqual, 0.5, 0.001)

		Convey("the next degree follows, and some of the last are still served", func() {
			plan = traffic.Plan(0.8)
			So(plan[6], ShouldEqual, maxRejected)
			So(plan[3], ShouldBeGreaterThan, 0.3)
			So(plan[0], ShouldEqual, 0)
		})
	})
}

// Guards against a share that is missed, and against a plan that turns away more of what
// is more urgent, for any mix of requests.
func TestThePlanRejectsTheShareInOrder(t *testing.T) {
	Convey("For random mixes and shares", t, func() {
		random := rand.New(rand.NewPCG(1, 2))
		for range 2000 {
			var traffic Traffic
			var requests [Urgencies]int64
			for i := range requests {
				requests[i] = random.Int64N(50)
			}
			requests[random.IntN(Urgencies)]++
			traffic.EndWindow(requests)
			share := random.Float64() * maxRejected
			plan := traffic.Plan(share)
			So(rejected(plan, requests), ShouldAlmostEqual, share, 0.001)
			last := -1.0
			for i, part := range plan {
				if requests[i] == 0 {
					continue
				}
				So(part, ShouldBeGreaterThanOrEqualTo, last)
				last = part
			}
		}
	})
	Convey("Nothing is rejected without need, nor before anything was counted beyond the share", t, func() {
		var traffic Traffic
		So(traffic.Plan(0), ShouldResemble, Plan{})
		So(traffic.Plan(0.3)[4], ShouldEqual, 0.3)
	})
}

func BenchmarkPlan(b *testing.B) {
	var traffic Traffic
	traffic.EndWindow([Urgencies]int64{5, 4, 3, 2, 1, 5, 4, 3, 2, 1})
	for b.Loop() {
		_ = traffic.Plan(0.4)
	}
}
