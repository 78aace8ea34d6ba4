package callerend

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

// Guards against a lost request that is reported as answered or refused, and against a
// caller that left, which is reported as lost.
func TestHowARequestEnds(t *testing.T) {
	gone := fault.CallerGone
	for _, c := range []struct {
		seen Request
		end  gateway.End
		why  gateway.EndCause
	}{
		{Request{}, gateway.EndAnswered, ""},
		{Request{CallerLeft: true}, gateway.EndAnswered, ""},
		{Request{UpstreamFailure: true}, gateway.EndUpstreamFailure, gateway.CauseUpstream},
		{Request{Code: fault.Overloaded}, gateway.EndRefused, "overloaded"},
		{Request{Code: fault.UpstreamFailed, Stopping: true}, gateway.EndRefused, "upstream_failed"},
		{Request{Code: fault.Overloaded, Write: TimedOut}, gateway.EndUnanswered, gateway.CauseWrite},
		{Request{Code: fault.Overloaded, Write: CallerClosed}, gateway.EndCallerGone, gateway.CauseCaller},
		{Request{Code: fault.Overloaded, Write: Failed, HostEnded: true}, gateway.EndUnanswered, gateway.CauseHostStopping},
		{Request{Write: TimedOut, Begun: true}, gateway.EndCut, gateway.CauseWrite},
		{Request{Code: gone, Aborted: true, Begun: true, Write: TimedOut, CallerLeft: true}, gateway.EndCut, gateway.CauseWrite},
		{Request{Code: gone, Aborted: true, Begun: true, CallerLeft: true}, gateway.EndCallerGone, gateway.CauseCaller},
		{Request{Code: gone, Aborted: true, Begun: true, Write: CallerClosed}, gateway.EndCallerGone, gateway.CauseCaller},
		{Request{Code: gone, Aborted: true, CallerLeft: true, HostEnded: true}, gateway.EndUnanswered, gateway.CauseHostStopping},
		{Request{Code: gone, Aborted: true}, gateway.EndUnanswered, gateway.CauseInternal},
		{Request{Code: fault.UpstreamFailed, Aborted: true, Begun: true}, gateway.EndCut, gateway.CauseUpstream},
		{Request{Code: fault.UpstreamFailed, Aborted: true, Begun: true, Write: TimedOut}, gateway.EndCut, gateway.CauseUpstream},
		{Request{Code: fault.UpstreamFailed, Aborted: true, Begun: true, Stopping: true}, gateway.EndCut, gateway.CauseHostStopping},
		{Request{Code: fault.DeadlineExceeded, Aborted: true, Begun: true}, gateway.EndCut, gateway.CauseDeadline},
		{Request{Aborted: true}, gateway.EndUnanswered, gateway.CauseInternal},
		{Request{Code: fault.InvalidRequest, BodyEnded: true}, gateway.EndUnread, gateway.CauseCaller},
		{Request{Code: fault.InvalidRequest, BodyEnded: true, Write: Failed, HostEnded: true}, gateway.EndUnread, gateway.CauseHostStopping},
	} {
		Convey(fmt.Sprintf("A request with %+v", c.seen), t, func() {
			So(c.seen.Ending(), ShouldResemble, gateway.Ending{End: c.end, Cause: c.why})
		})
	}
}

// Guards against connections that are counted under another cause than the one for which
// they were closed.
func TestWhyAConnectionIsClosed(t *testing.T) {
	answered := gateway.Ending{End: gateway.EndAnswered}
	cut := gateway.Ending{End: gateway.EndCut, Cause: gateway.CauseUpstream}
	for _, c := range []struct {
		seen Connection
		why  gateway.CloseCause
	}{
		{Connection{}, gateway.CloseIdle},
		{Connection{Read: TimedOut, Draining: true}, gateway.CloseIdle},
		{Connection{Read: Failed, Draining: true}, gateway.CloseDraining},
		{Connection{Read: CallerClosed, Draining: true}, gateway.CloseCaller},
		{Connection{Read: Failed, Draining: true, HostEnded: true}, gateway.CloseHostEnded},
		{Connection{Phase: Reading}, gateway.CloseUnreadable},
		{Connection{Phase: Reading, Read: TimedOut}, gateway.CloseDeadline},
		{Connection{Phase: Reading, Read: CallerClosed}, gateway.CloseCaller},
		{Connection{Phase: Reading, Read: Failed, HostEnded: true}, gateway.CloseHostEnded},
		// net/http ends its own read with a timeout as a handler returns.
		{Connection{Phase: Answered, Ending: answered, Read: TimedOut, Draining: true}, gateway.CloseDraining},
		{Connection{Phase: Answered, Ending: answered, CloseAsked: true, Draining: true}, gateway.CloseCaller},
		{Connection{Phase: Answered, Ending: answered, Write: CallerClosed}, gateway.CloseCaller},
		{Connection{Phase: Answered, Ending: answered, Write: TimedOut}, gateway.CloseDeadline},
		{Connection{Phase: Answered, Ending: gateway.Ending{End: gateway.EndRefused, Cause: "body_too_large"}}, gateway.CloseUnreadable},
		{Connection{Phase: Answered, Ending: cut, Draining: true}, gateway.CloseCut},
		{Connection{Phase: Answered, Ending: cut, HostEnded: true}, gateway.CloseHostEnded},
		{Connection{Phase: Answered, Ending: gateway.Ending{End: gateway.EndCut, Cause: gateway.CauseWrite}}, gateway.CloseDeadline},
		{Connection{Phase: Answered, Ending: gateway.Ending{End: gateway.EndCallerGone, Cause: gateway.CauseCaller}}, gateway.CloseCaller},
		{Connection{Phase: Answered, Ending: gateway.Ending{End: gateway.EndUnread, Cause: gateway.CauseCaller}}, gateway.CloseCaller},
		{Connection{Phase: Answered, Ending: gateway.Ending{End: gateway.EndUnread, Cause: gateway.CauseHostStopping}}, gateway.CloseHostEnded},
	} {
		Convey(fmt.Sprintf("A connection with %+v", c.seen), t, func() {
			So(c.seen.CloseCause(), ShouldEqual, c.why)
		})
	}
}

// Guards against a write that took too long, which is taken for a caller that left.
func TestHowTransfersEnd(t *testing.T) {
	Convey("Errors of sockets are told apart", t, func() {
		wrap := func(err error) error { return &net.OpError{Op: "write", Err: err} }
		So(WriteResult(nil), ShouldEqual, Sound)
		So(WriteResult(wrap(os.ErrDeadlineExceeded)), ShouldEqual, TimedOut)
		So(WriteResult(wrap(syscall.EPIPE)), ShouldEqual, CallerClosed)
		So(WriteResult(wrap(syscall.ECONNRESET)), ShouldEqual, CallerClosed)
		So(WriteResult(wrap(net.ErrClosed)), ShouldEqual, Failed)
		So(WriteResult(io.EOF), ShouldEqual, Failed)
		So(ReadResult(io.EOF), ShouldEqual, CallerClosed)
		So(ReadResult(fmt.Errorf("body: %w", io.ErrUnexpectedEOF)), ShouldEqual, CallerClosed)
		So(ReadResult(wrap(os.ErrDeadlineExceeded)), ShouldEqual, TimedOut)
	})
}
