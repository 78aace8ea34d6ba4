package load

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against runs that depend on anything but their seed, such as the
// order of a map.
func TestRunsAreRepeatable(t *testing.T) {
	Convey("The same seed gives the same result", t, func() {
		l := load{
			seed: 7, rate: func(time.Duration) float64 { return 600 }, peakRate: 600, longPart: 0.02,
			shortDeadline: time.Second, longDeadline: time.Minute, reportLag: usualLag,
			slow: func(engine int, _ time.Duration) float64 {
				if engine == 1 {
					return 0.1
				}
				return 1
			},
			length: 10 * time.Second, to: 10 * time.Second,
		}
		So(compare(l), ShouldResemble, compare(l))
	})
}
