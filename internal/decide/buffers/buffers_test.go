package buffers

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// Guards against more buffered bytes than the host has memory for, and against a pool that
// is used up although everything was given back.
func TestThePoolIsNeverExceeded(t *testing.T) {
	Convey("Whatever is taken and returned, the pool holds", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			const capacity = 1000
			pool := New(capacity)
			var held []int64
			sum := int64(0)
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				if len(held) > 0 && rapid.Bool().Draw(t, "return") {
					last := held[len(held)-1]
					held, sum = held[:len(held)-1], sum-last
					pool.Return(last)
				} else if bytes := rapid.Int64Range(-5, capacity+5).Draw(t, "bytes"); pool.Take(bytes) {
					held, sum = append(held, bytes), sum+bytes
				} else if bytes >= 0 && sum+bytes <= capacity {
					t.Fatalf("%d of %d bytes are taken, and %d more were refused", sum, capacity, bytes)
				}
				if pool.Used() != sum || sum > capacity || sum < 0 {
					t.Fatalf("the pool counts %d bytes, %d are taken", pool.Used(), sum)
				}
			}
		})
	})
}
