package connpool

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/linkmeter"
	"github.com/peridotreel/peridotreel/internal/task"
)

// inboxCapacity is enough for a burst of acquired and released connections.
const inboxCapacity = 512

// ErrConnectionLimit means that this host can open no further connection to the upstream
// now: all that it may have are in use, or it has no free file descriptor. It says nothing
// about whether the upstream can be reached.
var ErrConnectionLimit = errors.New("no further connection to the upstream can be opened now; choose another")

// ErrUnverified means that a connection was set up, and that it is not known to lead to the
// listed process of the upstream.
var ErrUnverified = errors.New("the process that has the upstream's address could not be verified")

// Target identifies the upstream process to connect to.
type Target struct {
	Upstream core.UpstreamID
	Address  string
	// MaxConnections bounds this host's connections to the upstream, unless SetLimit has
	// set another bound lately.
	MaxConnections int
	// MaxWait is how long the request waits for a connection that is released, in order of
	// arrival, if all are in use.
	MaxWait time.Duration
	// Verify checks over a new connection that it leads to the listed process of the
	// upstream, and not to one that was started at its address since. It is nil if the
	// list is recent enough to tell.
	Verify func(ctx context.Context, socket net.Conn) error
	// ListedAt is when the list was last confirmed. If Verify is set, idle connections
	// that were set up later are used only if they were verified.
	ListedAt time.Time
	// Tunnel sets up a new connection through another host. It is nil if this host sets it
	// up itself. Such a connection carries one request.
	Tunnel func(ctx context.Context) (net.Conn, error)
}

// accepts reports whether an idle connection leads to the listed process.
func (t *Target) accepts(c *Connection) bool {
	return t.Verify == nil || c.verified || c.setUpAt.Before(t.ListedAt)
}

// Pool is the task that manages the connections to all upstreams. It hands out
// the most recently used idle connection, so that surplus connections reach
// their idle limit and close.
type Pool struct {
	inbox  *task.Inbox[any]
	decode DecodeHead
	dial   DialFunc
	// link counts the bytes of connections; nil counts none.
	link *linkmeter.Meter
}

type acquire struct {
	ctx    context.Context
	target Target
	reply  chan<- acquired
}

type acquired struct {
	connection *Connection
	isNew      bool
	err        error
}

type dialed struct {
	target  Target
	socket  net.Conn
	err     error
	request acquire
}

type released struct{ connection *Connection }
type retire struct {
	connection *Connection
	reply      chan<- bool
}
type closedConnection struct{ connection *Connection }
type waitLapsed struct {
	upstream core.UpstreamID
	reply    chan<- acquired
}
type setLimit struct {
	upstream core.UpstreamID
	limit    int
}
type drain struct{ upstreams []core.UpstreamID }

// upstreamPool holds the connections to one upstream.
type upstreamPool struct {
	idle []*Connection
	// open counts connections that are in use, idle, being set up or being closed, and
	// closing those that were told to close.
	open    int
	closing int
	// limit is the number of connections that this host may have to the upstream. It is set
	// by SetLimit until limitUntil, and by requests otherwise.
	limit      int
	limitUntil time.Time
	// waiting has the requests that wait for a connection in order of arrival: one that is
	// released, or one that is set up in the place of one that is closed.
	waiting []acquire
	// draining is true if released connections are closed instead of kept.
	draining bool
}

// remove removes an idle connection and reports whether it was idle. One that
// was told to stop counts as idle.
func (u *upstreamPool) remove(connection *Connection) bool {
	if i := slices.Index(u.idle, connection); i >= 0 {
		u.idle = slices.Delete(u.idle, i, i+1)
		return true
	}
	select {
	case <-connection.stop:
		return true
	default:
		return false
	}
}

// takeIdle returns the idle connection that was used last of those that the target
// accepts, nil if there is none.
func (u *upstreamPool) takeIdle(target *Target) *Connection {
	for i, connection := range slices.Backward(u.idle) {
		if target.accepts(connection) {
			u.idle = slices.Delete(u.idle, i, i+1)
			return connection
		}
	}
	return nil
}

// NewPool returns a pool whose connections convert response heads with decode and are set
// up with dial, or with Dial if that is nil. link counts their bytes; nil counts none.
func NewPool(decode DecodeHead, dial DialFunc, link *linkmeter.Meter) *Pool {
	if dial == nil {
		dial = Dial
	}
	return &Pool{inbox: task.NewInbox[any](inboxCapacity), decode: decode, dial: dial, link: link}
}

// Acquire returns a connection to the upstream and whether it is new. After an
// error, nothing was sent.
func (p *Pool) Acquire(ctx context.Context, target Target) (*Connection, bool, error) {
	reply := make(chan acquired, 1)
	if err := p.inbox.Send(ctx, acquire{ctx, target, reply}); err != nil {
		return nil, false, err
	}
	select {
	case got := <-reply:
		return got.connection, got.isNew, got.err
	case <-ctx.Done():
		go p.reclaim(reply)
		return nil, false, ctx.Err()
	}
}

// reclaim releases a connection that is handed out after its requester gave up.
func (p *Pool) reclaim(reply <-chan acquired) {
	if got := <-reply; got.connection != nil {
		p.release(got.connection)
	}
}

// Drain closes connections to upstreams that get no new requests: idle ones at
// once, those in use when they are released. Requests that wait for a connection get none.
func (p *Pool) Drain(upstreams []core.UpstreamID) { p.inbox.TrySend(drain{upstreams}) }

// limitHolds is how long a limit that was set holds. It is set again at shorter intervals
// while it differs from that of requests.
const limitHolds = time.Second

// SetLimit sets how many connections this host may have to an upstream, for limitHolds.
// Surplus ones are closed: idle ones at once, those in use when they are released.
func (p *Pool) SetLimit(upstream core.UpstreamID, limit int) {
	p.inbox.TrySend(setLimit{upstream, limit})
}

func (p *Pool) release(c *Connection) { _ = p.inbox.Send(context.Background(), released{c}) }
func (p *Pool) connectionClosed(c *Connection) {
	_ = p.inbox.Send(context.Background(), closedConnection{c})
}

// removeIdle removes an idle connection. It returns false if the connection has
// been handed out, so that an exchange is still to come.
func (p *Pool) removeIdle(c *Connection) bool {
	wasIdle, err := task.Ask(context.Background(), p.inbox, func(reply chan<- bool) any { return retire{c, reply} })
	return wasIdle || err != nil
}

// Run handles messages until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	defer p.inbox.Close()
	pools := make(map[core.UpstreamID]*upstreamPool)
	for {
		select {
		case message := <-p.inbox.Messages():
			p.handle(ctx, pools, message)
		case <-ctx.Done():
			for _, u := range pools {
				for _, connection := range u.idle {
					close(connection.stop)
				}
			}
			return
		}
	}
}

func (p *Pool) handle(ctx context.Context, pools map[core.UpstreamID]*upstreamPool, message any) {
	poolOf := func(id core.UpstreamID) *upstreamPool {
		u, found := pools[id]
		if !found {
			u = &upstreamPool{}
			pools[id] = u
		}
		return u
	}
	switch m := message.(type) {
	case acquire:
		p.acquire(poolOf(m.target.Upstream), m)
	case dialed:
		p.dialed(poolOf(m.target.Upstream), m)
	case released:
		u := poolOf(m.connection.upstream)
		if u.draining || m.connection.single || ctx.Err() != nil || u.open-u.closing > u.limit {
			u.close(m.connection)
			return
		}
		u.idle = append(u.idle, m.connection)
		p.serveWaiting(u)
	case retire:
		m.reply <- poolOf(m.connection.upstream).remove(m.connection)
	case closedConnection:
		u := poolOf(m.connection.upstream)
		u.open--
		if m.connection.closing {
			u.closing--
		}
		p.serveWaiting(u)
		if u.open <= 0 && u.draining && len(u.waiting) == 0 {
			delete(pools, m.connection.upstream)
		}
	case waitLapsed:
		u := poolOf(m.upstream)
		if i := slices.IndexFunc(u.waiting, func(w acquire) bool { return w.reply == m.reply }); i >= 0 {
			u.waiting = slices.Delete(u.waiting, i, i+1)
			m.reply <- acquired{err: ErrConnectionLimit}
		}
	case setLimit:
		if u, found := pools[m.upstream]; found {
			p.applyLimit(u, m.limit)
		}
	case drain:
		for _, id := range m.upstreams {
			u, found := pools[id]
			if !found {
				continue
			}
			u.draining = true
			for _, connection := range u.idle {
				u.close(connection)
			}
			u.idle = nil
			for _, request := range u.waiting {
				request.reply <- acquired{err: ErrConnectionLimit}
			}
			u.waiting = nil
			if u.open <= 0 {
				delete(pools, id)
			}
		}
	}
}

func (p *Pool) acquire(u *upstreamPool, request acquire) {
	u.draining = false
	if time.Now().After(u.limitUntil) {
		u.limit = request.target.MaxConnections
		p.serveWaiting(u)
	}
	if connection := u.takeIdle(&request.target); connection != nil {
		request.reply <- acquired{connection: connection}
		return
	}
	if u.open < u.limit {
		p.setUp(u, request)
		return
	}
	if len(u.idle) > 0 && u.open == u.limit {
		// The one that was used least recently makes room.
		u.closeOldestIdle()
		p.enqueue(u, request, max(request.target.MaxWait, dialTimeout))
		return
	}
	if request.target.MaxWait <= 0 {
		request.reply <- acquired{err: ErrConnectionLimit}
		return
	}
	p.enqueue(u, request, request.target.MaxWait)
}

// enqueue lets a request wait for a connection, for some time.
func (p *Pool) enqueue(u *upstreamPool, request acquire, wait time.Duration) {
	u.waiting = append(u.waiting, request)
	lapsed := waitLapsed{request.target.Upstream, request.reply}
	time.AfterFunc(wait, func() { _ = p.inbox.Send(context.Background(), lapsed) })
}

// closeOldestIdle closes the idle connection that was used least recently.
func (u *upstreamPool) closeOldestIdle() {
	u.close(u.idle[0])
	u.idle = slices.Delete(u.idle, 0, 1)
}

// close tells a connection to close.
func (u *upstreamPool) close(connection *Connection) {
	connection.closing = true
	u.closing++
	close(connection.stop)
}

// serveWaiting gives the connections that have become free to the requests that wait,
// the one that has waited longest first.
func (p *Pool) serveWaiting(u *upstreamPool) {
	for len(u.waiting) > 0 {
		request := u.waiting[0]
		if request.ctx.Err() != nil {
			request.reply <- acquired{err: request.ctx.Err()}
			u.waiting = slices.Delete(u.waiting, 0, 1)
			continue
		}
		connection := u.takeIdle(&request.target)
		if connection == nil && u.open >= u.limit {
			if len(u.idle) > 0 && u.closing < len(u.waiting) {
				// It may not be used for this request, so that another takes its place.
				u.closeOldestIdle()
			}
			return
		}
		u.waiting = slices.Delete(u.waiting, 0, 1)
		if connection == nil {
			p.setUp(u, request)
			continue
		}
		request.reply <- acquired{connection: connection}
	}
}

// applyLimit changes the limit of connections to an upstream.
func (p *Pool) applyLimit(u *upstreamPool, limit int) {
	u.limit, u.limitUntil = limit, time.Now().Add(limitHolds)
	for surplus := u.open - u.closing - limit; surplus > 0 && len(u.idle) > 0; surplus-- {
		u.closeOldestIdle()
	}
	p.serveWaiting(u)
}

// setUp sets up a connection for a request.
func (p *Pool) setUp(u *upstreamPool, request acquire) {
	u.open++
	go func() {
		socket, err := p.dialVerified(request.ctx, &request.target)
		_ = p.inbox.Send(context.Background(), dialed{request.target, socket, err, request})
	}()
}

func (p *Pool) dialed(u *upstreamPool, m dialed) {
	if m.err != nil {
		u.open--
		m.request.reply <- acquired{err: m.err}
		p.serveWaiting(u)
		return
	}
	connection := newConnection(p, m.target.Upstream, m.socket, p.decode)
	connection.single = m.target.Tunnel != nil
	connection.setUpAt, connection.verified = time.Now(), m.target.Verify != nil
	go connection.run()
	m.request.reply <- acquired{connection: connection, isNew: true}
}
