// Package fleet measures what membership and configuration cost a host, with
// many hosts in one process on a network in memory.
package fleet

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync/atomic"
	"time"
)

// Network connects hosts in one process. Faults are set for ordered pairs of
// addresses.
type Network struct {
	rules atomic.Pointer[rules]
}

type pair struct{ from, to string }

// rules are replaced as a whole, so that connections read them without locks.
type rules struct {
	listeners map[string]*listener
	// cut pairs lose what one sends to the other.
	cut map[pair]bool
	// silent is raised to silence all connections opened under a lower number.
	silent int
	delay  time.Duration
}

// NewNetwork returns a network without hosts and faults.
func NewNetwork() *Network {
	n := &Network{}
	n.rules.Store(&rules{listeners: make(map[string]*listener), cut: make(map[pair]bool)})
	return n
}

func (n *Network) change(edit func(next *rules)) {
	for {
		old := n.rules.Load()
		next := &rules{listeners: maps.Clone(old.listeners), cut: maps.Clone(old.cut), silent: old.silent, delay: old.delay}
		edit(next)
		if n.rules.CompareAndSwap(old, next) {
			return
		}
	}
}

// Cut loses everything that one address sends to another, connection requests
// included, until Heal. A connection that has lost something stays silent.
func (n *Network) Cut(from, to string) {
	n.change(func(next *rules) { next.cut[pair{from, to}] = true })
}

// Partition cuts two groups of addresses from each other in both directions.
func (n *Network) Partition(left, right []string) {
	n.change(func(next *rules) {
		for _, a := range left {
			for _, b := range right {
				next.cut[pair{a, b}] = true
				next.cut[pair{b, a}] = true
			}
		}
	})
}

// Heal ends all cuts.
func (n *Network) Heal() {
	n.change(func(next *rules) { clear(next.cut) })
}

// SilenceConnections makes all open connections lose everything for good,
// while new ones work.
func (n *Network) SilenceConnections() {
	n.change(func(next *rules) { next.silent++ })
}

// SetDelay delays each write.
func (n *Network) SetDelay(delay time.Duration) {
	n.change(func(next *rules) { next.delay = delay })
}

// Listen returns a listener on an address.
func (n *Network) Listen(address string) net.Listener {
	opened := &listener{network: n, address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.change(func(next *rules) { next.listeners[address] = opened })
	return opened
}

// errRefused means that nothing listens on an address.
var errRefused = errors.New("connection refused")

// Dialer returns the dial function of the host with an address.
func (n *Network) Dialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		current := n.rules.Load()
		if current.cut[pair{from, to}] || current.cut[pair{to, from}] {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		target := current.listeners[to]
		if target == nil {
			return nil, errRefused
		}
		near, far := net.Pipe()
		shared := &line{opened: current.silent}
		select {
		case target.incoming <- &conn{Conn: far, network: n, line: shared, way: pair{to, from}}:
			return &conn{Conn: near, network: n, line: shared, way: pair{from, to}}, nil
		case <-target.closed:
			return nil, errRefused
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// line is what both ends of a connection share.
type line struct {
	opened int
	lost   atomic.Bool
}

type conn struct {
	net.Conn
	network *Network
	line    *line
	way     pair
}

// Write passes the content on unless the network loses it.
func (c *conn) Write(content []byte) (int, error) {
	current := c.network.rules.Load()
	if current.cut[c.way] || current.silent > c.line.opened {
		c.line.lost.Store(true)
	}
	if c.line.lost.Load() {
		return len(content), nil
	}
	if current.delay > 0 {
		time.Sleep(current.delay)
	}
	return c.Conn.Write(content)
}

type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }

type listener struct {
	network  *Network
	address  string
	incoming chan net.Conn
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case opened := <-l.incoming:
		return opened, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It is called once.
func (l *listener) Close() error {
	close(l.closed)
	l.network.change(func(next *rules) {
		if next.listeners[l.address] == l {
			delete(next.listeners, l.address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr {
	return address(l.address)
}
