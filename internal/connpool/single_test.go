package connpool

import (
	"context"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a connection through another host that is kept idle: the upstream may have
// told the other host meanwhile that it leaves.
func TestAnUnusedTunnelIsNotKept(t *testing.T) {
	Convey("Given a connection through another host that is released unused", t, func() {
		address, _, stop := upstream()
		pool, end := startPool()
		Reset(func() { end(); stop() })
		target := Target{Upstream: "u", Address: address, MaxConnections: 4}
		direct := target
		target.Tunnel = func(ctx context.Context) (net.Conn, error) { return Dial(ctx, address) }
		first, _, err := pool.Acquire(context.Background(), target)
		So(err, ShouldBeNil)
		first.Release()
		second, isNew, err := pool.Acquire(context.Background(), direct)
		So(err, ShouldBeNil)
		So(isNew, ShouldBeTrue)
		second.Release()
	})
}
