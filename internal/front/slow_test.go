package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/gateway"
)

// deadlineRecorder records the latest time that a read may last until.
type deadlineRecorder struct {
	net.Conn
	latest time.Time
}

func (d *deadlineRecorder) SetReadDeadline(deadline time.Time) error {
	if deadline.After(d.latest) {
		d.latest = deadline
	}
	return d.Conn.SetReadDeadline(deadline)
}

// Guards against slow callers that keep the few connections on which a host at its limit
// refuses requests: it accepts no other until their heads have arrived.
func TestARefusedCallerIsNotWaitedForLong(t *testing.T) {
	Convey("Given a caller whose request is refused and who sends only a part of its head", t, func() {
		now := time.Now()
		l := startLimitedServer(newPipeListener())
		l.server.config.Limits = limits{HeaderTimeout: 5 * refusedRequestWait}
		l.server.config.Now = func() time.Time { return now }
		own, served := net.Pipe()
		recorder := &deadlineRecorder{Conn: served}
		c := newConnection(l.server, recorder)
		c.refusing = true
		ended := make(chan struct{})
		go func() {
			c.run(context.Background())
			close(ended)
		}()
		_, err := io.WriteString(own, "GET /x HT")
		So(err, ShouldBeNil)
		got, err := readReply(bufio.NewReader(own))
		So(err, ShouldBeNil)
		So(got.status, ShouldEqual, http.StatusServiceUnavailable)
		So(got.body, ShouldContainSubstring, string(gateway.Overloaded))
		<-ended
		So(recorder.latest, ShouldHappenOnOrBefore, now.Add(refusedRequestWait))
	})
}
