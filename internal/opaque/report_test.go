package opaque

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/gateway"
)

// Guards against counting a request as answered or refused although its caller did not get
// the answer or the refusal.
func TestWhatWasNotDeliveredIsNotCountedAsDelivered(t *testing.T) {
	refusal := gateway.Refuse(gateway.Overloaded, 0, "overloaded")
	broken := gateway.Refuse(gateway.UpstreamBroke, 0, "broke")
	broken.Cut = gateway.CauseDeadline
	gone := gateway.Refuse(gateway.CallerGone, 0, "gone")
	for name, c := range map[string]struct {
		refusal  *gateway.Refusal
		ending   gateway.Ending
		expected string
	}{
		"an answer":                       {nil, gateway.Ending{End: gateway.EndAnswered}, "answered"},
		"an upstream's failure":           {nil, gateway.Ending{End: gateway.EndUpstreamFailure, Cause: gateway.CauseUpstream}, "answered"},
		"a refusal":                       {refusal, gateway.Ending{End: gateway.EndRefused, Cause: "overloaded"}, "overloaded"},
		"a stream that is cut":            {broken, gateway.Ending{End: gateway.EndCut, Cause: gateway.CauseDeadline}, "upstream_broke"},
		"a caller that left":              {gone, gateway.Ending{End: gateway.EndCallerGone, Cause: gateway.CauseCaller}, "caller_gone"},
		"a refusal whose caller left":     {refusal, gateway.Ending{End: gateway.EndCallerGone, Cause: gateway.CauseCaller}, "caller_gone"},
		"a refusal that is not written":   {refusal, gateway.Ending{End: gateway.EndUnanswered, Cause: gateway.CauseWrite}, "undelivered"},
		"a refusal that is partly so":     {refusal, gateway.Ending{End: gateway.EndCut, Cause: gateway.CauseWrite}, "undelivered"},
		"an answer that is partly so":     {gone, gateway.Ending{End: gateway.EndCut, Cause: gateway.CauseWrite}, "undelivered"},
		"a request as the host has ended": {gone, gateway.Ending{End: gateway.EndUnanswered, Cause: gateway.CauseHostStopping}, "undelivered"},
		"a handler that wrote nothing":    {nil, gateway.Ending{End: gateway.EndUnanswered, Cause: gateway.CauseInternal}, "undelivered"},
	} {
		Convey("The outcome of "+name, t, func() {
			So(outcomeOf(c.refusal, c.ending), ShouldEqual, c.expected)
		})
	}
}

// Guards against a late request to an upstream that leaves, of which the log does not tell
// whether it was placed late or waited after that.
func TestTheLogTellsHowLongAnAttemptWaited(t *testing.T) {
	Convey("Given attempts that were sent after 49 and 240 ms", t, func() {
		attempts := []attemptRecord{{upstream: "u1", sentAfter: 49 * time.Millisecond}, {upstream: "u2", sentAfter: 240 * time.Millisecond}}
		request := requestRun{attempts: attempts}
		So(request.describeAttempts(), ShouldEqual, "u1  in 0s, cost 0; u2  in 0s, cost 0, sent after 240ms")
	})
}
