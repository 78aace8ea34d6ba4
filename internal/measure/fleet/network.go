// Package fleet measures what membership and configuration cost a host. It runs
// many hosts in one process on an in-memory network.
package fleet

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync/atomic"
	"time"
)

// Network is an in-memory network between hosts in one process. Faults are set
// for ordered pairs of addresses.
type Network struct {
	rules atomic.Pointer[rules]
}

type pair struct{ from, to string }

// rules is an immutable copy of the listeners and faults. It is replaced as a
// whole, so that connections read it without locks.
type rules struct {
	listeners map[string]*listener
	// cut is the set of pairs on which everything sent is lost.
	cut map[pair]bool
	// silencedBelow is the generation below which connections lose everything.
	// A connection opens in the generation that is current.
	silencedBelow int
	delay         time.Duration
}

// NewNetwork returns a network without hosts and faults.
func NewNetwork() *Network {
	n := &Network{}
	n.rules.Store(&rules{listeners: make(map[string]*listener), cut: make(map[pair]bool)})
	return n
}

func (n *Network) updateRules(update func(next *rules)) {
	for {
		old := n.rules.Load()
		next := &rules{listeners: maps.Clone(old.listeners), cut: maps.Clone(old.cut), silencedBelow: old.silencedBelow, delay: old.delay}
		update(next)
		if n.rules.CompareAndSwap(old, next) {
			return
		}
	}
}

// Cut drops everything that one address sends to another, until Heal. No
// connection opens between a pair that is cut in either direction. A connection
// that has lost data stays silent.
func (n *Network) Cut(from, to string) {
	n.updateRules(func(next *rules) { next.cut[pair{from, to}] = true })
}

// Partition cuts two groups of addresses from each other in both directions.
func (n *Network) Partition(left, right []string) {
	n.updateRules(func(next *rules) {
		for _, a := range left {
			for _, b := range right {
				next.cut[pair{a, b}] = true
				next.cut[pair{b, a}] = true
			}
		}
	})
}

// Heal removes all cuts.
func (n *Network) Heal() {
	n.updateRules(func(next *rules) { clear(next.cut) })
}

// SilenceConnections makes all open connections drop everything permanently,
// while new connections work.
func (n *Network) SilenceConnections() {
	n.updateRules(func(next *rules) { next.silencedBelow++ })
}

// SetDelay sets the delay of each write.
func (n *Network) SetDelay(delay time.Duration) {
	n.updateRules(func(next *rules) { next.delay = delay })
}

// Listen returns a listener on an address.
func (n *Network) Listen(address string) net.Listener {
	created := &listener{network: n, address: address, backlog: make(chan net.Conn), closed: make(chan struct{})}
	n.updateRules(func(next *rules) { next.listeners[address] = created })
	return created
}

// errRefused means that nothing listens on an address.
var errRefused = errors.New("connection refused")

// Dialer returns a dial function that dials from the given address. A dial to
// an address that is cut off blocks until its context ends.
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
		dialed, accepted := net.Pipe()
		shared := &link{generation: current.silencedBelow}
		select {
		case target.backlog <- &conn{Conn: accepted, network: n, link: shared, direction: pair{to, from}}:
			return &conn{Conn: dialed, network: n, link: shared, direction: pair{from, to}}, nil
		case <-target.closed:
			return nil, errRefused
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// link is the state shared by both ends of a connection.
type link struct {
	generation int
	dropping   atomic.Bool
}

type conn struct {
	net.Conn
	network   *Network
	link      *link
	direction pair
}

// Write passes the content on unless a fault drops it. Dropped content counts
// as written.
func (c *conn) Write(content []byte) (int, error) {
	current := c.network.rules.Load()
	if current.cut[c.direction] || current.silencedBelow > c.link.generation {
		c.link.dropping.Store(true)
	}
	if c.link.dropping.Load() {
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
	network *Network
	address string
	backlog chan net.Conn
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case accepted := <-l.backlog:
		return accepted, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It is called once.
func (l *listener) Close() error {
	close(l.closed)
	l.network.updateRules(func(next *rules) {
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
