package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a host at its limit of connections that stops, and resets those that wait
// to be accepted: what was left to accept them ran out while it waited for room.
func TestMoreConnectionsThanTheLimitThatWaitAsTheHostStopsAreAnswered(t *testing.T) {
	Convey("Given more waiting connections than the limit as the host ends its requests", t, func() {
		l := startLimitedServer(listen())
		var held []net.Conn
		for range limitedConnections - 1 {
			held = append(held, l.hold())
		}
		var waiting []net.Conn
		for range 2 * limitedConnections {
			connection := l.dial()
			_, err := io.WriteString(connection, plainRequest)
			So(err, ShouldBeNil)
			waiting = append(waiting, connection)
		}
		l.server.Drain()
		l.server.EndRequests()
		_, err := l.server.Open(context.Background()) // the orders have been carried out
		So(err, ShouldBeNil)
		close(l.release)
		// The callers do not close their connections, as kept ones are not.
		for _, connection := range append(held, waiting...) {
			got, err := readReply(bufio.NewReader(connection))
			So(err, ShouldBeNil)
			So(got.close, ShouldBeTrue)
		}
	})
}
