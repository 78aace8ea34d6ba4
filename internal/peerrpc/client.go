package peerrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// maxCallDuration bounds every call. A longer wait is never useful: the
	// caller can ask another host or the platform instead.
	maxCallDuration = 2 * time.Second
	// dialTimeout bounds the wait for a new connection. Round trips take a few
	// milliseconds between zones and some hundred between regions.
	dialTimeout = time.Second
	// defaultClientConnections is enough for the 330 hosts of the largest fleet
	// and for retired connections that are still open.
	defaultClientConnections = 512
	// inboxCapacity bounds the messages queued for the client's task.
	inboxCapacity = 1024
)

// ClientConfig describes a Client.
type ClientConfig struct {
	Traffic *Traffic
	// Dial opens a connection to host:port; nil dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxConnections bounds open connections; 0 means 512. At the bound, the
	// connection that has been idle for longest is closed to make room.
	MaxConnections int
}

// Client calls peers. It is a task that owns one connection for each peer's
// address. A connection on which a call has timed out is retired: it gets no
// further calls and is replaced, because it may have gone silent for good while
// new connections work. Calls in progress on it may still complete.
type Client struct {
	config ClientConfig
	inbox  *task.Inbox[any]
}

// NewClient returns a client. Calls are served while its Run method runs.
func NewClient(config ClientConfig) *Client {
	if config.Traffic == nil {
		config.Traffic = &Traffic{}
	}
	if config.MaxConnections == 0 {
		config.MaxConnections = defaultClientConnections
	}
	if config.Dial == nil {
		config.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &Client{config: config, inbox: task.NewInbox[any](inboxCapacity)}
}

// Messages to the client's task.
type (
	acquire struct {
		address string
		reply   chan<- acquired
	}
	acquired struct {
		conn *connection
		err  error
	}
	// retire takes a connection out of use for new calls.
	retire struct {
		conn *connection
	}
	// expire closes a retired connection.
	expire struct {
		conn *connection
	}
	dialed struct {
		address string
		client  *rpc.Client
		err     error
	}
)

// connection is one connection to a peer. Only the client's task uses retired and
// lastUsed.
type connection struct {
	address string
	client  *rpc.Client
	retired bool
	// lastUsed is when the connection was last assigned to a call. The call ends
	// within maxCallDuration, so calls in progress need not be counted.
	lastUsed time.Time
}

// Call implements Caller. The arguments must not be changed afterwards, even if
// the call has timed out. The reply is written only on success.
func (c *Client) Call(ctx context.Context, peer core.Peer, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, maxCallDuration)
	defer cancel()
	err := c.attempt(ctx, peer, method, args, reply)
	if errors.Is(err, rpc.ErrShutdown) {
		// The connection was closed before the call was sent, as usual after a
		// restart of the peer, so a second attempt can't execute it twice.
		err = c.attempt(ctx, peer, method, args, reply)
	}
	var serverErr rpc.ServerError
	if err == nil || errors.As(err, &serverErr) {
		return err
	}
	return fmt.Errorf("%s of host %s at %s: %w: %w", method, peer.Ref.Host, peer.Address, ErrUnreachable, err)
}

func (c *Client) attempt(ctx context.Context, peer core.Peer, method string, args, reply any) error {
	result, err := task.Ask(ctx, c.inbox, func(reply chan<- acquired) any {
		return acquire{address: peer.Address, reply: reply}
	})
	if err != nil {
		return err
	}
	if result.err != nil {
		return result.err
	}
	// A reply that arrives after the timeout is decoded into this value, so that
	// it does not change the caller's.
	decoded := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan error, 1)
	// Writing the call may block on a full connection, so it has its own
	// goroutine.
	go func() { done <- result.conn.client.Call(method, args, decoded.Interface()) }()
	select {
	case err = <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err == nil {
		reflect.ValueOf(reply).Elem().Set(decoded.Elem())
		return nil
	}
	var serverErr rpc.ServerError
	if !errors.As(err, &serverErr) {
		// Sending fails only if the task has ended, which closes all connections.
		_ = c.inbox.Send(context.WithoutCancel(ctx), retire{conn: result.conn})
	}
	return err
}

// Run manages the connections until ctx ends, then closes all.
func (c *Client) Run(ctx context.Context) {
	defer c.inbox.Close()
	connections := &connectionTable{client: c, ctx: ctx, current: make(map[string]*connection),
		all: make(map[*connection]bool), waiting: make(map[string][]chan<- acquired)}
	defer connections.closeAll()
	for {
		select {
		case message := <-c.inbox.Messages():
			switch message := message.(type) {
			case acquire:
				connections.acquire(message)
			case retire:
				connections.retire(message.conn)
			case expire:
				connections.close(message.conn)
			case dialed:
				connections.dialed(message)
			}
		case <-ctx.Done():
			return
		}
	}
}

// dial is a worker: it opens a connection and sends it to the task.
func (c *Client) dial(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	result := dialed{address: address}
	conn, err := c.config.Dial(ctx, address)
	if err != nil {
		result.err = err
	} else {
		result.client = rpc.NewClient(countedConn{conn, c.config.Traffic})
	}
	if c.inbox.Send(context.WithoutCancel(ctx), result) != nil && result.client != nil {
		_ = result.client.Close()
	}
}

var _ Caller = (*Client)(nil)
