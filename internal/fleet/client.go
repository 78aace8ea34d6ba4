package fleet

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
	// maxCallTime bounds every call. No message between hosts is worth more
	// waiting: the caller has another host or the platform to ask.
	maxCallTime = 2 * time.Second
	// dialTime bounds the wait for a new connection; zones are milliseconds
	// apart, regions some hundred.
	dialTime = time.Second
	// defaultClientConnections leaves room for the 330 hosts of the largest
	// fleet and for connections that are being replaced.
	defaultClientConnections = 512
	// clientInbox bounds calls that wait to be given a connection.
	clientInbox = 1024
)

// ClientConfig describes a Client.
type ClientConfig struct {
	Traffic *Traffic
	// Dial opens a connection to host:port; nil dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxConnections bounds open connections; 0 takes 512. At the bound the
	// connection that has been idle for longest is closed.
	MaxConnections int
}

// Client calls peers. It is a task that owns one connection for each peer's
// address. A connection on which a call has timed out gets no further calls
// and is replaced, because it may have gone silent for good while new
// connections work; calls in progress on it may still end.
type Client struct {
	config ClientConfig
	inbox  *task.Inbox[any]
}

// NewClient returns a client that works once its Run method runs.
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
	return &Client{config: config, inbox: task.NewInbox[any](clientInbox)}
}

// Messages to the client's task.
type (
	acquire struct {
		address string
		reply   chan<- acquired
	}
	acquired struct {
		link *link
		err  error
	}
	// retire keeps a connection from getting further calls.
	retire struct {
		link *link
	}
	// expire closes a retired connection.
	expire struct {
		link *link
	}
	dialed struct {
		address string
		client  *rpc.Client
		err     error
	}
)

// link is one connection. Only the client's task touches retired and lastUsed.
type link struct {
	address string
	client  *rpc.Client
	retired bool
	// lastUsed is when the connection was last given to a call. The call has
	// ended maxCallTime later, so calls need not be counted.
	lastUsed time.Time
}

// Call implements Caller. The arguments must not be changed afterwards, even
// if the call has timed out. The reply is written on success only.
func (c *Client) Call(ctx context.Context, peer core.Peer, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, maxCallTime)
	defer cancel()
	err := c.attempt(ctx, peer, method, args, reply)
	if errors.Is(err, rpc.ErrShutdown) {
		// The connection was closed before the call was sent, which is usual
		// after a restart of the peer, so a second try can't run it twice.
		err = c.attempt(ctx, peer, method, args, reply)
	}
	var refused rpc.ServerError
	if err == nil || errors.As(err, &refused) {
		return err
	}
	return fmt.Errorf("%s of host %s at %s: %w: %w", method, peer.Ref.Host, peer.Address, ErrUnreachable, err)
}

func (c *Client) attempt(ctx context.Context, peer core.Peer, method string, args, reply any) error {
	given, err := task.Ask(ctx, c.inbox, func(reply chan<- acquired) any {
		return acquire{address: peer.Address, reply: reply}
	})
	if err != nil {
		return err
	}
	if given.err != nil {
		return given.err
	}
	// A late answer is decoded into a value that the caller doesn't see.
	fresh := reflect.New(reflect.TypeOf(reply).Elem())
	done := make(chan error, 1)
	// Sending may block on a full connection, so it has its own goroutine.
	go func() { done <- given.link.client.Call(method, args, fresh.Interface()) }()
	select {
	case err = <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err == nil {
		reflect.ValueOf(reply).Elem().Set(fresh.Elem())
		return nil
	}
	var refused rpc.ServerError
	if !errors.As(err, &refused) {
		// The task's end closes all connections, so a failure to send is harmless.
		_ = c.inbox.Send(context.WithoutCancel(ctx), retire{link: given.link})
	}
	return err
}

// Run owns the connections until ctx ends, then closes all.
func (c *Client) Run(ctx context.Context) {
	defer c.inbox.Close()
	owned := &links{client: c, ctx: ctx, current: make(map[string]*link),
		all: make(map[*link]bool), waiting: make(map[string][]chan<- acquired)}
	defer owned.closeAll()
	for {
		select {
		case message := <-c.inbox.Messages():
			switch message := message.(type) {
			case acquire:
				owned.acquire(message)
			case retire:
				owned.retire(message.link)
			case expire:
				owned.close(message.link)
			case dialed:
				owned.dialed(message)
			}
		case <-ctx.Done():
			return
		}
	}
}

// dial is a worker: it opens a connection and posts it to the task.
func (c *Client) dial(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, dialTime)
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
