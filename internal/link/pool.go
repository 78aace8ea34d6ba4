package link

import (
	"context"
	"errors"
	"net"
	"slices"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/task"
)

// inboxSize holds a burst of acquisitions and returns.
const inboxSize = 512

// ErrFull means that the upstream's connections are all in use.
var ErrFull = errors.New("all connections to the upstream are in use; choose another")

// Target names the upstream process to connect to.
type Target struct {
	Upstream core.UpstreamID
	Address  string
	// MaxConnections bounds this host's connections to the upstream.
	MaxConnections int
}

// Pool is the task that keeps the connections to all upstreams. It hands out
// the most recently used idle connection, so that unneeded ones age and close.
type Pool struct {
	inbox  *task.Inbox[any]
	decode DecodeHead
}

type acquire struct {
	ctx    context.Context
	target Target
	reply  chan<- acquired
}

type acquired struct {
	connection *Connection
	fresh      bool
	err        error
}

type dialed struct {
	target Target
	socket net.Conn
	err    error
	ask    acquire
}

type returned struct{ connection *Connection }
type retire struct {
	connection *Connection
	reply      chan<- bool
}
type gone struct{ connection *Connection }
type forget struct{ upstreams []core.UpstreamID }

// bucket is the state of one upstream's connections.
type bucket struct {
	idle []*Connection
	// open counts connections in use, idle and being set up.
	open int
	// refusing is true when connections that come back are closed.
	refusing bool
}

// remove takes an idle connection out and reports whether it was there. One
// that was told to stop counts as idle.
func (b *bucket) remove(connection *Connection) bool {
	if i := slices.Index(b.idle, connection); i >= 0 {
		b.idle = slices.Delete(b.idle, i, i+1)
		return true
	}
	select {
	case <-connection.stop:
		return true
	default:
		return false
	}
}

// NewPool returns a pool whose connections decode heads with decode.
func NewPool(decode DecodeHead) *Pool {
	return &Pool{inbox: task.NewInbox[any](inboxSize), decode: decode}
}

// Acquire returns a connection to the upstream, and whether it is new. An
// error means that nothing was sent.
func (p *Pool) Acquire(ctx context.Context, target Target) (*Connection, bool, error) {
	reply := make(chan acquired, 1)
	if err := p.inbox.Send(ctx, acquire{ctx, target, reply}); err != nil {
		return nil, false, err
	}
	select {
	case got := <-reply:
		return got.connection, got.fresh, got.err
	case <-ctx.Done():
		go p.takeBack(reply)
		return nil, false, ctx.Err()
	}
}

// takeBack returns a connection that arrives after its requester gave up.
func (p *Pool) takeBack(reply <-chan acquired) {
	if got := <-reply; got.connection != nil {
		p.idle(got.connection)
	}
}

// Forget closes idle connections to upstreams that get no new work, and those
// in use once they are free.
func (p *Pool) Forget(upstreams []core.UpstreamID) { p.inbox.TrySend(forget{upstreams}) }

func (p *Pool) idle(c *Connection)   { _ = p.inbox.Send(context.Background(), returned{c}) }
func (p *Pool) closed(c *Connection) { _ = p.inbox.Send(context.Background(), gone{c}) }

// retired takes an idle connection out. It reports false if the connection has
// been handed out, so that an exchange is still to come.
func (p *Pool) retired(c *Connection) bool {
	wasIdle, err := task.Ask(context.Background(), p.inbox, func(reply chan<- bool) any { return retire{c, reply} })
	return wasIdle || err != nil
}

// Run handles messages until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	defer p.inbox.Close()
	buckets := make(map[core.UpstreamID]*bucket)
	for {
		select {
		case message := <-p.inbox.Messages():
			p.handle(ctx, buckets, message)
		case <-ctx.Done():
			for _, b := range buckets {
				for _, connection := range b.idle {
					close(connection.stop)
				}
			}
			return
		}
	}
}

func (p *Pool) handle(ctx context.Context, buckets map[core.UpstreamID]*bucket, message any) {
	of := func(id core.UpstreamID) *bucket {
		b, found := buckets[id]
		if !found {
			b = &bucket{}
			buckets[id] = b
		}
		return b
	}
	switch m := message.(type) {
	case acquire:
		p.acquire(of(m.target.Upstream), m)
	case dialed:
		p.dialed(of(m.target.Upstream), m)
	case returned:
		b := of(m.connection.upstream)
		if b.refusing || ctx.Err() != nil {
			close(m.connection.stop)
			return
		}
		b.idle = append(b.idle, m.connection)
	case retire:
		m.reply <- of(m.connection.upstream).remove(m.connection)
	case gone:
		b := of(m.connection.upstream)
		b.open--
		if b.open <= 0 && b.refusing {
			delete(buckets, m.connection.upstream)
		}
	case forget:
		for _, id := range m.upstreams {
			b, found := buckets[id]
			if !found {
				continue
			}
			b.refusing = true
			for _, connection := range b.idle {
				close(connection.stop)
			}
			b.idle = nil
			if b.open <= 0 {
				delete(buckets, id)
			}
		}
	}
}

func (p *Pool) acquire(b *bucket, ask acquire) {
	b.refusing = false
	if n := len(b.idle); n > 0 {
		connection := b.idle[n-1]
		b.idle = b.idle[:n-1]
		ask.reply <- acquired{connection: connection}
		return
	}
	if b.open >= ask.target.MaxConnections {
		ask.reply <- acquired{err: ErrFull}
		return
	}
	b.open++
	go func() {
		socket, err := dial(ask.ctx, ask.target.Address)
		_ = p.inbox.Send(context.Background(), dialed{ask.target, socket, err, ask})
	}()
}

func (p *Pool) dialed(b *bucket, m dialed) {
	if m.err != nil {
		b.open--
		m.ask.reply <- acquired{err: m.err}
		return
	}
	connection := newConnection(p, m.target.Upstream, m.socket, p.decode)
	go connection.run()
	m.ask.reply <- acquired{connection: connection, fresh: true}
}
