package front

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/decide/connlimit"
)

// Guards against a server that tells one connection twice to make room, which ends the
// process with all its requests (close of closed channel). It needs an answer that crosses
// the first order, and a process that then stands still for half a second.
func TestAConnectionIsToldOnceToMakeRoom(t *testing.T) {
	Convey("Given a connection that makes room and answered a request meanwhile", t, func() {
		start := time.Now()
		var moved atomic.Int64
		server := NewServer(Config{Limits: limits{}, Log: zap.NewNop(), MaxConnections: 2, Now: func() time.Time { return start.Add(time.Duration(moved.Load())) }})
		ctx, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		state := serverState{
			server: server, requests: ctx, endRequests: cancel, open: make(map[*connection]bool),
			table: connlimit.New[*connection](2), accepting: true,
		}
		admit := func() *connection {
			own, socket := net.Pipe()
			Reset(func() { _ = own.Close() })
			c := newConnection(server, socket)
			state.handle(connectionOpened{c, make(chan struct{}, 1)})
			So(state.open[c], ShouldBeTrue)
			return c
		}
		first := admit()
		moved.Add(int64(time.Second))
		second := admit()
		<-first.evicted
		state.handle(connectionBusy{first})
		state.handle(connectionIdle{first})
		state.handle(connectionClosed{second})
		moved.Add(int64(time.Second))
		So(func() { admit() }, ShouldNotPanic)
	})
}
