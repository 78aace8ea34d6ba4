package connpool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds the set-up of a connection. A round trip between zones
	// takes a few milliseconds and accepting a connection about one, so a longer
	// wait means a lost packet or an upstream that is unreachable.
	dialTimeout = 250 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount are the probes of connections
	// that are silent. An upstream's kernel answers them while its process is silent.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// unackedTimeout closes a connection on which sent bytes, or probes, remain
	// unacknowledged. As TCP_USER_TIMEOUT it replaces keepAliveCount, so it is the time
	// that all probes take. It also ends a connection whose upstream has read nothing
	// for so long while bytes wait to be sent.
	unackedTimeout = keepAliveIdle + keepAliveCount*keepAliveInterval
	// tcpUserTimeout is the number of the socket option TCP_USER_TIMEOUT, which
	// package syscall lacks.
	tcpUserTimeout = 0x12
	// socketBuffer bounds what the kernel holds of requests to an upstream and of answers
	// from it, on each connection. It may grow to 6 MiB otherwise, for each caller that
	// reads slowly. At a round trip of 5 ms it allows 12 MB/s.
	socketBuffer = 64 << 10
	// verifyTimeout bounds the verification of a new connection: one request and its answer.
	verifyTimeout = 250 * time.Millisecond
)

// DialFunc connects to the address of an upstream, IP:PORT.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Dial connects to an upstream. Its error wraps ErrConnectionLimit if the process has no
// free file descriptor.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var sockoptErr error
			err := raw.Control(func(fd uintptr) {
				sockoptErr = errors.Join(
					syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds())),
					syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBuffer),
					syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBuffer),
				)
			})
			return errors.Join(err, sockoptErr)
		},
	}
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		return nil, fmt.Errorf("%w: %w", ErrConnectionLimit, err)
	}
	if err != nil {
		return nil, fmt.Errorf("connect to upstream %s; check that it runs and can be reached: %w", address, err)
	}
	return socket, nil
}

// dialVerified sets up a connection and verifies it if the target asks for that.
func (p *Pool) dialVerified(ctx context.Context, target *Target) (net.Conn, error) {
	dial := p.dial
	if target.Tunnel != nil {
		dial = func(ctx context.Context, _ string) (net.Conn, error) { return target.Tunnel(ctx) }
	}
	socket, err := dial(ctx, target.Address)
	if err != nil || target.Verify == nil {
		return socket, err
	}
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	interrupted := context.AfterFunc(ctx, func() { _ = socket.Close() })
	err = target.Verify(ctx, socket)
	if !interrupted() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("%w: upstream %s at %s: %w", ErrUnverified, target.Upstream, target.Address, err)
	}
	return socket, nil
}

// Dial connects to an upstream as the pool does, for another host. It returns a connection
// that the pool does not count.
func (p *Pool) Dial(ctx context.Context, address string) (net.Conn, error) {
	return p.dial(ctx, address)
}

// Probe connects to an upstream and closes the connection without sending
// anything. Its error tells why no connection could be established.
func (p *Pool) Probe(ctx context.Context, address string) error {
	socket, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	return socket.Close()
}
