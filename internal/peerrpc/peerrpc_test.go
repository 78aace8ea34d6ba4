package peerrpc_test

import (
	"context"
	"errors"
	"fmt"
	"net/rpc"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	measure "github.com/peridotreel/peridotreel/internal/measure/fleet"
	"github.com/peridotreel/peridotreel/internal/peerrpc"
	"github.com/peridotreel/peridotreel/internal/task"
)

// TestMain uses one processor; TestMain of the members task states the reason.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	m.Run()
}

// echo is an RPC receiver that answers with the text it is sent.
type echo struct{}

func (echo) Say(text string, reply *string) error {
	switch text {
	case "fail":
		return errors.New("refused by the handler")
	case "slow":
		time.Sleep(1500 * time.Millisecond)
	case "hang":
		time.Sleep(time.Minute)
	}
	*reply = text
	return nil
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i) }

func peer(i int) core.Peer { return core.Peer{Ref: core.HostRef{Host: "b"}, Address: address(i)} }

func serve(network *measure.Network, i int, traffic *peerrpc.Traffic) *task.Group {
	server := peerrpc.NewServer(peerrpc.ServerConfig{Listener: network.Listen(address(i)), Traffic: traffic})
	if err := server.RegisterName("Echo", echo{}); err != nil {
		panic(err)
	}
	var group task.Group
	group.Start(server)
	return &group
}

func say(client *peerrpc.Client, i int, text string, limit time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var reply string
	err := client.Call(ctx, peer(i), "Echo.Say", text, &reply)
	return reply, err
}

// inBubble runs a test with a client at address 1 and a server at address 2.
func inBubble(t *testing.T, name string, body func(network *measure.Network, client *peerrpc.Client, traffic *peerrpc.Traffic)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() {
			network := measure.NewNetwork()
			traffic := &peerrpc.Traffic{}
			server := serve(network, 2, traffic)
			client := peerrpc.NewClient(peerrpc.ClientConfig{Dial: network.Dialer(address(1)), Traffic: traffic, MaxConnections: 2})
			var group task.Group
			group.Start(client)
			defer func() {
				group.Stop()
				server.Stop()
				time.Sleep(2 * time.Minute)
			}()
			body(network, client, traffic)
		})
	})
}

// Guards against handler errors that are reported as an unreachable peer, and the
// reverse. A caller would then repeat a call that the peer refused.
func TestErrors(t *testing.T) {
	inBubble(t, "Errors of the handler, of the network and of the deadline are distinct", func(_ *measure.Network, client *peerrpc.Client, traffic *peerrpc.Traffic) {
		reply, err := say(client, 2, "hello", time.Second)
		So(err, ShouldBeNil)
		So(reply, ShouldEqual, "hello")
		// The server counts its reply after the client may have read it.
		synctest.Wait()
		in, out := traffic.Totals()
		So(in, ShouldBeGreaterThan, int64(100))
		So(in, ShouldEqual, out)

		_, err = say(client, 2, "fail", time.Second)
		var serverErr rpc.ServerError
		So(errors.As(err, &serverErr), ShouldBeTrue)
		So(errors.Is(err, peerrpc.ErrUnreachable), ShouldBeFalse)

		_, err = say(client, 3, "hello", time.Second)
		So(errors.Is(err, peerrpc.ErrUnreachable), ShouldBeTrue)

		started := time.Now()
		_, err = say(client, 2, "hang", time.Minute)
		So(errors.Is(err, peerrpc.ErrUnreachable), ShouldBeTrue)
		So(time.Since(started), ShouldEqual, 2*time.Second)
	})
}

// Guards against a client that keeps using a connection that went silent for
// good, while new connections work.
func TestSilentConnection(t *testing.T) {
	inBubble(t, "The call after a timeout uses a new connection", func(network *measure.Network, client *peerrpc.Client, _ *peerrpc.Traffic) {
		_, err := say(client, 2, "hello", time.Second)
		So(err, ShouldBeNil)
		network.SilenceConnections()
		_, err = say(client, 2, "hello", time.Second)
		So(errors.Is(err, peerrpc.ErrUnreachable), ShouldBeTrue)
		_, err = say(client, 2, "hello", time.Second)
		So(err, ShouldBeNil)
	})
	inBubble(t, "A timeout doesn't break other calls in progress", func(_ *measure.Network, client *peerrpc.Client, _ *peerrpc.Traffic) {
		slow := make(chan error, 1)
		go func() {
			_, err := say(client, 2, "slow", 2*time.Second)
			slow <- err
		}()
		time.Sleep(time.Millisecond)
		_, err := say(client, 2, "hang", 100*time.Millisecond)
		So(err, ShouldNotBeNil)
		So(<-slow, ShouldBeNil)
	})
}

// Guards against a restarted peer that is reported as unreachable, and against
// open connections above the bound.
func TestRestartAndBound(t *testing.T) {
	inBubble(t, "A call to a restarted peer succeeds, and idle connections are closed at the bound", func(network *measure.Network, client *peerrpc.Client, _ *peerrpc.Traffic) {
		for i := 3; i <= 6; i++ {
			server := serve(network, i, &peerrpc.Traffic{})
			_, err := say(client, i, "hello", time.Second)
			So(err, ShouldBeNil)
			server.Stop()
			time.Sleep(3 * time.Second)
			server = serve(network, i, &peerrpc.Traffic{})
			_, err = say(client, i, "again", time.Second)
			So(err, ShouldBeNil)
			server.Stop()
			time.Sleep(3 * time.Second)
		}
	})
	inBubble(t, "With all connections in use, a call to another peer is refused", func(network *measure.Network, client *peerrpc.Client, _ *peerrpc.Traffic) {
		for i := 3; i <= 4; i++ {
			defer serve(network, i, &peerrpc.Traffic{}).Stop()
		}
		_, err := say(client, 2, "hello", time.Second)
		So(err, ShouldBeNil)
		_, err = say(client, 3, "hello", time.Second)
		So(err, ShouldBeNil)
		_, err = say(client, 4, "hello", time.Second)
		So(errors.Is(err, peerrpc.ErrUnreachable), ShouldBeTrue)
		time.Sleep(3 * time.Second)
		_, err = say(client, 4, "hello", time.Second)
		So(err, ShouldBeNil)
	})
}
