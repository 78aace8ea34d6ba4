package localfleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
)

// copyBufferBytes is the size of a forwarder's buffers in bytes.
const copyBufferBytes = 16 << 10

// epoch holds the fault state of the connections that were opened between two
// changes of a network link.
type epoch struct {
	cut bool
	// ended is cancelled to close the connections of the epoch.
	ended context.Context
	end   context.CancelFunc
	// previous is the epoch before, if its connections stay open and silent.
	previous *epoch
}

func newEpoch(cut bool) *epoch {
	e := &epoch{cut: cut}
	e.ended, e.end = context.WithCancel(context.Background())
	return e
}

// close closes the connections of the epoch and of the silenced epochs before
// it.
func (e *epoch) close() {
	for ; e != nil; e = e.previous {
		e.end()
	}
}

// forwarder is a task that relays a zone's TCP connections to the platform.
type forwarder struct {
	listener net.Listener
	target   string
	current  atomic.Pointer[epoch]
}

func newForwarder(target string) (*forwarder, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", anyPort)
	if err != nil {
		return nil, fmt.Errorf("listen for connections to %s: %w", target, err)
	}
	f := &forwarder{listener: listener, target: target}
	f.current.Store(newEpoch(false))
	return f, nil
}

// Address returns host:port.
func (f *forwarder) Address() string { return f.listener.Addr().String() }

// disconnect closes all connections, and new ones as soon as they are accepted.
func (f *forwarder) disconnect() { f.current.Swap(newEpoch(true)).close() }

// silence drops all data on established and new connections, which stay open.
func (f *forwarder) silence() {
	next := newEpoch(true)
	next.previous = f.current.Load()
	f.current.Store(next)
}

// resume ends a fault. It closes the connections that may have lost data; new
// ones work.
func (f *forwarder) resume() { f.current.Swap(newEpoch(false)).close() }

// Run accepts connections until ctx ends and then closes all of them.
func (f *forwarder) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		_ = f.listener.Close()
		f.current.Load().close()
	})
	defer stop()
	for {
		conn, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go f.forward(ctx, conn, f.current.Load())
		}
	}
}

// forward relays data between a zone's connection and a new one to the platform,
// and owns both.
func (f *forwarder) forward(ctx context.Context, conn net.Conn, opened *epoch) {
	closeConn := func() { _ = conn.Close() }
	defer closeConn()
	defer context.AfterFunc(opened.ended, closeConn)()
	defer context.AfterFunc(ctx, closeConn)()
	if opened.cut {
		if opened.previous != nil {
			_, _ = io.Copy(io.Discard, conn)
		}
		return
	}
	var dialer net.Dialer
	target, err := dialer.DialContext(opened.ended, "tcp", f.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	done := make(chan struct{}, 2)
	copyAndClose := func(to, from net.Conn) {
		f.copyData(to, from, opened)
		_ = to.Close()
		_ = from.Close()
		done <- struct{}{}
	}
	go copyAndClose(target, conn)
	go copyAndClose(conn, target)
	<-done
	<-done
}

// copyData copies data during the connection's epoch and discards it afterwards.
func (f *forwarder) copyData(to io.Writer, from io.Reader, opened *epoch) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if f.current.Load() == opened {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
