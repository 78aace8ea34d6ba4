package wire

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// Guards against a load that is parsed differently from how it is written.
func TestAnswerLoadRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 1<<20)
		load := AnswerLoad{Running: count.Draw(t, "running"), Waiting: count.Draw(t, "waiting"), MaxRunning: count.Draw(t, "max")}
		parsed, ok := ParseAnswerLoad([]byte(strings.TrimPrefix(load.String(), ": ")))
		if !ok || parsed != load {
			t.Fatalf("%v became %v, %v", load, parsed, ok)
		}
	})
}

// Guards against other comments that are mistaken for a load.
func TestOtherComments(t *testing.T) {
	Convey("A comment that is no load is ignored", t, func() {
		for _, text := range []string{"", "keep-alive", "load", "load ", "load 1 2", "load 1 2 3 4", "load 1 -2 3", "load 1 2 x"} {
			_, ok := ParseAnswerLoad([]byte(text))
			So(ok, ShouldBeFalse)
		}
	})
}

// BenchmarkParseAnswerLoad must not allocate, because loads are parsed while an
// answer is relayed.
func BenchmarkParseAnswerLoad(b *testing.B) {
	comment := []byte("load 12 345 16")
	b.ReportAllocs()
	for b.Loop() {
		ParseAnswerLoad(comment)
	}
}
