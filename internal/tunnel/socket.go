package tunnel

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount are those of connections to
	// upstreams, so that a tunnel delays the notice of a silent end by nothing.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// unackedTimeout closes a connection on which sent bytes remain unacknowledged. Linux
	// also ends keep-alive probes by it, whatever their count.
	unackedTimeout = 4 * time.Second
	// socketBuffer bounds what the kernel holds for the requester's side of a tunnel, which
	// it doubles for its own records. It may grow to 4 and 6 MiB otherwise, for each of 256
	// tunnels whose callers read slowly. An answer of the usual longest length fits, so that
	// it is taken from its upstream before its requester reads.
	socketBuffer = 256 << 10
	// resetGrace bounds the wait for sent bytes to be acknowledged before a reset, which
	// discards them. A round trip between zones takes a few milliseconds.
	resetGrace = 500 * time.Millisecond
	// resetPoll is the interval of the looks at what is unacknowledged.
	resetPoll = 10 * time.Millisecond
	// tcpStateEstablished is the state of a socket of which neither side has ended, and
	// tcpStateClose that of one that was reset, and not closed in order.
	tcpStateEstablished = 1
	tcpStateClose       = 7
)

// Configure makes a silent peer noticed within unackedTimeout, and bounds what the kernel
// holds. Connections that are not of TCP, as in tests, remain as they are.
func Configure(conn net.Conn) error {
	socket, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := socket.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}); err != nil {
		return err
	}
	if err := errors.Join(socket.SetReadBuffer(socketBuffer), socket.SetWriteBuffer(socketBuffer)); err != nil {
		return err
	}
	var optionErr error
	err := control(socket, func(fd int) {
		optionErr = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

// ResetOnClose chooses whether a connection ends by a reset or in order when it is closed,
// also by the end of the process.
func ResetOnClose(conn net.Conn, reset bool) error {
	socket, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	return socket.SetLinger(seconds)
}

// Reset closes a connection such that its peer sees an error and no end. Bytes that were
// written before are delivered first if that is possible within resetGrace and until ctx
// ends.
func Reset(ctx context.Context, conn net.Conn) {
	socket, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return
	}
	for waited := time.Duration(0); waited < resetGrace && unacknowledged(socket); waited += resetPoll {
		if task.Sleep(ctx, resetPoll) != nil {
			break
		}
	}
	_ = ResetOnClose(socket, true)
	_ = socket.Close()
}

// WasReset reports whether a connection from which the end was read has been reset. The
// kernel reports a reset to one call only: after a failed write, a read sees a plain end.
func WasReset(conn net.Conn) bool {
	info, known := tcpInfo(conn)
	return known && info.State == tcpStateClose
}

// HasEnded reports whether the peer has ended a connection, in order or by a reset,
// although bytes before the end may not have been read.
func HasEnded(conn net.Conn) bool {
	info, known := tcpInfo(conn)
	return known && info.State != tcpStateEstablished
}

// Unsent reports whether bytes were written to a connection that have not been sent, as
// its peer does not read.
func Unsent(conn net.Conn) bool {
	info, known := tcpInfo(conn)
	return known && info.Notsent_bytes > 0
}

// AwaitTaken waits until the peer of a connection has acknowledged all that was written to
// it, and reports whether it has. It has not if the connection was reset, or if it takes
// longer than unackedTimeout. Connections that are not of TCP count as taken.
func AwaitTaken(ctx context.Context, conn net.Conn) bool {
	if _, ok := conn.(*net.TCPConn); !ok {
		return true
	}
	for waited := time.Duration(0); waited < unackedTimeout; waited += resetPoll {
		info, known := tcpInfo(conn)
		switch {
		case !known || info.State == tcpStateClose:
			return false
		case info.Unacked == 0 && info.Notsent_bytes == 0:
			return true
		case task.Sleep(ctx, resetPoll) != nil:
			return false
		}
	}
	return false
}

// AwaitPassed waits after the end of what upstream sends until all that requester has sent
// is passed on to it. It reports whether upstream has reset the connection, which one that
// has closed it does on the next bytes. An upstream that has only ended its own side is
// waited for at most resetGrace.
func AwaitPassed(ctx context.Context, requester, upstream net.Conn) (reset bool) {
	quiet := false
	for waited := time.Duration(0); waited < resetGrace; waited += resetPoll {
		if WasReset(upstream) {
			return true
		}
		// Bytes between the two sockets are in neither, so one look does not suffice.
		wasQuiet := quiet
		quiet = unread(requester) == 0 && !unacknowledged(upstream)
		if wasQuiet && quiet || task.Sleep(ctx, resetPoll) != nil {
			break
		}
	}
	return WasReset(upstream)
}

// Outstanding returns the number of bytes that were written to a connection and that its
// peer has not acknowledged.
func Outstanding(conn net.Conn) int {
	socket, ok := conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	count := 0
	_ = control(socket, func(fd int) { count, _ = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	return count
}

// unread returns the number of bytes that the kernel has received and that were not read.
func unread(conn net.Conn) int {
	socket, ok := conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	count := 0
	_ = control(socket, func(fd int) { count, _ = unix.IoctlGetInt(fd, unix.SIOCINQ) })
	return count
}

func unacknowledged(conn net.Conn) bool {
	info, known := tcpInfo(conn)
	return known && info.State != tcpStateClose && (info.Unacked > 0 || info.Notsent_bytes > 0)
}

func tcpInfo(conn net.Conn) (*unix.TCPInfo, bool) {
	socket, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err := control(socket, func(fd int) { info, infoErr = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO) })
	return info, err == nil && infoErr == nil
}

func control(socket syscall.Conn, use func(fd int)) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { use(int(fd)) })
}
