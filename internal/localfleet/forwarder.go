package localfleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
)

// copySize is the size of a forwarder's buffers in bytes.
const copySize = 16 << 10

// period is the time between two changes of a way through the network.
// Connections belong to the period in which they were opened.
type period struct {
	cut bool
	// over ends the connections of the period.
	over context.Context
	end  context.CancelFunc
	// silenced is the period before, whose connections stay open and silent.
	silenced *period
}

func newPeriod(cut bool) *period {
	p := &period{cut: cut}
	p.over, p.end = context.WithCancel(context.Background())
	return p
}

// close ends the connections of the period and of those silenced by it.
func (p *period) close() {
	for ; p != nil; p = p.silenced {
		p.end()
	}
}

// forwarder is the task that passes a zone's connections on to the platform.
type forwarder struct {
	listener net.Listener
	target   string
	current  atomic.Pointer[period]
}

func newForwarder(target string) (*forwarder, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", anyPort)
	if err != nil {
		return nil, fmt.Errorf("listen for connections to %s: %w", target, err)
	}
	f := &forwarder{listener: listener, target: target}
	f.current.Store(newPeriod(false))
	return f, nil
}

// Address returns host:port.
func (f *forwarder) Address() string { return f.listener.Addr().String() }

// stop breaks all connections, and new ones at once.
func (f *forwarder) stop() { f.current.Swap(newPeriod(true)).close() }

// silence loses everything on established connections and on new ones.
func (f *forwarder) silence() {
	next := newPeriod(true)
	next.silenced = f.current.Load()
	f.current.Store(next)
}

// resume breaks the connections that may have lost something; new ones work.
func (f *forwarder) resume() { f.current.Swap(newPeriod(false)).close() }

// Run accepts connections until ctx ends and then breaks all.
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

// forward owns a connection of the zone and the one to the platform.
func (f *forwarder) forward(ctx context.Context, conn net.Conn, opened *period) {
	drop := func() { _ = conn.Close() }
	defer drop()
	defer context.AfterFunc(opened.over, drop)()
	defer context.AfterFunc(ctx, drop)()
	if opened.cut {
		if opened.silenced != nil {
			_, _ = io.Copy(io.Discard, conn)
		}
		return
	}
	var dialer net.Dialer
	target, err := dialer.DialContext(opened.over, "tcp", f.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		f.pass(to, from, opened)
		_ = to.Close()
		_ = from.Close()
		done <- struct{}{}
	}
	go pass(target, conn)
	go pass(conn, target)
	<-done
	<-done
}

// pass copies data while the period lasts, and drops it afterwards.
func (f *forwarder) pass(to io.Writer, from io.Reader, opened *period) {
	buffer := make([]byte, copySize)
	for {
		n, err := from.Read(buffer)
		if f.current.Load() == opened {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
