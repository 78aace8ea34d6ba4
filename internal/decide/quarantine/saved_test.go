package quarantine

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against forgetting which parts crash upstreams when all hosts are killed at
// once: a new host must hold them from what the store keeps, also when too few crashes
// were seen before the kill.
func TestSavedCrashesOutliveAKillOfAllHosts(t *testing.T) {
	Convey("Given crashes that a host saw", t, func() {
		killed := New("h")
		crashOf(killed, 1, "u1", "a", "dead")
		crashOf(killed, 2, "u2", "b", "dead")
		Convey("a new process of the host counts them with those that it sees", func() {
			next := New("h")
			So(next.MergeSaved(killed.Suspicions(at(5)), at(5)), ShouldBeFalse)
			crashOf(next, 6, "u3", "c", "dead")
			So(next.Holds().HeldTraits(), ShouldResemble, []string{"dead"})
		})
		Convey("a held part is held at once, for as long as before", func() {
			crashOf(killed, 3, "u3", "dead")
			next := New("other")
			So(next.MergeSaved(killed.Suspicions(at(5)), at(5)), ShouldBeFalse) // of one other host two crashes count
			own := New("h")
			So(own.MergeSaved(killed.Suspicions(at(5)), at(5)), ShouldBeTrue)
			So(own.Holds(), ShouldResemble, killed.Holds())
		})
		Convey("what an answer has cleared is not held again", func() {
			saved := killed.Suspicions(at(4))
			killed.RecordAnswer(promptOf("a", "dead"), at(3))
			killed.MergeSaved(saved, at(4))
			So(SameSuspicions(saved, killed.Suspicions(at(4))), ShouldBeFalse)
			for _, c := range killed.Suspicions(at(4)) {
				So(c.Part == "b" || c.Own, ShouldBeTrue)
			}
		})
		Convey("the same crashes are the same at another time", func() {
			So(SameSuspicions(killed.Suspicions(at(3)), killed.Suspicions(at(9))), ShouldBeTrue)
		})
	})
}

// Guards against a row that grows with the crashes, as when all upstreams of a large
// fleet are lost, and against dropping the parts that are held.
func TestSavedCrashesAreBounded(t *testing.T) {
	Convey("Given crashes with many parts in flight", t, func() {
		r := New("h")
		for i := range 5 {
			crashOf(r, float64(i), fmt.Sprint("u", i), "dead")
		}
		for i := range 400 {
			crashOf(r, 10+0.2*float64(i), fmt.Sprint("v", i), fmt.Sprint("part", i))
		}
		saved := r.Suspicions(at(100))
		So(len(saved), ShouldEqual, maxSaved)
		next := New("h")
		next.MergeSaved(saved, at(100))
		So(next.Holds().HeldTraits(), ShouldResemble, []string{"dead"})
	})
}
