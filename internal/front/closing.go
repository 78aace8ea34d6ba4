package front

import (
	"net"
	"syscall"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/peridotreel/peridotreel/internal/eventlog"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

// close closes the connection and reports why. It is called once.
func (c *connection) close(cause gateway.CloseCause) {
	closing := gateway.Closing{Cause: cause, UnreadBytes: c.hasUnread()}
	_ = c.socket.Close()
	if closing.UnreadBytes || cause == gateway.CloseLimit {
		eventlog.Losses(c.server.config.Log).Warn("connection closed at the limit or with bytes that were not read", zap.String("event", "connection_closed"),
			zap.String("close_cause", string(cause)), zap.Bool("unread_bytes", closing.UnreadBytes))
	}
	c.server.config.Endings.CloseConnection(c.id, closing)
}

// hasUnread reports whether the caller has sent bytes that were or will be thrown away.
// Bytes that have not reached this machine are not known.
func (c *connection) hasUnread() bool {
	if c.peeking {
		// The reader belongs to peekLoop until the wait has ended.
		_ = c.socket.SetReadDeadline(past)
		err := <-c.peekResults
		c.peeking = false
		if err == nil {
			return true
		}
	}
	return c.discarded || c.reader.Buffered() > 0 || kernelHasUnread(c.socket)
}

// kernelHasUnread reports whether the kernel has received bytes that were not read. It
// does not wait.
func kernelHasUnread(socket net.Conn) bool {
	owner, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := owner.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	_ = raw.Control(func(descriptor uintptr) {
		var first [1]byte
		count, _, err := syscall.Recvfrom(int(descriptor), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && count > 0
	})
	return unread
}

// connectionWaits reports whether the kernel has a connection that was not accepted. It
// does not wait.
func connectionWaits(listener net.Listener) bool {
	owner, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := owner.SyscallConn()
	if err != nil {
		return false
	}
	waits := false
	_ = raw.Control(func(descriptor uintptr) {
		count, err := unix.Poll([]unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}, 0) //nolint:gosec // descriptors are small
		waits = err == nil && count > 0
	})
	return waits
}
