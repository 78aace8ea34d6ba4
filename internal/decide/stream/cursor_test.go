package stream

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Guards against delivered text that is not a prefix of the correct answer when
// events are late, duplicated, lost or belong to another request.
func TestDeliveredTextIsAPrefixOfTheTrueAnswer(t *testing.T) {
	mine, other := core.RequestID{1}, core.RequestID{2}
	rapid.Check(t, func(t *rapid.T) {
		truth := rapid.SliceOfN(rapid.StringMatching("[a-z]{1,3} "), 1, 20).Draw(t, "truth")
		cursor := NewCursor(mine)
		attempt := cursor.StartAttempt()
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				attempt = cursor.StartAttempt()
			}
			event := core.Event{
				Kind: core.EventToken, Request: mine,
				Attempt:  rapid.IntRange(1, attempt).Draw(t, "attempt"),
				Position: rapid.Int64Range(1, int64(len(truth))).Draw(t, "position"),
			}
			event.Text = truth[event.Position-1]
			if rapid.IntRange(0, 9).Draw(t, "crossed") == 0 {
				event.Request, event.Text = other, "wrong"
			}
			verdict, err := cursor.Accept(&event)
			if (verdict == Abort) != (err != nil) {
				t.Fatalf("verdict %d with error %v", verdict, err)
			}
			if verdict == Deliver && event.Attempt != attempt {
				t.Fatalf("delivered an event of attempt %d during attempt %d", event.Attempt, attempt)
			}
		}
		if whole := strings.Join(truth, ""); !strings.HasPrefix(whole, cursor.Text()) {
			t.Fatalf("delivered %q, the true answer is %q", cursor.Text(), whole)
		}
	})
}

// Guards against a truncated answer that is taken for a complete one.
func TestFinishIsAcceptedOnlyAfterTheLastToken(t *testing.T) {
	Convey("A finish event with a gap before it ends the attempt", t, func() {
		cursor := NewCursor(core.RequestID{1})
		event := core.Event{Kind: core.EventFinish, Request: core.RequestID{1}, Attempt: cursor.StartAttempt(), Position: 2}
		verdict, err := cursor.Accept(&event)
		So(verdict, ShouldEqual, Abort)
		So(err, ShouldNotBeNil)
		So(cursor.Finished(), ShouldBeFalse)
	})
}

// Guards against a slow stream that is suspected to be silent.
func TestSilenceLimitFollowsAverageGap(t *testing.T) {
	Convey("The limit is a multiple of the average gap, and doubles after a false suspicion", t, func() {
		var pace Pace
		So(pace.Limit(), ShouldEqual, initialSilenceLimit)
		pace.Observe(200 * time.Millisecond)
		So(pace.Limit(), ShouldEqual, 4*time.Second)
		pace.DoubleLimit()
		So(pace.Limit(), ShouldEqual, 8*time.Second)
		pace.Observe(200 * time.Millisecond)
		So(pace.Limit(), ShouldEqual, 4*time.Second)
	})
}
