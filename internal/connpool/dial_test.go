package connpool

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// longestSoundSilence is more than a sound upstream is silent for before it goes on,
// which the platform gives as a second or so.
const longestSoundSilence = 2 * time.Second

// socketOption returns a TCP option of a connection.
func socketOption(connection net.Conn, option int) int {
	raw, err := connection.(*net.TCPConn).SyscallConn()
	So(err, ShouldBeNil)
	var value int
	var optionErr error
	So(raw.Control(func(fd uintptr) {
		value, optionErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option)
	}), ShouldBeNil)
	So(optionErr, ShouldBeNil)
	return value
}

// Guards against a user timeout that gives a connection up before its probes are lost,
// or while a sound upstream is silent: Linux ignores the number of probes if it is set.
func TestTheUserTimeoutLeavesTimeForAllProbes(t *testing.T) {
	Convey("Given a connection to an upstream", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // loopback
		So(err, ShouldBeNil)
		Reset(func() { _ = listener.Close() })
		connection, err := Dial(context.Background(), listener.Addr().String())
		So(err, ShouldBeNil)
		Reset(func() { _ = connection.Close() })
		userTimeout := time.Duration(socketOption(connection, tcpUserTimeout)) * time.Millisecond
		idle := time.Duration(socketOption(connection, syscall.TCP_KEEPIDLE)) * time.Second
		interval := time.Duration(socketOption(connection, syscall.TCP_KEEPINTVL)) * time.Second
		count := socketOption(connection, syscall.TCP_KEEPCNT)
		So(idle, ShouldEqual, keepAliveIdle)
		So(interval, ShouldEqual, keepAliveInterval)
		So(count, ShouldEqual, keepAliveCount)
		So(userTimeout, ShouldBeGreaterThanOrEqualTo, idle+time.Duration(count)*interval)
		So(userTimeout, ShouldBeGreaterThan, longestSoundSilence)
	})
}

// Guards against probes that end a connection whose upstream is sound and silent.
func TestProbesDoNotEndASilentConnection(t *testing.T) {
	Convey("Given an upstream that answers after it was silent for longer than the user timeout", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // loopback
		So(err, ShouldBeNil)
		Reset(func() { _ = listener.Close() })
		go func() {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = accepted.Close() }()
			time.Sleep(unackedTimeout + keepAliveInterval + keepAliveInterval/2)
			_, _ = io.ReadFull(accepted, make([]byte, len("request"))) // closing with unread bytes resets the connection
			_, _ = io.WriteString(accepted, "answer")
		}()
		connection, err := Dial(context.Background(), listener.Addr().String())
		So(err, ShouldBeNil)
		Reset(func() { _ = connection.Close() })
		_, err = io.WriteString(connection, "request")
		So(err, ShouldBeNil)
		answer, err := io.ReadAll(connection)
		So(err, ShouldBeNil)
		So(string(answer), ShouldEqual, "answer")
	})
}
