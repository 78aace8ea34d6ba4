package relay

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/stream"
	"github.com/peridotreel/peridotreel/internal/fault"
)

type discard struct{}

func (discard) Token(string) error { return nil }
func (discard) Flush() error       { return nil }

// Guards against an upstream's fault that callers and the log take for a fault of the host.
func TestEventsOfAnotherRequestAreAFaultOfTheUpstream(t *testing.T) {
	Convey("Given an upstream that sends an event of another request", t, func() {
		own, other := core.RequestID{1}, core.RequestID{2}
		answer := &AnswerState{Cursor: stream.NewCursor(own)}
		results := make(chan core.StreamResult, 1)
		results <- core.StreamResult{Event: core.Event{Kind: core.EventToken, Request: other, Attempt: answer.Cursor.StartAttempt(), Position: 1}}
		outcome := New(time.Now).Begin(answer, results, discard{}).Run(context.Background())
		So(outcome.Ending, ShouldEqual, Broken)
		So(fault.From(outcome.Err).Code, ShouldEqual, fault.UpstreamFailed)
		So(fault.From(outcome.Err).Run, ShouldEqual, fault.Unknown)
	})
}
