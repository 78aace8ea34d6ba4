package readers_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/readers"
)

// read lets a caller take a number of bytes at each interval, and returns the first verdict
// that ends its answer, and when.
func read(bytes int64, interval, duration time.Duration) (readers.Verdict, time.Duration) {
	start := time.Unix(1_000_000, 0)
	caller := readers.NewCaller(start)
	for at := time.Duration(0); at <= duration; at += time.Second / 2 {
		taken := bytes * int64(at/interval)
		if verdict := caller.Observe(taken, start.Add(at)); verdict != readers.GoesOn {
			return verdict, at
		}
	}
	return readers.GoesOn, duration
}

// Guards against an answer that is cut although its caller reads steadily, and against a
// caller that holds its bytes without end.
func TestAnAnswerEndsOnlyForACallerThatDoesNotRead(t *testing.T) {
	Convey("A caller that takes nothing is ended after the gap", t, func() {
		verdict, at := read(0, time.Second, time.Minute)
		So(verdict, ShouldEqual, readers.NotRead)
		So(at, ShouldEqual, readers.MaxGap)
	})
	Convey("A caller that reads slowly but steadily is not ended", t, func() {
		for bytes, interval := range map[int64]time.Duration{100: time.Second, 4 << 10: 9 * time.Second, 1 << 20: time.Second} {
			verdict, _ := read(bytes, interval, time.Hour)
			So(verdict, ShouldEqual, readers.GoesOn)
		}
	})
	Convey("A caller that takes a byte at times is ended", t, func() {
		verdict, at := read(1, 9*time.Second, time.Hour)
		So(verdict, ShouldEqual, readers.TooSlow)
		So(at, ShouldEqual, 30*time.Second)
	})
	Convey("One part may wait in any case, and more within the bound", t, func() {
		So(readers.MayWait(0, 4<<20), ShouldBeTrue)
		So(readers.MayWait(1, readers.MaxWaiting), ShouldBeFalse)
		So(readers.MayWait(1, readers.MaxWaiting-1), ShouldBeTrue)
	})
}

// Guards against an upstream that holds more of a host's requests than its share, and
// against bytes that are counted after their attempt has ended. 20 attempts of up to 64 KiB
// at 3 upstreams, by 66 hosts.
func TestTheBytesHeldAtAnUpstreamAreBounded(t *testing.T) {
	const hosts, share = 66, (16 << 20) / 66
	rapid.Check(t, func(t *rapid.T) {
		table := readers.NewUpstreams(hosts)
		type sent struct {
			id    core.UpstreamID
			bytes int64
		}
		open := make(map[uint64]sent)
		for attempt := range uint64(rapid.IntRange(1, 60).Draw(t, "attempts")) {
			id := core.UpstreamID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "upstream"))
			bytes := rapid.Int64Range(0, 64<<10).Draw(t, "bytes")
			if table.MaySend(id, bytes) {
				table.Sent(id, attempt, bytes)
				open[attempt] = sent{id, bytes}
			}
			if rapid.Bool().Draw(t, "ends") {
				for ended, s := range open {
					table.Ended(s.id, ended)
					table.Ended(s.id, ended)
					delete(open, ended)
					break
				}
			}
			want := make(map[core.UpstreamID]int64)
			for _, s := range open {
				want[s.id] += s.bytes
			}
			for _, id := range []core.UpstreamID{"a", "b", "c"} {
				if table.Held(id) != want[id] || table.Held(id) > share {
					t.Fatalf("upstream %s holds %d, of %d sent; the share is %d", id, table.Held(id), want[id], share)
				}
			}
		}
	})
}

func BenchmarkMaySend(b *testing.B) {
	table := readers.NewUpstreams(330)
	for attempt := range uint64(12_000) {
		table.Sent(core.UpstreamID(string(rune('a'+attempt%26))+string(rune('a'+attempt/26%26))), attempt, 1)
	}
	b.ReportAllocs()
	for b.Loop() {
		table.MaySend("aa", 12<<10)
	}
}

// Guards against cutting a caller that reads slowly but steadily because the kernel still
// holds bytes from before, and one that has read everything because its upstream is slow.
func TestProgressCountsFromWhatWasHeldBefore(t *testing.T) {
	start := time.Unix(1000, 0)
	Convey("Given a caller that takes 4 KiB a second, with 100 KiB unacknowledged", t, func() {
		unacknowledged := 100 << 10
		progress := readers.NewProgress(unacknowledged, start)
		for second := 1; second <= 120; second++ {
			verdict := progress.Wrote(4<<10, unacknowledged, start.Add(time.Duration(second)*time.Second))
			So(verdict, ShouldEqual, readers.GoesOn)
		}
		Convey("it is cut once it takes nothing", func() {
			stopped := start.Add(2 * time.Minute)
			So(progress.Wrote(0, unacknowledged, stopped.Add(readers.MaxGap-time.Second)), ShouldEqual, readers.GoesOn)
			So(progress.Wrote(0, unacknowledged, stopped.Add(readers.MaxGap)), ShouldEqual, readers.NotRead)
		})
	})
	Convey("Given a caller that takes all of a stream with 20 bytes every 15 s", t, func() {
		progress := readers.NewProgress(0, start)
		for i := range 20 {
			now := start.Add(time.Duration(i) * 15 * time.Second)
			progress.Next(0, now)
			So(progress.Wrote(20, 20, now), ShouldEqual, readers.GoesOn)
		}
	})
}
